//! A daemon's share of the connections that an endpoint accepts.

use hazelyoke_lib::gateway::rules::connections::in_flight_limit;

#[test]
fn share_spread() {
    for (accepted, daemons, expected) in [
        (Some(0), 1, 1),
        (Some(1), 1, 1),
        (Some(50), 1, 50),
        (Some(50), 2, 25),
        (Some(50), 7, 7),
        (Some(50), 50, 1),
        (Some(50), 51, 1),
        (Some(400), 80, 5),
        (Some(usize::MAX), 1, u32::MAX),
        (None, 1, u32::MAX),
        (None, 360, u32::MAX),
    ] {
        let found = in_flight_limit(accepted, daemons);
        assert_eq!(found, expected, "{accepted:?} {daemons}");
    }
}
