//! Does this daemon read the directory itself, how long does one call wait, and when does it call
//! again?
//!
//! Inputs: the daemon's place in the fleet, whether it lags behind its peers, the age of what
//! reading peers last reported, the apply and the drain time of the installation (all in
//! milliseconds), and a random fraction.
//!
//! Rule: a ready daemon of a large fleet that coordinates nothing leaves the reading to peers while
//! their last read isn't older than one call's wait and a little, and while it doesn't lag behind
//! them. A call waits for half of the shorter of the two times, so that a silent connection is
//! noticed in time. After a failure the pause doubles from a first one to a longest one, shortened
//! by a random part; after an answer that didn't begin in time, so does the time that the next one
//! has.
//!
//! Reason: each daemon of a fleet of 80 that read for itself cost 0.187 of a day's worth in calls
//! of the directory, few readers 0.018 (`docs/MEASUREMENTS.md`, "The second milestone").
//!
//! The constants name their own sources; tests: `lib/tests/test_directory_reads.rs`.

use {
    crate::{gateway::directory::source::Topic, shared::units::Millis},
    std::{ops::Range, time::Duration},
};

/// Time beyond the wait of one call after which a peer's read counts as out of date. Chosen, not
/// measured.
const READ_SLACK: Millis = Millis(400);

/// Bounds of the time for which one call waits for changes. Chosen, not measured.
const SHORTEST_WAIT: Millis = Millis(200);
const LONGEST_WAIT: Millis = Millis(1_000);

/// Pause after the first failure. Chosen, not measured.
const FIRST_PAUSE: Millis = Millis(60);

/// Longest pause of a daemon that has to find the directory's return itself. Chosen, not measured.
const LONGEST_PAUSE: Millis = Millis(400);

/// Longest pause of a daemon that peers soon inform of the directory's return. Chosen, not measured.
const LONGEST_PAUSE_INFORMED: Millis = Millis(1_200);

/// Part of a pause that a daemon waits, drawn at random, so that daemons that failed together don't
/// call together. Chosen, not measured.
pub const PAUSE_PARTS: Range<f64> = 0.5..1.0;

/// Pause between two calls for changes of endpoints while the directory is steady: entries that
/// endpoints write again and again would answer every call at once. `docs/MEASUREMENTS.md`, "The
/// second milestone", the row about calls 0.3 s apart.
const ENDPOINTS_PAUSE: Millis = Millis(300);

/// Time between two checks of whether peers still read the directory for this daemon. Chosen, not
/// measured.
pub const COVER_CHECK: Millis = Millis(100);

/// A daemon as a reader of the directory.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Reader {
    /// The fleet is so small that every daemon reads.
    pub small_fleet: bool,
    /// It coordinates a service, and coordinators read for all.
    pub coordinates: bool,
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

/// Returns whether peers read the directory for a ready daemon, so that it needn't; `wait` is the
/// wait of one call.
pub fn is_covered(reader: Reader, peers: PeerKnowledge, wait: Duration) -> bool {
    let bound = wait + READ_SLACK.to_duration();
    let is_fresh = |age: Millis| age.to_duration() <= bound;
    !reader.must_read() && !peers.lags && peers.read_age.is_some_and(is_fresh)
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
        Topic::Table => wait,
        // Together with `ENDPOINTS_PAUSE` it stays below the time after which silence is noticed.
        Topic::Endpoints => wait / 2,
    }
}

/// Returns the pause after an answer for a topic.
pub fn pause_after_answer(topic: Topic, is_steady: bool) -> Option<Duration> {
    let pauses = topic == Topic::Endpoints && is_steady;
    pauses.then(|| ENDPOINTS_PAUSE.to_duration())
}

/// Time in which an answer of the directory has to begin: at first, and at most after answers that didn't.
/// Chosen, not measured. The first notices a silent connection in time for another call before a change
/// has to be in force; with it alone, a directory that takes longer to begin its answers was never read
/// (test `slow_store`). The longest leaves a daemon two seconds behind a directory that was silent.
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
