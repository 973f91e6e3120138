//! How far is the way to another region?
//!
//! Inputs: the regions of two places, nothing where the installation has one region or a place isn't known; the
//! times that connections to a region took to come up, in milliseconds.
//!
//! Rule: two places are apart if both regions are known and differ. The way to another region and back takes the
//! least time in which a connection there came up within the last one or two spans of `WINDOW`, and
//! `UNKNOWN_WAY` where none did.
//!
//! Reason: a connection comes up after one way there and back, and after whatever its peer and the network add; the
//! least time is the way alone. Between data centres of one region the way is short against all that is decided by
//! it.
//!
//! Tests: `lib/tests/test_distance.rs`.

use crate::{
    gateway::rules::homes::RegionHash,
    shared::units::{Millis, Time, WorkMillis},
};

/// Time over which the least time is taken: it forgets a way that has become longer.
const WINDOW: Millis = Millis(15_000);

/// Way there and back to a region to which no connection came up lately. A continent's width.
const UNKNOWN_WAY: WorkMillis = WorkMillis(50.0);

/// Returns whether two places are in different regions.
pub fn are_apart(one: Option<RegionHash>, other: Option<RegionHash>) -> bool {
    matches!((one, other), (Some(one), Some(other)) if one != other)
}

/// The way to one region and back, as connections there show it.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct RegionWay {
    /// Start of the present window.
    since: Time,
    /// Least time of the present window.
    least: Option<WorkMillis>,
    /// Least time of the window before it.
    before: Option<WorkMillis>,
}

impl RegionWay {
    /// Records that a connection came up after a time.
    pub fn record(&mut self, now: Time, took: WorkMillis) {
        self.advance(now);
        self.least = Some(
            self.least
                .map_or(took, |least| WorkMillis(least.0.min(took.0))),
        );
    }

    /// Returns the time of the way there and back.
    pub fn time(mut self, now: Time) -> WorkMillis {
        self.advance(now);
        let times = self.least.into_iter().chain(self.before);
        let least = times.map(|time| time.0).reduce(f64::min);
        least.map_or(UNKNOWN_WAY, WorkMillis)
    }

    /// Begins a new window once the present one is over.
    fn advance(&mut self, now: Time) {
        let window = WINDOW.to_duration();
        let passed = now.since(self.since);
        if passed < window {
            return;
        }
        let least = self.least.take();
        self.before = least.filter(|_| passed < window * 2);
        self.since = now;
    }
}
