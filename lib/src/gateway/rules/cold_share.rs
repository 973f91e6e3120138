//! May this daemon send a request to a cold endpoint now?
//!
//! Inputs: the requests that a cold endpoint bears within one second from all daemons together (a
//! count), the daemons known, alive or not, the time since this daemon last sent it one, and a random
//! phase (a fraction) that this daemon drew for the endpoint.
//!
//! Rule: daemons that are no more than the endpoint bears requests in a second each send it a whole
//! share of them, evenly spaced. Daemons that are more have turns: each may send one request within the
//! `TURN` that comes round with its own phase, so often that all of them together send `MEAN_PART` of
//! what the endpoint bears on average. A turn that isn't used is over. A daemon that doesn't know its
//! fleet yet sends nothing.
//!
//! Reason: an endpoint that has just started falls over at more, and daemons agree on nothing. Shares
//! that are saved up would all be spent in the same second once a key becomes hot; turns with phases of
//! their own never meet by more than chance. 295 daemons that each want to send at any moment exceeded
//! 20 requests in a second in none of 120 seconds (test `large_fleet_turns`).
//!
//! What the fleet sends doesn't depend on who is alive: a daemon that is cut off counts those that it
//! knew.

use {
    crate::shared::units::{Millis, Time},
    std::time::Duration,
};

/// Longest turn of one daemon. Long enough that some request comes in it.
const TURN: Millis = Millis(1_000);

/// Part of what an endpoint bears that daemons send on average where they have turns. Worked out: at a
/// mean of 6 a second, 21 or more come together in 1 of 690,000 seconds.
const MEAN_PART: f64 = 0.3;

/// Time over which daemons with whole shares spread them, in seconds: the tenth beyond one second is for requests that
/// take unlike times on their way.
const SPREAD_S: f64 = 1.1;

/// What this daemon may send to each cold endpoint of a service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum ColdShare {
    /// The service's cold endpoints bear as much as others.
    Unlimited,
    /// Nothing.
    Nothing,
    /// A request at least so long after the one before.
    Spaced(Duration),
    /// A request in each turn; turns come round after this time.
    Turns(Duration),
}

impl ColdShare {
    /// Returns the share of one of so many daemons, where an endpoint bears `bearable` requests in a second;
    /// nothing if it bears any number.
    pub fn new(bearable: Option<f64>, daemons: usize) -> Self {
        let Some(bearable) = bearable else {
            return Self::Unlimited;
        };
        let daemons = daemons.max(1) as f64;
        let whole = (bearable / daemons).floor();
        if whole >= 1.0 {
            return Self::Spaced(Duration::from_secs_f64(SPREAD_S / whole));
        }
        let mean = bearable.max(1.0) * MEAN_PART;
        Self::Turns(Duration::from_secs_f64(daemons / mean))
    }

    /// Returns whether a request may be sent now; `last` is when this daemon last sent the endpoint one,
    /// `phase` its phase there, from 0 up to 1.
    pub fn may_send(&self, now: Time, last: Option<Time>, phase: f64) -> bool {
        let waited = |least: Duration| last.is_none_or(|last| now.since(last) >= least);
        match *self {
            Self::Unlimited => true,
            Self::Nothing => false,
            Self::Spaced(interval) => waited(interval),
            // Half a round before, the last turn was over, or this one hadn't begun.
            Self::Turns(round) => is_turn(now, round, phase) && waited(round / 2),
        }
    }
}

fn is_turn(now: Time, round: Duration, phase: f64) -> bool {
    let rounds = now.since(Time::default()).as_secs_f64() / round.as_secs_f64() + phase;
    round.mul_f64(rounds.fract()) < TURN.to_duration().min(round / 2)
}
