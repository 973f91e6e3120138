//! When does a stopping daemon close its connections, and when does it end?
//!
//! Input: the grace period, from the signal to the end of the process (milliseconds).
//!
//! Rule: a stopping daemon is not ready at once, but accepts callers until the balancer has had time
//! to notice; then it closes idle connections and ends once nothing is in flight. It ends a little
//! before the grace period is over in any case.
//!
//! Reason: a caller that the balancer still sends here must be served, and a process that is ended
//! from outside cuts its answers and loses its last log lines.
//!
//! Tests: `lib/tests/test_shutdown.rs`.

use {crate::shared::units::Millis, std::time::Duration};

/// Time that the balancer has to notice a stop, during which callers are accepted.
const NOTICE: Millis = Millis(2_700);

/// Part of the grace period that isn't used, so that the daemon ends before it is ended.
const GRACE_MARGIN: Millis = Millis(400);

/// Steps of a stop, as times since its signal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StopSchedule {
    /// Callers are no longer accepted, and idle connections are closed.
    pub close: Duration,
    /// The daemon ends, whatever is in flight.
    pub end: Duration,
}

impl StopSchedule {
    /// Returns the steps within a grace period.
    pub fn new(grace: Millis) -> Self {
        let end = Millis(grace.0.saturating_sub(GRACE_MARGIN.0)).to_duration();
        Self {
            close: NOTICE.to_duration().min(end),
            end,
        }
    }
}
