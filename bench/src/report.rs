//! The report of one run, which is written as one line of JSON.

use {
    crate::{
        experiment::{Experiment, Weights},
        installation::Installation,
        model,
        observer::Breaches,
        runner::{Results, Run},
        tally::Tally,
    },
    hazelyoke_lib::{settings::tree::Tree, shared::units::WorkMillis},
    hazelyoke_testutils::endpoint::PromptBytes,
    serde::Serialize,
    std::{collections::BTreeMap, time::Duration},
};

/// Report of one run. Shares are from 0 to 1.
#[derive(Debug, Clone, Serialize)]
pub struct Report {
    /// Name of the experiment.
    pub experiment: String,
    /// Policy under which the daemons ran.
    pub policy: String,
    /// Mean load over the counted phases, as a multiple of capacity.
    pub load: f64,
    /// Requests a second at which the busiest service is fully used.
    pub capacity: f64,
    /// Number of requests that were due in counted phases.
    pub requests: u64,
    /// Share of requests answered correctly within their deadline.
    pub attainment: f64,
    /// Requests a second answered correctly within their deadline.
    pub goodput: f64,
    /// Median latency of answered requests, in milliseconds.
    pub p50_ms: f64,
    /// 95th percentile of the latency of answered requests, in milliseconds.
    pub p95_ms: f64,
    /// 99th percentile of the latency of answered requests, in milliseconds.
    pub p99_ms: f64,
    /// Work of requests answered within their deadline at the busiest service, as a share of its capacity.
    pub used: f64,
    /// Share of the endpoints' busy time, as they measure it, that daemons don't count as useful.
    pub wasted: f64,
    /// Number of extra attempts, as a share of the number of first attempts.
    pub extra: f64,
    /// Number of requests by how they ended.
    pub endings: BTreeMap<String, u64>,
    /// Attainment by target.
    pub targets: BTreeMap<String, f64>,
    /// Attainment by customer.
    pub customers: BTreeMap<String, f64>,
    /// Endpoint time by target and stage, as the daemons count it.
    pub stages: BTreeMap<String, StageTime>,
    /// Share of the engines' prompt bytes that were found in prefix caches.
    pub cached: f64,
    /// Share of the time of all slots of a service in which they were busy, by service.
    pub busy: BTreeMap<String, f64>,
    /// Attainment by the second in which requests were due, counted from the start of the run.
    pub seconds: Vec<f64>,
    /// Guarantees that were broken.
    pub breaches: Breaches,
}

/// Endpoint time that a stage took, in milliseconds.
#[derive(Debug, Clone, Copy, Default, Serialize)]
pub struct StageTime {
    /// Time for requests that were answered in time.
    pub useful: WorkMillis,
    /// Time for all other requests.
    pub wasted: WorkMillis,
}

impl Report {
    /// Returns whether no guarantee was broken.
    pub fn passed(&self) -> bool {
        self.breaches.total() == 0
    }
}

impl From<&Results<'_>> for Report {
    fn from(results: &Results<'_>) -> Self {
        let Results {
            run: Run {
                experiment, policy, ..
            },
            installation,
            tallies,
            breaches,
        } = results;
        let capacity = model::capacity(&installation.tree, &experiment.mix).0;
        let counted = experiment.counted_time().as_secs_f64().max(f64::EPSILON);
        let stages = stage_times(installation);
        let all = &tallies.all;
        Self {
            experiment: experiment.name.clone(),
            policy: policy.to_string(),
            load: all.total as f64 / counted / capacity,
            capacity,
            requests: all.total,
            attainment: all.attainment(),
            goodput: all.attained as f64 / counted,
            p50_ms: millis(all.quantile(0.5)),
            p95_ms: millis(all.quantile(0.95)),
            p99_ms: millis(all.quantile(0.99)),
            used: used_share(&installation.tree, &tallies.targets, counted),
            wasted: wasted_share(installation, &stages),
            extra: extra_share(installation),
            endings: all.endings.clone(),
            targets: attainments(&tallies.targets),
            customers: attainments(&tallies.customers),
            stages,
            cached: cached_share(installation),
            busy: busy_shares(experiment, installation),
            seconds: tallies.seconds.values().map(Tally::attainment).collect(),
            breaches: *breaches,
        }
    }
}

fn millis(time: Duration) -> f64 {
    time.as_secs_f64() * 1000.0
}

fn attainments(tallies: &BTreeMap<String, Tally>) -> BTreeMap<String, f64> {
    let pairs = tallies.iter();
    pairs
        .map(|(name, tally)| (name.clone(), tally.attainment()))
        .collect()
}

/// Adds up the endpoint time of each stage over all daemons.
fn stage_times(installation: &Installation) -> BTreeMap<String, StageTime> {
    let mut stages: BTreeMap<String, StageTime> = BTreeMap::new();
    let daemons = installation.daemons.iter();
    for view in daemons.flat_map(|daemon| daemon.node().snapshot().stage_costs) {
        let sum = stages
            .entry(format!("{}/{}", view.pipeline, view.stage))
            .or_default();
        sum.useful.0 += view.cost.useful.0;
        sum.wasted.0 += view.cost.wasted.0;
    }
    stages
}

/// Returns the work of requests answered within their deadline at the busiest service, as a share of its capacity.
fn used_share(tree: &Tree, targets: &BTreeMap<String, Tally>, seconds: f64) -> f64 {
    let attained: Weights = targets
        .iter()
        .map(|(name, tally)| (name.clone(), tally.attained as f64))
        .filter(|(_, attained)| *attained > 0.0)
        .collect();
    attained.total() / seconds / model::capacity(tree, &attained).0
}

/// Returns the share of the endpoints' busy time that daemons don't count as useful.
fn wasted_share(installation: &Installation, stages: &BTreeMap<String, StageTime>) -> f64 {
    let useful: f64 = stages.values().map(|time| time.useful.0).sum();
    let replicas = installation.replicas.iter();
    let incarnations = replicas.flat_map(|replica| replica.incarnations());
    let busy: f64 = incarnations
        .map(|incarnation| millis(incarnation.busy()))
        .sum();
    (1.0 - useful / busy.max(f64::EPSILON)).max(0.0)
}

/// Returns the number of extra attempts of all daemons, as a share of the number of first attempts.
fn extra_share(installation: &Installation) -> f64 {
    let mut first = 0;
    let mut extra = 0;
    for daemon in &installation.daemons {
        let counters = daemon.node().snapshot().counters;
        first += counters.attempts;
        extra += counters.extra;
    }
    extra as f64 / first.max(1) as f64
}

/// Returns the share of the engines' prompt bytes that were found in prefix caches.
fn cached_share(installation: &Installation) -> f64 {
    let mut sum = PromptBytes::default();
    let replicas = installation.replicas.iter();
    for incarnation in replicas.flat_map(|replica| replica.incarnations()) {
        let prompts = incarnation.prompt_bytes();
        sum.uncached += prompts.uncached;
        sum.all += prompts.all;
    }
    1.0 - sum.uncached as f64 / sum.all.max(1) as f64
}

/// Returns the share of the time of all slots of a service in which they were busy, by service.
fn busy_shares(experiment: &Experiment, installation: &Installation) -> BTreeMap<String, f64> {
    let whole = experiment.whole_time().as_secs_f64();
    let mut busy: BTreeMap<String, f64> = BTreeMap::new();
    for service in installation.tree.services.values() {
        let slots = f64::from(service.settings.slots.value.0) * service.endpoints.len() as f64;
        let replicas = installation.replicas.iter();
        let endpoints = replicas.filter(|replica| replica.service.id == service.id);
        let incarnations = endpoints.flat_map(|replica| replica.incarnations());
        let seconds: f64 = incarnations
            .map(|incarnation| incarnation.busy().as_secs_f64())
            .sum();
        busy.insert(service.id.to_string(), seconds / (slots * whole));
    }
    busy
}
