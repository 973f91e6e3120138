//! Did this process stand still, and for how much of a time did it run?
//!
//! Inputs: the times (microseconds of this daemon's clock) at which it looked at the clock: one with every
//! heartbeat that it sends, and one each [`CLOCK_LOOK`].
//!
//! Rule: a gap of `PAUSE` or more between two heartbeats is a pause, from which membership recovers. A gap of
//! more than `STANDSTILL` between two looks is a standstill: neither it nor the `GRACE` after it counts as time
//! in which others were late.
//!
//! Reason: a suspended host, a busy host or a daemon that had much to do at once received nothing meanwhile, and
//! must not take others for lost or late. What waits in its sockets is received in the grace. The effect on
//! membership is in [`liveness`](crate::gateway::rules::liveness), that on reads of the directory in
//! [`directory_reads`](crate::gateway::rules::directory_reads). Whether an endpoint is used goes by the whole time:
//! what a daemon knows of it ages while the daemon stands still.
//!
//! Without it, 15 of 15 daemons went to read the directory after a standstill of 1 s of all, and 7 of 15 read a new
//! table from it after 0.9 s (tests `fleet_stands_still`, `behind_meanwhile`).

use {
    crate::shared::units::{Millis, Time},
    std::{collections::VecDeque, time::Duration},
};

/// Time without a heartbeat of its own that counts as a pause. Three heartbeats.
const PAUSE: Millis = Millis(600);

/// Time between two looks at the clock.
pub const CLOCK_LOOK: Millis = Millis(100);

/// Time without a look beyond which a process stood still. Two looks.
const STANDSTILL: Millis = Millis(200);

/// Time after a standstill in which what came meanwhile is received. Half of a heartbeat.
const GRACE: Millis = Millis(100);

/// Time for which standstills are remembered: longer than what is concluded from others' silence takes.
const REMEMBERED: Millis = Millis(10_000);

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

/// A time in which this process stood still, with the grace after it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Standstill {
    from: Time,
    until: Time,
}

impl Standstill {
    /// Returns the part of it within a time.
    fn within(self, from: Time, until: Time) -> Duration {
        self.until.min(until).since(self.from.max(from))
    }
}

/// The times of late in which this process stood still.
#[derive(Debug, Default)]
pub struct Standstills {
    looked: Time,
    /// In their order; none overlaps another one.
    recent: VecDeque<Standstill>,
}

impl Standstills {
    /// Records a look at the clock.
    pub fn look(&mut self, now: Time) {
        if let Some(last) = self.current(now) {
            self.record(last);
        }
        self.looked = now;
        self.recent.retain(|one| now < one.until + REMEMBERED);
    }

    /// Returns for how long this process ran since a time.
    pub fn ran_since(&self, since: Time, now: Time) -> Duration {
        let stood = self.stood_since(since, now);
        now.since(since).saturating_sub(stood)
    }

    /// Returns for how long this process stood still since a time, with the grace after each standstill.
    pub fn stood_since(&self, since: Time, now: Time) -> Duration {
        // One that has just ended may begin in the grace of the one before.
        let counted = self.recent.back().map_or(Time::default(), |one| one.until);
        let current = self.current(now).map(|one| Standstill {
            from: one.from.max(counted),
            ..one
        });
        let stood = self.recent.iter().copied().chain(current);
        stood.map(|one| one.within(since, now)).sum()
    }

    /// Returns the time from which on this process would have run as long if it hadn't stood still.
    pub fn excused(&self, since: Time, now: Time) -> Time {
        let ran = self.ran_since(since, now);
        now - ran
    }

    /// Returns the standstill that ends just now, if there is one.
    fn current(&self, now: Time) -> Option<Standstill> {
        let stood = now.since(self.looked) > STANDSTILL.to_duration();
        stood.then_some(Standstill {
            from: self.looked,
            until: now + GRACE,
        })
    }

    fn record(&mut self, last: Standstill) {
        match self.recent.back_mut() {
            Some(before) if before.until >= last.from => before.until = last.until,
            _ => self.recent.push_back(last),
        }
    }
}
