//! Entries of messages between daemons about one request.
//!
//! Entries are serialized as arrays without field names; `lib/tests/test_message_bytes.rs` checks the bytes. Daemons
//! have no common clock, so each time is sent as an age at the moment of sending.

use {
    crate::{
        gateway::{
            hashes::IncarnationHash,
            quarantine::evidence::{Evidence, TerminatedRun},
            request_digest::RequestDigest,
        },
        shared::units::{Millis, Time},
    },
    serde::{Deserialize, Serialize},
    std::iter,
};

/// An endpoint that terminated under a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(into = "(IncarnationHash, u32)", from = "(IncarnationHash, u32)")]
pub struct TerminatedNote {
    /// Incarnation that terminated.
    pub endpoint: IncarnationHash,
    /// Time since the termination, in milliseconds.
    pub age_ms: u32,
}

impl From<TerminatedNote> for (IncarnationHash, u32) {
    fn from(note: TerminatedNote) -> Self {
        (note.endpoint, note.age_ms)
    }
}

impl From<(IncarnationHash, u32)> for TerminatedNote {
    fn from((endpoint, age_ms): (IncarnationHash, u32)) -> Self {
        Self { endpoint, age_ms }
    }
}

/// The evidence of a daemon about one request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(
    into = "(RequestDigest, Vec<TerminatedNote>, Option<u32>)",
    from = "(RequestDigest, Vec<TerminatedNote>, Option<u32>)"
)]
pub struct EvidenceNote {
    /// Digest of the request.
    pub digest: RequestDigest,
    /// The last endpoints that terminated under the request, the earliest first.
    pub ended: Vec<TerminatedNote>,
    /// Time since the request was last served, in milliseconds; absent if that isn't known.
    pub served_ms: Option<u32>,
    /// Time since the request was sent to each of the endpoints, in milliseconds. Not in the serialized form: the report that
    /// contains the entry carries it, so that daemons of an older release can read the entry.
    pub sent_ms: Vec<Option<u32>>,
}

impl From<EvidenceNote> for (RequestDigest, Vec<TerminatedNote>, Option<u32>) {
    fn from(note: EvidenceNote) -> Self {
        (note.digest, note.ended, note.served_ms)
    }
}

impl From<(RequestDigest, Vec<TerminatedNote>, Option<u32>)> for EvidenceNote {
    fn from((digest, ended, served_ms): (RequestDigest, Vec<TerminatedNote>, Option<u32>)) -> Self {
        Self {
            digest,
            ended,
            served_ms,
            sent_ms: Vec::new(),
        }
    }
}

impl EvidenceNote {
    /// Builds the entry about a request.
    pub fn new(now: Time, digest: RequestDigest, evidence: &Evidence) -> Self {
        let runs = evidence.terminated().iter();
        let terminated = runs.clone().map(|run| TerminatedNote {
            endpoint: run.endpoint,
            age_ms: age(now, run.at),
        });
        Self {
            digest,
            ended: terminated.collect(),
            served_ms: evidence.served().map(|at| age(now, at)),
            sent_ms: runs
                .map(|run| run.sent.map(|sent| age(now, sent)))
                .collect(),
        }
    }

    /// Returns the evidence in an entry that is received now.
    pub fn evidence(&self, now: Time) -> Evidence {
        let sent = self.sent_ms.iter().copied().chain(iter::repeat(None));
        let terminated = self
            .ended
            .iter()
            .zip(sent)
            .map(|(note, sent)| TerminatedRun {
                endpoint: note.endpoint,
                at: time(now, note.age_ms),
                sent: sent.map(|age| time(now, age)),
            });
        Evidence::new(terminated, self.served_ms.map(|age| time(now, age)))
    }
}

fn age(now: Time, at: Time) -> u32 {
    u32::try_from(now.since(at).as_millis()).unwrap_or(u32::MAX)
}

fn time(now: Time, age_ms: u32) -> Time {
    now - Millis(u64::from(age_ms))
}

/// A trial of a quarantined part that runs at some daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(into = "(RequestDigest, u32)", from = "(RequestDigest, u32)")]
pub struct TrialNote {
    /// Digest of the part.
    pub digest: RequestDigest,
    /// Time since the last sign of the trial, in milliseconds.
    pub age_ms: u32,
}

impl From<TrialNote> for (RequestDigest, u32) {
    fn from(note: TrialNote) -> Self {
        (note.digest, note.age_ms)
    }
}

impl From<(RequestDigest, u32)> for TrialNote {
    fn from((digest, age_ms): (RequestDigest, u32)) -> Self {
        Self { digest, age_ms }
    }
}

impl TrialNote {
    /// Builds the entry about a trial whose last sign came at `seen`.
    pub fn new(now: Time, digest: RequestDigest, seen: Time) -> Self {
        Self {
            digest,
            age_ms: age(now, seen),
        }
    }

    /// Returns when the last sign of the trial came, in an entry that is received now.
    pub fn seen(&self, now: Time) -> Time {
        time(now, self.age_ms)
    }
}
