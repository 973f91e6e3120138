//! The evidence that this daemon has about requests under which endpoints terminated.
//!
//! The store also tracks which evidence has still to be sent to others. The number of records is bounded: quarantined
//! requests are kept before others, and later evidence before earlier. The store has no clock; callers pass the time of
//! the daemon's clock. In the store, times are shifted by [`EVIDENCE_LIFETIME`], so that events that other daemons saw
//! before this process started have a time as well.

use {
    crate::{
        gateway::{
            hashes::IncarnationHash,
            quarantine::{
                evidence::{Evidence, TerminatedRun},
                note::{EvidenceNote, TrialNote},
                served::ServedRequests,
            },
            request_digest::RequestDigest,
            rules::quarantine::{
                EVIDENCE_LIFETIME, EVIDENCE_REPORTS, REBUTTAL_TIME, TRIAL_PAUSE,
                TRIAL_SIGN_LIFETIME, trial_time,
            },
        },
        shared::units::{Millis, Time},
    },
    foldhash::HashMap,
    std::{
        cmp::Reverse,
        rc::{Rc, Weak},
    },
};

/// Largest number of requests of which evidence is kept. An endpoint that terminates adds a record for each request
/// that ran there and each part of their prompts that was not served lately, some tens.
const RECORD_LIMIT: usize = 2_048;

/// Largest number of requests whose quarantine is announced to all daemons, the latest ones: four datagrams of 1.2 KB.
const ANNOUNCED_LIMIT: usize = 64;

/// Time for which it is announced to all daemons that a quarantine ended because the request was served: some rounds of
/// gossip among hundreds of daemons.
const CLEARED_ANNOUNCED: Millis = Millis(10_000);

/// Converts a time of the daemon's clock to one of the store, which is later by [`EVIDENCE_LIFETIME`].
fn to_store_time(time: Time) -> Time {
    time + EVIDENCE_LIFETIME
}

/// A trial of a quarantined part, which runs for as long as this value exists.
#[derive(Debug)]
pub struct Trial(#[allow(dead_code, reason = "counted by the record of the part")] Rc<()>);

/// Why a request is let through although endpoints terminated under it or under a part of its prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Suspicion {
    /// Number of terminated endpoints that count against it.
    pub ends: usize,
    /// Time since it was last served; absent if that isn't known.
    pub served: Option<Millis>,
}

/// A change of the quarantine of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum QuarantineChange {
    /// A request is quarantined from now on.
    Began {
        /// Digest of the request.
        digest: RequestDigest,
        /// Incarnations of endpoints that terminated under the request.
        terminated: Vec<IncarnationHash>,
    },
    /// A request isn't quarantined any more.
    Ended(RequestDigest),
}

#[derive(Debug, Default)]
struct Record {
    evidence: Evidence,
    /// Number of times that this daemon's evidence is still to be sent to the evidence holders.
    sends_left: u32,
    /// Set if the request is quarantined, as of the last update.
    quarantined: bool,
    /// Time at which the quarantine last began.
    began: Option<Time>,
    /// Time at which this daemon last let a request through to try whether the quarantine is justified.
    tried: Option<Time>,
    /// The trial of this daemon, while it runs.
    trial: Weak<()>,
    /// Time of the last sign that a trial runs at some daemon.
    trial_seen: Option<Time>,
    /// Time at which the quarantine last ended, or at which another daemon reported one of a request that was served
    /// here; absent otherwise.
    cleared: Option<Time>,
}

impl Record {
    /// Returns when an endpoint last terminated under the request.
    fn last_terminated(&self) -> Time {
        let last = self.evidence.terminated().last();
        last.map_or(Time::default(), |run| run.at)
    }

    /// Updates when a trial was last seen to run, and returns that time if it may run still.
    fn running_trial(&mut self, now: Time) -> Option<Time> {
        if self.trial.strong_count() > 0 {
            self.trial_seen = Some(now);
        }
        self.trial_seen
            .filter(|seen| now < *seen + TRIAL_SIGN_LIFETIME)
    }

    /// Returns whether the daemon with this rank may try the part now, in a request with `others` other quarantined suspects.
    fn is_trial_due(&mut self, now: Time, rank: usize, others: usize) -> bool {
        let ends = self.evidence.terminated().iter().map(|run| run.at);
        let ends: Vec<Time> = ends.collect();
        let has_turned = self.trial_seen.is_none() && self.evidence.has_turned(now);
        let due = trial_time(&ends, has_turned, rank, others);
        // A trial that failed for another reason says nothing of the part, and is repeated.
        let repeat = self.tried.map_or(due, |tried| tried + TRIAL_PAUSE);
        self.quarantined && now >= due.max(repeat) && self.running_trial(now).is_none()
    }

    fn is_recently_cleared(&self, now: Time) -> bool {
        self.cleared
            .is_some_and(|cleared| now < cleared + CLEARED_ANNOUNCED)
    }

    /// Updates whether the request is quarantined; returns the change, if any.
    fn update(&mut self, now: Time, digest: RequestDigest) -> Option<QuarantineChange> {
        let quarantined = self.evidence.is_quarantined(now);
        if quarantined == std::mem::replace(&mut self.quarantined, quarantined) {
            return None;
        }
        if quarantined {
            self.cleared = None;
            self.began = Some(now);
            let terminated = self.evidence.terminated().iter().map(|run| run.endpoint);
            let terminated = terminated.collect();
            return Some(QuarantineChange::Began { digest, terminated });
        }
        self.cleared = Some(now);
        Some(QuarantineChange::Ended(digest))
    }
}

/// The requests under which endpoints terminated.
#[derive(Debug, Default)]
pub struct Quarantine {
    records: HashMap<RequestDigest, Record>,
    served: ServedRequests,
}

impl Quarantine {
    /// Returns the time for which a request is still quarantined; `None` if it isn't.
    pub fn time_left(&self, now: Time, digest: &RequestDigest) -> Option<Millis> {
        let now = to_store_time(now);
        let evidence = &self.records.get(digest)?.evidence;
        evidence
            .is_quarantined(now)
            .then(|| evidence.time_left(now))
    }

    /// Returns the time for which the quarantine of a part may still be disproved by what other daemons have served; `None`
    /// if that time is over, or if the part isn't quarantined.
    pub fn time_to_rebut(&self, now: Time, digest: &RequestDigest) -> Option<Millis> {
        let now = to_store_time(now);
        let record = self.records.get(digest)?;
        let end = record.began? + REBUTTAL_TIME;
        let is_open = record.evidence.is_quarantined(now) && now < end;
        is_open.then(|| Millis(end.since(now).as_micros().div_ceil(1_000) as u64))
    }

    /// Begins a trial if a request with these quarantined suspects may be let through now, to find out whether they are
    /// harmless: each of them has to be due. With each suspect comes this daemon's place in the order of its holders.
    pub fn begin_trial(&mut self, now: Time, suspects: &[(RequestDigest, usize)]) -> Option<Trial> {
        let now = to_store_time(now);
        let others = suspects.len().saturating_sub(1);
        for (digest, rank) in suspects {
            let record = self.records.get_mut(digest)?;
            if !record.is_trial_due(now, *rank, others) {
                return None;
            }
        }
        let trial = Rc::new(());
        for (digest, _) in suspects {
            let record = self.records.get_mut(digest)?;
            record.tried = Some(now);
            record.trial_seen = Some(now);
            record.trial = Rc::downgrade(&trial);
        }
        (!suspects.is_empty()).then_some(Trial(trial))
    }

    /// Returns whether a request as a whole may be tried like a part: one that was served shortly before endpoints terminated
    /// under it.
    pub fn has_turned(&self, now: Time, digest: &RequestDigest) -> bool {
        let record = self.records.get(digest);
        record.is_some_and(|record| record.evidence.has_turned(to_store_time(now)))
    }

    /// Returns the trials that run, as far as this daemon knows.
    pub fn trials(&mut self, now: Time) -> Vec<TrialNote> {
        let now = to_store_time(now);
        let records = self
            .records
            .iter_mut()
            .filter(|(_, record)| record.quarantined);
        let running = records.filter_map(|(digest, record)| {
            let seen = record.running_trial(now)?;
            Some(TrialNote::new(now, *digest, seen))
        });
        running.collect()
    }

    /// Merges another daemon's signs of trials.
    pub fn merge_trials(&mut self, now: Time, notes: &[TrialNote]) {
        let now = to_store_time(now);
        for note in notes {
            if let Some(record) = self.records.get_mut(&note.digest) {
                record.trial_seen = record.trial_seen.max(Some(note.seen(now)));
            }
        }
    }

    /// Returns why a request or part is let through, if endpoints that terminated under it count against it.
    pub fn suspicion(&self, now: Time, digest: &RequestDigest) -> Option<Suspicion> {
        let now = to_store_time(now);
        let evidence = &self.records.get(digest)?.evidence;
        let ends = evidence.against(now);
        let age = |served| Millis(now.since(served).as_millis() as u64);
        (ends > 0).then(|| Suspicion {
            ends,
            served: evidence.served().map(age),
        })
    }

    /// Returns the quarantined requests.
    pub fn digests(&self, now: Time) -> impl Iterator<Item = RequestDigest> {
        let now = to_store_time(now);
        let refused = self
            .records
            .iter()
            .filter(move |(_, record)| record.evidence.is_quarantined(now));
        refused.map(|(digest, _)| *digest)
    }

    /// Records that an endpoint terminated while it ran a request that this daemon had sent there at `sent`, against all that is
    /// held responsible: the request and the parts of its prompt. If some of them are quarantined already, they explain it, and the others aren't
    /// accused.
    pub fn request_terminated(
        &mut self,
        now: Time,
        suspects: &[RequestDigest],
        endpoint: IncarnationHash,
        sent: Time,
    ) -> Vec<QuarantineChange> {
        let is_quarantined = |suspect: &&RequestDigest| self.time_left(now, suspect).is_some();
        let known: Vec<RequestDigest> = suspects.iter().filter(is_quarantined).copied().collect();
        let accused = if known.is_empty() { suspects } else { &known };
        let accused = accused.iter();
        let changes =
            accused.filter_map(|suspect| self.endpoint_terminated(now, *suspect, endpoint, sent));
        changes.collect()
    }

    /// Records that an endpoint terminated while it ran a request of this daemon, against one suspect.
    pub fn endpoint_terminated(
        &mut self,
        now: Time,
        digest: RequestDigest,
        endpoint: IncarnationHash,
        sent: Time,
    ) -> Option<QuarantineChange> {
        let now = to_store_time(now);
        let run = TerminatedRun {
            endpoint,
            at: now,
            sent: Some(to_store_time(sent)),
        };
        let local = Evidence::new([run], self.served.last(&digest));
        let change = self.merge_evidence(now, digest, &local);
        if let Some(record) = self.records.get_mut(&digest) {
            record.sends_left = EVIDENCE_REPORTS;
        }
        change
    }

    /// Records that a request of this daemon was served by an endpoint that got it at `sent`. It shows nothing of endpoints that
    /// terminated after that.
    pub fn request_served(
        &mut self,
        now: Time,
        digest: RequestDigest,
        sent: Time,
    ) -> Option<QuarantineChange> {
        let (now, sent) = (to_store_time(now), to_store_time(sent));
        self.served.record(sent, digest);
        let record = self.records.get_mut(&digest)?;
        record.evidence.record_served(sent);
        record.update(now, digest)
    }

    /// Merges the evidence of another daemon; returns the changes.
    pub fn merge(&mut self, now: Time, notes: &[EvidenceNote]) -> Vec<QuarantineChange> {
        let now = to_store_time(now);
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
            record.evidence.record_served(served);
        }
        let change = record.update(now, digest);
        if other.is_quarantined(now) && !record.quarantined {
            // Another daemon quarantines a request that was served here.
            record.cleared = Some(now);
        }
        self.enforce_limit();
        change
    }

    /// Drops evidence that has no effect any more; returns the changes due to that.
    pub fn expire(&mut self, now: Time) -> Vec<QuarantineChange> {
        let now = to_store_time(now);
        let changes = self
            .records
            .iter_mut()
            .filter_map(|(digest, record)| record.update(now, *digest))
            .collect();
        self.records.retain(|_, record| {
            !record.evidence.is_without_effect(now) || record.is_recently_cleared(now)
        });
        changes
    }

    /// Returns whether there is evidence to be sent to others.
    pub fn has_reports(&self, now: Time) -> bool {
        let now = to_store_time(now);
        self.records.values().any(|record| {
            record.sends_left > 0 || record.quarantined || record.is_recently_cleared(now)
        })
    }

    /// Returns the evidence of this daemon that is sent to the evidence holders of each request now.
    pub fn take_local_reports(&mut self, now: Time) -> Vec<EvidenceNote> {
        let now = to_store_time(now);
        let unsent = self
            .records
            .iter_mut()
            .filter(|(_, record)| record.sends_left > 0);
        // What was served meanwhile isn't accused any more.
        let accused = unsent.filter(|(_, record)| !record.evidence.is_without_effect(now));
        let notes = accused.map(|(digest, record)| {
            record.sends_left -= 1;
            EvidenceNote::new(now, *digest, &record.evidence)
        });
        notes.collect()
    }

    /// Returns the evidence that is sent to all daemons: the requests that are quarantined, and those that no longer
    /// are.
    pub fn common_reports(&self, now: Time) -> Vec<EvidenceNote> {
        let now = to_store_time(now);
        let reported = self
            .records
            .iter()
            .filter(|(_, record)| record.quarantined || record.is_recently_cleared(now));
        let mut reported: Vec<(&RequestDigest, &Record)> = reported.collect();
        reported
            .sort_unstable_by_key(|(digest, record)| (Reverse(record.last_terminated()), **digest));
        let notes = reported.into_iter().take(ANNOUNCED_LIMIT);
        notes
            .map(|(digest, record)| EvidenceNote::new(now, *digest, &record.evidence))
            .collect()
    }

    /// Drops a record if there are too many: the oldest, those that aren't quarantined first.
    fn enforce_limit(&mut self) {
        if self.records.len() <= RECORD_LIMIT {
            return;
        }
        let first = self.records.iter().min_by_key(|(digest, record)| {
            (record.quarantined, record.last_terminated(), **digest)
        });
        if let Some(digest) = first.map(|(digest, _)| *digest) {
            self.records.remove(&digest);
        }
    }
}
