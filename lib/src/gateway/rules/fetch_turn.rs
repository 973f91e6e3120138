//! Decides whether a daemon asks another one now for something newer, or lets others ask first.
//!
//! Inputs: the number of daemons alive; of the daemons whose heartbeats arrived here within the last second, how many
//! there are and how many have the newer state, counted separately for those that send their heartbeats to everybody; a
//! random fraction.
//!
//! Rule: a daemon asks with a probability of [`ASKERS_PER_HOLDER`] times the fraction of the fleet that has the newer
//! state, drawn anew with each heartbeat. That fraction is estimated from the heartbeats that arrived here. A daemon
//! that sends to everybody is received by all, so it counts as one daemon of the whole fleet.
//!
//! Reason: when one daemon announces something to everybody, all want it at the same moment from the only daemon that
//! has it. If only [`ASKERS_PER_HOLDER`] ask each daemon that has it, those can be answered, and each that has received
//! it is asked next. The time until everybody has it grows with the logarithm of the fleet, and no daemon is asked by
//! more others in a larger fleet.
//!
//! Tests: `lib/tests/test_fetch_turn.rs`.

use crate::shared::units::Millis;

/// Number of daemons that ask each daemon with something newer, within a heartbeat.
pub const ASKERS_PER_HOLDER: usize = 12;

/// Largest number of daemons at which everybody may ask at once if five daemons have something newer, as the
/// coordinators of five services do.
const MAX_UNLIMITED_FLEET: usize = ASKERS_PER_HOLDER * 5;

/// Time in which the number of daemons that have something newer grows by a factor of [`ASKERS_PER_HOLDER`]. One
/// heartbeat.
const SPREAD_STEP: Millis = Millis(200);

/// Age up to which a heartbeat shows what its sender has now. Five heartbeats.
pub const MAX_HEARTBEAT_AGE: Millis = Millis(1_000);

/// Numbers of daemons with something newer, by the heartbeats that were received recently.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Holders {
    /// Number of daemons whose heartbeats were received and that don't send to everybody.
    pub received: usize,
    /// Number of those that have it.
    pub holding: usize,
    /// Number of daemons that send to everybody and have it.
    pub broadcasting: usize,
}

impl Holders {
    /// Counts a daemon whose heartbeat was received.
    pub fn add(&mut self, broadcasts: bool, has: bool) {
        if broadcasts {
            self.broadcasting += usize::from(has);
        } else {
            self.received += 1;
            self.holding += usize::from(has);
        }
    }

    /// Estimates the fraction of a fleet that has it.
    fn fraction(self, daemons: usize) -> f64 {
        self.others_fraction() + self.broadcasting_fraction(daemons)
    }

    fn others_fraction(self) -> f64 {
        self.holding as f64 / self.received.max(1) as f64
    }

    fn broadcasting_fraction(self, daemons: usize) -> f64 {
        self.broadcasting as f64 / daemons.max(1) as f64
    }
}

/// The daemons with something newer that are asked for it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Sources {
    /// All of them.
    Any,
    /// Those that send their heartbeats to everybody.
    Broadcasting,
    /// Those that don't.
    Others,
}

impl Sources {
    /// Returns whether a daemon is among them, by whether it sends to everybody.
    pub fn include(self, broadcasts: bool) -> bool {
        match self {
            Self::Any => true,
            Self::Broadcasting => broadcasts,
            Self::Others => !broadcasts,
        }
    }
}

/// Returns which daemons are asked; `fraction` is random, from 0 up to 1. A daemon that sends to everybody is known to
/// all, so it is chosen in proportion to the estimated number of daemons with the newer state. Otherwise, everybody
/// that receives few other heartbeats would ask it.
pub fn sources(holders: Holders, daemons: usize, fraction: f64) -> Sources {
    if !is_spread(daemons) {
        return Sources::Any;
    }
    let broadcasting = holders.broadcasting_fraction(daemons) / holders.fraction(daemons);
    if fraction < broadcasting {
        Sources::Broadcasting
    } else {
        Sources::Others
    }
}

/// Returns whether a daemon asks now; `fraction` is random, from 0 up to 1.
pub fn is_turn(holders: Holders, daemons: usize, fraction: f64) -> bool {
    fraction < chance(holders, daemons)
}

/// Returns whether a daemon asks now for any random fraction.
pub fn is_certain(holders: Holders, daemons: usize) -> bool {
    chance(holders, daemons) >= 1.0
}

fn chance(holders: Holders, daemons: usize) -> f64 {
    holders.fraction(daemons) * ASKERS_PER_HOLDER as f64
}

/// Returns whether something newer takes several steps to reach a fleet of this number of daemons.
pub fn is_spread(daemons: usize) -> bool {
    daemons > MAX_UNLIMITED_FLEET
}

/// Returns by how much longer something newer may take to arrive here than in a small fleet.
pub fn spread_time(daemons: usize) -> Millis {
    let mut steps = 0;
    let mut reached = MAX_UNLIMITED_FLEET;
    while reached < daemons {
        reached *= ASKERS_PER_HOLDER;
        steps += 1;
    }
    Millis(SPREAD_STEP.0 * steps)
}
