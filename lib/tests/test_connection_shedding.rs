//! Which new connections a daemon closes unread while its processor is used up.

use {
    hazelyoke_lib::{
        gateway::rules::{
            connection_shedding::{ConnectionBound, FleetLoad},
            processor_load::RecentLoad,
        },
        shared::units::Time,
    },
    std::time::Duration,
};

/// A fleet in which no other processor is used up.
const ALONE: FleetLoad = FleetLoad {
    heard: 20,
    exhausted: 0,
};

fn recent(usage: f64, delay_ms: u64, in_flight: f64) -> RecentLoad {
    RecentLoad {
        usage,
        delay: Duration::from_millis(delay_ms),
        in_flight,
    }
}

fn bound(recent: RecentLoad, fleet: FleetLoad) -> ConnectionBound {
    let mut bound = ConnectionBound::default();
    bound.update(Some((recent, fleet)));
    // The connection that is served in any case.
    assert!(bound.serves_connection(Time(1_000_000), usize::MAX));
    bound
}

/// Returns the number of requests in flight from which on connections are closed.
fn limit(recent: RecentLoad, fleet: FleetLoad) -> Option<usize> {
    let bound = bound(recent, fleet);
    (0..10_000).find(|in_flight| bound.is_reached(*in_flight))
}

#[test]
fn free_processor() {
    let mut bound = ConnectionBound::default();
    bound.update(None);
    for in_flight in [0, 100, 100_000] {
        assert!(bound.serves_connection(Time(1), in_flight));
        assert!(!bound.is_reached(in_flight));
    }
}

#[test]
fn late_loop_sheds() {
    let saturated = |delay_ms| limit(recent(1.0, delay_ms, 100.0), ALONE);
    assert_eq!(saturated(0), Some(120));
    assert_eq!(saturated(150), Some(100));
    assert_eq!(saturated(300), Some(50));
    assert_eq!(saturated(1_500), Some(10));
}

#[test]
fn growth_while_in_time() {
    assert_eq!(limit(recent(0.9, 60, 100.0), ALONE), Some(200));
    assert_eq!(limit(recent(0.9, 300, 100.0), ALONE), Some(50));
}

/// A caller that is turned away may meet another daemon that turns callers away.
#[test]
fn shared_exhaustion() {
    let at = |exhausted| {
        let fleet = FleetLoad {
            heard: 20,
            exhausted,
        };
        limit(recent(1.0, 300, 100.0), fleet)
    };
    assert_eq!(at(0), Some(50));
    assert_eq!(at(5), Some(100));
    assert_eq!(at(4), Some(84));
}

/// Callers that are turned away by all daemons are worse off than those who wait.
#[test]
fn everybody_exhausted() {
    let recent = recent(1.0, 500, 100.0);
    for (heard, exhausted) in [(0, 0), (1, 1), (20, 10), (20, 20)] {
        assert_eq!(limit(recent, FleetLoad { heard, exhausted }), None);
    }
    let most_free = FleetLoad {
        heard: 20,
        exhausted: 9,
    };
    assert!(limit(recent, most_free).is_some());
}

/// A daemon that says that it is ready serves some new connections.
#[test]
fn some_served() {
    let mut bound = bound(recent(1.0, 500, 100.0), ALONE);
    let served = (1..=4_000).filter(|ms| {
        let now = Time(1_000_000 + ms * 1_000);
        bound.serves_connection(now, 1_000)
    });
    assert_eq!(served.count(), 16);
}
