//! Decides whether this process stalled, and how much of a span of time it ran.
//!
//! Inputs: the times (microseconds of this daemon's clock) at which it read the clock: with every heartbeat that it
//! sends, and every [`CLOCK_CHECK`].
//!
//! Rule: a gap of `PAUSE_GAP` or more between two heartbeats is a pause, after which membership recovers. A gap of more
//! than `STALL_GAP` between two checks of the clock is a stall. Neither the stall nor the `STALL_GRACE` after it counts
//! as time in which others were late.
//!
//! Reason: a daemon on a suspended or busy host, or one that had much to do at once, received nothing meanwhile, and
//! must not consider others lost or late. What waits in its sockets is received in the grace period. The effect on
//! membership is in [`liveness`](crate::gateway::rules::liveness), that on reads of the directory in
//! [`directory_reads`](crate::gateway::rules::directory_reads). Whether an endpoint is used depends on the whole time,
//! since what a daemon knows of an endpoint ages during a stall too.
//!
//! Without the rule, 15 of 15 daemons read the directory after all had stalled for 1 s, and 7 of 15 read a new table
//! from it after 0.9 s (tests `fleet_stands_still`, `behind_meanwhile`).

use {
    crate::shared::units::{Millis, Time},
    std::{collections::VecDeque, time::Duration},
};

/// Time between two of this daemon's heartbeats that counts as a pause. Three heartbeats.
const PAUSE_GAP: Millis = Millis(600);

/// Time between two checks of the clock.
pub const CLOCK_CHECK: Millis = Millis(100);

/// Time between two checks of the clock beyond which the process stalled. Two checks.
const STALL_GAP: Millis = Millis(200);

/// Time after a stall in which the messages that arrived meanwhile are received. Half of a heartbeat.
const STALL_GRACE: Millis = Millis(100);

/// Time for which stalls are kept. Longer than any time after which silence of others has consequences.
const STALL_MEMORY: Millis = Millis(10_000);

/// Detects pauses from the times of heartbeats.
#[derive(Debug, Default)]
pub struct PauseDetector {
    last: Option<Time>,
}

impl PauseDetector {
    /// Records a heartbeat. Returns the length of the gap before it, if that was a pause.
    pub fn check(&mut self, now: Time) -> Option<Duration> {
        let last = self.last.replace(now)?;
        let gap = now.since(last);
        (gap >= PAUSE_GAP.to_duration()).then_some(gap)
    }
}

/// Time span of a stall, including the grace period after it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Stall {
    from: Time,
    until: Time,
}

impl Stall {
    /// Returns how much of the stall lies between two times.
    fn within(self, from: Time, until: Time) -> Duration {
        self.until.min(until).since(self.from.max(from))
    }
}

/// Recent stalls of this process.
#[derive(Debug, Default)]
pub struct StallLog {
    checked: Time,
    /// In chronological order, without overlap.
    recent: VecDeque<Stall>,
}

impl StallLog {
    /// Records a check of the clock.
    pub fn check(&mut self, now: Time) {
        if let Some(last) = self.current(now) {
            self.record(last);
        }
        self.checked = now;
        self.recent.retain(|one| now < one.until + STALL_MEMORY);
    }

    /// Returns for how long this process has run since `since`, without stalls.
    pub fn ran_since(&self, since: Time, now: Time) -> Duration {
        let stalled = self.stalled_since(since, now);
        now.since(since).saturating_sub(stalled)
    }

    /// Returns for how long this process has stalled since `since`, including the grace period after each stall.
    pub fn stalled_since(&self, since: Time, now: Time) -> Duration {
        // A stall that has just ended may begin in the grace period of the one before.
        let counted = self.recent.back().map_or(Time::default(), |one| one.until);
        let current = self.current(now).map(|one| Stall {
            from: one.from.max(counted),
            ..one
        });
        let stalled = self.recent.iter().copied().chain(current);
        stalled.map(|one| one.within(since, now)).sum()
    }

    /// Returns the time that is as long ago as this process has run since `since`, that is, `since` moved later by the
    /// stalls.
    pub fn exclude_stalls(&self, since: Time, now: Time) -> Time {
        let ran = self.ran_since(since, now);
        now - ran
    }

    /// Returns the stall that ends at `now`, if there is one.
    fn current(&self, now: Time) -> Option<Stall> {
        let stalled = now.since(self.checked) > STALL_GAP.to_duration();
        stalled.then_some(Stall {
            from: self.checked,
            until: now + STALL_GRACE,
        })
    }

    fn record(&mut self, last: Stall) {
        match self.recent.back_mut() {
            Some(before) if before.until >= last.from => before.until = last.until,
            _ => self.recent.push_back(last),
        }
    }
}
