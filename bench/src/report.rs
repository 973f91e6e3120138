//! Runs an experiment under one policy and reports what came out.

use {
    crate::{
        experiment::Experiment,
        faults,
        installation::Installation,
        load, model,
        observer::{Breaches, Observer},
        tally::Tally,
    },
    anyhow::{Result, bail},
    comfy_table::{Table, presets},
    hazelyoke_lib::settings::{tree::Tree, values::PolicyKind},
    serde::{Deserialize, Serialize},
    std::{collections::BTreeMap, time::Duration},
    tokio::{sync::mpsc, time::Instant},
};

/// Longest wait for the last answers after the load has ended.
const DRAIN: Duration = Duration::from_secs(30);

/// Pause after the last answer, so that endpoints finish what nobody waits for.
const SETTLE: Duration = Duration::from_millis(300);

/// Result of one run, written as one line of JSON.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Report {
    /// Name of the experiment.
    pub experiment: String,
    /// Policy that was in force.
    pub policy: String,
    /// Mean load over the counted phases, as a multiple of capacity.
    pub load: f64,
    /// Requests a second at which the busiest service is full.
    pub capacity: f64,
    /// Counted requests.
    pub requests: u64,
    /// Share answered whole within their deadline.
    pub attainment: f64,
    /// Requests a second answered whole within their deadline.
    pub goodput: f64,
    /// Median latency of answered requests in milliseconds.
    pub p50_ms: f64,
    /// 95th percentile.
    pub p95_ms: f64,
    /// 99th percentile.
    pub p99_ms: f64,
    /// Attained work at the busiest service, as a share of its capacity.
    pub used: f64,
    /// Share of endpoint time, as the endpoints measure it, that served no attained request.
    pub wasted: f64,
    /// Attempts beyond the first, as a share of first attempts.
    pub extra: f64,
    /// Endings by name.
    pub endings: BTreeMap<String, u64>,
    /// Attainment by pipeline.
    pub pipelines: BTreeMap<String, f64>,
    /// Attainment by customer.
    pub customers: BTreeMap<String, f64>,
    /// Endpoint milliseconds by pipeline and stage: useful, wasted.
    pub stages: BTreeMap<String, (f64, f64)>,
    /// Share of the engines' prompt bytes that were found in their caches.
    pub cached: f64,
    /// Share of their slots' time that the endpoints of each service were busy.
    pub busy: BTreeMap<String, f64>,
    /// Attainment by second since the start.
    pub seconds: Vec<f64>,
    /// Promises that were broken.
    pub breaches: BTreeMap<String, u64>,
}

impl Report {
    /// Returns whether every promise was kept.
    pub fn kept(&self) -> bool {
        self.breaches.values().all(|count| *count == 0)
    }
}

#[derive(Default)]
struct Tallies {
    all: Tally,
    pipelines: BTreeMap<String, Tally>,
    customers: BTreeMap<String, Tally>,
    seconds: BTreeMap<u64, Tally>,
}

/// Runs one experiment under one policy; `progress` is told each second how far it is.
///
/// # Errors
///
/// Returns an error when the installation can't be started or answers stay out.
pub async fn run(
    experiment: &Experiment,
    policy: PolicyKind,
    swept: f64,
    mut progress: impl FnMut(Duration, u64, u64),
) -> Result<Report> {
    let separator = if experiment.settings.is_empty() {
        ""
    } else {
        ", "
    };
    let settings = format!("\"policy\": \"{policy}\"{separator}{}", experiment.settings);
    let installation = Installation::start(experiment, &settings).await?;
    let (sender, mut outcomes) = mpsc::unbounded_channel();
    let start = Instant::now();
    let load = load::run(
        installation.tree.clone(),
        installation.callers.clone(),
        experiment,
        swept,
        sender,
    );
    let faults = faults::run(
        &experiment.faults,
        &installation.slots,
        &installation.config,
        start,
    );
    let mut tallies = Tallies::default();
    let mut observer = Observer::default();
    let collect = async {
        let mut ticks = tokio::time::interval(Duration::from_secs(1));
        loop {
            tokio::select! {
                received = outcomes.recv() => match received {
                    Some((at, outcome)) => {
                        observer.add(&outcome);
                        take(&mut tallies, experiment, at, &outcome);
                    }
                    None => break,
                },
                _ = ticks.tick() => {
                    progress(start.elapsed(), tallies.all.total, tallies.all.attained);
                }
            }
        }
    };
    let whole: Duration = experiment.phases.iter().map(|phase| phase.lasts).sum();
    let finished = tokio::time::timeout(whole + DRAIN, async {
        tokio::join!(load, collect);
    });
    tokio::select! {
        done = finished => if done.is_err() {
            bail!("answers are still out {DRAIN:?} after the load has ended");
        },
        // Faults end on their own; the load decides how long a run lasts.
        () = async { faults.await; std::future::pending().await } => {}
    }
    tokio::time::sleep(SETTLE).await;
    let breaches = observer.judge(&installation.slots);
    Ok(summarise(
        experiment,
        policy,
        &installation,
        &tallies,
        breaches,
    ))
}

fn take(
    tallies: &mut Tallies,
    experiment: &Experiment,
    at: Duration,
    outcome: &crate::caller::Outcome,
) {
    let second = tallies.seconds.entry(at.as_secs()).or_default();
    second.add(outcome);
    if !experiment.phase(at).is_some_and(|phase| phase.counted) {
        return;
    }
    tallies.all.add(outcome);
    let pipeline = outcome.order.target.to_string();
    tallies.pipelines.entry(pipeline).or_default().add(outcome);
    let customer = outcome.order.customer.to_string();
    tallies.customers.entry(customer).or_default().add(outcome);
}

fn attainments(tallies: &BTreeMap<String, Tally>) -> BTreeMap<String, f64> {
    let pairs = tallies.iter();
    pairs
        .map(|(name, tally)| (name.clone(), tally.attainment()))
        .collect()
}

fn summarise(
    experiment: &Experiment,
    policy: PolicyKind,
    installation: &Installation,
    tallies: &Tallies,
    breaches: Breaches,
) -> Report {
    let capacity = model::capacity(&installation.tree, &experiment.mix);
    let mut stages: BTreeMap<String, (f64, f64)> = BTreeMap::new();
    let (mut first, mut extra) = (0, 0);
    for daemon in &installation.daemons {
        let snapshot = daemon.node().snapshot();
        first += snapshot.counters.attempts;
        extra += snapshot.counters.extra;
        for (pipeline, stage, cost) in snapshot.costs {
            let sum = stages.entry(format!("{pipeline}/{stage}")).or_default();
            sum.0 += cost.useful.0;
            sum.1 += cost.wasted.0;
        }
    }
    let useful: f64 = stages.values().map(|cost| cost.0).sum();
    let lives = installation.slots.iter().flat_map(|slot| slot.lives());
    let busy: f64 = lives.map(|life| life.busy().as_secs_f64() * 1000.0).sum();
    let seconds = experiment.counted_time().as_secs_f64().max(f64::EPSILON);
    let all = &tallies.all;
    let ms = |quantile| all.quantile(quantile).as_secs_f64() * 1000.0;
    Report {
        experiment: experiment.name.clone(),
        policy: policy.to_string(),
        load: all.total as f64 / seconds / capacity,
        capacity,
        requests: all.total,
        attainment: all.attainment(),
        goodput: all.attained as f64 / seconds,
        p50_ms: ms(0.5),
        p95_ms: ms(0.95),
        p99_ms: ms(0.99),
        used: used(&installation.tree, &tallies.pipelines, seconds),
        wasted: (1.0 - useful / busy.max(f64::EPSILON)).max(0.0),
        extra: extra as f64 / first.max(1) as f64,
        endings: all.endings.clone(),
        pipelines: attainments(&tallies.pipelines),
        customers: attainments(&tallies.customers),
        stages,
        cached: cached_share(installation),
        busy: busy_shares(experiment, installation),
        seconds: tallies.seconds.values().map(Tally::attainment).collect(),
        breaches: BTreeMap::from([
            ("wrong answers".to_owned(), breaches.wrong),
            ("false not_run".to_owned(), breaches.false_not_run),
            ("run twice".to_owned(), breaches.doubled),
            ("unanswered".to_owned(), breaches.unanswered),
        ]),
    }
}

fn cached_share(installation: &Installation) -> f64 {
    let lives = installation.slots.iter().flat_map(|slot| slot.lives());
    let (prefilled, prompted) = lives.fold((0, 0), |sum, life| {
        let (prefilled, prompted) = life.prefill();
        (sum.0 + prefilled, sum.1 + prompted)
    });
    1.0 - prefilled as f64 / prompted.max(1) as f64
}

fn busy_shares(experiment: &Experiment, installation: &Installation) -> BTreeMap<String, f64> {
    let whole: Duration = experiment.phases.iter().map(|phase| phase.lasts).sum();
    let mut busy: BTreeMap<String, (f64, f64)> = BTreeMap::new();
    for slot in &installation.slots {
        let sum = busy.entry(slot.service.id.to_string()).or_default();
        sum.0 += slot
            .lives()
            .iter()
            .map(|life| life.busy().as_secs_f64())
            .sum::<f64>();
        sum.1 += f64::from(slot.service.settings.slots.value.0) * whole.as_secs_f64();
    }
    busy.into_iter()
        .map(|(service, (busy, whole))| (service, busy / whole))
        .collect()
}

/// Attained work at the busiest service, as a share of its capacity.
fn used(tree: &Tree, pipelines: &BTreeMap<String, Tally>, seconds: f64) -> f64 {
    let attained = pipelines
        .iter()
        .map(|(name, tally)| (name.clone(), tally.attained as f64))
        .filter(|(_, attained)| *attained > 0.0)
        .collect::<BTreeMap<_, _>>();
    let rate: f64 = attained.values().sum::<f64>() / seconds;
    rate / model::capacity(tree, &attained)
}

/// Prints reports side by side.
pub fn print_table(reports: &[Report]) {
    let mut table = Table::new();
    table.load_style(presets::NOTHING);
    table.set_header([
        "EXPERIMENT",
        "POLICY",
        "LOAD",
        "REQUESTS",
        "ATTAINED",
        "GOODPUT/S",
        "USED",
        "P50",
        "P95",
        "P99",
        "WASTED",
        "EXTRA",
        "CACHED",
        "BROKEN",
    ]);
    for report in reports {
        table.add_row([
            report.experiment.clone(),
            report.policy.clone(),
            format!("{:.2}", report.load),
            report.requests.to_string(),
            format!("{:.3}%", report.attainment * 100.0),
            format!("{:.1}", report.goodput),
            format!("{:.1}%", report.used * 100.0),
            format!("{:.1}ms", report.p50_ms),
            format!("{:.1}ms", report.p95_ms),
            format!("{:.1}ms", report.p99_ms),
            format!("{:.2}%", report.wasted * 100.0),
            format!("{:.2}%", report.extra * 100.0),
            format!("{:.1}%", report.cached * 100.0),
            report.breaches.values().sum::<u64>().to_string(),
        ]);
    }
    println!("{}", table.trim_fmt());
}

/// Prints one report in full.
pub fn print_details(report: &Report) {
    let mut table = Table::new();
    table.load_style(presets::NOTHING);
    table.set_header(["STAGE", "USEFUL", "WASTED", "WASTED SHARE"]);
    for (stage, (useful, wasted)) in &report.stages {
        let share = wasted / (useful + wasted).max(f64::EPSILON);
        table.add_row([
            stage.clone(),
            format!("{:.2}s", useful / 1000.0),
            format!("{:.2}s", wasted / 1000.0),
            format!("{:.2}%", share * 100.0),
        ]);
    }
    println!("{}\n", table.trim_fmt());
    for (service, busy) in &report.busy {
        println!("{service}: {:.1}% busy", busy * 100.0);
    }
    for (ending, count) in &report.endings {
        println!("{ending}: {count}");
    }
    for (promise, count) in &report.breaches {
        println!("{promise}: {count}");
    }
}
