//! Decides whether this daemon reads the directory itself, how long one call waits, and when the next call is made.
//!
//! Inputs: the daemon's role in the fleet, whether it lags behind its peers, the age of the last read that reading
//! peers reported, the number of daemons alive, the apply and the drain time of the installation (all times in
//! milliseconds), and a random fraction.
//!
//! Rule: a daemon of a large fleet that coordinates nothing leaves the reading to peers while their last read, or its
//! own, isn't older than the wait of one call plus `READ_SLACK`, and while it doesn't lag behind them. Once nobody's
//! read is so recent, daemons call in turns, each at a time that it draws at random, so that all of them together make
//! [`FLEET_CALLS`] a second in a fleet of any size. The first whose call is answered keeps reading as a substitute,
//! until a coordinator reads again. After a failed call, a daemon first leaves time for the turns of others; the first
//! call of a process is an exception, since a fleet that starts at once makes these calls at once. A call waits for
//! half of the shorter of the apply and drain times, so that a silent connection is noticed in time. After each failure
//! the pause doubles, up to a limit, and is shortened by a random fraction; the call after it doesn't wait for changes. A
//! connection that the directory closes while a call waits for changes is a failure that says nothing about the directory.
//! After each answer that didn't begin in
//! time, the time allowed for the next one doubles.
//!
//! Reason: calls of the directory cost, and each daemon that reads for itself makes as many as one that reads for all.
//! A directory that fails for all would be called by all unless they take turns, and the cost of an outage would grow
//! with the fleet.
//!
//! Tests: `lib/tests/test_directory_reads.rs`.

use {
    crate::{
        gateway::directory::source::{DirectoryError, Topic},
        shared::units::Millis,
    },
    std::{net::SocketAddr, ops::Range, time::Duration},
};

/// Time beyond the wait of one call after which a peer's read counts as out of date.
const READ_SLACK: Millis = Millis(400);

/// Bounds of the time for which one call waits for changes.
const SHORTEST_WAIT: Millis = Millis(200);
const LONGEST_WAIT: Millis = Millis(1_000);

/// Pause after the first failure.
const FIRST_PAUSE: Millis = Millis(60);

/// Longest pause of a daemon that has to notice the directory's recovery itself.
const LONGEST_PAUSE: Millis = Millis(400);

/// Longest pause of a daemon that peers soon inform of the directory's recovery.
const LONGEST_PAUSE_INFORMED: Millis = Millis(1_200);

/// Fraction of a pause that a daemon waits, drawn at random so that daemons that failed together don't call together.
pub const PAUSE_FRACTIONS: Range<f64> = 0.5..1.0;

/// Pause between two calls for changes of endpoints while the directory is steady. Without it, the entries that
/// endpoints write periodically would answer every call at once.
const ENDPOINTS_PAUSE: Millis = Millis(300);

/// Time between two checks whether peers still read the directory for this daemon.
pub const COVER_CHECK: Millis = Millis(100);

/// Calls per second that the daemons of a larger fleet make together to find out whether the directory answers again:
/// enough that one of them soon succeeds if the directory refuses some of the daemons.
pub const FLEET_CALLS: f64 = 15.0;

/// Number of pages of a list that each daemon of a large fleet reads at its start. The rest of a longer list is read by
/// a few daemons in turns. A fleet that starts at once makes this number of calls for each daemon.
pub const START_PAGES: usize = 4;

/// Shortest time from noticing that all reads are out of date to a call, so that what peers have sent meanwhile is
/// received first. Half of a heartbeat.
const TURN_DELAY: Millis = Millis(100);

/// Smallest fraction of the mean time between two turns that passes before a daemon's next one.
const NEXT_TURN_FRACTION: f64 = 0.5;

/// Role of a daemon as a reader of the directory.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Reader {
    /// Set if the fleet is so small that every daemon reads.
    pub small_fleet: bool,
    /// Set if the daemon coordinates a service; coordinators read for all.
    pub coordinates: bool,
}

/// Way in which a daemon follows the directory: by its own reads, through its peers, or by probes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadDuty {
    /// Reads the directory and waits for changes.
    Read,
    /// Leaves the reading to peers.
    Leave,
    /// Calls in its turn because nobody reads for it, and keeps reading if the call is answered.
    Probe,
}

/// Report of a daemon's reads on which others may rely.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReportedRead {
    /// Time since the directory last answered for every topic.
    pub age: Millis,
    /// Substitute that read the directory; absent if the reporting daemon read it itself.
    pub substitute: Option<SocketAddr>,
}

impl ReportedRead {
    /// Returns a report of the reporting daemon's own read.
    pub fn local(age: Millis) -> Self {
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

/// The peers' reads of the directory, and whether this daemon lags behind its peers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PeerReads {
    /// Set if peers have had something newer than this daemon for too long.
    pub lags: bool,
    /// Time since the directory last answered a peer that reports its reads; absent if no peer does.
    pub read_age: Option<Millis>,
}

/// Returns whether a read of this age still represents the directory's present state; `wait` is the wait of one call.
pub fn is_fresh(age: Millis, wait: Duration) -> bool {
    age.to_duration() <= wait + READ_SLACK.to_duration()
}

/// Returns what a daemon does about the directory. `wait` is the wait of one call; `substitutes` is set if the daemon's
/// own probe was answered and it has read for the others since then.
pub fn read_duty(reader: Reader, peers: PeerReads, substitutes: bool, wait: Duration) -> ReadDuty {
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

/// Result of a daemon's last call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LastCall {
    /// The call was answered, or there was none.
    Answered,
    /// The call was the first one of the process, and failed. A fleet that starts at once makes these calls at once.
    FirstFailed,
    /// A call after the first one failed.
    Failed,
}

impl LastCall {
    /// Returns the result after one more failed call; `before` is `None` for the first call of the process.
    pub fn after_failure(before: Option<Self>) -> Self {
        match before {
            None => Self::FirstFailed,
            Some(_) => Self::Failed,
        }
    }
}

/// Returns the time to a daemon's next call in its turn, from the moment at which nobody's read is recent any more, or
/// from a failed call; `fraction` is random, from 0 up to 1. The turns of a fleet are spread evenly from the first one
/// on, at [`FLEET_CALLS`] a second.
pub fn next_turn(daemons: usize, last: LastCall, fraction: f64) -> Duration {
    let intervals = match last {
        LastCall::Answered | LastCall::FirstFailed => fraction,
        LastCall::Failed => NEXT_TURN_FRACTION + fraction,
    };
    TURN_DELAY.to_duration() + turn_interval(daemons).mul_f64(intervals)
}

/// Returns whether a gap of this length between two checks ([`COVER_CHECK`]) means that this daemon stalled. What it
/// knows of the others' reads is then as old, so its turn is drawn anew. Without this, daemons that are busy with a
/// large table read it once more.
pub fn is_stall(gap: Duration) -> bool {
    gap > COVER_CHECK.to_duration() * 2
}

/// Returns the mean time between two calls of one daemon.
fn turn_interval(daemons: usize) -> Duration {
    Duration::from_secs_f64(daemons as f64 / FLEET_CALLS)
}

/// Returns the read that a coordinator reports: its own while that is fresh, otherwise that of the substitute with the
/// smallest address among those with fresh reads, so that all coordinators report the same one. If there is none, its
/// own.
pub fn reported_read(
    local: Option<Millis>,
    substitutes: impl Iterator<Item = (SocketAddr, Millis)>,
    wait: Duration,
) -> Option<ReportedRead> {
    let local = local.map(ReportedRead::local);
    if local.is_some_and(|local| is_fresh(local.age, wait)) {
        return local;
    }
    let fresh = substitutes.filter(|(_, age)| is_fresh(*age, wait));
    let relayed = fresh.min().map(|(address, age)| ReportedRead {
        age,
        substitute: Some(address),
    });
    relayed.or(local)
}

/// Returns the time for which one call for changes waits. A silent connection is noticed shortly after it, which has to
/// be sooner than a change may take to apply.
pub fn call_wait(apply: Millis, drain: Millis) -> Duration {
    let half = apply.0.min(drain.0) / 2;
    Duration::from_millis(half.clamp(SHORTEST_WAIT.0, LONGEST_WAIT.0))
}

/// Returns the wait of one call for a topic, derived from that of [`call_wait`].
pub fn topic_wait(topic: Topic, wait: Duration) -> Duration {
    match topic {
        Topic::Operator => wait,
        // Together with `ENDPOINTS_PAUSE` it stays below the time after which silence is noticed.
        Topic::Endpoints => wait / 2,
    }
}

/// Returns the wait of a call after `last_call`, where it would be `wait` otherwise. After a failure the directory is asked
/// to answer at once: that tells whether the failure was an outage, and what changed meanwhile.
pub fn wait_after(last_call: Option<LastCall>, wait: Duration) -> Duration {
    match last_call {
        None | Some(LastCall::Answered) => wait,
        Some(LastCall::FirstFailed | LastCall::Failed) => Duration::ZERO,
    }
}

/// Returns whether a call failed only because the directory closed its connection while the call waited for changes. Calls
/// that wait may be cut at any time, so this says nothing about the directory; the next call does.
pub fn is_cut_watch(error: &DirectoryError, took: Duration, wait: Duration) -> bool {
    matches!(error, DirectoryError::Cut(_)) && took < wait
}

/// Returns the pause after an answer for a topic, if there is one.
pub fn pause_after_answer(topic: Topic, is_steady: bool) -> Option<Duration> {
    let pauses = topic == Topic::Endpoints && is_steady;
    pauses.then(|| ENDPOINTS_PAUSE.to_duration())
}

/// Time in which an answer of the directory has to begin: at first, and after many late answers. The first is short
/// enough to notice a silent connection and call again before a change has to be in force; with it alone, a directory
/// that takes longer to begin its answers would never be read (test `slow_store`). The longest leaves a daemon up to
/// two seconds behind a directory that was silent.
const FIRST_ANSWER_TIMEOUT: Millis = Millis(500);
const LONGEST_ANSWER_TIMEOUT: Millis = Millis(2_000);

/// Time in which an answer has to begin, by how many in a row were late.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AnswerTimeout(Duration);

impl Default for AnswerTimeout {
    fn default() -> Self {
        Self(FIRST_ANSWER_TIMEOUT.to_duration())
    }
}

impl AnswerTimeout {
    /// Returns the time limit.
    pub fn to_duration(self) -> Duration {
        self.0
    }

    /// Returns the limit after one more answer that didn't begin in time.
    #[must_use]
    pub fn after_timeout(self) -> Self {
        Self((self.0 * 2).min(LONGEST_ANSWER_TIMEOUT.to_duration()))
    }

    /// Returns the limit after an answer that was complete `took` after the wait of its call. The limit stays raised as
    /// long as the directory is slow.
    #[must_use]
    pub fn after_answer(self, took: Duration) -> Self {
        if took < FIRST_ANSWER_TIMEOUT.to_duration() {
            Self::default()
        } else {
            self
        }
    }
}

/// Pause after failures in a row, before it is shortened at random.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Backoff(Duration);

impl Default for Backoff {
    fn default() -> Self {
        Self(FIRST_PAUSE.to_duration())
    }
}

impl Backoff {
    /// Returns the pause after this failure; `fraction` is drawn from [`PAUSE_FRACTIONS`].
    pub fn pause(self, fraction: f64) -> Duration {
        self.0.mul_f64(fraction)
    }

    /// Returns the backoff for the next failure. `has_list` is set if the daemon has ever had a list of endpoints.
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
