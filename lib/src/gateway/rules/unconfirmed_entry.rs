//! Decides whether an endpoint whose directory entry vanished is gone or only unconfirmed, and for how long an
//! unconfirmed endpoint is used.
//!
//! Inputs: when the directory last answered this daemon and last failed (times on the daemon's clock), whether another
//! daemon reads the directory steadily, whether the endpoint was draining, the time between two writes of an endpoint's
//! entry, and the time within which a leaving endpoint must get nothing new (milliseconds).
//!
//! Rule: an entry that vanishes while the directory fails for this daemon, or shortly after, and for every other daemon
//! too, is unconfirmed. Its endpoint stays in use for a little more than one interval between two writes from the moment
//! the entry vanished. In every other case the entry is gone at once, and so is one whose endpoint was draining. A
//! connection that the directory closes while a call waits for changes is no failure
//! ([`directory_reads`](crate::gateway::rules::directory_reads)).
//!
//! The time begins again while the directory is dark: it has only failed for `SHORTEST_OUTAGE` and doesn't answer other
//! daemons either. The directory keeps an entry for some intervals without a write; in the dark no longer than that and
//! the time itself is waited, however often it begins again.
//!
//! What proves an entry gone: the directory lists it no longer and either hadn't failed, or has answered for longer than
//! a living endpoint needs to write it again.
//!
//! Reason: entries expire while a directory is down although their endpoints are alive; dropping them would leave a
//! service without endpoints. An endpoint that has really left must not be used beyond the drain time, so a daemon
//! whose own connection failed must not keep an entry that others saw vanish, and failures that the next call makes good
//! must not prolong the time (`docs/incidents/cut-watches-keep-endpoint.md`).
//!
//! Tests: `lib/tests/test_suspect_entry.rs`.

use crate::shared::units::{Millis, Time};

/// Time after a failed read of the directory during which vanished entries are unconfirmed.
const OUTAGE_TIME: Millis = Millis(1_500);

/// Time without a failed read after which the directory counts as steady for a daemon, and within which it must have
/// answered. Without it, a daemon whose own connections were reset would use an endpoint after it has left.
const STEADY_TIME: Millis = Millis(3_000);

/// Time for which reads have to fail before the directory counts as dark. A single failure is made good by the next call
/// well within it.
const SHORTEST_OUTAGE: Millis = Millis(500);

/// Shortest time for which an unconfirmed endpoint is used.
const SHORTEST_UNCONFIRMED: Millis = Millis(200);

/// Time subtracted from the drain time, since other daemons need time to report that an entry vanished, and unconfirmed
/// entries are only checked at each heartbeat.
const DRAIN_MARGIN: Millis = Millis(600);

/// Number of intervals between two writes for which an unconfirmed endpoint is used, as a fraction. A living endpoint
/// writes its entry again within one interval; a sixth more is for the entry to arrive here. With 1.2 s between two
/// writes, this is 1.4 s (`docs/design/platform.md`).
const UNCONFIRMED_INTERVALS: u64 = 7;
const UNCONFIRMED_DIVISOR: u64 = 6;

/// Number of intervals between two writes after which an entry that is no longer written has expired: the directory
/// keeps it for three, and daemons learn of its end within one.
const LAPSE_INTERVALS: u64 = 4;

/// Times at which one daemon's own reads of the directory last succeeded and last failed.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ReadHistory {
    /// Time at which the directory last answered.
    pub answered: Option<Time>,
    /// Time at which a read last failed.
    pub failed: Option<Time>,
}

impl ReadHistory {
    /// Returns whether the last read failed.
    pub fn is_lost(&self) -> bool {
        self.failed > self.answered
    }

    /// Returns whether a read failed so recently that entries may have expired.
    pub fn failed_lately(&self, now: Time) -> bool {
        self.failed
            .is_some_and(|failed| now.since(failed) < OUTAGE_TIME.to_duration())
    }

    /// Returns whether the directory has answered for a while without a failure.
    pub fn is_steady(&self, now: Time) -> bool {
        let Some(answered) = self.answered else {
            return false;
        };
        // Without a failure, the time counts from the start of the daemon.
        let failed = self.failed.unwrap_or_default();
        let answers = now.since(answered) < STEADY_TIME.to_duration();
        let lasts = now.since(failed) > STEADY_TIME.to_duration();
        answers && !self.is_lost() && lasts
    }
}

/// Returns whether another daemon's read of this age is recent enough to judge the directory by. An older one was made
/// before that daemon left the reading to others and proves nothing, even if it succeeded.
pub fn is_current(read_age: Millis) -> bool {
    read_age < STEADY_TIME
}

/// Returns whether entries that vanish now may have expired although their endpoints are alive.
pub fn is_outage(now: Time, reads: ReadHistory, has_steady_peer: bool) -> bool {
    reads.failed_lately(now) && !has_steady_peer
}

/// Returns whether endpoints can't write their entries, although they live: reads have only failed since `lost_since`, and
/// no other daemon has had an answer since then, or lately. `read_age` is the time since the last answer to another daemon.
pub fn is_dark(now: Time, lost_since: Time, read_age: Option<Millis>) -> bool {
    let lost = now.since(lost_since);
    // A daemon that leaves the reading to others has no answers of its own that would end the time for which it is lost.
    let answers_others = read_age.is_some_and(|age| age < OUTAGE_TIME && age.to_duration() < lost);
    lost >= SHORTEST_OUTAGE.to_duration() && !answers_others
}

/// Returns whether an endpoint whose entry vanished is unconfirmed; otherwise it is gone.
pub fn is_unconfirmed(is_outage: bool, was_draining: bool) -> bool {
    is_outage && !was_draining
}

/// Returns the time after which an entry that is no longer written has certainly expired. An endpoint that departed and
/// is listed again by an older copy of the directory is back if its entry lasts longer.
pub fn lapse_time(write_interval: Millis) -> Millis {
    Millis(write_interval.0 * LAPSE_INTERVALS)
}

/// Returns the time for which an unconfirmed endpoint is used: long enough for a living one to write its entry again,
/// and short enough for one that has really left.
///
/// `write_interval` is the time between two writes of an endpoint's entry, `drain` the time within which a leaving
/// endpoint must get nothing new.
pub fn unconfirmed_time(write_interval: Millis, drain: Millis) -> Millis {
    let rewritten = write_interval.0 * UNCONFIRMED_INTERVALS / UNCONFIRMED_DIVISOR;
    let allowed = drain.0.saturating_sub(DRAIN_MARGIN.0);
    Millis(rewritten.min(allowed).max(SHORTEST_UNCONFIRMED.0))
}
