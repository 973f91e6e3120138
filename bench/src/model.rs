//! Times of the stand-ins, taken from the tree, and the capacity that follows from them.

use {
    hazelyoke_lib::settings::tree::{Pipeline, Service, ServiceKind, Stage, Tree},
    hazelyoke_testutils::{engine::EngineModel, expect::Step, plain::PlainModel},
    std::{collections::BTreeMap, time::Duration},
};

/// Factor from a service's floor to the usual time of a call.
const USUAL: f64 = 3.0;

/// Factor from an engine's floor to the time of a generation alone on it.
const ALONE: f64 = 2.0;

/// Slowing of each sequence by a full batch.
const BATCH_COST: f64 = 0.5;

/// Time of an engine's prefill for one byte, and blocks that its prefix cache holds.
const PREFILL_BYTE: Duration = Duration::from_micros(25);
const CACHE_BLOCKS: usize = 400;

/// Usual size of an engine's input in bytes, for its capacity.
const INPUT_BYTES: u32 = 30;

/// Model of a plain service's endpoint.
pub fn plain_model(service: &Service) -> PlainModel {
    let settings = &service.settings;
    PlainModel {
        usual: settings.floor.value.to_duration().mul_f64(USUAL),
        slots: settings.slots.value.0,
        checks_keys: settings.guard.value == hazelyoke_lib::settings::values::Guard::Endpoint,
    }
}

/// Model of an engine: its floor is less than a generation alone on it.
pub fn engine_model(service: &Service) -> EngineModel {
    let settings = &service.settings;
    let tokens = settings.max_tokens.value.0;
    EngineModel {
        token: settings.floor.value.to_duration().mul_f64(ALONE) / tokens,
        batch: settings.slots.value.0,
        batch_cost: BATCH_COST,
        tokens,
        prefill_byte: PREFILL_BYTE,
        cache_blocks: CACHE_BLOCKS,
    }
}

/// Calls a second that one endpoint of a service can take.
fn endpoint_rate(service: &Service) -> f64 {
    match service.kind {
        ServiceKind::Plain => {
            let model = plain_model(service);
            f64::from(model.slots) / model.usual.as_secs_f64()
        }
        ServiceKind::Engine { .. } => {
            let model = engine_model(service);
            let token = model.token.mul_f64(1.0 + model.batch_cost);
            let whole: Duration = token * model.tokens + model.prefill_byte * INPUT_BYTES;
            f64::from(model.batch) / whole.as_secs_f64()
        }
    }
}

/// Requests a second at which the busiest service is full, for a mix of pipelines.
pub fn capacity(tree: &Tree, mix: &BTreeMap<String, f64>) -> f64 {
    let total: f64 = mix.values().sum();
    let mut demand: BTreeMap<_, f64> = BTreeMap::new();
    let calls: Vec<_> = tree
        .services
        .values()
        .map(|service| Tree::service_call(service))
        .collect();
    let pipelines = tree.pipelines.values().map(|pipeline| &**pipeline);
    for pipeline in pipelines.chain(&calls) {
        let share = mix.get(pipeline.id.as_str()).copied().unwrap_or(0.0) / total;
        for stage in &pipeline.stages {
            *demand.entry(&stage.service).or_default() += share;
        }
    }
    let rates = demand
        .iter()
        .filter(|(_, calls)| **calls > 0.0)
        .map(|(name, calls)| {
            let service = &tree.services[*name];
            endpoint_rate(service) * service.endpoints.len() as f64 / calls
        });
    rates.fold(f64::INFINITY, f64::min)
}

/// Steps of each pipeline, and of each service called directly, for the expected answers.
pub fn steps(tree: &Tree) -> BTreeMap<String, Vec<Step>> {
    let pipelines = tree
        .pipelines
        .values()
        .map(|pipeline| Pipeline::clone(pipeline));
    let calls = tree
        .services
        .values()
        .map(|service| Tree::service_call(service));
    calls
        .chain(pipelines)
        .map(|pipeline| {
            let steps = pipeline.stages.iter().map(|stage| step(tree, stage));
            (pipeline.id.to_string(), steps.collect())
        })
        .collect()
}

fn step(tree: &Tree, stage: &Stage) -> Step {
    match &tree.services[&stage.service].kind {
        ServiceKind::Plain => Step::Plain(stage.service.as_str().into()),
        ServiceKind::Engine { model } => {
            Step::Engine(model.clone(), stage.settings.max_tokens.value.0)
        }
    }
}
