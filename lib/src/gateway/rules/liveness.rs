//! Is another daemon alive, lost, or to be forgotten?
//!
//! Inputs: the times (microseconds of this daemon's clock) of its last heartbeat here and of its
//! last sign of life anywhere, as gossip brought it; whether it sends each heartbeat to everybody;
//! whether the fleet is small; when this process last woke from a pause.
//!
//! Rule: a daemon whose every heartbeat should arrive here, because the fleet is small or because
//! it broadcasts, is alive while its last heartbeat is at most [`SILENCE`] old. Any other daemon
//! is alive while its last sign of life is at most [`GOSSIP_SILENCE`] old. Time before the end of
//! a pause of this process isn't silence of a daemon that was alive when the pause began. A daemon
//! that is lost is forgotten [`FORGET`] after its last sign of life, and gossip older than half of
//! that is ignored.
//!
//! Reason: where few heartbeats are received of each daemon, one second of silence means nothing;
//! where all should arrive, five missed ones mean that the daemon or the way to it is gone. Each
//! daemon judges for itself: a partition loses nobody for those that still receive heartbeats.
//!
//! Measured: gossip against direct heartbeats in `docs/MEASUREMENTS.md`, section "The second
//! milestone: the grown sites"; test `coordinator_replacement`. The single
//! figures are chosen, not measured.

use crate::shared::units::{Millis, Time};

/// Time without a heartbeat after which a daemon is lost whose every heartbeat should arrive.
/// Chosen, not measured: five heartbeats.
pub const SILENCE: Millis = Millis(1_000);

/// Time without a sign of life after which a daemon known by gossip is lost. Chosen, not measured.
pub const GOSSIP_SILENCE: Millis = Millis(2_500);

/// Time after which the address of a lost daemon is forgotten. Chosen, not measured.
pub const FORGET: Millis = Millis(60_000);

/// Age from which gossip is ignored: half of the time for which addresses are kept, so that
/// daemons don't go on reminding each other of a dead one.
pub const STALE_GOSSIP: Millis = Millis(FORGET.0 / 2);

/// Time after its start during which a daemon asks for the roster of all daemons. Chosen, not
/// measured.
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
}

/// Conditions under which this daemon receives signs of life.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Listening {
    /// Set if the fleet is so small that every heartbeat goes to everybody.
    pub small_fleet: bool,
    /// When this process last woke from a pause; zero if there was none.
    pub awake: Time,
}

/// Returns whether a daemon counts as alive.
pub fn is_alive(now: Time, signs: LifeSigns, listening: Listening) -> bool {
    let (last, silence) = if listening.small_fleet || signs.broadcasts {
        (signs.heartbeat, SILENCE)
    } else {
        (signs.sign, GOSSIP_SILENCE)
    };
    // Only a daemon that was alive is excused for what was missed in a pause.
    let awake = if signs.alive {
        listening.awake
    } else {
        Time::default()
    };
    last.is_some_and(|last| now.since(last.max(awake)) <= silence.to_duration())
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
