//! What this daemon knows of an endpoint's cold time, and what it sent the endpoint in it.
//!
//! Owns the times. How much a cold endpoint gets is the rule
//! [`cold_share`](crate::gateway::rules::cold_share).

use crate::{
    gateway::rules::cold_share::ColdShare,
    shared::units::{Millis, Time},
};

/// How sure it is that an endpoint is cold.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Coldness {
    /// It is warm, as far as is known.
    Warm,
    /// It may be: it couldn't be reached or was evacuated a moment ago, and its entry may not say yet that it
    /// started anew.
    Presumed,
    /// Its entry says so.
    Stated,
}

/// The cold time of one endpoint.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ColdState {
    /// End of the time that its entry states.
    until: Time,
    /// When there was last reason to presume that it starts anew.
    presumed: Option<Time>,
    /// When this daemon last sent it a request.
    last_sent: Option<Time>,
    /// Place of this daemon's turns, from 0 up to 1.
    phase: f64,
}

impl ColdState {
    /// Starts from an entry that states so much cold time, with a random phase.
    pub(crate) fn new(now: Time, cold: Millis) -> Self {
        Self {
            until: now + cold,
            presumed: None,
            last_sent: None,
            phase: rand::random(),
        }
    }

    /// Takes over what a newer entry states.
    pub(crate) fn restate(&mut self, now: Time, cold: Millis) {
        self.until = now + cold;
    }

    /// Records a reason to presume that the endpoint starts anew.
    pub(crate) fn presume(&mut self, now: Time) {
        self.presumed = Some(now);
    }

    /// Records that this daemon sent the endpoint a request.
    pub(crate) fn sent(&mut self, now: Time) {
        self.last_sent = Some(now);
    }

    /// Returns how sure it is that the endpoint is cold; `start` is the usual cold time of its service.
    pub(crate) fn at(&self, now: Time, start: Millis) -> Coldness {
        if now < self.until {
            return Coldness::Stated;
        }
        let presumed = self.presumed;
        if presumed.is_some_and(|since| now.since(since) < start.to_duration()) {
            return Coldness::Presumed;
        }
        Coldness::Warm
    }

    /// Returns whether this daemon has used up its share of the endpoint.
    pub(crate) fn is_spent(&self, now: Time, share: ColdShare) -> bool {
        !share.may_send(now, self.last_sent, self.phase)
    }
}
