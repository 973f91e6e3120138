//! Decides when a stopping daemon closes its connections, and when it ends.
//!
//! Input: the grace period, from the signal to the end of the process (milliseconds).
//!
//! Rule: a stopping daemon reports at once that it is not ready, but accepts callers until the balancer has had time to
//! notice. Then it closes idle connections and ends once nothing is in flight. In any case it ends shortly before the
//! grace period is over.
//!
//! Reason: a caller that the balancer still sends here must be served, and a process that is killed loses its pending
//! answers and its last log lines.
//!
//! Tests: `lib/tests/test_shutdown.rs`.

use {crate::shared::units::Millis, std::time::Duration};

/// Time for the balancer to notice that the daemon is stopping, during which callers are accepted.
const BALANCER_NOTICE_TIME: Millis = Millis(2_700);

/// Time before the end of the grace period at which the daemon ends, so that it isn't killed.
const GRACE_MARGIN: Millis = Millis(400);

/// Steps of a shutdown, as times since its signal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StopSchedule {
    /// Time after which callers are no longer accepted, and idle connections are closed.
    pub close: Duration,
    /// Time after which the daemon ends, even if something is in flight.
    pub end: Duration,
}

impl StopSchedule {
    /// Returns the steps within a grace period.
    pub fn new(grace: Millis) -> Self {
        let end = Millis(grace.0.saturating_sub(GRACE_MARGIN.0)).to_duration();
        Self {
            close: BALANCER_NOTICE_TIME.to_duration().min(end),
            end,
        }
    }
}
