//! Measures the round-trip time to another region.
//!
//! Inputs: the regions of two data centres (`None` if the installation has one region only, or the region isn't known),
//! and the times that connections to a region took to be established, in milliseconds.
//!
//! Rule: two data centres are in different regions if both regions are known and differ. The round-trip time to another
//! region is the shortest time in which a connection there was established within the last one to two windows of length
//! `MEASUREMENT_WINDOW`, or `UNKNOWN_ROUND_TRIP` if there was none.
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
const MEASUREMENT_WINDOW: Millis = Millis(15_000);

/// Round-trip time to a region to which no connection was established recently: about that across a continent.
const UNKNOWN_ROUND_TRIP: WorkMillis = WorkMillis(50.0);

/// Returns whether two regions are known and differ.
pub fn in_different_regions(one: Option<RegionHash>, other: Option<RegionHash>) -> bool {
    matches!((one, other), (Some(one), Some(other)) if one != other)
}

/// Estimate of the round-trip time to one region, from connections established there.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct RegionRoundTrip {
    /// Start of the current window.
    window_start: Time,
    /// Shortest time in the current window; `None` if no connection was established in it.
    current: Option<WorkMillis>,
    /// Shortest time in the previous window; `None` if no connection was established in it.
    previous: Option<WorkMillis>,
}

impl RegionRoundTrip {
    /// Records that establishing a connection took the time `took`.
    pub fn record(&mut self, now: Time, took: WorkMillis) {
        self.advance(now);
        self.current = Some(
            self.current
                .map_or(took, |least| WorkMillis(least.0.min(took.0))),
        );
    }

    /// Returns the estimated round-trip time.
    pub fn time(mut self, now: Time) -> WorkMillis {
        self.advance(now);
        let times = self.current.into_iter().chain(self.previous);
        let least = times.map(|time| time.0).reduce(f64::min);
        least.map_or(UNKNOWN_ROUND_TRIP, WorkMillis)
    }

    /// Starts a new window if the current one is over.
    fn advance(&mut self, now: Time) {
        let window = MEASUREMENT_WINDOW.to_duration();
        let passed = now.since(self.window_start);
        if passed < window {
            return;
        }
        let least = self.current.take();
        self.previous = least.filter(|_| passed < window * 2);
        self.window_start = now;
    }
}
