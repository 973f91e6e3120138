//! Is another daemon alive, suspect, lost, or to be forgotten?
//!
//! Inputs: the times (microseconds of this daemon's clock) of its last heartbeat here and of its
//! last sign of life anywhere, as gossip brought it; whether it sends each heartbeat to everybody;
//! since when this daemon should have received each of its heartbeats; since when it is suspect; the number
//! of daemons known; when this process last woke from a pause.
//!
//! Rule: a daemon whose every heartbeat should arrive here, because the fleet is small or because it
//! broadcasts, is alive while its last heartbeat is at most [`SILENCE`] old. Any other daemon is alive
//! until it is suspect. Whoever should receive all of its heartbeats (the coordinators, and the next
//! [`WATCHERS`](crate::gateway::rules::gossip::WATCHERS) daemons in an order by hash) asks it for one
//! after [`ASK`] of silence, suspects it as long after that, and tells the others; one that has a sign
//! of life not older than that doesn't believe it, and tells them so, as does the suspect. A suspect is
//! lost once it has been one for [`REFUTE`] and its last sign is more than [`GOSSIP_SILENCE`] old. A
//! daemon that nobody suspects is lost after the time of [`quiet_limit`], and one that receives nothing
//! at all suspects everybody. Time before the end of a pause of this process isn't silence of a daemon
//! that was alive when the pause began. A daemon that is lost is forgotten [`FORGET`] after its last
//! sign of life, and gossip older than half of that is ignored.
//!
//! Reason: a daemon of a large fleet receives few signs of life of each other one, fewer the larger the
//! fleet: with 295 daemons about one a second, so that 2.5 s without one told nothing and a calm fleet counted
//! 6,000 losses a second. A suspicion comes from those that know, at a cost that doesn't grow with the
//! fleet. Each daemon judges for itself: a partition loses nobody for those that still receive heartbeats.
//!
//! Tests: `calm_fleet`, `coordinator_replacement`.

use crate::shared::units::{Millis, Time};

/// Time without a heartbeat after which a daemon is lost whose every heartbeat should arrive. Five heartbeats.
pub const SILENCE: Millis = Millis(1_000);

/// Time without a sign of life after which a daemon known by gossip is lost, if it is suspect.
pub const GOSSIP_SILENCE: Millis = Millis(2_500);

/// Time without a heartbeat after which a daemon is asked for one, and time for its answer. Without asking, a watcher
/// took daemons for silent that hadn't known it yet: 61,464 losses of living ones in 10 s of a calm fleet of 1,000
/// (test `calm_fleet`). Three heartbeats.
pub const ASK: Millis = Millis(600);

/// Time for which a daemon is suspect at least before it is lost: news takes five heartbeats to reach a thousand
/// daemons (worked out, six receivers each).
pub const REFUTE: Millis = Millis(1_000);

/// Time without a sign of life after which a daemon is lost although nobody suspects it: at least, and
/// for each daemon known. Signs of one daemon arrive 300 times a second divided by the number of
/// daemons (worked out: 30 heartbeats a second that name ten), so that one in 26 thousand million such
/// times passes without one.
const QUIET: Millis = Millis(4_000);
const QUIET_EACH: Millis = Millis(80);

/// Age of a suspect's last sign of life up to which others are told of it. 160 daemons lost at once are each named over
/// ten times to everybody meanwhile (worked out).
const NEWS: Millis = Millis(10_000);

/// Time after which the address of a lost daemon is forgotten.
pub const FORGET: Millis = Millis(60_000);

/// Age from which gossip is ignored: half of the time for which addresses are kept, so that
/// daemons don't go on reminding each other of a dead one.
pub const STALE_GOSSIP: Millis = Millis(FORGET.0 / 2);

/// Time after its start during which a daemon asks for the roster of all daemons.
pub const JOINING: Millis = Millis(1_500);

/// Signs of life of a daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LifeSigns {
    /// When its last heartbeat was received here.
    pub heartbeat: Option<Time>,
    /// Last sign of life, received here or by a third daemon.
    pub sign: Option<Time>,
    /// Set if it sends each heartbeat to everybody, by its last one.
    pub broadcasts: bool,
    /// Set if it counted as alive until now.
    pub alive: bool,
    /// Since when it is suspect, if it is.
    pub suspect: Option<Time>,
}

/// Conditions under which this daemon receives signs of life.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Listening {
    /// Set if the fleet is so small that every heartbeat goes to everybody.
    pub small_fleet: bool,
    /// When this process last woke from a pause; zero if there was none.
    pub awake: Time,
    /// Number of other daemons known.
    pub others: usize,
    /// When anything was last received of any daemon.
    pub heard: Time,
}

/// Returns whether a daemon counts as alive.
pub fn is_alive(now: Time, signs: LifeSigns, listening: Listening) -> bool {
    let direct = listening.small_fleet || signs.broadcasts;
    let last = if direct { signs.heartbeat } else { signs.sign };
    // Only a daemon that was alive is excused for what was missed in a pause.
    let awake = if signs.alive {
        listening.awake
    } else {
        Time::default()
    };
    let Some(last) = last.map(|last| last.max(awake)) else {
        return false;
    };
    let silence = now.since(last);
    if direct {
        return silence <= SILENCE.to_duration();
    }
    if silence <= GOSSIP_SILENCE.to_duration() {
        return true;
    }
    let suspect = earliest(signs.suspect, isolated_since(now, listening));
    let refuted =
        suspect.is_none_or(|suspect| now.since(suspect.max(awake)) <= REFUTE.to_duration());
    signs.alive && refuted && silence <= quiet_limit(listening.others).to_duration()
}

/// Returns the time without a sign of life after which a daemon is lost that nobody suspects.
pub fn quiet_limit(others: usize) -> Millis {
    QUIET.max(Millis(QUIET_EACH.0 * others as u64))
}

/// Returns whether a daemon is asked for a heartbeat whose every heartbeat should arrive here, by the time of
/// the last one.
pub fn is_unheard(now: Time, heartbeat: Option<Time>, awake: Time) -> bool {
    let heard = heartbeat.unwrap_or_default().max(awake);
    now.since(heard) > ASK.to_duration()
}

/// Returns whether a daemon is suspect that was asked for a heartbeat and hasn't answered.
pub fn is_silent(now: Time, asked: Time, awake: Time) -> bool {
    now.since(asked.max(awake)) > ASK.to_duration()
}

/// Returns whether a suspicion that gossip brings is refuted by a sign of life known here.
pub fn refutes(now: Time, sign: Option<Time>) -> bool {
    sign.is_some_and(|sign| now.since(sign) <= SILENCE.to_duration())
}

/// Returns whether others are still told of a suspect with this last sign of life: lost ones too, so that
/// everybody hears of them.
pub fn is_news(now: Time, sign: Time) -> bool {
    now.since(sign) <= NEWS.to_duration()
}

/// Returns since when this daemon has received nothing although it should; nothing while it does.
fn isolated_since(now: Time, listening: Listening) -> Option<Time> {
    let since = listening.heard.max(listening.awake) + SILENCE;
    (now > since).then_some(since)
}

fn earliest(one: Option<Time>, other: Option<Time>) -> Option<Time> {
    one.into_iter().chain(other).min()
}

/// Returns whether a lost daemon is forgotten whose last sign of life or mention was at `known`.
pub fn is_forgotten(now: Time, known: Time) -> bool {
    now.since(known) >= FORGET.to_duration()
}

/// Returns whether gossip of this age is worth knowing.
pub fn is_recent(age: Millis) -> bool {
    age < STALE_GOSSIP
}

/// Returns when a sign of life was received that is now of this age; at the earliest, the start of
/// this daemon.
pub fn sign_time(now: Time, age: Millis) -> Time {
    now - age
}

/// Returns whether a daemon has just started; times count from its start.
pub fn is_joining(now: Time) -> bool {
    now < Time::default() + JOINING
}
