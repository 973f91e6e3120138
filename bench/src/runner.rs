//! Runs an experiment under one policy at one load, and collects what comes out.

use {
    crate::{
        caller::Outcome,
        experiment::{Experiment, LoadFactor},
        fault_injector,
        installation::Installation,
        load::{self, TimedOutcome},
        observer::{Breaches, Observer},
        report::Report,
        tally::Tally,
    },
    anyhow::{Error, Result, anyhow},
    hazelyoke_lib::settings::values::PolicyKind,
    std::{collections::BTreeMap, future, time::Duration},
    tokio::{
        sync::mpsc::{self, UnboundedReceiver},
        time::{Instant, interval, sleep, timeout},
    },
};

/// Longest wait for the last answers after the load has ended: longer than any deadline of the tree.
const DRAIN: Duration = Duration::from_secs(30);

/// Pause after the last answer, so that endpoints finish work whose caller has left.
const SETTLE: Duration = Duration::from_millis(300);

/// Time between two reports of progress.
const PROGRESS: Duration = Duration::from_secs(1);

/// One run of an experiment.
#[derive(Debug, Clone, Copy)]
pub struct Run<'e> {
    /// The experiment.
    pub experiment: &'e Experiment,
    /// Policy in force.
    pub policy: PolicyKind,
    /// Load of phases that have none of their own.
    pub load: LoadFactor,
}

/// How far a run is.
#[derive(Debug, Clone, Copy)]
pub struct Progress {
    /// Time since its start.
    pub elapsed: Duration,
    /// Counted requests that have ended.
    pub ended: u64,
    /// Those of them that were answered whole within their deadline.
    pub attained: u64,
}

/// All that a run has given.
pub struct Results<'e> {
    /// The run.
    pub run: Run<'e>,
    /// The installation as it was left.
    pub installation: Installation,
    /// Counts of requests.
    pub tallies: Tallies,
    /// Broken promises.
    pub breaches: Breaches,
}

/// Counts of requests by several criteria; only `seconds` holds those of uncounted phases as well.
#[derive(Debug, Default)]
pub struct Tallies {
    /// All requests.
    pub all: Tally,
    /// Requests by target.
    pub targets: BTreeMap<String, Tally>,
    /// Requests by customer.
    pub customers: BTreeMap<String, Tally>,
    /// Requests by the second at which they were due.
    pub seconds: BTreeMap<u64, Tally>,
}

impl Tallies {
    fn add(&mut self, experiment: &Experiment, at: Duration, outcome: &Outcome) {
        let second = self.seconds.entry(at.as_secs()).or_default();
        second.add(outcome);
        if !experiment.phase(at).is_some_and(|phase| phase.counted) {
            return;
        }
        self.all.add(outcome);
        let target = outcome.request.target.to_string();
        self.targets.entry(target).or_default().add(outcome);
        let customer = outcome.request.customer.to_string();
        self.customers.entry(customer).or_default().add(outcome);
    }
}

impl Run<'_> {
    /// Runs the experiment; `progress` is called each second.
    ///
    /// # Errors
    ///
    /// Returns an error when the installation can't be started, a fault can't be carried out, or
    /// answers are missing long after the load has ended.
    pub async fn run(self, progress: impl FnMut(Progress)) -> Result<Report> {
        let experiment = self.experiment;
        let installation = Installation::start(experiment, &self.root_settings()).await?;
        let (sender, outcomes) = mpsc::unbounded_channel();
        let start = Instant::now();
        let load = load::run(&installation, experiment, self.load, sender);
        let faults = fault_injector::run(&experiment.faults, &installation, start);
        let collected = async {
            let collect = collect(experiment, outcomes, progress);
            let limit = experiment.whole_time() + DRAIN;
            let finished = timeout(limit, async { tokio::join!(load, collect).1 }).await;
            finished
                .map_err(|_| anyhow!("answers are still missing {DRAIN:?} after the load's end"))
        };
        let (tallies, observer) = tokio::select! {
            collected = collected => collected?,
            error = failure(faults) => return Err(error),
        };
        sleep(SETTLE).await;
        let breaches = observer.judge(&installation.replicas);
        Ok(Report::from(&Results {
            run: self,
            installation,
            tallies,
            breaches,
        }))
    }

    /// Returns the settings of the run at the tree's root, as JSON fields.
    fn root_settings(&self) -> String {
        let policy = format!("\"policy\": \"{}\"", self.policy);
        if self.experiment.settings.is_empty() {
            policy
        } else {
            format!("{policy}, {}", self.experiment.settings)
        }
    }
}

/// Counts outcomes until every request has ended.
async fn collect(
    experiment: &Experiment,
    mut outcomes: UnboundedReceiver<TimedOutcome>,
    mut progress: impl FnMut(Progress),
) -> (Tallies, Observer) {
    let mut tallies = Tallies::default();
    let mut observer = Observer::default();
    let start = Instant::now();
    let mut ticks = interval(PROGRESS);
    loop {
        tokio::select! {
            received = outcomes.recv() => match received {
                Some(TimedOutcome { at, outcome }) => {
                    observer.add(&outcome);
                    tallies.add(experiment, at, &outcome);
                }
                None => return (tallies, observer),
            },
            _ = ticks.tick() => progress(Progress {
                elapsed: start.elapsed(),
                ended: tallies.all.total,
                attained: tallies.all.attained,
            }),
        }
    }
}

/// Waits until the faults fail; when they end well, the load decides how long the run lasts.
async fn failure(faults: impl Future<Output = Result<()>>) -> Error {
    match faults.await {
        Ok(()) => future::pending().await,
        Err(error) => error,
    }
}
