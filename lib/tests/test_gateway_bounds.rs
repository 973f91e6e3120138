//! Times of a daemon's own follow from what its installation allows.

use {
    hazelyoke_lib::{gateway::serving::settings::Bounds, shared::units::Millis},
    std::time::Duration,
};

fn bounds(apply: u64, drain: u64, heartbeat: u64) -> Bounds {
    Bounds {
        apply: Millis(apply),
        drain: Millis(drain),
        endpoint_heartbeat: Millis(heartbeat),
    }
}

#[test]
fn a_silent_connection_is_noticed_before_a_change_has_to_be_in_force() {
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

#[test]
fn a_suspect_is_used_longer_than_a_living_endpoint_needs_and_not_beyond_the_drain() {
    assert_eq!(bounds(2_000, 2_000, 1_200).suspect_time(), Millis(1_400));
    assert_eq!(bounds(2_000, 5_000, 1_200).suspect_time(), Millis(1_400));
    assert_eq!(bounds(2_000, 1_000, 1_200).suspect_time(), Millis(400));
    assert_eq!(bounds(2_000, 100, 1_200).suspect_time(), Millis(200));
}
