//! The daemon's clock, which also counts the time during which its host was suspended.
//!
//! A host may be suspended for seconds, with all of its processes. The clock of [`Instant`] doesn't count that time, so
//! after a resume it would report too small an age for loads, endpoint lists and the time a request has used. This
//! clock reads `CLOCK_BOOTTIME`, which does count it. Timers still run on the clock of [`Instant`], so they fire late
//! after a suspension.

use {
    crate::shared::units::Time,
    rustix::time::{ClockId, clock_gettime},
    std::{cell::Cell, time::Duration},
    tokio::time::Instant,
};

/// A monotonic clock that starts at zero and includes suspended time.
#[derive(Debug)]
pub struct Clock {
    start: Duration,
    /// Time by which a test has advanced the clock.
    advanced: Cell<Duration>,
}

impl Default for Clock {
    fn default() -> Self {
        Self {
            start: time_since_boot(),
            advanced: Cell::default(),
        }
    }
}

impl Clock {
    /// Returns the time since the clock was started.
    pub fn now(&self) -> Time {
        let elapsed = time_since_boot().saturating_sub(self.start) + self.advanced.get();
        Time(elapsed.as_micros() as u64)
    }

    /// Converts a time of this clock to an instant for a timer, which holds unless the host is suspended before then.
    pub fn instant(&self, time: Time) -> Instant {
        Instant::now() + time.since(self.now())
    }

    /// Advances the clock as if the host had been suspended. Timers aren't affected.
    pub fn advance(&self, time: Duration) {
        self.advanced.set(self.advanced.get() + time);
    }
}

/// Returns the processor time that this process has used.
pub fn processor_time() -> Duration {
    read_clock(ClockId::ProcessCPUTime)
}

/// Returns the time since the host was started, suspended time included.
fn time_since_boot() -> Duration {
    read_clock(ClockId::Boottime)
}

fn read_clock(clock: ClockId) -> Duration {
    let time = clock_gettime(clock);
    // Neither clock is ever negative.
    Duration::new(
        time.tv_sec.unsigned_abs(),
        time.tv_nsec.unsigned_abs() as u32,
    )
}
