//! Did this process stand still, so that what it knew before may be long out of date?
//!
//! Inputs: the times (microseconds of this daemon's clock) at which it looked at the clock, one
//! with every heartbeat that it sends.
//!
//! Rule: a gap of `PAUSE` or more between two looks is a pause.
//!
//! Reason: a suspended host or a stuck process received nothing meanwhile, and must not take the
//! others for lost; the effect is in [`liveness`](crate::gateway::rules::liveness).
//!
//! Chosen, not measured.

use {
    crate::shared::units::{Millis, Time},
    std::time::Duration,
};

/// Time without a look that counts as a pause. Chosen, not measured: three heartbeats.
const PAUSE: Millis = Millis(600);

/// Detects pauses from the times of looks.
#[derive(Debug, Default)]
pub struct PauseDetector {
    last: Option<Time>,
}

impl PauseDetector {
    /// Records a look; returns the length of the pause before it, if it was one.
    pub fn look(&mut self, now: Time) -> Option<Duration> {
        let last = self.last.replace(now)?;
        let gap = now.since(last);
        (gap >= PAUSE.to_duration()).then_some(gap)
    }
}
