//! Open-loop load: requests are sent when they are due, whether or not earlier ones have completed.
//!
//! This module draws the arrival times and the requests of a run; the caller module sends them.

use {
    crate::{
        caller::{Outcome, PlannedRequest},
        experiment::{Experiment, LoadFactor, SharedContexts, Weighted, WeightedChoice},
        installation::Installation,
        model,
    },
    hazelyoke_lib::{
        settings::tree::{Pipeline, Tree},
        shared::units::Rate,
    },
    hazelyoke_testutils::{expect::Step, http_client::Caller},
    rand::{RngExt, SeedableRng, rngs::SmallRng},
    std::{sync::Arc, time::Duration},
    tokio::{
        sync::mpsc,
        time::{Instant, sleep_until},
    },
};

/// Lowest rate of requests, so that a run at zero load ends.
const MIN_RATE: Rate = Rate(0.1);

/// Distance in rank from the most likely shared context to the one that is half as likely.
const CONTEXT_SKEW: u32 = 4;

/// An outcome with the time at which its request was due.
#[derive(Debug)]
pub struct TimedOutcome {
    /// Time from the start of the run until the request was due.
    pub at: Duration,
    /// Outcome of the request.
    pub outcome: Outcome,
}

/// Sends the requests of all phases at `factor` times the capacity, or at the phase's load where it has one. Sends each
/// outcome to `outcomes` when the request ends.
pub async fn run(
    installation: &Installation,
    experiment: &Experiment,
    factor: LoadFactor,
    outcomes: mpsc::UnboundedSender<TimedOutcome>,
) {
    let capacity = model::capacity(&installation.tree, &experiment.mix);
    let mut rng = SmallRng::seed_from_u64(experiment.seed);
    let mut requests = RequestSource::new(&installation.tree, experiment);
    let callers: Arc<[Caller]> = installation.callers.clone().into();
    let start = Instant::now();
    let mut at = Duration::ZERO;
    while let Some(phase) = experiment.phase(at) {
        let rate = phase.load.unwrap_or(factor).rate(capacity);
        at = next_arrival(at, rate, &mut rng);
        let due = start + at;
        let request = requests.draw(&mut rng);
        let first = rng.random_range(0..callers.len());
        sleep_until(due).await;
        let callers = callers.clone();
        let outcomes = outcomes.clone();
        tokio::spawn(async move {
            let outcome = request.perform(&callers, first, due).await;
            // The receiver is gone only if the run was aborted because of another error.
            let _ = outcomes.send(TimedOutcome { at, outcome });
        });
    }
}

/// Returns when the request after the one at `at` is due. Gaps are distributed exponentially.
fn next_arrival(at: Duration, rate: Rate, rng: &mut SmallRng) -> Duration {
    let uniform: f64 = rng.random_range(f64::EPSILON..1.0);
    at + Duration::from_secs_f64(-uniform.ln() / rate.0.max(MIN_RATE.0))
}

/// A pipeline, or a service that is called directly.
#[derive(Debug, Clone)]
struct Target {
    name: Arc<str>,
    path: Arc<str>,
    pipeline: Arc<Pipeline>,
    steps: Arc<[Step]>,
    keyed: bool,
}

impl Target {
    /// Returns the target with a name, which the reader of experiments has checked.
    fn find(tree: &Tree, name: &str) -> Self {
        let pipeline = name.parse().ok().and_then(|id| tree.pipelines.get(&id));
        let (path, pipeline) = match pipeline {
            Some(pipeline) => (format!("/v1/pipelines/{name}"), pipeline.clone()),
            None => {
                let service = name.parse().ok().and_then(|id| tree.services.get(&id));
                let service = service.expect("the experiment's targets were checked");
                let call = Tree::service_call(service);
                (format!("/v1/services/{name}"), Arc::new(call))
            }
        };
        let mut stages = pipeline.stages.iter();
        Self {
            name: name.into(),
            path: path.into(),
            keyed: stages.any(|stage| !stage.settings.repeatable.value),
            steps: model::steps(tree, &pipeline).into(),
            pipeline,
        }
    }
}

/// Draws random requests by the experiment's weights.
struct RequestSource<'e> {
    tree: &'e Tree,
    targets: WeightedChoice<Target>,
    customers: WeightedChoice<Arc<str>>,
    contexts: Option<WeightedChoice<Arc<str>>>,
    retries: u32,
    drawn: u64,
}

impl<'e> RequestSource<'e> {
    fn new(tree: &'e Tree, experiment: &Experiment) -> Self {
        Self {
            tree,
            targets: experiment.mix.choice(|name| Target::find(tree, name)),
            customers: experiment.customers.choice(|name| name.into()),
            contexts: experiment.contexts.map(contexts),
            retries: experiment.retries,
            drawn: 0,
        }
    }

    fn draw(&mut self, rng: &mut SmallRng) -> PlannedRequest {
        let target = self.targets.draw(rng);
        let customer = self.customers.draw(rng);
        self.drawn += 1;
        PlannedRequest {
            number: self.drawn,
            deadline: self.deadline(&target, &customer),
            path: target.path,
            target: target.name,
            context: self.contexts.as_ref().map(|contexts| contexts.draw(rng)),
            customer,
            steps: target.steps,
            keyed: target.keyed,
            retries: self.retries,
        }
    }

    fn deadline(&self, target: &Target, customer: &str) -> Duration {
        let owner = customer.parse().ok();
        let owner = owner.and_then(|id| self.tree.customers.get(&id));
        let owner = owner.expect("the experiment's customers were checked");
        let settings = self.tree.request_settings(owner, &target.pipeline);
        settings.deadline.value.to_duration()
    }
}

/// Builds the shared prefixes of prompts; their texts all differ.
fn contexts(SharedContexts { groups, bytes }: SharedContexts) -> WeightedChoice<Arc<str>> {
    let context = |group: u32| {
        let word = format!("case-{group:06} ");
        let times = bytes.0 as usize / word.len() + 1;
        Weighted {
            value: Arc::from(word.repeat(times)),
            weight: 1.0 / f64::from(group + CONTEXT_SKEW),
        }
    };
    (0..groups.0).map(context).collect()
}
