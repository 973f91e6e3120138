//! Notices that the process stood still: what it knew before may be long out of date.
//!
//! A pure rule: the caller looks at the clock with every heartbeat, and a gap of [`PAUSE`] or more
//! between two looks is a pause, of a suspended host for example. Its effect is in
//! [`rules::liveness`](crate::gateway::rules::liveness).

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
    /// Notes a look; returns the length of the pause before it, if it was one.
    pub fn look(&mut self, now: Time) -> Option<Duration> {
        let last = self.last.replace(now)?;
        let gap = now.since(last);
        (gap >= PAUSE.to_duration()).then_some(gap)
    }
}
