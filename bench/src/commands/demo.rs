//! `hazelyoke-bench demo`: ten seconds of mixed load on the Bureau's tree.

use {
    crate::{
        experiment::Experiment,
        report::{self, print_details, print_table},
    },
    anyhow::Result,
    argh::FromArgs,
};

const DEMO: &str = include_str!("../../experiments/demo.jsonc");

/// ten seconds of mixed load on the Bureau's tree, with everything in this process
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "demo")]
pub struct Demo {}

impl Demo {
    /// Runs the command; returns whether every promise was kept.
    ///
    /// # Errors
    ///
    /// Returns an error when the installation can't be started.
    pub async fn run(self) -> Result<bool> {
        let experiments = Experiment::parse("demo.jsonc", DEMO.as_bytes())?;
        let experiment = &experiments[0];
        println!(
            "{} daemons and their stand-ins on loopback, ten seconds of load",
            experiment.daemons
        );
        let report = report::run(
            experiment,
            experiment.policies[0],
            1.0,
            |at, total, attained| {
                println!(
                    "{:>3}s: {total} answered or refused, {attained} in time",
                    at.as_secs()
                );
            },
        )
        .await?;
        println!();
        print_table(std::slice::from_ref(&report));
        println!();
        print_details(&report);
        let kept = report.kept();
        println!(
            "{}",
            if kept {
                "every promise was kept"
            } else {
                "A PROMISE WAS BROKEN"
            }
        );
        Ok(kept)
    }
}
