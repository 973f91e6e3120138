//! The requests under which endpoints ended, all that this daemon knows of.
//!
//! Owns the evidence of each, and which of it others haven't been told. Bounded: what was seen last is kept, refused
//! requests before others. It has no clock: callers pass the time of the daemon's clock. Its own one began [`EVIDENCE_LIFETIME`]
//! before, so that what other daemons saw before this process started has its place on it.

use {
    crate::{
        gateway::{
            hashes::IncarnationHash,
            quarantine::{
                evidence::{EndedRun, Evidence},
                note::EvidenceNote,
                served::ServedRequests,
            },
            request_digest::RequestDigest,
            rules::quarantine::{EVIDENCE_LIFETIME, EVIDENCE_REPORTS},
        },
        shared::units::{Millis, Time},
    },
    foldhash::HashMap,
    std::cmp::Reverse,
};

/// Requests of which evidence is kept (a count). An endpoint that ends leaves one record for each request that ran
/// there, some tens.
const RECORDS: usize = 2_048;

/// Refused requests that daemons tell all others of (a count), the latest ones: four datagrams of 1.2 KB.
const IN_FORCE: usize = 64;

/// Time for which all are told that a request isn't refused any more, since it was served. Some rounds of gossip among
/// hundreds of daemons.
const CLEARED_TOLD: Millis = Millis(10_000);

/// Returns a time of the daemon's clock on the one of this module.
fn on_own_clock(time: Time) -> Time {
    time + EVIDENCE_LIFETIME
}

/// A change of what is refused.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum QuarantineChange {
    /// A request is refused from now on.
    Began {
        /// The request.
        digest: RequestDigest,
        /// The lives of endpoints that ended under it.
        ended: Vec<IncarnationHash>,
    },
    /// A request isn't refused any more.
    Ended(RequestDigest),
}

#[derive(Debug, Default)]
struct Record {
    evidence: Evidence,
    /// Times that the keepers are still to be told.
    tellings: u32,
    /// Set while the request is refused.
    quarantined: bool,
    /// When the quarantine ended because the request was served.
    cleared: Option<Time>,
}

impl Record {
    /// Returns when an endpoint last ended under the request.
    fn last_ended(&self) -> Time {
        let last = self.evidence.ended().last();
        last.map_or(Time::default(), |run| run.at)
    }

    fn is_cleared_news(&self, now: Time) -> bool {
        self.cleared
            .is_some_and(|cleared| now < cleared + CLEARED_TOLD)
    }

    /// Returns what has become of the quarantine.
    fn update(&mut self, now: Time, digest: RequestDigest) -> Option<QuarantineChange> {
        let quarantined = self.evidence.is_quarantined(now);
        if quarantined == std::mem::replace(&mut self.quarantined, quarantined) {
            return None;
        }
        if quarantined {
            self.cleared = None;
            let ended = self.evidence.ended().iter().map(|run| run.endpoint);
            let ended = ended.collect();
            return Some(QuarantineChange::Began { digest, ended });
        }
        self.cleared = Some(now);
        Some(QuarantineChange::Ended(digest))
    }
}

/// The requests under which endpoints ended.
#[derive(Debug, Default)]
pub struct Quarantine {
    records: HashMap<RequestDigest, Record>,
    served: ServedRequests,
}

impl Quarantine {
    /// Returns the time for which a request is still refused; nothing if it isn't.
    pub fn left(&self, now: Time, digest: &RequestDigest) -> Option<Millis> {
        let now = on_own_clock(now);
        let evidence = &self.records.get(digest)?.evidence;
        evidence.is_quarantined(now).then(|| evidence.left(now))
    }

    /// Returns the requests that are refused.
    pub fn digests(&self, now: Time) -> impl Iterator<Item = RequestDigest> {
        let now = on_own_clock(now);
        let refused = self
            .records
            .iter()
            .filter(move |(_, record)| record.evidence.is_quarantined(now));
        refused.map(|(digest, _)| *digest)
    }

    /// Records that an endpoint ended while it ran a request of this daemon.
    pub fn endpoint_ended(
        &mut self,
        now: Time,
        digest: RequestDigest,
        endpoint: IncarnationHash,
    ) -> Option<QuarantineChange> {
        let now = on_own_clock(now);
        let run = EndedRun { endpoint, at: now };
        let own = Evidence::new([run], self.served.last(&digest));
        if own.is_spent(now) {
            // It was served a moment ago, so that something else ended the endpoint.
            return None;
        }
        let change = self.merge_evidence(now, digest, &own);
        if let Some(record) = self.records.get_mut(&digest) {
            record.tellings = EVIDENCE_REPORTS;
        }
        change
    }

    /// Records that a request of this daemon ran to a good end.
    pub fn request_served(&mut self, now: Time, digest: RequestDigest) -> Option<QuarantineChange> {
        let now = on_own_clock(now);
        self.served.record(now, digest);
        let record = self.records.get_mut(&digest)?;
        record.evidence.serve(now);
        record.update(now, digest)
    }

    /// Merges what another daemon knows; returns what has changed.
    pub fn merge(&mut self, now: Time, notes: &[EvidenceNote]) -> Vec<QuarantineChange> {
        let now = on_own_clock(now);
        let merged = notes
            .iter()
            .filter_map(|note| self.merge_evidence(now, note.digest, &note.evidence(now)));
        merged.collect()
    }

    fn merge_evidence(
        &mut self,
        now: Time,
        digest: RequestDigest,
        other: &Evidence,
    ) -> Option<QuarantineChange> {
        let served = self.served.last(&digest);
        let record = self.records.entry(digest).or_default();
        record.evidence.merge(other);
        if let Some(served) = served {
            record.evidence.serve(served);
        }
        let change = record.update(now, digest);
        if other.is_quarantined(now) && !record.quarantined {
            // Others refuse what was served here.
            record.cleared = Some(now);
        }
        self.bound();
        change
    }

    /// Forgets what has no effect any more; returns what isn't refused any more because of that.
    pub fn expire(&mut self, now: Time) -> Vec<QuarantineChange> {
        let now = on_own_clock(now);
        let changes = self
            .records
            .iter_mut()
            .filter_map(|(digest, record)| record.update(now, *digest))
            .collect();
        self.records
            .retain(|_, record| !record.evidence.is_spent(now) || record.is_cleared_news(now));
        changes
    }

    /// Returns whether there is something that others are to be told.
    pub fn has_news(&self, now: Time) -> bool {
        let now = on_own_clock(now);
        self.records
            .values()
            .any(|record| record.tellings > 0 || record.quarantined || record.is_cleared_news(now))
    }

    /// Returns what this daemon saw and the keepers of each request are told now.
    pub fn take_own_news(&mut self, now: Time) -> Vec<EvidenceNote> {
        let now = on_own_clock(now);
        let untold = self
            .records
            .iter_mut()
            .filter(|(_, record)| record.tellings > 0);
        let notes = untold.map(|(digest, record)| {
            record.tellings -= 1;
            EvidenceNote::new(now, *digest, &record.evidence)
        });
        notes.collect()
    }

    /// Returns what all daemons are told: the requests that are refused, and those that aren't any more.
    pub fn common_news(&self, now: Time) -> Vec<EvidenceNote> {
        let now = on_own_clock(now);
        let told = self
            .records
            .iter()
            .filter(|(_, record)| record.quarantined || record.is_cleared_news(now));
        let mut told: Vec<(&RequestDigest, &Record)> = told.collect();
        told.sort_unstable_by_key(|(digest, record)| (Reverse(record.last_ended()), **digest));
        let notes = told.into_iter().take(IN_FORCE);
        notes
            .map(|(digest, record)| EvidenceNote::new(now, *digest, &record.evidence))
            .collect()
    }

    /// Drops a record if there are too many: one that isn't refused, the oldest.
    fn bound(&mut self) {
        if self.records.len() <= RECORDS {
            return;
        }
        let first = self
            .records
            .iter()
            .min_by_key(|(digest, record)| (record.quarantined, record.last_ended(), **digest));
        if let Some(digest) = first.map(|(digest, _)| *digest) {
            self.records.remove(&digest);
        }
    }
}
