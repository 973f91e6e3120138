//! Parses experiments from JSON with comments, and checks them against the example tree.
//!
//! Every error in a file becomes a finding with its place, so that all of them are reported together. Settings are the
//! exception: they are checked together with the tree when a run starts.

use {
    super::{Experiment, LoadFactor, Phase, SharedContexts, Weights},
    crate::{
        example_tree::TreeValues,
        fault_plan::{EndpointFault, Fault, FaultKind, parse_damage},
    },
    hazelyoke_lib::{
        settings::{
            document::{self, Field, ObjectReader, Value},
            tree::Tree,
            values::PolicyKind,
        },
        shared::{
            findings::{Findings, Location},
            ids::{DataCentreId, ServiceId},
            units::{Count, Millis, Share},
        },
    },
    std::{fmt::Display, str::FromStr},
};

/// Default number of daemons.
const DEFAULT_DAEMONS: Count = Count(6);

/// Default seed.
const DEFAULT_SEED: u64 = 1;

/// Default factor of the service time of a slow endpoint.
const DEFAULT_SLOWDOWN: f64 = 10.0;

/// Parses and checks the experiments of a file: one, or one for each of its cases.
///
/// # Errors
///
/// Returns all findings with their places in the file.
pub fn read(file: &str, bytes: &[u8]) -> Result<Vec<Experiment>, Findings> {
    let value = document::parse_bytes(file, bytes)?;
    let tree = TreeValues::example().tree()?;
    let mut findings = Findings::default();
    let experiments = read_root(file, value, &tree, &mut findings);
    findings.into_result(experiments)
}

/// Reads the root object of a file. A field that is invalid gets its default, and its error is added to `findings`.
fn read_root(file: &str, value: Value, tree: &Tree, findings: &mut Findings) -> Vec<Experiment> {
    let mut root = ObjectReader::new(file, value, findings);
    let name = root.take_required::<String>("name");
    let daemons = root.take_parsed::<Count>("daemons");
    let seed = root.take_parsed::<u64>("seed");
    let retries = root.take_parsed::<Count>("retries");
    let shared_cache = root.take_parsed::<bool>("shared_cache");
    let common = Experiment {
        name: name.map_or_else(String::new, |name| name.value),
        daemons: daemons.map_or(DEFAULT_DAEMONS, |daemons| daemons.value),
        policies: read_list(&mut root, "policies", PolicyKind::Estimated),
        settings: read_settings(&mut root),
        seed: seed.map_or(DEFAULT_SEED, |seed| seed.value),
        loads: read_list(&mut root, "loads", LoadFactor::CAPACITY),
        phases: read_phases(&mut root),
        mix: read_weights(&mut root, "mix", &target_names(tree)),
        customers: read_weights(&mut root, "customers", &customer_names(tree)),
        contexts: read_contexts(&mut root),
        shared_cache: shared_cache.is_some_and(|shared| shared.value),
        retries: retries.map_or(0, |retries| retries.value.0),
        faults: read_faults(&mut root, tree),
    };
    let cases = root.take_list("cases");
    let found = root.findings();
    let cases: Vec<_> = cases
        .into_iter()
        .filter_map(|value| read_case(value, &common, tree, found))
        .collect();
    root.finish();
    if cases.is_empty() {
        vec![common]
    } else {
        cases
    }
}

/// Reads a case: the common experiment under the case's name, with the case's faults in addition.
fn read_case(
    value: Value,
    common: &Experiment,
    tree: &Tree,
    findings: &mut Findings,
) -> Option<Experiment> {
    let mut reader = ObjectReader::new("case", value, findings);
    let name = reader.take_required::<String>("name");
    let faults = read_faults(&mut reader, tree);
    reader.finish();
    let name = name?.value;
    let mut case = common.clone();
    case.name = format!("{}/{name}", common.name);
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

/// Reads a list of scalars; returns `default` alone if the list is empty or absent.
fn read_list<T>(root: &mut ObjectReader<'_>, name: &'static str, default: T) -> Vec<T>
where
    T: FromStr<Err: Display>,
{
    let mut list = Vec::new();
    for value in root.take_list(name) {
        let text = document::scalar_text(&value).unwrap_or_else(|| value.kind.name().to_owned());
        match text.parse() {
            Ok(parsed) => list.push(parsed),
            Err(error) => {
                let message = format!("{name}: {error}");
                let findings = root.findings();
                findings.add(&value.location, name, message, "correct the value");
            }
        }
    }
    if list.is_empty() {
        list.push(default);
    }
    list
}

fn read_settings(root: &mut ObjectReader<'_>) -> String {
    let mut texts = Vec::new();
    for Field { name, value, .. } in root.take_fields("settings") {
        match document::scalar_text(&value) {
            Some(text) => texts.push(format!("\"{name}\": \"{text}\"")),
            None => {
                let message = format!("{name}: expected a scalar, found {}", value.kind.name());
                let findings = root.findings();
                findings.add(&value.location, "settings", message, "correct the value");
            }
        }
    }
    texts.join(", ")
}

fn read_contexts(root: &mut ObjectReader<'_>) -> Option<SharedContexts> {
    let value = root.take("context")?;
    let mut reader = ObjectReader::new("context", value, root.findings());
    let groups = reader.take_required::<Count>("groups");
    let bytes = reader.take_required::<Count>("bytes");
    reader.finish();
    Some(SharedContexts {
        groups: groups?.value,
        bytes: bytes?.value,
    })
}

fn read_weights(root: &mut ObjectReader<'_>, name: &'static str, known: &[String]) -> Weights {
    let location = root.location().clone();
    let fields = root.take_fields(name);
    let findings = root.findings();
    let weights: Weights = fields
        .into_iter()
        .filter_map(|field| read_weight(field, name, known, findings))
        .collect();
    if weights.is_empty() {
        let message = format!("{name} has no valid weights");
        findings.add(&location, name, message, "add a name with its weight");
    }
    weights
}

fn read_weight(
    Field {
        location,
        name,
        value,
    }: Field,
    list: &'static str,
    known: &[String],
    findings: &mut Findings,
) -> Option<(String, f64)> {
    if !known.contains(&name) {
        let message = format!("unknown name {name:?}");
        let hint = format!("use one of: {}", known.join(", "));
        findings.add(&location, list, message, hint);
    }
    let weight = document::scalar_text(&value).and_then(|text| text.parse().ok());
    let positive = weight.filter(|weight| *weight > 0.0 && f64::is_finite(*weight));
    if positive.is_none() {
        let message = "the weight isn't a number above zero";
        findings.add(&value.location, list, message, "correct the weight");
    }
    Some((name, positive?))
}

fn read_phases(root: &mut ObjectReader<'_>) -> Vec<Phase> {
    let location = root.location().clone();
    let values = root.take_list("phases");
    let findings = root.findings();
    let phases: Vec<_> = values
        .into_iter()
        .filter_map(|value| read_phase(value, findings))
        .collect();
    if phases.is_empty() {
        findings.add(&location, "phases", "there are no valid phases", "add one");
    }
    phases
}

fn read_phase(value: Value, findings: &mut Findings) -> Option<Phase> {
    let mut reader = ObjectReader::new("phase", value, findings);
    let length = reader.take_required::<Millis>("lasts");
    let load = reader.take_parsed::<LoadFactor>("of_capacity");
    let counted = reader.take_parsed::<bool>("counted");
    reader.finish();
    let length = length?.value;
    Some(Phase {
        length: length.to_duration(),
        load: load.map(|load| load.value),
        counted: counted.is_none_or(|counted| counted.value),
    })
}

fn read_faults(owner: &mut ObjectReader<'_>, tree: &Tree) -> Vec<Fault> {
    let values = owner.take_list("faults");
    let findings = owner.findings();
    let faults = values.into_iter();
    faults
        .filter_map(|value| read_fault(value, tree, findings))
        .collect()
}

fn read_fault(value: Value, tree: &Tree, findings: &mut Findings) -> Option<Fault> {
    let mut reader = ObjectReader::new("fault", value, findings);
    let kind = reader.take_required::<String>("kind");
    let from = reader.take_required::<Millis>("from");
    let until = reader.take_parsed::<Millis>("until");
    let kind = kind.and_then(|kind| read_kind(&mut reader, tree, &kind.value, &kind.location));
    reader.finish();
    let from = from?.value;
    Some(Fault {
        kind: kind?,
        from: from.to_duration(),
        until: until.map(|until| until.value.to_duration()),
    })
}

/// Reads the fields that are specific to a kind of fault.
fn read_kind(
    reader: &mut ObjectReader<'_>,
    tree: &Tree,
    kind: &str,
    location: &Location,
) -> Option<FaultKind> {
    match kind {
        "config_silent" => Some(FaultKind::ConfigSilent),
        "data_centre" => read_centre(reader, tree).map(FaultKind::DataCentre),
        _ => {
            let service = read_service(reader, tree);
            let count = reader.take_parsed::<Count>("count");
            Some(FaultKind::Endpoints {
                fault: read_endpoint_fault(reader, kind, location)?,
                service: service?,
                count: count.map_or(Count(1), |count| count.value),
            })
        }
    }
}

fn read_centre(reader: &mut ObjectReader<'_>, tree: &Tree) -> Option<DataCentreId> {
    let centre = reader.take_required::<DataCentreId>("data_centre")?;
    if !tree.data_centres.contains(&centre.value) {
        let message = format!("unknown data centre \"{}\"", centre.value);
        let findings = reader.findings();
        findings.add(&centre.location, "fault", message, "correct the name");
    }
    Some(centre.value)
}

fn read_service(reader: &mut ObjectReader<'_>, tree: &Tree) -> Option<ServiceId> {
    let service = reader.take_required::<ServiceId>("service")?;
    if !tree.services.contains_key(&service.value) {
        let message = format!("unknown service \"{}\"", service.value);
        let findings = reader.findings();
        findings.add(&service.location, "fault", message, "correct the name");
    }
    Some(service.value)
}

fn read_endpoint_fault(
    reader: &mut ObjectReader<'_>,
    kind: &str,
    location: &Location,
) -> Option<EndpointFault> {
    let fault = match kind {
        "death" => EndpointFault::Death,
        "frozen_reports" => EndpointFault::FrozenReports,
        "slow" => {
            let factor = reader.take_parsed::<f64>("factor");
            EndpointFault::Slow(factor.map_or(DEFAULT_SLOWDOWN, |factor| factor.value))
        }
        _ => {
            let Some(damage) = parse_damage(kind) else {
                let hint = "see bench/experiments for the kinds";
                let findings = reader.findings();
                findings.add(location, "fault", format!("unknown kind {kind:?}"), hint);
                return None;
            };
            let share = reader.take_parsed::<f64>("share");
            EndpointFault::Damage(damage, Share(share.map_or(1.0, |share| share.value)))
        }
    };
    Some(fault)
}
