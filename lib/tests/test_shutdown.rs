//! Steps of a shutdown within its grace period.

use {
    hazelyoke_lib::{gateway::rules::shutdown::StopSchedule, shared::units::Millis},
    std::time::Duration,
};

#[test]
fn grace_spread() {
    // (grace, close, end), in milliseconds.
    for (grace, close, end) in [
        (0, 0, 0),
        (400, 0, 0),
        (401, 1, 1),
        (1_000, 600, 600),
        (3_099, 2_699, 2_699),
        (3_100, 2_700, 2_700),
        (3_101, 2_700, 2_701),
        (8_000, 2_700, 7_600),
        (86_400_000, 2_700, 86_399_600),
    ] {
        let expected = StopSchedule {
            close: Duration::from_millis(close),
            end: Duration::from_millis(end),
        };
        assert_eq!(StopSchedule::new(Millis(grace)), expected, "{grace}");
    }
}
