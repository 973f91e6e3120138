//! Which endpoint gets a request.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use {
    hazelyoke_lib::{
        gateway::{
            dialect::{Prompt, PromptPart},
            directory::endpoint_entry::EndpointEntry,
            hashes::endpoint_hash,
            routing::{endpoint_state::PeerLoad, endpoint_states::EndpointStates},
            rules::{
                cold_share::ColdShare,
                eligibility::AllowedDataCentres,
                endpoint_choice::{EndpointChoice, EndpointRequest, InputLocation},
                reply_proof::EndpointOutcome,
            },
        },
        shared::{
            ids::{DataCentreId, EndpointId, ServiceId},
            units::{ByteSize, Millis, Time, WorkMillis},
        },
    },
    std::sync::Arc,
};

const NOW: Time = Time(1_000_000);

fn entry(number: u8, data_centre: &str, draining: bool) -> Arc<EndpointEntry> {
    Arc::new(EndpointEntry {
        id: format!("e{number}").parse().unwrap(),
        service: "s".parse().unwrap(),
        address: format!("10.0.0.{number}:80").parse().unwrap(),
        data_centre: data_centre.parse().unwrap(),
        slots: 4,
        draining,
        cold: Millis(0),
        started: None,
        version: None,
        revision: u64::from(number).into(),
    })
}

fn endpoints(count: u8) -> EndpointStates {
    let mut endpoints = EndpointStates::default();
    for number in 1..=count {
        endpoints.upsert(NOW, entry(number, "near", false));
    }
    endpoints
}

fn service() -> ServiceId {
    "s".parse().unwrap()
}

fn near() -> DataCentreId {
    "near".parse().unwrap()
}

fn id(number: u8) -> EndpointId {
    format!("e{number}").parse().unwrap()
}

fn plain(prompt: &Prompt) -> EndpointRequest<'_> {
    EndpointRequest {
        prompt,
        affinity: false,
        tried: &[],
        inputs: &[],
        connection_limit: u32::MAX,
        allowed: &AllowedDataCentres::Anywhere,
        origin: None,
        cold_share: ColdShare::Unlimited,
        cold_start: Millis(0),
        urgency: 0,
    }
}

fn choose(endpoints: &EndpointStates, request: &EndpointRequest<'_>) -> Option<EndpointChoice> {
    endpoints.choose(NOW, &near(), &service(), request).ok()
}

fn prompt(parts: &[(u64, u32)]) -> Prompt {
    Prompt {
        parts: parts
            .iter()
            .map(|(id, tokens)| PromptPart {
                id: *id,
                tokens: *tokens,
            })
            .collect(),
        tokens_in: parts.iter().map(|(_, tokens)| tokens).sum(),
        tokens_out: 10,
    }
}

/// Draining endpoints and those that were already tried get no request.
#[test]
fn draining_and_tried() {
    let mut endpoints = endpoints(2);
    endpoints.upsert(NOW, entry(1, "near", true));
    let prompt = Prompt::default();
    let choice = choose(&endpoints, &plain(&prompt)).unwrap();
    assert_eq!(choice.entry.id, id(2));
    let request = EndpointRequest {
        tried: &[id(2)],
        ..plain(&prompt)
    };
    assert!(choose(&endpoints, &request).is_none());
}

#[test]
fn peer_loads_count() {
    let mut endpoints = endpoints(2);
    let prompt = Prompt::default();
    let loads = [(
        endpoint_hash(&id(1)),
        PeerLoad {
            running: 4,
            prefill: 0.0,
        },
    )];
    endpoints.set_peer_loads(&loads.into_iter().collect());
    assert_eq!(choose(&endpoints, &plain(&prompt)).unwrap().entry.id, id(2));
}

#[test]
fn replaced_endpoint_avoided() {
    let mut endpoints = endpoints(2);
    let prompt = Prompt::default();
    endpoints.record_sent(NOW, &entry(1, "near", false), &prompt, 0);
    endpoints.record_ended(NOW, &entry(1, "near", false), EndpointOutcome::Replaced);
    for _ in 0..4 {
        assert_eq!(choose(&endpoints, &plain(&prompt)).unwrap().entry.id, id(2));
    }
}

/// An unreachable endpoint is chosen only if no other one is left.
#[test]
fn unreachable_last_resort() {
    let mut endpoints = endpoints(2);
    let prompt = Prompt::default();
    endpoints.record_sent(NOW, &entry(1, "near", false), &prompt, 0);
    endpoints.record_ended(NOW, &entry(1, "near", false), EndpointOutcome::Unreachable);
    assert_eq!(choose(&endpoints, &plain(&prompt)).unwrap().entry.id, id(2));
    let request = EndpointRequest {
        tried: &[id(2)],
        ..plain(&prompt)
    };
    assert_eq!(choose(&endpoints, &request).unwrap().entry.id, id(1));
}

/// Failing endpoints are ejected, but never more than half of all endpoints.
#[test]
fn ejection_limit() {
    let mut endpoints = endpoints(4);
    let prompt = Prompt::default();
    for number in 1..=4 {
        for _ in 0..3 {
            endpoints.record_sent(NOW, &entry(number, "near", false), &prompt, 0);
            endpoints.record_ended(NOW, &entry(number, "near", false), EndpointOutcome::Failed);
        }
    }
    let choice = choose(&endpoints, &plain(&prompt)).unwrap();
    assert_eq!(choice.candidates, 2);
}

/// All daemons send a shared part of prompts to the same endpoint.
#[test]
fn shared_part_agreement() {
    let (one, other) = (endpoints(9), endpoints(9));
    for part in 1..50 {
        let prompt = prompt(&[(part, 4_000), (1_000 + part, 500)]);
        let request = EndpointRequest {
            affinity: true,
            ..plain(&prompt)
        };
        let a = choose(&one, &request).unwrap();
        let b = choose(&other, &request).unwrap();
        assert_eq!(a.entry.id, b.entry.id);
        assert_eq!(a.uncached, 500);
    }
}

/// A shared part of prompts moves to another endpoint when its preferred one is overloaded.
#[test]
fn crowded_part_moves() {
    let mut endpoints = endpoints(3);
    let prompt = prompt(&[(7, 2_000), (8, 500)]);
    let request = EndpointRequest {
        affinity: true,
        ..plain(&prompt)
    };
    let first = choose(&endpoints, &request).unwrap();
    for _ in 0..30 {
        endpoints.record_sent(NOW, &first.entry, &prompt, 2_000);
    }
    assert_ne!(
        choose(&endpoints, &request).unwrap().entry.id,
        first.entry.id
    );
}

/// A request with large inputs goes to the data centre that holds them.
#[test]
fn input_data_centre() {
    let mut endpoints = endpoints(1);
    endpoints.upsert(NOW, entry(2, "far", false));
    let prompt = Prompt::default();
    let inputs = [InputLocation {
        data_centre: "far".parse().unwrap(),
        region: None,
        size: ByteSize(1_000_000),
    }];
    let request = EndpointRequest {
        inputs: &inputs,
        ..plain(&prompt)
    };
    assert_eq!(choose(&endpoints, &request).unwrap().entry.id, id(2));
    assert_eq!(choose(&endpoints, &plain(&prompt)).unwrap().entry.id, id(1));
}

/// A slow endpoint is avoided at first and chosen again after a while.
#[test]
fn slow_endpoint_returns() {
    let mut endpoints = endpoints(2);
    let prompt = prompt(&[(1, 500)]);
    let request = plain(&prompt);
    let first = choose(&endpoints, &request).unwrap();
    for _ in 0..20 {
        endpoints.record_first_event(NOW, &first, WorkMillis(2_000.0));
    }
    assert_ne!(
        choose(&endpoints, &request).unwrap().entry.id,
        first.entry.id
    );
    let later = NOW + Millis(5_000);
    let choice = endpoints
        .choose(later, &near(), &service(), &request)
        .unwrap();
    assert_eq!(choice.entry.id, first.entry.id);
}

/// An endpoint gets no more requests at once than its connection limit allows.
#[test]
fn endpoint_connections() {
    let mut endpoints = endpoints(1);
    let prompt = Prompt::default();
    let request = EndpointRequest {
        connection_limit: 2,
        ..plain(&prompt)
    };
    endpoints.record_sent(NOW, &entry(1, "near", false), &prompt, 0);
    assert!(choose(&endpoints, &request).is_some());
    endpoints.record_sent(NOW, &entry(1, "near", false), &prompt, 0);
    assert!(choose(&endpoints, &request).is_none());
    endpoints.record_ended(
        NOW,
        &entry(1, "near", false),
        EndpointOutcome::Served(Some(WorkMillis(5.0))),
    );
    assert!(choose(&endpoints, &request).is_some());
}

/// Guards against excluding an endpoint for as long as the daemon runs after a single reply in the name of another
/// endpoint.
#[test]
fn replaced_endpoint_reopens() {
    let mut endpoints = endpoints(1);
    endpoints.record_sent(NOW, &entry(1, "near", false), &Prompt::default(), 0);
    endpoints.record_ended(NOW, &entry(1, "near", false), EndpointOutcome::Replaced);
    assert!(!endpoints.reopen_replaced(NOW + Millis(4_000)));
    assert!(choose(&endpoints, &plain(&Prompt::default())).is_none());
    assert!(endpoints.reopen_replaced(NOW + Millis(5_000)));
    assert!(choose(&endpoints, &plain(&Prompt::default())).is_some());
    assert!(!endpoints.reopen_replaced(NOW + Millis(6_000)));
}

/// Guards against daemons that all choose the same ones of equal endpoints: with 985 daemons that made some calls each,
/// 110 of 162 endpoints got nothing, and the busiest got eleven times the mean. Each daemon has a different order.
#[test]
fn equal_endpoints() {
    const DAEMONS: u64 = 400;
    let prompt = Prompt::default();
    let mut calls = [0_u64; 50];
    for seed in 1..=DAEMONS {
        let mut states = EndpointStates::default();
        states.set_seed(seed);
        for number in 1..=50 {
            states.upsert(NOW, entry(number, "near", false));
        }
        for _ in 0..3 {
            let choice = choose(&states, &plain(&prompt)).unwrap();
            let number: usize = choice.entry.id.as_str()[1..].parse().unwrap();
            calls[number - 1] += 1;
            states.record_sent(NOW, &choice.entry, &prompt, 0);
            states.record_ended(
                NOW,
                &choice.entry,
                EndpointOutcome::Served(Some(WorkMillis(20.0))),
            );
        }
    }
    let mean = DAEMONS * 3 / 50;
    let (least, most) = (calls.iter().min().unwrap(), calls.iter().max().unwrap());
    assert!(
        *least > 0 && *most < 3 * mean,
        "{least} to {most}, mean {mean}"
    );
}
