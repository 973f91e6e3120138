//! Tests the times that a daemon derives from the bounds of its installation.

use {
    hazelyoke_lib::{
        gateway::serving::settings::{Bounds, ColdBounds},
        shared::units::Millis,
    },
    std::time::Duration,
};

fn bounds(apply: u64, drain: u64, heartbeat: u64) -> Bounds {
    Bounds {
        apply: Millis(apply),
        drain: Millis(drain),
        endpoint_heartbeat: Millis(heartbeat),
        cold: ColdBounds {
            overage: 1.5,
            slack: 5.0,
        },
    }
}

/// A silent connection to the directory is detected within half the time in which a change has to be in force.
#[test]
fn silent_connection_limit() {
    for (apply, drain) in [
        (2_000, 2_000),
        (1_000, 2_000),
        (5_000, 800),
        (60_000, 60_000),
    ] {
        let wait = bounds(apply, drain, 1_200).directory_wait();
        assert!(wait <= Duration::from_millis(apply.min(drain) / 2));
        assert!(wait <= Duration::from_secs(1));
    }
}

/// The time for which unconfirmed entries are used is longer than an endpoint's heartbeat interval, but limited by the
/// drain time. It has a minimum.
#[test]
fn suspicion_time() {
    assert_eq!(
        bounds(2_000, 2_000, 1_200).unconfirmed_time(),
        Millis(1_400)
    );
    assert_eq!(
        bounds(2_000, 5_000, 1_200).unconfirmed_time(),
        Millis(1_400)
    );
    assert_eq!(bounds(2_000, 1_000, 1_200).unconfirmed_time(), Millis(400));
    assert_eq!(bounds(2_000, 100, 1_200).unconfirmed_time(), Millis(200));
}
