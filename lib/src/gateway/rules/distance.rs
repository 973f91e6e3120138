//! Measures the round-trip time to another region.
//!
//! Inputs: the regions of two data centres (`None` if the installation has one region only, or the region isn't known),
//! and the times that connections to a region took to be established, in milliseconds.
//!
//! Rule: two data centres are in different regions if both regions are known and differ. The round-trip time to another
//! region is the shortest time in which a connection there was established within the last one to two windows of length
//! `WINDOW`, or `UNKNOWN_WAY` if there was none.
//!
//! Reason: establishing a connection takes one round trip plus delays of the peer and the network; the shortest time is
//! closest to the round trip alone. Between data centres of one region the round trip is negligible for the decisions
//! that use it.
//!
//! Tests: `lib/tests/test_distance.rs`.

use crate::{
    gateway::rules::allowed_regions::RegionHash,
    shared::units::{Millis, Time, WorkMillis},
};

/// Length of a window over which the shortest time is taken, so that a route that became longer is noticed.
const WINDOW: Millis = Millis(15_000);

/// Round-trip time to a region to which no connection was established recently: about that across a continent.
const UNKNOWN_WAY: WorkMillis = WorkMillis(50.0);

/// Returns whether two regions are known and differ.
pub fn are_apart(one: Option<RegionHash>, other: Option<RegionHash>) -> bool {
    matches!((one, other), (Some(one), Some(other)) if one != other)
}

/// Estimate of the round-trip time to one region, from connections established there.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct RegionWay {
    /// Start of the current window.
    since: Time,
    /// Shortest time in the current window; `None` if no connection was established in it.
    least: Option<WorkMillis>,
    /// Shortest time in the previous window; `None` if no connection was established in it.
    before: Option<WorkMillis>,
}

impl RegionWay {
    /// Records that establishing a connection took the time `took`.
    pub fn record(&mut self, now: Time, took: WorkMillis) {
        self.advance(now);
        self.least = Some(
            self.least
                .map_or(took, |least| WorkMillis(least.0.min(took.0))),
        );
    }

    /// Returns the estimated round-trip time.
    pub fn time(mut self, now: Time) -> WorkMillis {
        self.advance(now);
        let times = self.least.into_iter().chain(self.before);
        let least = times.map(|time| time.0).reduce(f64::min);
        least.map_or(UNKNOWN_WAY, WorkMillis)
    }

    /// Starts a new window if the current one is over.
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
