//! Decides how many requests this daemon may send to an endpoint that advertises a rate limit.
//!
//! Inputs: the advertised rate (requests per second, from all daemons together), the number of known daemons (alive or
//! not), the time since this daemon last counted its share, and the daemons that want to send, with the urgency of
//! their requests.
//!
//! Rule: the rate is divided evenly among the daemons. Each daemon hands its share, as it accrues, to the coordinator
//! of the endpoint's service. The coordinator grants permits for whole requests to the daemons that claim one: the most
//! urgent claim first, then the daemon whose last permit is the oldest. Without a permit, nothing is sent to the
//! endpoint. Anything unused is lost: a share beyond `MAX_SHARE_TIME`, the coordinator's tokens beyond `MAX_POOL_TIME`,
//! and a permit after its [`permit_lifetime`].
//!
//! Reason: the shares add up to the advertised rate whatever daemons know about each other. Two daemons that both act
//! as coordinator have only the tokens that were handed to each. A daemon that gets all requests gets all permits.

use {
    crate::shared::units::{Millis, Rate, Time},
    serde::{Deserialize, Serialize},
    std::{cmp::Reverse, net::SocketAddr, time::Duration},
};

/// Minimum rate at which an endpoint gets requests even if it advertises less, so that the end of its limit is noticed.
pub const MIN_RATE: Rate = Rate(0.25);

/// Maximum accrual of a daemon's share, as a time at its rate: twice the interval between two reports.
const MAX_SHARE_TIME: Millis = Millis(1_000);

/// Maximum number of tokens that a coordinator holds beyond one whole request, as a time at the rate.
const MAX_POOL_TIME: Millis = Millis(250);

/// Maximum number of tokens that a coordinator accepts at once beyond one whole request, as a time at the rate. Shares
/// that were sent while its process was stalled arrive together, and `MAX_POOL_TIME` alone wouldn't limit them: each
/// would be granted before the next one arrives.
const MAX_DEPOSIT_TIME: Millis = Millis(1_000);

/// Bounds on the lifetime of a permit, and the number of requests that all valid permits together may stand for:
/// permits that a fleet saves up may all be used at once.
const SHORTEST_PERMIT_LIFETIME: Millis = Millis(500);
const LONGEST_PERMIT_LIFETIME: Millis = Millis(2_000);
const MAX_VALID_PERMITS: f64 = 4.0;

/// Divisor of a permit's lifetime: for this fraction of it, the permit is reserved for requests at least as urgent as
/// the claim that it was granted for.
const RESERVED_TIME_DIVISOR: u64 = 2;

/// Time for which a claim is valid. A claim outlives its requests by up to this time, and may then get a permit that
/// nobody uses.
pub const CLAIM_LIFETIME: Millis = Millis(150);

/// Interval after which a claim is renewed while there are requests for it.
pub const CLAIM_RENEWAL_INTERVAL: Millis = Millis(50);

/// Time after its last claim for which the coordinator remembers when a daemon got its last permit.
const CLAIMANT_RETENTION: Millis = Millis(10_000);

/// Divisor of a request's objective that gives the time it may wait for a permit, and the minimum of that time: a few
/// round trips to the coordinator.
const WAIT_DIVISOR: u64 = 4;
const SHORTEST_PERMIT_WAIT: Millis = Millis(50);

/// Minimum time by which a report that an endpoint advertises no limit has to be newer than what is known. A report's
/// age doesn't include its time on the network, so it seems newer than it is, and protecting an overloaded endpoint has
/// priority.
const LIMIT_END_MARGIN: Millis = Millis(20);

/// Time after the last reply that advertised a limit after which the endpoint gets the next request for which there is
/// a permit. The end of the limit is then noticed even if other endpoints would be chosen.
const PROBE_INTERVAL: Millis = Millis(2_000);

/// A number of requests, as in a token bucket; it may be fractional.
#[derive(Debug, Clone, Copy, Default, PartialEq, PartialOrd)]
pub struct Tokens(pub f64);

impl Tokens {
    /// One whole request.
    pub const ONE: Self = Self(1.0);

    /// Returns the requests that accrue at a rate in a time.
    fn of(rate: Rate, time: Millis) -> Self {
        Self(rate.0 * time.to_duration().as_secs_f64())
    }
}

/// Returns the rate at which an endpoint that advertises the rate `advertised` gets requests.
pub fn effective_rate(advertised: Rate) -> Rate {
    Rate(advertised.0.max(MIN_RATE.0))
}

/// Returns the time in which `tokens` accrue for an endpoint that advertises the rate `advertised`.
fn accrual_time(tokens: Tokens, advertised: Rate) -> Millis {
    let time = Duration::from_secs_f64(tokens.0 / effective_rate(advertised).0);
    Millis(time.as_millis() as u64)
}

/// Returns the lifetime of a permit for an endpoint that advertises the rate `advertised`.
pub fn permit_lifetime(advertised: Rate) -> Millis {
    accrual_time(Tokens(MAX_VALID_PERMITS), advertised)
        .clamp(SHORTEST_PERMIT_LIFETIME, LONGEST_PERMIT_LIFETIME)
}

/// Returns the maximum time for which a request with this objective may wait for a permit.
pub fn longest_wait(objective: Millis) -> Millis {
    Millis(objective.0 / WAIT_DIVISOR).max(SHORTEST_PERMIT_WAIT)
}

/// Returns whether a request may wait for a permit. `waiting` counts the requests of this daemon that are at least as
/// urgent, including this one; if they can't all get a permit within `wait`, the request is refused at once.
pub fn may_wait(waiting: usize, advertised: Rate, wait: Millis) -> bool {
    let expected = Tokens::of(effective_rate(advertised), wait).0.ceil();
    waiting as f64 <= expected.max(1.0)
}

/// Returns whether a report of time `reported` that an endpoint advertises no limit any more overrides what is known
/// since `known`.
pub fn may_end_limit(known: Time, reported: Time) -> bool {
    reported >= known + LIMIT_END_MARGIN
}

/// Returns whether an endpoint that last advertised a limit at `advertised` has to be probed.
pub fn is_probe_due(now: Time, advertised: Time) -> bool {
    now.since(advertised) >= PROBE_INTERVAL.to_duration()
}

/// A daemon's share of an advertised rate that it hasn't handed to the coordinator yet.
#[derive(Debug, Clone, Copy)]
pub struct RateShare {
    tokens: Tokens,
    counted: Time,
}

impl RateShare {
    /// Starts with an empty share.
    pub fn new(now: Time) -> Self {
        Self {
            tokens: Tokens::default(),
            counted: now,
        }
    }

    /// Adds what has accrued since the last count, where `daemons` daemons share the rate.
    pub fn accrue(&mut self, now: Time, advertised: Rate, daemons: usize) {
        let share = Rate(effective_rate(advertised).0 / daemons.max(1) as f64);
        let accrued = share.0 * now.since(self.counted).as_secs_f64();
        let most = Tokens::of(share, MAX_SHARE_TIME);
        self.tokens = Tokens((self.tokens.0 + accrued).min(most.0));
        self.counted = now;
    }

    /// Skips the time until now without accruing, because this daemon doesn't know the other daemons yet.
    pub fn skip_until(&mut self, now: Time) {
        self.counted = now;
    }

    /// Takes the whole share, to hand it to the coordinator.
    pub fn take(&mut self) -> Tokens {
        std::mem::take(&mut self.tokens)
    }
}

/// A daemon's claim to one permit: the urgency of its most urgent request; 0 goes first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Claim(pub u32);

/// A permit to send one request to an endpoint.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Permit {
    until: Time,
    reserved_until: Time,
    claim: Claim,
}

impl Permit {
    /// Grants a permit for a claim.
    pub fn new(now: Time, advertised: Rate, claim: Claim) -> Self {
        let lifetime = permit_lifetime(advertised);
        Self {
            until: now + lifetime,
            reserved_until: now + Millis(lifetime.0 / RESERVED_TIME_DIVISOR),
            claim,
        }
    }

    /// Returns whether the permit hasn't expired.
    pub fn is_valid(&self, now: Time) -> bool {
        now < self.until
    }

    /// Returns whether a request of an urgency may use the permit.
    pub fn serves(&self, now: Time, urgency: u32) -> bool {
        self.is_valid(now) && (Claim(urgency) <= self.claim || now >= self.reserved_until)
    }
}

/// A daemon that claimed permits, as its coordinator knows it.
#[derive(Debug, Clone, Copy)]
struct Claimant {
    address: SocketAddr,
    claim: Option<Claim>,
    claimed: Time,
    /// Time at which the daemon last got a permit; `None` if it never did.
    last_permit: Option<Time>,
}

impl Claimant {
    fn open_claim(&self, now: Time) -> Option<Claim> {
        let is_recent = now.since(self.claimed) < CLAIM_LIFETIME.to_duration();
        self.claim.filter(|_| is_recent)
    }
}

/// The tokens that daemons handed to a coordinator for one endpoint, and the daemons that claim permits.
#[derive(Debug, Clone, Default)]
pub struct PermitPool {
    tokens: Tokens,
    /// Tokens that may still be accepted, and the time when they were last updated.
    acceptable: Tokens,
    counted: Option<Time>,
    claimants: Vec<Claimant>,
}

impl PermitPool {
    /// Adds the tokens that a daemon hands over.
    pub fn deposit(&mut self, now: Time, advertised: Rate, tokens: Tokens) {
        self.update_acceptable(now, advertised);
        let accepted = tokens.0.min(self.acceptable.0);
        self.acceptable.0 -= accepted;
        let most = Tokens::ONE.0 + Tokens::of(effective_rate(advertised), MAX_POOL_TIME).0;
        self.tokens = Tokens((self.tokens.0 + accepted).min(most));
    }

    /// Updates the number of tokens that may be accepted: it accrues at the rate.
    fn update_acceptable(&mut self, now: Time, advertised: Rate) {
        let rate = effective_rate(advertised);
        let most = Tokens::ONE.0 + Tokens::of(rate, MAX_DEPOSIT_TIME).0;
        let accrued = self
            .counted
            .map_or(most, |counted| rate.0 * now.since(counted).as_secs_f64());
        self.acceptable = Tokens((self.acceptable.0 + accrued).min(most));
        self.counted = Some(now);
    }

    /// Records the claim of a daemon; it replaces the daemon's previous claim.
    pub fn claim(&mut self, now: Time, address: SocketAddr, claim: Claim) {
        let mut known = self.claimants.iter_mut();
        match known.find(|known| known.address == address) {
            Some(known) => (known.claim, known.claimed) = (Some(claim), now),
            None => self.claimants.push(Claimant {
                address,
                claim: Some(claim),
                claimed: now,
                last_permit: None,
            }),
        }
    }

    /// Grants one permit and returns the daemon that gets it; `None` without a whole token or a valid claim.
    pub fn grant(&mut self, now: Time) -> Option<SocketAddr> {
        if self.tokens < Tokens::ONE {
            return None;
        }
        let claimants = self.claimants.iter_mut();
        let open = claimants.filter_map(|one| Some((one.open_claim(now)?, one)));
        // Of equal claims, the most recent one is the most likely to be still wanted.
        let (_, first) =
            open.min_by_key(|(claim, one)| (*claim, one.last_permit, Reverse(one.claimed)))?;
        first.claim = None;
        first.last_permit = Some(now);
        let address = first.address;
        self.tokens.0 -= Tokens::ONE.0;
        Some(address)
    }

    /// Returns the time after which the daemon at `address`, which has no permit, may expect one for its claim.
    pub fn wait(&self, now: Time, advertised: Rate, address: SocketAddr) -> Millis {
        let claimants = self.claimants.iter();
        let claim = claimants.clone().find(|one| one.address == address);
        let claim = claim.and_then(|one| one.open_claim(now));
        let claim = claim.unwrap_or(Claim(u32::MAX));
        let others = claimants.filter(|one| one.address != address);
        let open = others.filter_map(|one| one.open_claim(now));
        let ahead = open.filter(|other| *other <= claim).count();
        let missing = ahead as f64 + Tokens::ONE.0 - self.tokens.0;
        accrual_time(Tokens(missing.max(0.0)), advertised)
    }

    /// Forgets daemons that haven't claimed a permit for `CLAIMANT_RETENTION`.
    pub fn expire(&mut self, now: Time) {
        let is_recent = |one: &Claimant| now.since(one.claimed) < CLAIMANT_RETENTION.to_duration();
        self.claimants.retain(is_recent);
    }
}
