//! `hazelyoke-bench run`: experiments from files, each under each of its policies.

use {
    crate::{
        experiment::Experiment,
        report::{self, print_details, print_table},
    },
    anyhow::{Context, Result, bail},
    argh::FromArgs,
    hazelyoke_lib::settings::values::PolicyKind,
    std::{fs, io::Write, path::PathBuf},
};

/// run experiments and print a table; one line of JSON a run goes to a file
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "run")]
pub struct Run {
    /// files with experiments, in JSON with comments
    #[argh(positional)]
    experiments: Vec<PathBuf>,

    /// file to which a line of JSON is added for each run
    #[argh(option)]
    out: Option<PathBuf>,

    /// only read and check the experiments
    #[argh(switch)]
    check: bool,

    /// print each run in full
    #[argh(switch)]
    details: bool,
}

impl Run {
    /// Runs the command; returns whether every promise was kept.
    ///
    /// # Errors
    ///
    /// Returns an error when an experiment is invalid or can't be run.
    pub async fn run(self) -> Result<bool> {
        if self.experiments.is_empty() {
            bail!("run needs an experiment; see bench/experiments");
        }
        let mut experiments = Vec::new();
        for path in &self.experiments {
            let name = path.display().to_string();
            let bytes = fs::read(path).with_context(|| format!("can't read {name}"))?;
            experiments.extend(Experiment::parse(&name, &bytes)?);
        }
        if self.check {
            println!("{} experiments: fine", experiments.len());
            return Ok(true);
        }
        let mut reports = Vec::new();
        for experiment in &experiments {
            for (load, policy) in runs(experiment) {
                eprintln!("{} at {load} under {policy}", experiment.name);
                let report = report::run(experiment, policy, load, |_, _, _| {}).await?;
                self.write(&report)?;
                if self.details {
                    print_details(&report);
                }
                reports.push(report);
            }
        }
        print_table(&reports);
        Ok(reports.iter().all(report::Report::kept))
    }

    fn write(&self, report: &report::Report) -> Result<()> {
        let Some(path) = &self.out else {
            return Ok(());
        };
        let mut file = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(path)
            .with_context(|| format!("can't write {}", path.display()))?;
        writeln!(file, "{}", serde_json::to_string(report)?)?;
        Ok(())
    }
}

/// Every load under every policy.
fn runs(experiment: &Experiment) -> impl Iterator<Item = (f64, PolicyKind)> {
    let loads = experiment.loads.iter();
    loads.flat_map(|load| experiment.policies.iter().map(|policy| (*load, *policy)))
}
