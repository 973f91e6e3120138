//! Experiments, written in JSON with comments.

use {
    crate::{
        caller::Repeat,
        fault_plan::{Fault, FaultKind, parse_damage},
        trees::{User, Values},
    },
    hazelyoke_lib::{
        settings::{
            document::{self, Field, ObjectReader, Value},
            tree::Tree,
            values::PolicyKind,
        },
        shared::{
            findings::{Findings, Place},
            units::{Count, Millis, Rate},
        },
    },
    std::{collections::BTreeMap, time::Duration},
};

/// A checked experiment.
#[derive(Debug, Clone)]
pub struct Experiment {
    /// Its name.
    pub name: String,
    /// Whose tree it runs.
    pub user: User,
    /// Number of daemons.
    pub daemons: usize,
    /// Policies that are compared, each in a run of its own.
    pub policies: Vec<PolicyKind>,
    /// Further settings at the tree's root, as JSON fields.
    pub settings: String,
    /// Seed of all random choices.
    pub seed: u64,
    /// Multiples of the capacity that are tried, each in a run of its own; phases without a load
    /// of their own take it.
    pub loads: Vec<f64>,
    /// Phases of load, one after the other.
    pub phases: Vec<Phase>,
    /// Weights of pipelines, and of services that are called directly.
    pub mix: BTreeMap<String, f64>,
    /// Weights of customers.
    pub customers: BTreeMap<String, f64>,
    /// What the beginnings of prompts are like, if they are shared.
    pub context: Option<Context>,
    /// Whether all engines of a service share one prefix cache: the most that an exchange of KV
    /// caches between them could give.
    pub shared_cache: bool,
    /// How callers repeat.
    pub repeat: Repeat,
    /// Faults by time.
    pub faults: Vec<Fault>,
}

/// Beginnings that prompts share.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Context {
    /// Number of different beginnings; each half as likely again as the one four places later.
    pub groups: u32,
    /// Bytes of each.
    pub bytes: u32,
}

/// A time of steady load.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Phase {
    /// How long it lasts.
    pub lasts: Duration,
    /// How much load there is.
    pub load: Load,
    /// Whether its requests are counted.
    pub counted: bool,
}

/// An amount of load.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Load {
    /// Requests a second.
    Rate(Rate),
    /// Multiple of the capacity.
    OfCapacity(f64),
    /// The run's own multiple of the capacity.
    Swept,
}

impl Load {
    /// Returns the requests a second, in a run at `swept` times the capacity.
    pub fn rate(self, capacity: f64, swept: f64) -> f64 {
        match self {
            Load::Rate(rate) => rate.0,
            Load::OfCapacity(share) => share * capacity,
            Load::Swept => swept * capacity,
        }
    }
}

impl Experiment {
    /// Reads and checks the experiments of a file: one, or one for each of its cases.
    ///
    /// # Errors
    ///
    /// Returns all findings with their places.
    pub fn parse(file: &str, bytes: &[u8]) -> Result<Vec<Self>, Findings> {
        let value = document::parse_bytes(file, bytes)?;
        let mut findings = Findings::default();
        let experiments = read(file, value, &mut findings);
        match experiments {
            Some(experiments) => findings.into_result(experiments),
            None => Err(findings
                .into_result(())
                .expect_err("what is missing is always a finding")),
        }
    }

    /// Returns the phase at a time since the start; none after the last.
    pub fn phase(&self, at: Duration) -> Option<&Phase> {
        let mut end = Duration::ZERO;
        self.phases.iter().find(|phase| {
            end += phase.lasts;
            at < end
        })
    }

    /// Returns the time of all counted phases.
    pub fn counted_time(&self) -> Duration {
        let counted = self.phases.iter().filter(|phase| phase.counted);
        counted.map(|phase| phase.lasts).sum()
    }
}

fn read(file: &str, value: Value, findings: &mut Findings) -> Option<Vec<Experiment>> {
    let mut root = ObjectReader::new(file, value, findings);
    let name = root.take_required::<String>("name");
    let user = root.take_required::<User>("tree");
    let daemons = root.take_parsed::<Count>("daemons");
    let seed = root.take_parsed::<u64>("seed");
    let policies = read_policies(&mut root);
    let loads = read_loads(&mut root);
    let settings = read_settings(&mut root);
    let repeat = read_repeat(&mut root);
    let context = read_context(&mut root);
    let shared_cache = root.take_parsed::<bool>("shared_cache");
    let place = root.place().clone();
    let mix = root.take_fields("mix");
    let customers = root.take_fields("customers");
    let phases = root.take_list("phases");
    let faults = root.take_list("faults");
    let cases = root.take_list("cases");
    let (name, _) = name?;
    let (user, _) = user?;
    let tree = Values::example(user).tree().ok()?;
    let found = root.findings();
    let phases: Vec<_> = phases
        .into_iter()
        .filter_map(|value| read_phase(value, found))
        .collect();
    if phases.is_empty() {
        found.add(&place, &name, "there is no phase", "add \"phases\"");
    }
    let experiment = Experiment {
        user,
        daemons: daemons.map_or(6, |(count, _)| count.0 as usize),
        policies,
        settings,
        seed: seed.map_or(1, |(seed, _)| seed),
        loads,
        phases,
        mix: read_weights(
            mix,
            "pipeline or service",
            &place,
            &target_names(&tree),
            found,
        ),
        customers: read_weights(customers, "customer", &place, &customer_names(&tree), found),
        context,
        shared_cache: shared_cache.is_some_and(|(shared, _)| shared),
        repeat,
        faults: faults
            .into_iter()
            .filter_map(|value| read_fault(value, &tree, found))
            .collect(),
        name,
    };
    let cases: Vec<_> = cases
        .into_iter()
        .filter_map(|value| read_case(value, &experiment, &tree, found))
        .collect();
    root.finish();
    Some(if cases.is_empty() {
        vec![experiment]
    } else {
        cases
    })
}

/// Reads a case: the experiment under a name and with faults of its own beside the common ones.
fn read_case(
    value: Value,
    common: &Experiment,
    tree: &Tree,
    findings: &mut Findings,
) -> Option<Experiment> {
    let mut reader = ObjectReader::new("case", value, findings);
    let name = reader.take_required::<String>("name");
    let faults = reader.take_list("faults");
    let found = reader.findings();
    let faults: Vec<_> = faults
        .into_iter()
        .filter_map(|value| read_fault(value, tree, found))
        .collect();
    reader.finish();
    let mut case = common.clone();
    case.name = format!("{}/{}", common.name, name?.0);
    case.faults.extend(faults);
    Some(case)
}

fn target_names(tree: &Tree) -> Vec<String> {
    let pipelines = tree.pipelines.keys().map(ToString::to_string);
    let services = tree.services.keys().map(ToString::to_string);
    pipelines.chain(services).collect()
}

fn customer_names(tree: &Tree) -> Vec<String> {
    tree.customers.keys().map(ToString::to_string).collect()
}

fn read_policies(root: &mut ObjectReader<'_>) -> Vec<PolicyKind> {
    let mut policies = Vec::new();
    for value in root.take_list("policies") {
        let text = document::scalar_text(&value).unwrap_or_default();
        match text.parse() {
            Ok(policy) => policies.push(policy),
            Err(error) => {
                let hint = "use \"estimated\" or \"naive\"";
                root.findings().add(&value.place, "policies", error, hint);
            }
        }
    }
    if policies.is_empty() {
        policies.push(PolicyKind::Estimated);
    }
    policies
}

fn read_loads(root: &mut ObjectReader<'_>) -> Vec<f64> {
    let mut loads = Vec::new();
    for value in root.take_list("loads") {
        let load = document::scalar_text(&value).and_then(|text| text.parse().ok());
        match load.filter(|load| (0.0..=100.0).contains(load)) {
            Some(load) => loads.push(load),
            None => {
                let message = "a load is a multiple of the capacity from 0 to 100";
                let hint = "correct the number";
                root.findings().add(&value.place, "loads", message, hint);
            }
        }
    }
    if loads.is_empty() {
        loads.push(1.0);
    }
    loads
}

/// Settings are checked together with the tree when the run starts.
fn read_settings(root: &mut ObjectReader<'_>) -> String {
    let fields = root.take_fields("settings");
    let texts: Vec<_> = fields
        .iter()
        .filter_map(|field| {
            let text = document::scalar_text(&field.value)?;
            Some(format!("\"{}\": \"{text}\"", field.name))
        })
        .collect();
    texts.join(", ")
}

fn read_repeat(root: &mut ObjectReader<'_>) -> Repeat {
    let Some(value) = root.take("repeat") else {
        return Repeat::Never;
    };
    let mut reader = ObjectReader::new("repeat", value, root.findings());
    let times = reader.take_required::<Count>("times");
    let told = reader.take_parsed::<bool>("as_told");
    reader.finish();
    let times = times.map_or(1, |(times, _)| times.0);
    match told {
        Some((true, _)) => Repeat::AsTold(times),
        _ => Repeat::AtOnce(times),
    }
}

fn read_context(root: &mut ObjectReader<'_>) -> Option<Context> {
    let value = root.take("context")?;
    let mut reader = ObjectReader::new("context", value, root.findings());
    let groups = reader.take_required::<Count>("groups");
    let bytes = reader.take_required::<Count>("bytes");
    reader.finish();
    Some(Context {
        groups: groups?.0.0,
        bytes: bytes?.0.0,
    })
}

fn read_weights(
    fields: Vec<Field>,
    what: &str,
    place: &Place,
    known: &[String],
    findings: &mut Findings,
) -> BTreeMap<String, f64> {
    let mut weights = BTreeMap::new();
    for field in fields {
        let weight = document::scalar_text(&field.value).and_then(|text| text.parse().ok());
        if !known.contains(&field.name) {
            let message = format!("unknown {what} {:?}", field.name);
            let hint = format!("use one of: {}", known.join(", "));
            findings.add(&field.place, what, message, hint);
        }
        match weight {
            Some(weight) if weight > 0.0 => {
                weights.insert(field.name, weight);
            }
            _ => {
                let message = "the weight is no number above zero";
                findings.add(&field.value.place, what, message, "correct the weight");
            }
        }
    }
    if weights.is_empty() {
        let message = format!("no {what} has a weight");
        findings.add(place, what, message, "add some");
    }
    weights
}

fn read_phase(value: Value, findings: &mut Findings) -> Option<Phase> {
    let mut reader = ObjectReader::new("phase", value, findings);
    let lasts = reader.take_required::<Millis>("lasts");
    let rate = reader.take_parsed::<Rate>("rate");
    let share = reader.take_parsed::<f64>("of_capacity");
    let counted = reader.take_parsed::<bool>("counted");
    let place = reader.place().clone();
    if rate.is_some() && share.is_some() {
        let message = "a phase has both \"rate\" and \"of_capacity\"";
        let hint = "give one, or none to take the run's";
        reader.findings().add(&place, "phase", message, hint);
    }
    reader.finish();
    let load = match (rate, share) {
        (Some((rate, _)), _) => Load::Rate(rate),
        (None, Some((share, _))) => Load::OfCapacity(share),
        (None, None) => Load::Swept,
    };
    Some(Phase {
        lasts: lasts?.0.to_duration(),
        load,
        counted: counted.is_none_or(|(counted, _)| counted),
    })
}

fn read_fault(value: Value, tree: &Tree, findings: &mut Findings) -> Option<Fault> {
    let mut reader = ObjectReader::new("fault", value, findings);
    let kind = reader.take_required::<String>("kind");
    let service = reader.take_parsed::<String>("service");
    let centre = reader.take_parsed::<String>("data_centre");
    let count = reader.take_parsed::<Count>("count");
    let factor = reader.take_parsed::<f64>("factor");
    let share = reader.take_parsed::<f64>("share");
    let from = reader.take_required::<Millis>("from");
    let until = reader.take_parsed::<Millis>("until");
    if let Some((name, place)) = &service
        && !tree.services.keys().any(|known| known.as_str() == name)
    {
        let message = format!("unknown service {name:?}");
        reader.findings().add(place, "fault", message, "correct it");
    }
    let (kind, place) = kind?;
    let share = share.map_or(1.0, |(share, _)| share);
    let kind = match kind.as_str() {
        "slow" => Some(FaultKind::Slow(factor.map_or(10.0, |(factor, _)| factor))),
        "frozen_reports" => Some(FaultKind::FrozenReports),
        "leaving" => Some(FaultKind::Leaving),
        "death" => Some(FaultKind::Death),
        "data_centre" => centre.map(|(name, _)| FaultKind::DataCentre(name)),
        "config_silent" => Some(FaultKind::ConfigSilent),
        other => parse_damage(other).map(|damage| FaultKind::Damage(damage, share)),
    };
    if kind.is_none() {
        let hint = "see bench/experiments for the kinds";
        reader.findings().add(&place, "fault", "unknown kind", hint);
    }
    reader.finish();
    Some(Fault {
        kind: kind?,
        service: service.map(|(name, _)| name),
        count: count.map_or(1, |(count, _)| count.0 as usize),
        from: from?.0.to_duration(),
        until: until.map(|(until, _)| until.to_duration()),
    })
}
