//! Decides whether this daemon may send a request to a cold endpoint now.
//!
//! Inputs: the number of requests per second that a cold endpoint can take from all daemons together, the number of
//! known daemons (alive or not), the time since this daemon last sent it a request, and a random phase (from 0 up to 1)
//! that this daemon drew for the endpoint.
//!
//! Rule: if the endpoint can take at least one request per second from each daemon, each daemon sends its whole share,
//! evenly spaced. Otherwise daemons take turns: each may send one request within a time slot of length `LONGEST_TURN`.
//! The slot recurs at the daemon's phase, at an interval with which all daemons together send `MEAN_FRACTION` of what
//! the endpoint can take on average. An unused turn is lost. A daemon that doesn't know the other daemons yet sends
//! nothing.
//!
//! Reason: an endpoint that has just started fails under more load, and daemons don't coordinate. Shares that
//! accumulate would all be used in the same second once a key becomes hot; turns with random phases coincide only by
//! chance. With 295 daemons that want to send at any moment, the endpoint got more than 20 requests in none of 120
//! seconds (test `large_fleet_turns`).
//!
//! The rate of the fleet doesn't depend on which daemons are alive: a daemon that loses contact counts those that it
//! knew.

use {
    crate::shared::units::{Millis, Time},
    std::time::Duration,
};

/// Maximum length of a daemon's turn, long enough that a request usually arrives in it.
const LONGEST_TURN: Millis = Millis(1_000);

/// Fraction of an endpoint's capacity that daemons use on average when they take turns. By calculation, at a mean of 6
/// requests per second, 21 or more coincide in 1 of 690,000 seconds.
const MEAN_FRACTION: f64 = 0.3;

/// Time over which a daemon spreads its whole share, in seconds. The tenth beyond one second covers requests that take
/// different times on the network.
const SPREAD_S: f64 = 1.1;

/// Share of the requests to each cold endpoint of a service that this daemon may send.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum ColdShare {
    /// No limit: cold endpoints of the service can take as much as others.
    Unlimited,
    /// No requests.
    Nothing,
    /// One request at most in each interval of this length.
    Spaced(Duration),
    /// One request in each turn; turns recur after this time.
    Turns(Duration),
}

impl ColdShare {
    /// Returns the share of one of `daemons` daemons if an endpoint can take `capacity` requests per second; `None`
    /// means any number.
    pub fn new(capacity: Option<f64>, daemons: usize) -> Self {
        let Some(capacity) = capacity else {
            return Self::Unlimited;
        };
        let daemons = daemons.max(1) as f64;
        let whole = (capacity / daemons).floor();
        if whole >= 1.0 {
            return Self::Spaced(Duration::from_secs_f64(SPREAD_S / whole));
        }
        let mean = capacity.max(1.0) * MEAN_FRACTION;
        Self::Turns(Duration::from_secs_f64(daemons / mean))
    }

    /// Returns whether a request may be sent now. `last` is the time when this daemon last sent one to the endpoint,
    /// and `phase` its phase there, from 0 up to 1.
    pub fn may_send(&self, now: Time, last: Option<Time>, phase: f64) -> bool {
        let waited = |least: Duration| last.is_none_or(|last| now.since(last) >= least);
        match *self {
            Self::Unlimited => true,
            Self::Nothing => false,
            Self::Spaced(interval) => waited(interval),
            // A turn lasts at most half a round, so a request half a round ago belongs to an earlier turn.
            Self::Turns(round) => is_turn(now, round, phase) && waited(round / 2),
        }
    }
}

fn is_turn(now: Time, round: Duration, phase: f64) -> bool {
    let rounds = now.since(Time::default()).as_secs_f64() / round.as_secs_f64() + phase;
    round.mul_f64(rounds.fract()) < LONGEST_TURN.to_duration().min(round / 2)
}
