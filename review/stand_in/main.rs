//! Runs one review case: starts the platform's stand-ins and the daemons, plays the traffic and the disruption, and
//! judges the rule from what clients and replicas saw.
//!
//! Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.

mod client;
mod daemon;
mod drain;
mod http;
mod memory;
mod network;
mod record;
mod relay;
mod replica;
mod store;

use std::{env, path::PathBuf, process::ExitCode};

/// Result of a case.
pub type CaseResult = Result<bool, String>;

fn main() -> ExitCode {
    let mut args = env::args().skip(1);
    let (Some(case), Some(folder)) = (args.next(), args.next()) else {
        eprintln!("usage: stand_in CASE FOLDER");
        return ExitCode::from(2);
    };
    let trouble = env::var("TROUBLE").map_or(true, |value| value != "0");
    let folder = PathBuf::from(folder);
    let record = match record::Record::create(&folder.join("record.txt")) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("can't write the record: {error}");
            return ExitCode::from(2);
        }
    };
    record.line(format!("case {case}, trouble {trouble}"));
    let result = match case.as_str() {
        "drain" => drain::run(&record, trouble),
        "memory" => memory::run(&record, trouble),
        "relay" => relay::run(&record, trouble),
        _ => Err(format!("unknown case {case}")),
    };
    match result {
        Ok(true) => {
            record.line("result: the rule was broken");
            ExitCode::from(1)
        }
        Ok(false) => {
            record.line("result: the rule held");
            ExitCode::SUCCESS
        }
        Err(error) => {
            record.line(format!("result: the case couldn't run: {error}"));
            ExitCode::from(2)
        }
    }
}
