//! The use of an engine's model: in the choice of an endpoint, and in admission.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

mod engines;

use {
    engines::{load, models, service},
    hazelyoke_lib::{
        gateway::{
            dialect::{Prompt, ReplyLoad, ReportedSlowdown, SlowdownReport},
            directory::endpoint_entry::EndpointEntry,
            engines::store::EngineModels,
            hashes::incarnation_hash,
            routing::endpoint_states::EndpointStates,
            rules::{
                admission::{AdmissionDecision, AdmissionRequest, decide, request_time},
                cold_share::ColdShare,
                eligibility::AllowedDataCentres,
                endpoint_choice::{EndpointChoice, EndpointRequest},
                engine_model::EngineSample,
            },
        },
        shared::units::{Millis, Time, WorkMillis},
    },
    std::sync::Arc,
};

const NOW: Time = Time(60_000_000);

fn entry(number: usize) -> Arc<EndpointEntry> {
    Arc::new(EndpointEntry {
        id: format!("e{number}").parse().unwrap(),
        service: service(),
        address: format!("10.0.0.{}:80", number + 1).parse().unwrap(),
        data_centre: "here".parse().unwrap(),
        slots: 16,
        draining: false,
        cold: Millis(0),
        started: None,
        version: None,
        revision: 1.into(),
    })
}

/// Returns two endpoints, and models of a tight service in which the second is twice as fast as the first.
fn two_engines() -> (EndpointStates, EngineModels) {
    let mut states = EndpointStates::default();
    let mut models = models();
    for number in [0, 1] {
        states.upsert(NOW, entry(number));
    }
    for _ in 0..40 {
        for (number, waited) in [(0, 120.0), (1, 60.0)] {
            let load = load(2_000.0, 2);
            let waited = WorkMillis(waited);
            let sample = EngineSample { load, waited };
            let incarnation = incarnation_hash(&entry(number));
            models
                .record_first_event(NOW, &service(), incarnation, sample)
                .unwrap();
        }
    }
    (states, models)
}

fn choice(states: &EndpointStates, models: Option<&EngineModels>, tokens: u32) -> EndpointChoice {
    let prompt = Prompt {
        parts: Vec::new(),
        tokens_in: tokens,
        tokens_out: 10,
    };
    let request = EndpointRequest {
        prompt: &prompt,
        affinity: false,
        tried: &[],
        inputs: &[],
        connection_limit: u32::MAX,
        allowed: &AllowedDataCentres::Anywhere,
        origin: None,
        cold_share: ColdShare::Unlimited,
        cold_start: Millis(0),
        urgency: 0,
    };
    let model = models.and_then(|models| models.service(&service()));
    let here = "here".parse().unwrap();
    states
        .choose_by(NOW, &here, &service(), &request, model)
        .unwrap()
}

/// Guards against a choice that takes all engines for equal: the faster one is chosen until its queue outweighs that,
/// and a reported slowdown counts at once.
#[test]
fn faster_engine() {
    let (mut states, models) = two_engines();
    let chosen = choice(&states, Some(&models), 2_000);
    assert_eq!(chosen.entry.id, entry(1).id);
    let expected = chosen.first_event.unwrap().0;
    assert!((45.0..75.0).contains(&expected), "{expected}");
    let slow = ReportedSlowdown::try_from(300).unwrap();
    let load = ReplyLoad {
        running: 1,
        waiting: 0,
        slots: 16,
        slowdown: SlowdownReport::Valid(slow),
    };
    states.record_load(NOW, &entry(1), load);
    let chosen = choice(&states, Some(&models), 2_000);
    assert_eq!(chosen.entry.id, entry(0).id);
}

/// Guards against a changed choice for services that aren't tight, and for plain calls.
#[test]
fn without_model() {
    let (states, models) = two_engines();
    let chosen = choice(&states, None, 2_000);
    assert_eq!(chosen.first_event, None);
    assert_eq!(chosen.entry.id, entry(0).id);
    assert_eq!(chosen.expected, WorkMillis(40.0));
    let plain = choice(&states, Some(&models), 0);
    assert_eq!(plain.first_event, None);
}

fn expected(own_time: Option<f64>, tokens: u32) -> (bool, f64) {
    let request = AdmissionRequest {
        calibration: None,
        stages: Vec::new(),
        objective: Millis(600),
        rank: 0,
        tokens,
        own_time: own_time.map(WorkMillis),
        round_trip: WorkMillis(0.0),
    };
    match decide(&request) {
        AdmissionDecision::Admit { expected } => (true, expected.0),
        AdmissionDecision::Refuse { expected, .. } => (false, expected.0),
    }
}

/// Guards against refusals by the assumed 50 tokens per ms, and against prompts that are never served because reading
/// them takes longer than the objective.
#[test]
fn own_time() {
    assert_eq!(expected(None, 4_000), (true, request_time(4_000).0));
    assert_eq!(expected(Some(72.0), 4_000), (true, 72.0));
    assert_eq!(expected(Some(270.0), 40_000), (true, 270.0));
    assert_eq!(expected(Some(900.0), 140_000), (true, 300.0));
    assert_eq!(expected(None, 140_000), (true, 200.0));
}
