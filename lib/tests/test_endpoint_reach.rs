//! A host notices that it is partitioned from all endpoints, and doesn't take one ended endpoint for a partition.

use hazelyoke_lib::{
    gateway::{
        directory::endpoint_entry::EndpointIncarnation, rules::endpoint_reach::EndpointReach,
    },
    shared::units::{Millis, Time},
};

fn endpoint(number: u32) -> EndpointIncarnation {
    EndpointIncarnation {
        id: format!("i-{number}").parse().expect("an id"),
        started: None,
    }
}

fn at(ms: u64) -> Time {
    Time::default() + Millis(ms)
}

#[test]
fn isolated_host() {
    let mut reach = EndpointReach::default();
    for ms in 0..10 {
        assert_eq!(reach.record_failed(at(ms), endpoint(0)), None);
    }
    assert_eq!(reach.record_connected(at(10)), None);
    assert_eq!(reach.record_failed(at(20), endpoint(0)), None);
    assert_eq!(reach.record_failed(at(21), endpoint(1)), None);
    assert_eq!(reach.record_failed(at(22), endpoint(2)), Some(3));
    assert_eq!(reach.record_failed(at(23), endpoint(3)), None);
    assert!(reach.is_isolated());
    let time = reach.record_connected(at(1_022));
    assert_eq!(time, Some(Millis(1_000).to_duration()));
    assert!(!reach.is_isolated());
}
