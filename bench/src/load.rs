//! Open-loop load: requests come when they are due, whether or not earlier ones are done.

use {
    crate::{
        caller::{Order, Outcome, carry_out},
        experiment::{Context, Experiment},
        model,
    },
    hazelyoke_lib::settings::tree::{Pipeline, Tree},
    hazelyoke_testutils::{expect::Step, http_client::Caller},
    rand::{RngExt, SeedableRng, rngs::SmallRng},
    std::{sync::Arc, time::Duration},
    tokio::{
        sync::mpsc,
        time::{Instant, sleep_until},
    },
};

/// Least requests a second, so that a run at no load ends.
const MIN_RATE: f64 = 0.1;

/// Draws values by weight.
struct Draw<V> {
    values: Vec<(V, f64)>,
    total: f64,
}

impl<V: Clone> Draw<V> {
    fn new(values: Vec<(V, f64)>) -> Self {
        Self {
            total: values.iter().map(|(_, weight)| weight).sum(),
            values,
        }
    }

    fn draw(&self, rng: &mut SmallRng) -> V {
        let mut point = rng.random_range(0.0..self.total);
        for (value, weight) in &self.values {
            if point < *weight {
                return value.clone();
            }
            point -= weight;
        }
        self.values[self.values.len() - 1].0.clone()
    }
}

/// A pipeline, or a service that is called directly.
#[derive(Clone)]
struct Target {
    name: Arc<str>,
    path: Arc<str>,
    pipeline: Arc<Pipeline>,
    steps: Arc<Vec<Step>>,
    keyed: bool,
}

fn target(tree: &Tree, name: &str, steps: Vec<Step>) -> Target {
    let service = name.parse().ok();
    let service = service.and_then(|id| tree.services.get(&id));
    let pipeline = name.parse().ok();
    let pipeline = pipeline.and_then(|id| tree.pipelines.get(&id));
    let (path, pipeline) = match (pipeline, service) {
        (Some(pipeline), _) => (format!("/v1/pipelines/{name}"), pipeline.clone()),
        (None, Some(service)) => {
            let call = Tree::service_call(service);
            (format!("/v1/services/{name}"), Arc::new(call))
        }
        (None, None) => unreachable!("the experiment's names were checked"),
    };
    let mut stages = pipeline.stages.iter();
    Target {
        name: name.into(),
        path: path.into(),
        keyed: stages.any(|stage| !stage.settings.repeatable.value),
        pipeline,
        steps: Arc::new(steps),
    }
}

/// Makes orders by the experiment's mix.
struct Orders<'e> {
    tree: &'e Tree,
    experiment: &'e Experiment,
    targets: Draw<Target>,
    customers: Draw<Arc<str>>,
    contexts: Option<Draw<Arc<str>>>,
    next: u64,
}

impl<'e> Orders<'e> {
    fn new(tree: &'e Tree, experiment: &'e Experiment) -> Self {
        let mut steps = model::steps(tree);
        let mix = experiment.mix.iter();
        let targets = mix.map(|(name, weight)| {
            let steps = steps.remove(name).unwrap_or_default();
            (target(tree, name, steps), *weight)
        });
        let customers = experiment.customers.iter();
        let customers = customers.map(|(name, weight)| (name.as_str().into(), *weight));
        Self {
            tree,
            experiment,
            targets: Draw::new(targets.collect()),
            customers: Draw::new(customers.collect()),
            contexts: experiment.context.as_ref().map(contexts),
            next: 0,
        }
    }

    fn order(&mut self, rng: &mut SmallRng) -> Order {
        let target = self.targets.draw(rng);
        let customer = self.customers.draw(rng);
        self.next += 1;
        let deadline = self.deadline(&target, &customer);
        Order {
            number: self.next,
            path: target.path.clone(),
            target: target.name.clone(),
            context: self
                .contexts
                .as_ref()
                .map_or("".into(), |draw| draw.draw(rng)),
            steps: target.steps.clone(),
            customer,
            deadline,
            keyed: target.keyed,
            repeat: self.experiment.repeat,
        }
    }

    fn deadline(&self, target: &Target, customer: &str) -> Duration {
        let owner = customer.parse().ok();
        let owner = owner.and_then(|id| self.tree.customers.get(&id));
        let owner = owner.expect("the experiment's names were checked");
        let settings = self.tree.request_settings(owner, &target.pipeline);
        settings.deadline.value.to_duration()
    }
}

/// Beginnings of prompts: each one's text is its own.
fn contexts(context: &Context) -> Draw<Arc<str>> {
    let text = |group: u32| -> Arc<str> {
        let word = format!("case-{group:06} ");
        let times = context.bytes as usize / word.len() + 1;
        word.repeat(times).into()
    };
    let weight = |group: u32| 1.0 / f64::from(group + 4);
    Draw::new(
        (0..context.groups)
            .map(|group| (text(group), weight(group)))
            .collect(),
    )
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
