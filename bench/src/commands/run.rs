//! `hazelyoke-bench run`: runs experiments from files, each at each of its loads under each of its policies.

use {
    crate::{
        experiment::Experiment,
        report::Report,
        report_table::{print_details, print_table},
        runner::Run,
    },
    anyhow::{Context, Result, bail},
    argh::FromArgs,
    std::{fs, io::Write, path::PathBuf},
};

/// run experiments and print a table; one line of JSON a run goes to a file
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "run")]
pub struct RunExperiments {
    /// files with experiments, in JSON with comments
    #[argh(positional)]
    files: Vec<PathBuf>,

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

impl RunExperiments {
    /// Runs the command; returns whether no guarantee was broken.
    ///
    /// # Errors
    ///
    /// Returns an error if an experiment is invalid or can't be run, or a file can't be read or written.
    pub async fn run(self) -> Result<bool> {
        let experiments = self.read()?;
        if self.check {
            println!("{} experiments: fine", experiments.len());
            return Ok(true);
        }
        let mut reports = Vec::new();
        for run in experiments.iter().flat_map(runs) {
            let Run {
                experiment,
                policy,
                load,
            } = run;
            eprintln!("{} at {load} under {policy}", experiment.name);
            let report = run.run(|_| {}).await?;
            self.write(&report)?;
            if self.details {
                print_details(&report);
            }
            reports.push(report);
        }
        print_table(&reports);
        Ok(reports.iter().all(Report::passed))
    }

    fn read(&self) -> Result<Vec<Experiment>> {
        if self.files.is_empty() {
            bail!("`run` needs at least one experiment file; see bench/experiments");
        }
        let mut experiments = Vec::new();
        for path in &self.files {
            let name = path.display().to_string();
            let bytes = fs::read(path).with_context(|| format!("can't read {name}"))?;
            experiments.extend(Experiment::parse(&name, &bytes)?);
        }
        Ok(experiments)
    }

    fn write(&self, report: &Report) -> Result<()> {
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

/// Returns one run for each combination of load and policy.
fn runs(experiment: &Experiment) -> impl Iterator<Item = Run<'_>> {
    let loads = experiment.loads.iter();
    loads.flat_map(move |load| {
        let policies = experiment.policies.iter();
        policies.map(move |policy| Run {
            experiment,
            policy: *policy,
            load: *load,
        })
    })
}
