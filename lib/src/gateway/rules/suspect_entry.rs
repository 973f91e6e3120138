//! Is an endpoint whose directory entry vanished gone, or only suspect; and for how long is a
//! suspect endpoint used?
//!
//! Inputs: when the directory last answered this daemon and last failed (times on the daemon's
//! clock), whether another daemon reads the directory steadily, whether the endpoint was draining,
//! the time between two writes of an endpoint's entry and the time within which a leaving endpoint
//! must get nothing new (milliseconds).
//!
//! Rule: an entry that vanishes while the directory fails for this daemon, or shortly after, and
//! for every other daemon too, is suspect: it stays in use for a little more than one interval
//! between two writes, counted from the last failure. In every other case it is gone at once, and
//! so is an entry whose endpoint was draining.
//!
//! Reason: entries lapse while a directory is down although their endpoints live; dropping them
//! would leave a service without endpoints. An endpoint that has really left must not be used
//! beyond the drain time, so a daemon whose own connection failed mustn't suspect what others saw
//! vanish (`docs/FINDINGS.md`, the row about DRAIN).
//!
//! The constants name their own sources; tests: `lib/tests/test_suspect_entry.rs`.

use crate::shared::units::{Millis, Time};

/// Time after a failed read of the directory during which vanished entries are suspect.
const OUTAGE: Millis = Millis(1_500);

/// Time without a failed read after which the directory counts as steady for a daemon, and within which it must have
/// answered: a daemon whose own connections were reset would use an endpoint after it has left.
const STEADY: Millis = Millis(3_000);

/// Shortest time for which a suspect endpoint is used.
const LEAST_SUSPECT: Millis = Millis(200);

/// Part of the drain time that isn't used, since other daemons need time to report that an entry vanished and suspects
/// are only checked at each heartbeat.
const DRAIN_MARGIN: Millis = Millis(600);

/// Intervals between two writes for which a suspect endpoint is used, as a fraction: a living
/// endpoint writes its entry again within one interval, and a sixth of it is for the way to here.
/// Chosen so that 1.2 s between two writes give 1.4 s (`docs/design/platform.md`).
const INTERVALS: u64 = 7;
const INTERVAL_PARTS: u64 = 6;

/// Intervals between two writes after which an entry that nobody writes any more has lapsed: the directory keeps it for
/// three, and daemons learn of its end within one.
const LAPSE_INTERVALS: u64 = 4;

/// When one daemon's own reads of the directory last succeeded and last failed.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ReadHistory {
    /// Last answer.
    pub answered: Option<Time>,
    /// Last failure.
    pub failed: Option<Time>,
}

impl ReadHistory {
    /// Returns whether the last read failed.
    pub fn is_lost(&self) -> bool {
        self.failed > self.answered
    }

    /// Returns whether a read failed so lately that entries may have lapsed.
    pub fn failed_lately(&self, now: Time) -> bool {
        self.failed
            .is_some_and(|failed| now.since(failed) < OUTAGE.to_duration())
    }

    /// Returns whether the directory has answered for a while without a failure.
    pub fn is_steady(&self, now: Time) -> bool {
        let Some(answered) = self.answered else {
            return false;
        };
        // Without a failure, the time counts from the start of the daemon.
        let failed = self.failed.unwrap_or_default();
        let answers = now.since(answered) < STEADY.to_duration();
        let lasts = now.since(failed) > STEADY.to_duration();
        answers && !self.is_lost() && lasts
    }
}

/// Returns whether another daemon's read of this age still speaks for the directory: that of a daemon which has left
/// the reading to others since then doesn't, however well it went.
pub fn is_current(read_age: Millis) -> bool {
    read_age < STEADY
}

/// Returns whether entries that vanish now may have lapsed although their endpoints live.
pub fn is_outage(now: Time, reads: ReadHistory, has_steady_peer: bool) -> bool {
    reads.failed_lately(now) && !has_steady_peer
}

/// Returns whether an endpoint whose entry vanished is suspect; otherwise it is gone.
pub fn is_suspect(is_outage: bool, was_draining: bool) -> bool {
    is_outage && !was_draining
}

/// Returns the time after which an entry that nobody writes any more has lapsed for certain. An endpoint that had departed
/// and is listed by an older copy of the directory is back if its entry lasts longer.
pub fn lapse_time(write_interval: Millis) -> Millis {
    Millis(write_interval.0 * LAPSE_INTERVALS)
}

/// Returns the time for which a suspect endpoint is used: long enough for a living one to write its
/// entry again, and short enough for one that has really left.
///
/// `write_interval` is the time between two writes of an endpoint's entry, `drain` the time within
/// which a leaving endpoint must get nothing new.
pub fn suspect_time(write_interval: Millis, drain: Millis) -> Millis {
    let rewritten = write_interval.0 * INTERVALS / INTERVAL_PARTS;
    let allowed = drain.0.saturating_sub(DRAIN_MARGIN.0);
    Millis(rewritten.min(allowed).max(LEAST_SUSPECT.0))
}
