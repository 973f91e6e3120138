//! What is known of one request: the endpoints that ended under it, and when it was last served.
//!
//! Daemons exchange it and merge what they receive; the order in which reports arrive doesn't matter.

use crate::{
    gateway::{
        hashes::IncarnationHash,
        rules::quarantine::{TERMINATED_LIMIT, counts_against, counts_until, is_quarantined},
    },
    shared::units::{Millis, Time},
};

/// Difference between two reports of one good end, at most: each hop between daemons makes it look a little later, and
/// would renew it for good without this. Well above the time of a datagram.
const SAME_END: Millis = Millis(1_000);

/// An endpoint that ended while it ran the request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EndedRun {
    /// The life that ended.
    pub endpoint: IncarnationHash,
    /// When it ended, or when that was noticed.
    pub at: Time,
}

/// What is known of one request.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Evidence {
    /// The last endpoints that ended under it, at most as many as decide, the earliest first.
    ended: Vec<EndedRun>,
    /// When it last ran to a good end.
    served: Option<Time>,
}

impl Evidence {
    /// Builds what another daemon reports.
    pub fn new(ended: impl IntoIterator<Item = EndedRun>, served: Option<Time>) -> Self {
        let mut evidence = Self {
            ended: Vec::new(),
            served,
        };
        for run in ended {
            evidence.add(run);
        }
        evidence
    }

    /// Returns the last endpoints that ended under the request, the earliest first.
    pub fn ended(&self) -> &[EndedRun] {
        &self.ended
    }

    /// Returns when the request was last served, if that is known.
    pub fn served(&self) -> Option<Time> {
        self.served
    }

    /// Returns whether the request is refused.
    pub fn is_quarantined(&self, now: Time) -> bool {
        is_quarantined(self.against(now).count())
    }

    /// Returns whether nothing speaks against the request.
    pub fn is_spent(&self, now: Time) -> bool {
        self.against(now).next().is_none()
    }

    /// Returns the time until an endpoint doesn't speak against the request any more; nothing if none does.
    pub fn left(&self, now: Time) -> Millis {
        let first = self.against(now).next();
        let left = first.map(|run| counts_until(run.at).since(now));
        Millis(left.unwrap_or_default().as_millis() as u64)
    }

    /// Merges what another daemon knows.
    pub fn merge(&mut self, other: &Self) {
        for run in &other.ended {
            self.add(*run);
        }
        if let Some(served) = other.served {
            self.serve(served);
        }
    }

    /// Records a good end.
    pub fn serve(&mut self, at: Time) {
        if self.served.is_none_or(|known| at > known + SAME_END) {
            self.served = Some(at);
        }
    }

    /// Records an endpoint that ended; of two reports of the same one, the earlier counts.
    pub fn add(&mut self, run: EndedRun) {
        let known = self
            .ended
            .iter_mut()
            .find(|known| known.endpoint == run.endpoint);
        match known {
            Some(known) => known.at = known.at.min(run.at),
            None => self.ended.push(run),
        }
        self.ended.sort_by_key(|run| (run.at, run.endpoint));
        let surplus = self.ended.len().saturating_sub(TERMINATED_LIMIT);
        self.ended.drain(..surplus);
    }

    fn against(&self, now: Time) -> impl Iterator<Item = &EndedRun> {
        let served = self.served;
        let ended = self.ended.iter();
        ended.filter(move |run| counts_against(now, run.at, served))
    }
}
