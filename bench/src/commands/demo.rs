//! `hazelyoke-bench demo`: ten seconds of mixed load on the Bureau's tree.

use {
    crate::{
        experiment::{Experiment, LoadFactor},
        report_table::{print_details, print_table},
        runner::{Progress, Run},
    },
    anyhow::Result,
    argh::FromArgs,
    std::slice,
};

/// Text of the demo's experiment. Its only phase defines its load.
const DEMO_EXPERIMENT: &str = include_str!("../../experiments/demo.jsonc");

/// ten seconds of mixed load on the Bureau's tree, with everything in this process
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "demo")]
pub struct Demo {}

impl Demo {
    /// Runs the command; returns whether no guarantee was broken.
    ///
    /// # Errors
    ///
    /// Returns an error if the experiment can't be run.
    pub async fn run(self) -> Result<bool> {
        let experiments = Experiment::parse("demo.jsonc", DEMO_EXPERIMENT.as_bytes())?;
        let experiment = &experiments[0];
        let daemons = experiment.daemons;
        println!("{daemons} daemons and their stand-ins on loopback, ten seconds of load");
        let run = Run {
            experiment,
            policy: experiment.policies[0],
            load: LoadFactor::CAPACITY,
        };
        let report = run.run(print_progress).await?;
        println!();
        print_table(slice::from_ref(&report));
        println!();
        print_details(&report);
        let passed = report.passed();
        let verdict = if passed {
            "every promise was kept"
        } else {
            "A PROMISE WAS BROKEN"
        };
        println!("{verdict}");
        Ok(passed)
    }
}

fn print_progress(progress: Progress) {
    let Progress {
        elapsed,
        ended,
        attained,
    } = progress;
    let seconds = elapsed.as_secs();
    println!("{seconds:>3}s: {ended} answered or refused, {attained} in time");
}
