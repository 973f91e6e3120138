//! The evidence about one request: the endpoints that terminated while they ran it, and when it was last served.
//!
//! Daemons exchange evidence and merge what they receive. The result doesn't depend on the order of the reports, except
//! that the time at which the request was last served may differ by up to `SAME_SERVED`.

use crate::{
    gateway::{
        hashes::IncarnationHash,
        rules::quarantine::{
            TERMINATED_LIMIT, TURNED_LIMIT, Termination, counts_against, counts_until,
            is_quarantined, sequence, was_served_before,
        },
    },
    shared::units::{Millis, Time},
};

/// Largest difference between two reports of the same successful end. Each hop between daemons makes the end appear a
/// little later, so daemons would renew it forever if that counted as a new one. It is well above the time of a
/// datagram.
const SAME_SERVED: Millis = Millis(1_000);

/// An endpoint that terminated while it ran the request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TerminatedRun {
    /// Incarnation that terminated.
    pub endpoint: IncarnationHash,
    /// Time at which the endpoint terminated, or at which that was noticed.
    pub at: Time,
    /// Time at which the request was sent to it; absent if a daemon of an older release reported it.
    pub sent: Option<Time>,
}

impl TerminatedRun {
    fn termination(&self) -> Termination {
        Termination {
            at: self.at,
            sent: self.sent,
        }
    }
}

/// The evidence about one request.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Evidence {
    /// The endpoints that terminated under the request and tell most of it, at most [`TURNED_LIMIT`], the earliest first: the first
    /// that did so in sequence, and the last ones.
    terminated: Vec<TerminatedRun>,
    /// Time at which the request was last served; absent if that isn't known.
    served: Option<Time>,
}

impl Evidence {
    /// Builds evidence from terminated endpoints and the time at which the request was last served.
    pub fn new(terminated: impl IntoIterator<Item = TerminatedRun>, served: Option<Time>) -> Self {
        let mut evidence = Self {
            terminated: Vec::new(),
            served,
        };
        for run in terminated {
            evidence.record_terminated(run);
        }
        evidence
    }

    /// Returns the endpoints that terminated under the request, the earliest first, as far as they are kept.
    pub fn terminated(&self) -> &[TerminatedRun] {
        &self.terminated
    }

    /// Returns when the request was last served, if that is known.
    pub fn served(&self) -> Option<Time> {
        self.served
    }

    /// Returns whether the request is quarantined.
    pub fn is_quarantined(&self, now: Time) -> bool {
        if self.against(now) < TERMINATED_LIMIT {
            return false;
        }
        let counted = self.counted(now).map(TerminatedRun::termination);
        is_quarantined(&counted.collect::<Vec<Termination>>(), self.served)
    }

    /// Returns whether the request was served shortly before the first endpoint terminated under it.
    pub fn has_turned(&self, now: Time) -> bool {
        let first = self.counted(now).next();
        first.is_some_and(|run| was_served_before(run.at, self.served))
    }

    /// Returns the number of terminated endpoints that count against the request.
    pub fn against(&self, now: Time) -> usize {
        self.counted(now).count()
    }

    /// Returns whether no terminated endpoint counts against the request.
    pub fn is_without_effect(&self, now: Time) -> bool {
        self.against(now) == 0
    }

    /// Returns the time until the first terminated endpoint that counts against the request no longer counts; 0 if
    /// there is none.
    pub fn time_left(&self, now: Time) -> Millis {
        let first = self.counted(now).next();
        let left = first.map(|run| counts_until(run.at).since(now));
        Millis(left.unwrap_or_default().as_millis() as u64)
    }

    /// Merges the evidence of another daemon.
    pub fn merge(&mut self, other: &Self) {
        for run in &other.terminated {
            self.record_terminated(*run);
        }
        if let Some(served) = other.served
            && self.served.is_none_or(|known| served > known + SAME_SERVED)
        {
            self.served = Some(served);
        }
    }

    /// Records that this daemon served the request.
    pub fn record_served(&mut self, at: Time) {
        self.served = self.served.max(Some(at));
    }

    /// Records an endpoint that terminated. Of two reports of the same incarnation, the earlier time counts.
    pub fn record_terminated(&mut self, run: TerminatedRun) {
        let known = self
            .terminated
            .iter_mut()
            .find(|known| known.endpoint == run.endpoint);
        match known {
            Some(known) => {
                known.at = known.at.min(run.at);
                known.sent = known.sent.into_iter().chain(run.sent).min();
            }
            None => self.terminated.push(run),
        }
        self.terminated.sort_by_key(|run| (run.at, run.endpoint));
        while self.terminated.len() > TURNED_LIMIT {
            self.terminated.remove(self.least_telling());
        }
    }

    /// Returns the place of the terminated endpoint that tells least: the earliest since which the request was served, or else
    /// the earliest that isn't in sequence with others.
    fn least_telling(&self) -> usize {
        let terminated = self.terminated.iter();
        if let Some(served) = self.served
            && let Some(place) = terminated.clone().position(|run| run.at <= served)
        {
            return place;
        }
        let all: Vec<Termination> = terminated.map(TerminatedRun::termination).collect();
        let telling: Vec<usize> = sequence(&all).take(TERMINATED_LIMIT).collect();
        let places = 0..all.len();
        let mut others = places.filter(|place| !telling.contains(place));
        others.next().unwrap_or_default()
    }

    fn counted(&self, now: Time) -> impl Iterator<Item = &TerminatedRun> {
        let served = self.served;
        let terminated = self.terminated.iter();
        terminated.filter(move |run| counts_against(now, run.at, served))
    }
}
