//! The cold period of an endpoint, and the time at which this daemon last sent it a request.
//!
//! An endpoint is cold for a time after its start. How much work it gets in that time is decided by
//! [`rules::cold_share`](crate::gateway::rules::cold_share).

use crate::{
    gateway::rules::cold_share::ColdShare,
    shared::units::{Millis, Time},
};

/// Coldness of an endpoint, by how it is known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Coldness {
    /// Nothing indicates that the endpoint is cold.
    Warm,
    /// The endpoint may be cold: it couldn't be reached lately or its evacuation has just ended, and its entry may not
    /// show a restart yet.
    Presumed,
    /// The endpoint's entry states that it is cold.
    Stated,
}

/// The cold period of one endpoint.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ColdState {
    /// End of the cold period that the entry states.
    until: Time,
    /// Time at which there was last a reason to presume that the endpoint restarts; absent if there was none.
    presumed: Option<Time>,
    /// Time at which this daemon last sent the endpoint a request; absent if it never did.
    last_sent: Option<Time>,
    /// Random offset of this daemon's sending times within their interval, from 0 (inclusive) to 1 (exclusive).
    phase: f64,
}

impl ColdState {
    /// Creates the state for an entry that states `cold` as the cold time left, with a random phase.
    pub(crate) fn new(now: Time, cold: Millis) -> Self {
        Self {
            until: now + cold,
            presumed: None,
            last_sent: None,
            phase: rand::random(),
        }
    }

    /// Sets the cold time left that a newer entry states.
    pub(crate) fn set_cold_time(&mut self, now: Time, cold: Millis) {
        self.until = now + cold;
    }

    /// Records a reason to presume that the endpoint restarts.
    pub(crate) fn presume(&mut self, now: Time) {
        self.presumed = Some(now);
    }

    /// Records that this daemon sent the endpoint a request.
    pub(crate) fn record_sent(&mut self, now: Time) {
        self.last_sent = Some(now);
    }

    /// Returns whether the endpoint is cold. `start` is the usual cold time of its service after a start, for which a
    /// presumption holds.
    pub(crate) fn coldness(&self, now: Time, start: Millis) -> Coldness {
        if now < self.until {
            return Coldness::Stated;
        }
        let presumed = self.presumed;
        if presumed.is_some_and(|since| now.since(since) < start.to_duration()) {
            return Coldness::Presumed;
        }
        Coldness::Warm
    }

    /// Returns whether this daemon has used up its share of what a cold endpoint gets.
    pub(crate) fn is_share_used(&self, now: Time, share: ColdShare) -> bool {
        !share.may_send(now, self.last_sent, self.phase)
    }
}
