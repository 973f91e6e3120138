//! What a brittle endpoint gets from a fleet: no more than its slots take, and few requests that it has to refuse.

use hazelyoke_lib::{
    gateway::rules::brittle_endpoint::{in_flight_limit, refusal_pause},
    shared::units::{Millis, Rate},
};

/// The daemons of a small fleet fill all slots, and no daemon is left without a share.
#[test]
fn shared_slots() {
    for (slots, daemons, share) in [(64, 7, 10), (6, 7, 2), (64, 1, 64), (1, 300, 2)] {
        assert_eq!(in_flight_limit(slots, daemons), share);
    }
}

/// All daemons together cause at most half of the refusals that the endpoint bears.
#[test]
fn spaced_refusals() {
    for (limit, daemons) in [(10.0, 7), (40.0, 3), (100.0, 20)] {
        let pause = refusal_pause(Rate(limit), daemons);
        let refusals = daemons as f64 * 1_000.0 / pause.0 as f64;
        assert!(refusals <= limit, "{refusals} of {limit}");
    }
    assert_eq!(refusal_pause(Rate(0.0), 3), Millis(5_000));
    assert_eq!(refusal_pause(Rate(1e9), 3), Millis(100));
}
