//! Decides whether another daemon is alive, suspect, lost, or to be forgotten.
//!
//! Inputs: the times (microseconds of this daemon's clock) of its last heartbeat received here and of its last sign of
//! life anywhere, as reported by gossip; whether it sends each heartbeat to everybody; since when this daemon should
//! have received each of its heartbeats; since when it is suspect; the number of daemons known; when this process last
//! resumed after a pause.
//!
//! Rule: a daemon whose every heartbeat should arrive here, because the fleet is small or because it broadcasts, is
//! alive while its last heartbeat is at most [`HEARTBEAT_TIMEOUT`] old. Any other daemon is alive until it is suspect.
//!
//! Each daemon that should receive all heartbeats of another (the coordinators, and the next
//! [`WATCHERS`](crate::gateway::rules::gossip::WATCHERS) daemons in an order by hash) asks it for a heartbeat after
//! [`PROBE_TIMEOUT`] of silence, suspects it if none comes within the same time again, and reports this to the others.
//! A daemon with a sign of life at most [`HEARTBEAT_TIMEOUT`] old rejects the suspicion and reports so, as does the
//! suspect itself. A suspect is lost once it has been suspect for [`SUSPICION_TIME`] and its last sign of life is more
//! than [`GOSSIP_TIMEOUT`] old.
//!
//! A daemon that nobody suspects is lost after the time of [`unsuspected_limit`], and a daemon that receives nothing at
//! all suspects all others. Time before the end of a pause of this process doesn't count as silence of a daemon that
//! was alive when the pause began. A lost daemon is forgotten [`FORGET_TIME`] after its last sign of life, and gossip
//! older than half of that is ignored.
//!
//! Reason: a daemon of a large fleet receives few signs of life of each other one, and fewer the larger the fleet is:
//! with 295 daemons about one a second. A limit of 2.5 s alone then proves nothing; a calm fleet counted 6,000 losses a
//! second. A suspicion comes only from daemons that should have received the heartbeats, at a cost that doesn't grow
//! with the fleet. Each daemon decides by itself, so in a partition a daemon isn't lost for those that still receive
//! its heartbeats.
//!
//! Tests: `calm_fleet`, `coordinator_replacement`.

use crate::shared::units::{Millis, Time};

/// Time without a heartbeat after which a daemon whose every heartbeat should arrive here is lost. Five heartbeats.
pub const HEARTBEAT_TIMEOUT: Millis = Millis(1_000);

/// Time without a sign of life after which a daemon known by gossip is lost, if it is suspect.
pub const GOSSIP_TIMEOUT: Millis = Millis(2_500);

/// Time without a heartbeat after which a daemon is asked for one, and time for its answer. Three heartbeats. Without
/// asking, watchers suspected daemons that didn't yet know that they were to send them heartbeats: 61,464 losses of
/// living daemons in 10 s of a calm fleet of 1,000 (test `calm_fleet`).
pub const PROBE_TIMEOUT: Millis = Millis(600);

/// Shortest time for which a daemon is suspect before it is lost. A report takes five heartbeats to reach a thousand
/// daemons, with six receivers each.
pub const SUSPICION_TIME: Millis = Millis(1_000);

/// Time without a sign of life after which a daemon that nobody suspects is lost: the minimum, and the time for each
/// daemon known. Signs of life of one daemon arrive at a rate of 300 a second divided by the number of daemons (30
/// heartbeats a second that name ten daemons each), so that a living daemon exceeds the limit once in 26 thousand
/// million such times.
const UNSUSPECTED_TIMEOUT: Millis = Millis(4_000);
const UNSUSPECTED_TIMEOUT_EACH: Millis = Millis(80);

/// Age of a suspect's last sign of life up to which it is reported to others. If 160 daemons are lost at once, each is
/// named to everybody more than ten times meanwhile.
const SUSPECT_REPORT_AGE: Millis = Millis(10_000);

/// Time after which the address of a lost daemon is forgotten.
pub const FORGET_TIME: Millis = Millis(60_000);

/// Age from which gossip is ignored: half of the time for which addresses are kept, so that daemons don't keep
/// reminding each other of a dead one.
pub const MAX_GOSSIP_AGE: Millis = Millis(FORGET_TIME.0 / 2);

/// Time after its start during which a daemon asks for the roster of all daemons.
pub const JOIN_TIME: Millis = Millis(1_500);

/// Signs of life of another daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LifeSigns {
    /// Time at which the last heartbeat of the daemon was received here.
    pub heartbeat: Option<Time>,
    /// Time at which the last sign of life was received, here or by another daemon that reported it.
    pub sign: Option<Time>,
    /// Set if the daemon sends each heartbeat to everybody, as its last one states.
    pub broadcasts: bool,
    /// Set if the daemon counted as alive until now.
    pub alive: bool,
    /// Time since which the daemon is suspect; absent if it isn't.
    pub suspect: Option<Time>,
}

/// Conditions under which this daemon receives signs of life.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReceiveConditions {
    /// Set if the fleet is so small that every heartbeat goes to everybody.
    pub small_fleet: bool,
    /// Time at which this process last resumed after a pause; zero if there was none.
    pub resumed: Time,
    /// Number of other daemons known.
    pub others: usize,
    /// Time at which anything was last received from any daemon.
    pub received: Time,
}

/// Returns whether a daemon counts as alive.
pub fn is_alive(now: Time, signs: LifeSigns, conditions: ReceiveConditions) -> bool {
    let direct = conditions.small_fleet || signs.broadcasts;
    let last = if direct { signs.heartbeat } else { signs.sign };
    // Time missed in a pause is excluded only for a daemon that was alive before it.
    let resumed = if signs.alive {
        conditions.resumed
    } else {
        Time::default()
    };
    let Some(last) = last.map(|last| last.max(resumed)) else {
        return false;
    };
    let silence = now.since(last);
    if direct {
        return silence <= HEARTBEAT_TIMEOUT.to_duration();
    }
    if silence <= GOSSIP_TIMEOUT.to_duration() {
        return true;
    }
    let suspect = earliest(signs.suspect, isolated_since(now, conditions));
    let may_refute = suspect
        .is_none_or(|suspect| now.since(suspect.max(resumed)) <= SUSPICION_TIME.to_duration());
    signs.alive && may_refute && silence <= unsuspected_limit(conditions.others).to_duration()
}

/// Returns the time without a sign of life after which a daemon that nobody suspects is lost.
pub fn unsuspected_limit(others: usize) -> Millis {
    UNSUSPECTED_TIMEOUT.max(Millis(UNSUSPECTED_TIMEOUT_EACH.0 * others as u64))
}

/// Returns whether a daemon is asked for a heartbeat, by the time of its last one. All of its heartbeats should arrive
/// here.
pub fn is_probe_due(now: Time, heartbeat: Option<Time>, resumed: Time) -> bool {
    let received = heartbeat.unwrap_or_default().max(resumed);
    now.since(received) > PROBE_TIMEOUT.to_duration()
}

/// Returns whether a daemon that was asked for a heartbeat at `asked` and hasn't sent one is suspect.
pub fn is_probe_unanswered(now: Time, asked: Time, resumed: Time) -> bool {
    now.since(asked.max(resumed)) > PROBE_TIMEOUT.to_duration()
}

/// Returns whether a sign of life known here refutes a suspicion reported by gossip.
pub fn refutes(now: Time, sign: Option<Time>) -> bool {
    sign.is_some_and(|sign| now.since(sign) <= HEARTBEAT_TIMEOUT.to_duration())
}

/// Returns whether a suspect with this last sign of life is still reported to others. Lost daemons are reported too, so
/// that all daemons learn of the loss.
pub fn is_reported(now: Time, sign: Time) -> bool {
    now.since(sign) <= SUSPECT_REPORT_AGE.to_duration()
}

/// Returns since when this daemon has received nothing although it should have; `None` while it receives something.
fn isolated_since(now: Time, conditions: ReceiveConditions) -> Option<Time> {
    let since = conditions.received.max(conditions.resumed) + HEARTBEAT_TIMEOUT;
    (now > since).then_some(since)
}

fn earliest(one: Option<Time>, other: Option<Time>) -> Option<Time> {
    one.into_iter().chain(other).min()
}

/// Returns whether a lost daemon whose last sign of life or mention was at `known` is forgotten.
pub fn is_forgotten(now: Time, known: Time) -> bool {
    now.since(known) >= FORGET_TIME.to_duration()
}

/// Returns whether gossip of this age is recent enough to be used.
pub fn is_recent(age: Millis) -> bool {
    age < MAX_GOSSIP_AGE
}

/// Returns the time of a sign of life that is now of this age, not earlier than the start of this daemon.
pub fn sign_time(now: Time, age: Millis) -> Time {
    now - age
}

/// Returns whether a daemon has just started; times count from its start.
pub fn is_joining(now: Time) -> bool {
    now < Time::default() + JOIN_TIME
}
