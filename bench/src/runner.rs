//! Runs an experiment under one policy at one load, and collects the outcomes of its requests.

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

/// Longest wait for the last replies after the load has ended: longer than any deadline in the tree.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(30);

/// Wait after the last reply, so that endpoints finish calls whose caller has already given up.
const SETTLE_TIME: Duration = Duration::from_millis(300);

/// Time between two reports of progress.
const PROGRESS_INTERVAL: Duration = Duration::from_secs(1);

/// One run of an experiment.
#[derive(Debug, Clone, Copy)]
pub struct Run<'e> {
    /// Experiment that is run.
    pub experiment: &'e Experiment,
    /// Policy under which the daemons run.
    pub policy: PolicyKind,
    /// Load of the phases that don't define a load.
    pub load: LoadFactor,
}

/// Progress of a run.
#[derive(Debug, Clone, Copy)]
pub struct Progress {
    /// Time since the start of the run.
    pub elapsed: Duration,
    /// Number of counted requests that have ended.
    pub ended: u64,
    /// Number of counted requests that were answered correctly within their deadline.
    pub attained: u64,
}

/// The results of a run.
pub struct Results<'e> {
    /// Run that gave the results.
    pub run: Run<'e>,
    /// The installation after the run, still running.
    pub installation: Installation,
    /// Counts of requests.
    pub tallies: Tallies,
    /// Guarantees that were broken.
    pub breaches: Breaches,
}

/// Counts of requests by several criteria. Only `seconds` includes the requests of uncounted phases.
#[derive(Debug, Default)]
pub struct Tallies {
    /// All counted requests.
    pub all: Tally,
    /// Counted requests by target.
    pub targets: BTreeMap<String, Tally>,
    /// Counted requests by customer.
    pub customers: BTreeMap<String, Tally>,
    /// Requests by the second, since the start of the run, in which they were due.
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
    /// Runs the experiment, and calls `progress` each second.
    ///
    /// # Errors
    ///
    /// Returns an error if the installation can't be started, a fault can't be injected, or requests haven't ended 30 s
    /// after the load.
    pub async fn run(self, progress: impl FnMut(Progress)) -> Result<Report> {
        let experiment = self.experiment;
        let installation = Installation::start(experiment, &self.root_settings()).await?;
        let (sender, outcomes) = mpsc::unbounded_channel();
        let start = Instant::now();
        let load = load::run(&installation, experiment, self.load, sender);
        let faults = fault_injector::run(&experiment.faults, &installation, start);
        let collected = async {
            let collect = collect(experiment, outcomes, progress);
            let limit = experiment.whole_time() + DRAIN_TIMEOUT;
            let finished = timeout(limit, async { tokio::join!(load, collect).1 }).await;
            finished.map_err(|_| anyhow!("requests haven't ended {DRAIN_TIMEOUT:?} after the load"))
        };
        let (tallies, observer) = tokio::select! {
            collected = collected => collected?,
            error = fault_error(faults) => return Err(error),
        };
        sleep(SETTLE_TIME).await;
        let breaches = observer.find_breaches(&installation.replicas);
        Ok(Report::from(&Results {
            run: self,
            installation,
            tallies,
            breaches,
        }))
    }

    /// Returns the run's settings for the tree's root value, as JSON fields.
    fn root_settings(&self) -> String {
        let policy = format!("\"policy\": \"{}\"", self.policy);
        if self.experiment.settings.is_empty() {
            policy
        } else {
            format!("{policy}, {}", self.experiment.settings)
        }
    }
}

/// Counts outcomes until all requests have ended.
async fn collect(
    experiment: &Experiment,
    mut outcomes: UnboundedReceiver<TimedOutcome>,
    mut progress: impl FnMut(Progress),
) -> (Tallies, Observer) {
    let mut tallies = Tallies::default();
    let mut observer = Observer::default();
    let start = Instant::now();
    let mut ticks = interval(PROGRESS_INTERVAL);
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

/// Returns the error with which the injection of faults fails. Never returns if it succeeds, so that the load determines
/// how long the run lasts.
async fn fault_error(faults: impl Future<Output = Result<()>>) -> Error {
    match faults.await {
        Ok(()) => future::pending().await,
        Err(error) => error,
    }
}
