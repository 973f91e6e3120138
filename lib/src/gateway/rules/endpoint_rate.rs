//! How many requests may this daemon send to an endpoint that names the rate it takes?
//!
//! Inputs: the rate that the endpoint names (requests a second, of all daemons together), the daemons known, alive or
//! not, the time since this daemon last counted its share, and the daemons that want to send, with the urgency of their
//! requests.
//!
//! Rule: the rate is divided evenly among the daemons, and each hands its share, as it comes with time, to the
//! coordinator of the endpoint's service. The coordinator gives permits for whole requests to those that want to send:
//! the most urgent first, then whoever has waited longest for one. Without a permit nothing is sent there. What isn't
//! used is lost: a share beyond `SHARE_KEPT`, what is beyond `POOL_KEPT` at the coordinator, a permit after its
//! [`permit_life`].
//!
//! Reason: the sum of all shares is the rate, whatever daemons know of each other, so that two coordinators have what is
//! handed to each and no more. A daemon that has all the callers gets all the permits.

use {
    crate::shared::units::{Millis, Rate, Time},
    serde::{Deserialize, Serialize},
    std::{cmp::Reverse, net::SocketAddr, time::Duration},
};

/// Rate that an endpoint gets whatever it names, so that somebody notices when it takes more again.
pub const LEAST_RATE: Rate = Rate(0.25);

/// Time for which a daemon's share is kept: twice the time between two reports.
const SHARE_KEPT: Millis = Millis(1_000);

/// Time whose rate a coordinator keeps beside one whole request.
const POOL_KEPT: Millis = Millis(250);

/// Time whose rate a coordinator takes at once beside one whole request: what was handed on while it stood still arrives
/// all together, and each part would be given away before the next one comes.
const TAKEN_AT_ONCE: Millis = Millis(1_000);

/// Shortest and longest life of a permit, and the requests that all permits together may stand for: what a fleet saves
/// up may all be sent at once.
const SHORTEST_PERMIT: Millis = Millis(500);
const LONGEST_PERMIT: Millis = Millis(2_000);
const PERMITS_KEPT: f64 = 4.0;

/// Part of its life, as a divisor, for which a permit is kept for requests as urgent as the one for which it was given.
const PERMIT_RESERVED: u64 = 2;

/// Time for which a claim counts. It outlives its requests by as much, and may get a permit that nobody uses.
pub const CLAIM_LIFE: Millis = Millis(150);

/// Time after which a claim is renewed while there are requests for it.
pub const CLAIM_RENEWAL: Millis = Millis(50);

/// Time for which it is remembered when a daemon got its last permit.
const CLAIMANT_KEPT: Millis = Millis(10_000);

/// Part of a request's objective for which it may wait for a permit, and the least such wait: some round trips
/// to the coordinator.
const WAIT_PART: u64 = 4;
const SHORTEST_PERMIT_WAIT: Millis = Millis(50);

/// Time by which news that an endpoint names no rate has to be later than what is known: the age of news grows by its
/// way, and an endpoint in need has to be spared first.
const END_MARGIN: Millis = Millis(20);

/// Time after the last reply that named a rate after which the endpoint gets the next request for which there is a
/// permit, so that the end of its need is noticed also where others would be chosen.
const UNHEARD: Millis = Millis(2_000);

/// A number of requests, parts of one included.
#[derive(Debug, Clone, Copy, Default, PartialEq, PartialOrd)]
pub struct Tokens(pub f64);

impl Tokens {
    /// One request.
    pub const ONE: Self = Self(1.0);

    fn of(rate: Rate, time: Millis) -> Self {
        Self(rate.0 * time.to_duration().as_secs_f64())
    }
}

/// Returns the rate that an endpoint gets which names one.
pub fn kept_rate(named: Rate) -> Rate {
    Rate(named.0.max(LEAST_RATE.0))
}

/// Returns the time in which so many requests come at the rate that an endpoint gets.
fn time_of(tokens: Tokens, named: Rate) -> Millis {
    let time = Duration::from_secs_f64(tokens.0 / kept_rate(named).0);
    Millis(time.as_millis() as u64)
}

/// Returns the time for which a permit may be used.
pub fn permit_life(named: Rate) -> Millis {
    time_of(Tokens(PERMITS_KEPT), named).clamp(SHORTEST_PERMIT, LONGEST_PERMIT)
}

/// Returns the time for which a request with that objective may wait for a permit.
pub fn longest_wait(objective: Millis) -> Millis {
    Millis(objective.0 / WAIT_PART).max(SHORTEST_PERMIT_WAIT)
}

/// Returns whether a request waits for a permit, as one of so many in this daemon that are no less urgent, it included:
/// those that can't all get one in `wait` are refused at once.
pub fn may_wait(waiting: usize, named: Rate, wait: Millis) -> bool {
    let expected = Tokens::of(kept_rate(named), wait).0.ceil();
    waiting as f64 <= expected.max(1.0)
}

/// Returns whether news that an endpoint names no rate any more stands against what is known since `known`.
pub fn may_end(known: Time, news: Time) -> bool {
    news >= known + END_MARGIN
}

/// Returns whether an endpoint that last named a rate at `named` is to be asked again.
pub fn is_look_due(now: Time, named: Time) -> bool {
    now.since(named) >= UNHEARD.to_duration()
}

/// A daemon's share of a rate, as far as it wasn't handed on.
#[derive(Debug, Clone, Copy)]
pub struct RateShare {
    tokens: Tokens,
    counted: Time,
}

impl RateShare {
    /// Starts with nothing.
    pub fn new(now: Time) -> Self {
        Self {
            tokens: Tokens::default(),
            counted: now,
        }
    }

    /// Adds what has come since it was last counted, as one of so many daemons.
    pub fn count(&mut self, now: Time, named: Rate, daemons: usize) {
        let part = Rate(kept_rate(named).0 / daemons.max(1) as f64);
        let come = part.0 * now.since(self.counted).as_secs_f64();
        let most = Tokens::of(part, SHARE_KEPT);
        self.tokens = Tokens((self.tokens.0 + come).min(most.0));
        self.counted = now;
    }

    /// Leaves out the time until now: this daemon doesn't know the others yet.
    pub fn skip(&mut self, now: Time) {
        self.counted = now;
    }

    /// Hands on all of it.
    pub fn take(&mut self) -> Tokens {
        std::mem::take(&mut self.tokens)
    }
}

/// A daemon's wish for one permit: the urgency of its most urgent request; 0 goes first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Claim(pub u32);

/// A permit to send one request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Permit {
    until: Time,
    reserved_until: Time,
    claim: Claim,
}

impl Permit {
    /// Gives a permit for a claim.
    pub fn new(now: Time, named: Rate, claim: Claim) -> Self {
        let life = permit_life(named);
        Self {
            until: now + life,
            reserved_until: now + Millis(life.0 / PERMIT_RESERVED),
            claim,
        }
    }

    /// Returns whether it may be used at all.
    pub fn is_valid(&self, now: Time) -> bool {
        now < self.until
    }

    /// Returns whether a request of some urgency may use it.
    pub fn serves(&self, now: Time, urgency: u32) -> bool {
        self.is_valid(now) && (Claim(urgency) <= self.claim || now >= self.reserved_until)
    }
}

/// A claim that a coordinator knows.
#[derive(Debug, Clone, Copy)]
struct Claimant {
    address: SocketAddr,
    claim: Option<Claim>,
    claimed: Time,
    /// When it last got a permit.
    served: Option<Time>,
}

impl Claimant {
    fn open_claim(&self, now: Time) -> Option<Claim> {
        let is_recent = now.since(self.claimed) < CLAIM_LIFE.to_duration();
        self.claim.filter(|_| is_recent)
    }
}

/// What the daemons handed to a coordinator, and who wants to send.
#[derive(Debug, Clone, Default)]
pub struct PermitPool {
    tokens: Tokens,
    /// What may still be taken, and when that was last counted.
    room: Tokens,
    counted: Option<Time>,
    claimants: Vec<Claimant>,
}

impl PermitPool {
    /// Adds what a daemon hands on.
    pub fn deposit(&mut self, now: Time, named: Rate, tokens: Tokens) {
        self.count_room(now, named);
        let taken = tokens.0.min(self.room.0);
        self.room.0 -= taken;
        let most = Tokens::ONE.0 + Tokens::of(kept_rate(named), POOL_KEPT).0;
        self.tokens = Tokens((self.tokens.0 + taken).min(most));
    }

    /// Counts what may be taken: the rate as it comes with time.
    fn count_room(&mut self, now: Time, named: Rate) {
        let rate = kept_rate(named);
        let most = Tokens::ONE.0 + Tokens::of(rate, TAKEN_AT_ONCE).0;
        let come = self
            .counted
            .map_or(most, |counted| rate.0 * now.since(counted).as_secs_f64());
        self.room = Tokens((self.room.0 + come).min(most));
        self.counted = Some(now);
    }

    /// Records what a daemon wants to send; it stands in place of what it wanted before.
    pub fn claim(&mut self, now: Time, address: SocketAddr, claim: Claim) {
        let mut known = self.claimants.iter_mut();
        match known.find(|known| known.address == address) {
            Some(known) => (known.claim, known.claimed) = (Some(claim), now),
            None => self.claimants.push(Claimant {
                address,
                claim: Some(claim),
                claimed: now,
                served: None,
            }),
        }
    }

    /// Gives one permit to the daemon that goes first; nothing without a whole token or a claim.
    pub fn grant(&mut self, now: Time) -> Option<SocketAddr> {
        if self.tokens < Tokens::ONE {
            return None;
        }
        let claimants = self.claimants.iter_mut();
        let open = claimants.filter_map(|one| Some((one.open_claim(now)?, one)));
        // Of equal ones, the latest claim is the one that surely still stands.
        let (_, first) =
            open.min_by_key(|(claim, one)| (*claim, one.served, Reverse(one.claimed)))?;
        first.claim = None;
        first.served = Some(now);
        let address = first.address;
        self.tokens.0 -= Tokens::ONE.0;
        Some(address)
    }

    /// Returns the time after which a daemon without a permit may expect the first one of its claim.
    pub fn wait(&self, now: Time, named: Rate, address: SocketAddr) -> Millis {
        let claimants = self.claimants.iter();
        let mine = claimants.clone().find(|one| one.address == address);
        let mine = mine.and_then(|one| one.open_claim(now));
        let mine = mine.unwrap_or(Claim(u32::MAX));
        let others = claimants.filter(|one| one.address != address);
        let open = others.filter_map(|one| one.open_claim(now));
        let ahead = open.filter(|claim| *claim <= mine).count();
        let missing = ahead as f64 + Tokens::ONE.0 - self.tokens.0;
        time_of(Tokens(missing.max(0.0)), named)
    }

    /// Forgets who hasn't wanted anything for a while.
    pub fn expire(&mut self, now: Time) {
        let kept = |one: &Claimant| now.since(one.claimed) < CLAIMANT_KEPT.to_duration();
        self.claimants.retain(kept);
    }
}
