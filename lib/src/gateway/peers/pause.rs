//! Notices that the process stood still: what it believed before may be long out of date.

use {
    crate::shared::units::{Millis, Time},
    std::time::Duration,
};

/// Time without a look that counts as a pause.
const PAUSE: Millis = Millis(600);

/// Looks at the clock again and again.
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
