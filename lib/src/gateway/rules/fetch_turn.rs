//! Does a daemon ask another one now for what is newer there, or leave its time to others first?
//!
//! Inputs: the number of daemons alive; of those whose heartbeats came here within the last second, how many there are
//! and how many have what is newer, told apart by whether they send their heartbeats to everybody; a random fraction.
//!
//! Rule: a daemon asks with a probability of [`ASKERS`] times the part of the fleet that has it, drawn anew with each
//! heartbeat. That part is estimated by the heartbeats that came here; a daemon that sends to everybody is heard by
//! all, and counts as one of the fleet.
//!
//! Reason: what one daemon tells everybody, all want at the same moment, from the only one that has it. Asked by
//! [`ASKERS`] for each daemon that has it, those can answer, and each that has got it is asked next: the time until
//! everybody has it grows with the logarithm of the fleet, and no daemon is asked by more of a larger one.
//!
//! Tests: `lib/tests/test_fetch_turn.rs`.

use crate::shared::units::Millis;

/// Daemons that ask each one that has something newer, within a heartbeat.
pub const ASKERS: usize = 12;

/// Daemons up to which everybody may ask at once where five have something newer, as the coordinators of five services
/// do.
const AT_ONCE: usize = ASKERS * 5;

/// Time that news takes from those that have it to [`ASKERS`] times as many. One heartbeat.
const STEP: Millis = Millis(200);

/// Age up to which a heartbeat tells what its sender has now. Five heartbeats.
pub const FRESH: Millis = Millis(1_000);

/// Who has something newer, by the heartbeats that came here lately.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Holders {
    /// Daemons that were heard and don't send to everybody.
    pub heard: usize,
    /// Those of them that have it.
    pub holding: usize,
    /// Daemons that send to everybody and have it.
    pub broadcasting: usize,
}

impl Holders {
    /// Counts a daemon that was heard.
    pub fn add(&mut self, broadcasts: bool, has: bool) {
        if broadcasts {
            self.broadcasting += usize::from(has);
        } else {
            self.heard += 1;
            self.holding += usize::from(has);
        }
    }

    /// Estimates the part of a fleet that has it.
    fn part(self, daemons: usize) -> f64 {
        self.others_part() + self.broadcasting_part(daemons)
    }

    fn others_part(self) -> f64 {
        self.holding as f64 / self.heard.max(1) as f64
    }

    fn broadcasting_part(self, daemons: usize) -> f64 {
        self.broadcasting as f64 / daemons.max(1) as f64
    }
}

/// Which of the daemons that have something newer are asked for it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Sources {
    /// Any.
    Any,
    /// Those that send to everybody.
    Broadcasting,
    /// The others.
    Others,
}

impl Sources {
    /// Returns whether a daemon is among them.
    pub fn include(self, broadcasts: bool) -> bool {
        match self {
            Self::Any => true,
            Self::Broadcasting => broadcasts,
            Self::Others => !broadcasts,
        }
    }
}

/// Returns which daemons are asked; `fraction` is random, from 0 up to 1. One that sends to everybody is known to all, so
/// that it is asked by its part among those that have it, not by everybody who hears of few others.
pub fn sources(holders: Holders, daemons: usize, fraction: f64) -> Sources {
    if !is_spread(daemons) {
        return Sources::Any;
    }
    let broadcasting = holders.broadcasting_part(daemons) / holders.part(daemons);
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

/// Returns whether a daemon asks now whatever is drawn.
pub fn is_certain(holders: Holders, daemons: usize) -> bool {
    chance(holders, daemons) >= 1.0
}

fn chance(holders: Holders, daemons: usize) -> f64 {
    holders.part(daemons) * ASKERS as f64
}

/// Returns whether news takes several steps to reach a fleet of so many daemons.
pub fn is_spread(daemons: usize) -> bool {
    daemons > AT_ONCE
}

/// Returns the time by which news that somebody has may take longer to come here than in a small fleet.
pub fn spread_time(daemons: usize) -> Millis {
    let mut steps = 0;
    let mut reached = AT_ONCE;
    while reached < daemons {
        reached *= ASKERS;
        steps += 1;
    }
    Millis(STEP.0 * steps)
}
