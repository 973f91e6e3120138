//! Times of the stand-ins, worked out from the tree, and the capacity that follows from them.
//!
//! The factors make stand-ins a plausible multiple slower than the floors that the tree promises.

use {
    crate::experiment::Weights,
    hazelyoke_lib::{
        settings::{
            tree::{Pipeline, Service, ServiceKind, Stage, Tree},
            values::Guard,
        },
        shared::units::Rate,
    },
    hazelyoke_testutils::{engine::EngineModel, expect::Step, plain::PlainModel},
    std::{collections::BTreeMap, time::Duration},
};

/// Factor from a service's floor to the usual time of a call.
const USUAL: f64 = 3.0;

/// Factor from an engine's floor to the time of a generation alone on it.
const ALONE: f64 = 2.0;

/// Share by which a full batch slows each sequence down.
const BATCH_COST: f64 = 0.5;

/// Time of an engine's prefill for one byte.
const PREFILL_BYTE: Duration = Duration::from_micros(25);

/// Blocks that an engine's prefix cache holds.
const CACHE_BLOCKS: usize = 400;

/// Bytes of an engine's usual input, for its capacity.
const INPUT_BYTES: u32 = 30;

/// Model of a plain service's endpoint.
pub fn plain_model(service: &Service) -> PlainModel {
    let settings = &service.settings;
    PlainModel {
        call_time: settings.floor.value.to_duration().mul_f64(USUAL),
        slots: settings.slots.value.0,
        checks_keys: settings.guard.value == Guard::Endpoint,
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

/// Returns the rate of calls that one endpoint of a service can take.
fn endpoint_rate(service: &Service) -> Rate {
    match service.kind {
        ServiceKind::Plain => {
            let model = plain_model(service);
            Rate(f64::from(model.slots) / model.call_time.as_secs_f64())
        }
        ServiceKind::Engine { .. } => {
            let model = engine_model(service);
            let token = model.token.mul_f64(1.0 + model.batch_cost);
            let whole: Duration = token * model.tokens + model.prefill_byte * INPUT_BYTES;
            Rate(f64::from(model.batch) / whole.as_secs_f64())
        }
    }
}

/// Returns the rate of requests at which the busiest service is full, for a mix of targets.
pub fn capacity(tree: &Tree, mix: &Weights) -> Rate {
    let mut calls: BTreeMap<_, f64> = BTreeMap::new();
    for target in targets(tree) {
        let share = mix.share(target.id.as_str());
        for stage in target.stages {
            *calls.entry(stage.service).or_default() += share;
        }
    }
    let rates = calls
        .iter()
        .filter(|(_, calls)| **calls > 0.0)
        .map(|(name, calls)| {
            let service = &tree.services[name];
            endpoint_rate(service).0 * service.endpoints.len() as f64 / calls
        });
    Rate(rates.fold(f64::INFINITY, f64::min))
}

/// Returns all targets: each service as a pipeline of one stage, and all pipelines.
fn targets(tree: &Tree) -> impl Iterator<Item = Pipeline> {
    let services = tree.services.values();
    let pipelines = tree.pipelines.values();
    let calls = services.map(|service| Tree::service_call(service));
    calls.chain(pipelines.map(|pipeline| Pipeline::clone(pipeline)))
}

/// Returns the steps of a target, for its expected answers.
pub fn steps(tree: &Tree, target: &Pipeline) -> Vec<Step> {
    let stages = target.stages.iter();
    stages.map(|stage| step(tree, stage)).collect()
}

fn step(tree: &Tree, stage: &Stage) -> Step {
    match &tree.services[&stage.service].kind {
        ServiceKind::Plain => Step::Plain(stage.service.as_str().into()),
        ServiceKind::Engine { model } => {
            Step::Engine(model.clone(), stage.settings.max_tokens.value.0)
        }
    }
}
