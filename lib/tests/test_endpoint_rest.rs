//! The cooldown that an endpoint asks for when it refuses a request.

use {
    hazelyoke_lib::{
        gateway::{
            dialect::RetryAfter,
            directory::endpoint_entry::EndpointEntry,
            routing::endpoint_states::EndpointStates,
            rules::{eligibility::AllowedDataCentres, endpoint_cooldown::requested_cooldown},
        },
        shared::{
            ids::ServiceId,
            units::{Millis, Time},
        },
    },
    http::StatusCode,
    std::sync::Arc,
};

/// A refusal that states a time asks for a cooldown. If the time can't be parsed or is too long, the cooldown is
/// bounded.
#[test]
fn asked_times() {
    let named = |ms| RetryAfter::Valid(Millis(ms));
    let refusals = [
        StatusCode::SERVICE_UNAVAILABLE,
        StatusCode::TOO_MANY_REQUESTS,
    ];
    for status in refusals {
        for (wait, cooldown) in [
            (RetryAfter::None, None),
            (named(0), None),
            (named(1), Some(1)),
            (named(3_000), Some(3_000)),
            (named(86_400_000), Some(600_000)),
            (RetryAfter::Invalid, Some(1_000)),
        ] {
            assert_eq!(
                requested_cooldown(status, wait),
                cooldown.map(Millis),
                "{wait:?}"
            );
        }
    }
    for status in [200, 404, 421, 500, 502] {
        let status = StatusCode::from_u16(status).expect("a status");
        assert_eq!(requested_cooldown(status, named(3_000)), None, "{status}");
    }
}

const START: Time = Time(10_000_000);

fn after(ms: u64) -> Time {
    START + Millis(ms)
}

fn entry(id: &str) -> EndpointEntry {
    EndpointEntry {
        id: id.parse().expect("an id"),
        service: "s".parse().expect("a service"),
        address: "10.0.0.1:80".parse().expect("an address"),
        data_centre: "here".parse().expect("a data centre"),
        slots: 4,
        draining: false,
        cold: Millis(0),
        started: None,
        version: None,
        revision: 10.into(),
    }
}

fn service() -> ServiceId {
    "s".parse().expect("a service")
}

/// A later refusal can extend a cooldown but not shorten it.
#[test]
fn longest_counts() {
    let mut states = EndpointStates::default();
    let entry = entry("a");
    states.upsert(START, Arc::new(entry.clone()));
    assert!(states.record_cooldown(&entry, after(3_000)));
    assert!(!states.record_cooldown(&entry, after(1_000)));
    assert!(!states.end_cooldowns(after(2_999)));
    assert!(
        states
            .any_open(&service(), &AllowedDataCentres::Anywhere)
            .is_err()
    );
    assert!(!states.record_cooldown(&entry, after(4_000)));
    assert!(!states.end_cooldowns(after(3_999)));
    assert!(states.end_cooldowns(after(4_000)));
    assert!(
        states
            .any_open(&service(), &AllowedDataCentres::Anywhere)
            .is_ok()
    );
    assert!(!states.end_cooldowns(after(5_000)));
}

/// The end of the first cooldown is returned only if no other endpoint takes requests. A cooldown outlasts the removal
/// of the endpoint's entry.
#[test]
fn first_rested() {
    let mut states = EndpointStates::default();
    let entries = [entry("a"), entry("b"), entry("c")];
    for entry in &entries {
        states.upsert(START, Arc::new(entry.clone()));
    }
    let first_end =
        |states: &EndpointStates| states.cooldown_end(&service(), &AllowedDataCentres::Anywhere);
    states.record_cooldown(&entries[0], after(3_000));
    states.record_cooldown(&entries[1], after(2_000));
    assert_eq!(first_end(&states), None);
    states.remove(&entries[2].id);
    assert_eq!(first_end(&states), Some(after(2_000)));
    states.remove(&entries[1].id);
    assert_eq!(first_end(&states), Some(after(3_000)));
    states.upsert(after(500), Arc::new(entries[1].clone()));
    assert_eq!(first_end(&states), Some(after(2_000)));
    assert!(states.end_cooldowns(after(2_000)));
    assert_eq!(first_end(&states), None);
}
