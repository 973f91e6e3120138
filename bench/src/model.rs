//! Service times of the stand-ins, computed from the tree, and the capacity of the installation that follows from them.
//!
//! A floor in the tree is the least time of a call. The factors here make stand-ins slower than their floors by a
//! plausible multiple.

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

/// Usual time of a call to a plain service, as a multiple of the service's floor.
const PLAIN_TIME_FACTOR: f64 = 3.0;

/// Time of a generation that is alone on an engine, as a multiple of the engine's floor.
const ENGINE_TIME_FACTOR: f64 = 2.0;

/// Share by which a full batch lengthens the time of each sequence's tokens.
const BATCH_COST: f64 = 0.5;

/// Prefill time of an engine for each byte of the prompt.
const BYTE_PREFILL_TIME: Duration = Duration::from_micros(25);

/// Capacity of an engine's prefix cache, in blocks.
const CACHE_BLOCKS: usize = 400;

/// Bytes of a usual prompt, with which an engine's capacity is computed.
const PROMPT_BYTES: u32 = 30;

/// Returns the model of a plain service's endpoint.
pub fn plain_model(service: &Service) -> PlainModel {
    let settings = &service.settings;
    PlainModel {
        call_time: settings
            .floor
            .value
            .to_duration()
            .mul_f64(PLAIN_TIME_FACTOR),
        slots: settings.slots.value.0,
        checks_keys: settings.guard.value == Guard::Endpoint,
    }
}

/// Returns the model of an engine; a generation alone on it takes [`ENGINE_TIME_FACTOR`] times the floor.
pub fn engine_model(service: &Service) -> EngineModel {
    let settings = &service.settings;
    let tokens = settings.max_tokens.value.0;
    EngineModel {
        token: settings
            .floor
            .value
            .to_duration()
            .mul_f64(ENGINE_TIME_FACTOR)
            / tokens,
        batch: settings.slots.value.0,
        batch_cost: BATCH_COST,
        tokens,
        prefill_byte: BYTE_PREFILL_TIME,
        cache_blocks: CACHE_BLOCKS,
    }
}

/// Returns the rate of calls that one endpoint of a service can serve.
fn endpoint_rate(service: &Service) -> Rate {
    match service.kind {
        ServiceKind::Plain => {
            let model = plain_model(service);
            Rate(f64::from(model.slots) / model.call_time.as_secs_f64())
        }
        ServiceKind::Engine { .. } => {
            let model = engine_model(service);
            let token = model.token.mul_f64(1.0 + model.batch_cost);
            let whole: Duration = token * model.tokens + model.prefill_byte * PROMPT_BYTES;
            Rate(f64::from(model.batch) / whole.as_secs_f64())
        }
    }
}

/// Returns the rate of requests at which the busiest service is fully used, for a mix of targets.
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

/// Returns the steps of a target, from which its expected answers are computed.
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
