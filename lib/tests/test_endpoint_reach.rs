//! A host notices that it is partitioned from all endpoints, and doesn't take one ended endpoint for a partition. It uses
//! other daemons as long as it has no direct path, and returns to direct paths.

use hazelyoke_lib::{
    gateway::{
        directory::endpoint_entry::EndpointIncarnation,
        rules::endpoint_reach::{
            EndpointReach, MAX_RELAYED, PathOrder, RelayPreference, RelayRefusal, may_relay,
            probe_count,
        },
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
    assert_eq!(reach.record_connected(at(10), &endpoint(0)), None);
    assert_eq!(reach.record_failed(at(20), endpoint(0)), None);
    assert_eq!(reach.record_failed(at(21), endpoint(1)), None);
    assert_eq!(reach.record_failed(at(22), endpoint(2)), Some(3));
    assert_eq!(reach.record_failed(at(23), endpoint(3)), None);
    assert!(reach.is_isolated());
    let time = reach.record_connected(at(1_022), &endpoint(0));
    assert_eq!(time, Some(Millis(1_000).to_duration()));
    assert!(!reach.is_isolated());
}

/// A partition from some endpoints affects only these.
#[test]
fn relayed_endpoint() {
    let mut reach = EndpointReach::default();
    assert!(reach.record_relayed(endpoint(1)));
    assert!(!reach.record_relayed(endpoint(1)));
    assert_eq!(reach.order(at(0), &endpoint(1)), PathOrder::RelayFirst);
    assert_eq!(reach.order(at(0), &endpoint(2)), PathOrder::DirectFirst);
    reach.record_connected(at(1), &endpoint(2));
    assert_eq!(reach.order(at(1), &endpoint(1)), PathOrder::RelayFirst);
    reach.record_connected(at(2), &endpoint(1));
    assert_eq!(reach.order(at(2), &endpoint(1)), PathOrder::DirectFirst);
}

/// Without any path, connections are refused for a moment, but not to endpoints that haven't been tried.
#[test]
fn paused_connects() {
    let mut reach = EndpointReach::default();
    for number in 0..3 {
        reach.record_failed(at(0), endpoint(number));
    }
    assert_eq!(reach.order(at(0), &endpoint(0)), PathOrder::RelayFirst);
    reach.record_no_relay(at(0));
    assert_eq!(reach.order(at(100), &endpoint(0)), PathOrder::Closed);
    assert_eq!(reach.order(at(100), &endpoint(7)), PathOrder::RelayFirst);
    assert_eq!(reach.order(at(300), &endpoint(0)), PathOrder::RelayFirst);
}

#[test]
fn excluded_relays() {
    let relay = "127.0.0.1:7".parse().expect("an address");
    let mut reach = EndpointReach::default();
    let usual = Some(RelayPreference::Usual);
    assert_eq!(reach.relay_preference(at(0), relay), usual);
    reach.exclude_relay(at(0), relay);
    assert_eq!(reach.relay_preference(at(999), relay), None);
    assert_eq!(reach.relay_preference(at(1_000), relay), usual);
}

/// A daemon that doesn't mark the end of a connection is asked after the others, until it was updated.
#[test]
fn unmarked_relays() {
    let relay = "127.0.0.1:7".parse().expect("an address");
    let mut reach = EndpointReach::default();
    reach.record_protocol(relay, false);
    let preference = reach.relay_preference(at(0), relay);
    assert_eq!(preference, Some(RelayPreference::Unmarked));
    assert!(preference > Some(RelayPreference::Usual));
    reach.record_protocol(relay, true);
    assert_eq!(
        reach.relay_preference(at(0), relay),
        Some(RelayPreference::Usual)
    );
}

/// Every relayed endpoint gets its turn, and more of them once probes succeed.
#[test]
fn probe_turns() {
    let mut reach = EndpointReach::default();
    assert!(reach.next_probes(4).is_empty());
    assert!(reach.begin_probes());
    for number in 0..5 {
        reach.record_relayed(endpoint(number));
    }
    let mut probed: Vec<_> = (0..5).flat_map(|_| reach.next_probes(2)).collect();
    probed.sort_unstable();
    let twice: Vec<_> = (0..5)
        .flat_map(|number| [endpoint(number), endpoint(number)])
        .collect();
    assert_eq!(probed, twice);
    assert_eq!(reach.next_probes(100).len(), 5);
    assert!(!reach.begin_probes());
    assert_eq!(
        (probe_count(4, 0), probe_count(4, 1), probe_count(64, 9)),
        (4, 8, 64)
    );
}

#[test]
fn refused_relays() {
    assert_eq!(may_relay(false, false, MAX_RELAYED - 1), Ok(()));
    assert_eq!(
        may_relay(false, false, MAX_RELAYED),
        Err(RelayRefusal::Full)
    );
    assert_eq!(may_relay(false, true, 0), Err(RelayRefusal::Isolated));
    assert_eq!(may_relay(true, true, 0), Err(RelayRefusal::Stopping));
}

/// Probes that have ended start again, and none start twice when endpoints come and go.
#[test]
fn probes_restart() {
    let mut reach = EndpointReach::default();
    reach.record_relayed(endpoint(0));
    assert!(reach.begin_probes());
    reach.record_connected(at(0), &endpoint(0));
    reach.record_relayed(endpoint(0));
    assert!(!reach.begin_probes());
    reach.record_connected(at(1), &endpoint(0));
    assert!(reach.next_probes(4).is_empty());
    assert!(reach.begin_probes());
}
