//! Does this daemon read the directory itself, how long does one call wait, and when does it call
//! again?
//!
//! Inputs: the daemon's place in the fleet, whether it lags behind its peers, the age of what
//! reading peers last reported, the number of daemons alive, the apply and the drain time of the
//! installation (all times in milliseconds), and a random fraction.
//!
//! Rule: a daemon of a large fleet that coordinates nothing leaves the reading to peers while their
//! last read, or its own, isn't older than one call's wait and a little, and while it doesn't lag
//! behind them. Once nobody's read is so recent, daemons call one after the other, each at a time that
//! it draws, so that all of them together make [`FLEET_CALLS`] a second, whatever the fleet; the first
//! that is answered reads on as a substitute, until a coordinator reads again. Calls that failed are followed by others'
//! turns first, but for the first one of a process, which a fleet that starts at once makes at once. A call waits for half of
//! the shorter of the two times, so that a silent connection is noticed in time. After a failure the
//! pause doubles from a first one to a longest one, shortened by a random part; after an answer that
//! didn't begin in time, so does the time that the next one has.
//!
//! Reason: calls of the directory cost, each daemon that reads for itself makes as many as one that reads for all,
//! and a directory that fails for all is called by all unless they take turns: the cost of an outage would grow with
//! the fleet.
//!
//! The constants name their own sources; tests: `lib/tests/test_directory_reads.rs`.

use {
    crate::{gateway::directory::source::Topic, shared::units::Millis},
    std::{net::SocketAddr, ops::Range, time::Duration},
};

/// Time beyond the wait of one call after which a peer's read counts as out of date.
const READ_SLACK: Millis = Millis(400);

/// Bounds of the time for which one call waits for changes.
const SHORTEST_WAIT: Millis = Millis(200);
const LONGEST_WAIT: Millis = Millis(1_000);

/// Pause after the first failure.
const FIRST_PAUSE: Millis = Millis(60);

/// Longest pause of a daemon that has to find the directory's return itself.
const LONGEST_PAUSE: Millis = Millis(400);

/// Longest pause of a daemon that peers soon inform of the directory's return.
const LONGEST_PAUSE_INFORMED: Millis = Millis(1_200);

/// Part of a pause that a daemon waits, drawn at random, so that daemons that failed together don't call together.
pub const PAUSE_PARTS: Range<f64> = 0.5..1.0;

/// Pause between two calls for changes of endpoints while the directory is steady: entries that endpoints write again
/// and again would answer every call at once.
const ENDPOINTS_PAUSE: Millis = Millis(300);

/// Time between two checks of whether peers still read the directory for this daemon.
pub const COVER_CHECK: Millis = Millis(100);

/// Calls a second that the daemons of a larger fleet make together to find out whether the directory answers again:
/// enough that one of them soon succeeds where it refuses some of the daemons.
pub const FLEET_CALLS: f64 = 15.0;

/// Pages of a list that each daemon of a large fleet reads at its start; of a longer one the rest is read by few, in their
/// turns. A fleet that starts at once makes this number of calls for each daemon.
pub const PAGES_EACH: usize = 4;

/// Least time from noticing that all reads are out of date to a call: what peers have sent meanwhile is received
/// first. Half of a heartbeat.
const TURN_DELAY: Millis = Millis(100);

/// Part of the time between two turns that has passed at least before a daemon's next one.
const NEXT_TURN: f64 = 0.5;

/// A daemon as a reader of the directory.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Reader {
    /// The fleet is so small that every daemon reads.
    pub small_fleet: bool,
    /// It coordinates a service, and coordinators read for all.
    pub coordinates: bool,
}

/// What a daemon does about the directory.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadDuty {
    /// It reads, and waits for changes.
    Read,
    /// It leaves the reading to peers.
    Leave,
    /// Nobody reads for it: it calls in its turn, and reads on if that is answered.
    Probe,
}

/// A daemon's report of its reading that others may rely on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReportedRead {
    /// Time since the directory last answered for every topic.
    pub age: Millis,
    /// The substitute that read it, if the reporting daemon didn't itself.
    pub substitute: Option<SocketAddr>,
}

impl ReportedRead {
    /// Returns the read of the reporting daemon itself.
    pub fn own(age: Millis) -> Self {
        Self {
            age,
            substitute: None,
        }
    }
}

impl Reader {
    /// Returns whether the daemon reads for itself whatever its peers report.
    pub fn must_read(self) -> bool {
        self.small_fleet || self.coordinates
    }
}

/// How fresh the knowledge is that peers give a daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PeerKnowledge {
    /// Peers have had something newer than this daemon for too long.
    pub lags: bool,
    /// Time since the directory last answered a peer that reports its reads; nothing without one.
    pub read_age: Option<Millis>,
}

/// Returns whether a read of this age still stands for the directory's present state; `wait` is the wait
/// of one call.
pub fn is_fresh(age: Millis, wait: Duration) -> bool {
    age.to_duration() <= wait + READ_SLACK.to_duration()
}

/// Returns what a daemon does about the directory; `wait` is the wait of one call, `substitutes` is set
/// if the daemon's own probe was answered and it reads for the others since then.
pub fn read_duty(
    reader: Reader,
    peers: PeerKnowledge,
    substitutes: bool,
    wait: Duration,
) -> ReadDuty {
    if reader.must_read() || peers.lags {
        return ReadDuty::Read;
    }
    let covered = peers.read_age.is_some_and(|age| is_fresh(age, wait));
    match (covered, substitutes) {
        (true, _) => ReadDuty::Leave,
        (false, true) => ReadDuty::Read,
        (false, false) => ReadDuty::Probe,
    }
}

/// What a daemon's last call came to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LastCall {
    /// It was answered, or there was none.
    Answered,
    /// It was the first one of the process, and failed. A fleet that starts at once makes these calls at once.
    FirstFailed,
    /// It failed.
    Failed,
}

impl LastCall {
    /// Returns what the last call came to after one more that failed; `before` is nothing for the first one of the
    /// process.
    pub fn after_failure(before: Option<Self>) -> Self {
        match before {
            None => Self::FirstFailed,
            Some(_) => Self::Failed,
        }
    }
}

/// Returns the time to a daemon's next call in its turn: from the moment at which nobody's read is recent any more, or
/// from a call that failed; `fraction` is random, from 0 up to 1. The turns of a fleet are even from the first one on:
/// [`FLEET_CALLS`] a second.
pub fn next_turn(daemons: usize, last: LastCall, fraction: f64) -> Duration {
    let part = match last {
        LastCall::Answered | LastCall::FirstFailed => fraction,
        LastCall::Failed => NEXT_TURN + fraction,
    };
    TURN_DELAY.to_duration() + turn_interval(daemons).mul_f64(part)
}

/// Returns whether so much time between two checks ([`COVER_CHECK`]) means that this daemon stood still: what it
/// knows of the others' reads is as old, so that its turn is drawn anew. Without it, daemons that are busy with a
/// large table read it once more.
pub fn stood_still(gap: Duration) -> bool {
    gap > COVER_CHECK.to_duration() * 2
}

/// Returns the mean time between two calls of one daemon.
fn turn_interval(daemons: usize) -> Duration {
    Duration::from_secs_f64(daemons as f64 / FLEET_CALLS)
}

/// Returns the read that a coordinator reports: its own while that is fresh, else that of the substitute
/// with the smallest address among those whose reads are, so that all coordinators report the same
/// one. Without any, its own.
pub fn reported_read(
    own: Option<Millis>,
    substitutes: impl Iterator<Item = (SocketAddr, Millis)>,
    wait: Duration,
) -> Option<ReportedRead> {
    let own = own.map(ReportedRead::own);
    if own.is_some_and(|own| is_fresh(own.age, wait)) {
        return own;
    }
    let fresh = substitutes.filter(|(_, age)| is_fresh(*age, wait));
    let relayed = fresh.min().map(|(address, age)| ReportedRead {
        age,
        substitute: Some(address),
    });
    relayed.or(own)
}

/// Returns the time for which one call for changes waits. A connection that has gone silent is
/// noticed within it and a little, which has to be less than a change may take.
pub fn call_wait(apply: Millis, drain: Millis) -> Duration {
    let half = apply.0.min(drain.0) / 2;
    Duration::from_millis(half.clamp(SHORTEST_WAIT.0, LONGEST_WAIT.0))
}

/// Returns the wait of one call for a topic, from that of [`call_wait`].
pub fn topic_wait(topic: Topic, wait: Duration) -> Duration {
    match topic {
        Topic::Operator => wait,
        // Together with `ENDPOINTS_PAUSE` it stays below the time after which silence is noticed.
        Topic::Endpoints => wait / 2,
    }
}

/// Returns the pause after an answer for a topic.
pub fn pause_after_answer(topic: Topic, is_steady: bool) -> Option<Duration> {
    let pauses = topic == Topic::Endpoints && is_steady;
    pauses.then(|| ENDPOINTS_PAUSE.to_duration())
}

/// Time in which an answer of the directory has to begin: at first, and at most after answers that didn't. The first
/// notices a silent connection in time for another call before a change has to be in force; with it alone, a directory
/// that takes longer to begin its answers was never read (test `slow_store`). The longest leaves a daemon two seconds
/// behind a directory that was silent.
const FIRST_ANSWER: Millis = Millis(500);
const LONGEST_ANSWER: Millis = Millis(2_000);

/// Time in which an answer has to begin, by how many in a row didn't.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AnswerLimit(Duration);

impl Default for AnswerLimit {
    fn default() -> Self {
        Self(FIRST_ANSWER.to_duration())
    }
}

impl AnswerLimit {
    /// Returns the limit.
    pub fn to_duration(self) -> Duration {
        self.0
    }

    /// Returns the limit after one more answer that didn't begin in time.
    #[must_use]
    pub fn after_late(self) -> Self {
        Self((self.0 * 2).min(LONGEST_ANSWER.to_duration()))
    }

    /// Returns the limit after an answer that was complete `took` after the wait of its call: it stays as
    /// long as the directory is slow.
    #[must_use]
    pub fn after_answer(self, took: Duration) -> Self {
        if took < FIRST_ANSWER.to_duration() {
            Self::default()
        } else {
            self
        }
    }
}

/// The pauses after failures in a row.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Backoff(Duration);

impl Default for Backoff {
    fn default() -> Self {
        Self(FIRST_PAUSE.to_duration())
    }
}

impl Backoff {
    /// Returns the pause after this failure; `part` is drawn from [`PAUSE_PARTS`].
    pub fn pause(self, part: f64) -> Duration {
        self.0.mul_f64(part)
    }

    /// Returns the pauses after the next failure. `has_list` says whether the daemon ever had a list
    /// of endpoints.
    #[must_use]
    pub fn next(self, reader: Reader, has_list: bool) -> Self {
        let longest = if !reader.must_read() && has_list {
            LONGEST_PAUSE_INFORMED
        } else {
            LONGEST_PAUSE
        };
        Self((self.0 * 2).min(longest.to_duration()))
    }
}
