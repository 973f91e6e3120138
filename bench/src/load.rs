//! Open-loop load: requests come when they are due, whether or not earlier ones are done.

use {
    crate::{
        caller::{Order, Outcome, carry_out},
        experiment::Experiment,
        model,
    },
    hazelyoke_lib::tree::Tree,
    hazelyoke_testutils::{expect::Step, http_client::Caller},
    rand::{RngExt, SeedableRng, rngs::SmallRng},
    std::{collections::BTreeMap, sync::Arc, time::Duration},
    tokio::{
        sync::mpsc,
        time::{Instant, sleep_until},
    },
};

/// Least requests a second, so that a run at no load ends.
const MIN_RATE: f64 = 0.1;

/// Draws names by weight.
struct Draw {
    names: Vec<(Arc<str>, f64)>,
    total: f64,
}

impl Draw {
    fn new(weights: &BTreeMap<String, f64>) -> Self {
        let names = weights
            .iter()
            .map(|(name, weight)| (name.as_str().into(), *weight));
        Self {
            names: names.collect(),
            total: weights.values().sum(),
        }
    }

    fn draw(&self, rng: &mut SmallRng) -> Arc<str> {
        let mut point = rng.random_range(0.0..self.total);
        for (name, weight) in &self.names {
            if point < *weight {
                return name.clone();
            }
            point -= weight;
        }
        self.names[self.names.len() - 1].0.clone()
    }
}

/// Makes orders by the experiment's mix.
struct Orders<'e> {
    tree: &'e Tree,
    experiment: &'e Experiment,
    steps: BTreeMap<String, Arc<Vec<Step>>>,
    pipelines: Draw,
    customers: Draw,
    next: u64,
}

impl<'e> Orders<'e> {
    fn new(tree: &'e Tree, experiment: &'e Experiment) -> Self {
        let steps = model::steps(tree);
        Self {
            tree,
            experiment,
            steps: steps
                .into_iter()
                .map(|(name, steps)| (name, Arc::new(steps)))
                .collect(),
            pipelines: Draw::new(&experiment.mix),
            customers: Draw::new(&experiment.customers),
            next: 0,
        }
    }

    fn order(&mut self, rng: &mut SmallRng) -> Order {
        let name = self.pipelines.draw(rng);
        let customer = self.customers.draw(rng);
        self.next += 1;
        let pipeline = name.parse().ok();
        let pipeline = pipeline.and_then(|id| self.tree.pipelines.get(&id));
        let pipeline = pipeline.expect("the experiment's names were checked");
        let owner = customer.parse().ok();
        let owner = owner.and_then(|id| self.tree.customers.get(&id));
        let owner = owner.expect("the experiment's names were checked");
        let settings = self.tree.request_settings(owner, pipeline);
        let keyed = pipeline
            .stages
            .iter()
            .any(|stage| !stage.settings.repeatable.value);
        Order {
            number: self.next,
            steps: self.steps[&*name].clone(),
            pipeline: name,
            customer,
            deadline: settings.deadline.value.to_duration(),
            keyed,
            repeat: self.experiment.repeat,
        }
    }
}

/// Returns when the next request is due after `at`, at a rate of requests a second.
fn next_arrival(at: Duration, rate: f64, rng: &mut SmallRng) -> Duration {
    let uniform: f64 = rng.random_range(f64::EPSILON..1.0);
    at + Duration::from_secs_f64(-uniform.ln() / rate.max(MIN_RATE))
}

/// Runs the load and hands each outcome over when it is known.
pub async fn run(
    tree: Arc<Tree>,
    callers: Vec<Caller>,
    experiment: &Experiment,
    swept: f64,
    outcomes: mpsc::UnboundedSender<(Duration, Outcome)>,
) {
    let capacity = model::capacity(&tree, &experiment.mix);
    let mut rng = SmallRng::seed_from_u64(experiment.seed);
    let mut orders = Orders::new(&tree, experiment);
    let callers: Arc<[Caller]> = callers.into();
    let start = Instant::now();
    let mut at = Duration::ZERO;
    while let Some(phase) = experiment.phase(at) {
        at = next_arrival(at, phase.load.rate(capacity, swept), &mut rng);
        let due = start + at;
        let order = orders.order(&mut rng);
        let first = rng.random_range(0..callers.len());
        sleep_until(due).await;
        let callers = callers.clone();
        let outcomes = outcomes.clone();
        let arrived = at;
        tokio::spawn(async move {
            let outcome = carry_out(&callers, order, first, due).await;
            // The run may have been given up.
            let _ = outcomes.send((arrived, outcome));
        });
    }
}
