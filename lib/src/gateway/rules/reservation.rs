//! Decides when a refused request will be served, who may have a reservation, and which claims are granted.
//!
//! Load addressed: bursts of 1.5 to 4 times the capacity of the stages, in which refused callers return together and are
//! refused again.
//!
//! Inputs: the expected and the allowed time of the refused request (milliseconds), the time that its caller has left,
//! the expected time if it came later, the time that the stages need for the waiting reservations, the number of waiting
//! reservations of the daemon and of the customer, and the times at which a reservation was made and is due.
//!
//! Rule: the backlog shrinks by one millisecond of expected time per millisecond while it isn't refilled. The shortest
//! wait is the one after which the expected time, behind all pieces that go ahead by then, has fallen to the allowed
//! time, and at least [`SHORTEST_WAIT`]. The longest one is a third of the time left, and leaves the allowed time until
//! the deadline. There is no reservation if the shortest wait exceeds the longest, or if the stages need more than the
//! longest wait for the reservations that wait already. The request waits for the longest time, less a part of
//! `SPREAD_SHARE` that its digest determines. A claim is granted from half of the wait, at most `CLAIM_EARLY`, before
//! the reservation is due until [`CLAIM_LATE`] after it. The pieces of a granted request are ordered as if it had
//! arrived earlier, by [`lead`]. Its pieces count as outstanding for `COUNTED_LATE` from the time at which it is due
//! on, those of as many reservations as callers returned lately ([`ReturnShare`]).
//!
//! Reason: a caller waits for no more than a third of the time that it has left, and returns once. A reserved request is
//! worth less than one that is served at once, so it should go where a burst has ended. In virtual time
//! (`test_reservation_bursts`, three seeds, bursts of 1.5 s with twice the capacity, all callers return), the value was
//! 1,491 without reservations, 1,543 with the shortest waits and pieces that count from the refusal on, and 1,664 with
//! this rule; with 0.9 times the capacity it was 1,692, 1,244 and 1,724.
//!
//! See `docs/design/reservations.md`.

use {
    crate::{
        gateway::rules::holders,
        shared::units::{Millis, Time, WorkMillis},
    },
    std::net::SocketAddr,
};

/// Number of daemons that hold a reservation; one of them may be lost.
pub const RESERVATION_HOLDERS: usize = 2;

/// Longest time for which a request waits for the holders' answers. A holder on a busy host may answer after a tenth of a
/// second; one that doesn't answer isn't taken for one that knows of no reservation before.
pub const CLAIM_WAIT: Millis = Millis(100);

/// Shortest wait of a refused caller. A shorter one ends before other daemons know of the reservation's pieces.
pub const SHORTEST_WAIT: Millis = Millis(50);

/// Part of the longest wait over which due times are spread, so that the callers of one moment don't return together.
const SPREAD_SHARE: f64 = 0.15;

/// A caller waits for no more than this part of the time that it has left.
const WAIT_DIVISOR: u64 = 3;

/// Difference below which a wait counts as found; times of single calls differ by more.
const WAIT_PRECISION_MS: f64 = 10.0;

/// Maximum number of estimates for one wait. Each takes the time of one admission.
const MAX_ESTIMATES: usize = 4;

/// Longest time before a reservation is due from which it can be claimed, since callers round their waits.
const CLAIM_EARLY: Millis = Millis(100);

/// Time after a reservation is due until which it can be claimed: a few times what a new connection takes.
pub const CLAIM_LATE: Millis = Millis(500);

/// Time after a reservation is due for which its pieces count as outstanding. Callers that return do so within some
/// milliseconds, and the capacity that is kept for those that don't is bounded by this time.
const COUNTED_LATE: Millis = Millis(100);

/// Weight of one reservation in the share of callers that return: after five that don't, a quarter counts.
const RETURN_GAIN: f64 = 0.25;

/// Time for which a holder remembers that a reservation was granted: longer than the caller of a retry waits for it.
pub const GRANT_MEMORY: Millis = Millis(10_000);

/// Longest wait that a holder accepts, a third of a time limit of three minutes. Longer ones are invalid.
pub const LONGEST_WAIT: Millis = Millis(60_000);

/// Maximum number of waiting reservations that one daemon made. They take 100 KB.
pub const MAX_RESERVATIONS: usize = 512;

/// Number of waiting reservations up to which the share of a customer isn't limited: a quarter of fewer would be one.
const UNLIMITED_RESERVATIONS: usize = 8;

/// Largest part of the waiting reservations that one customer may have: one of this many.
const CUSTOMER_DIVISOR: usize = 4;

/// Largest part of the objective by which a granted request goes ahead of new ones: one of this many.
const LEAD_DIVISOR: u64 = 4;

/// Largest part of the time until the first stage should end by which a granted request goes ahead: one of this many.
/// Pieces whose objective has passed go last, so half of the time is kept for their wait.
const SLACK_DIVISOR: u64 = 2;

/// A request that admission refuses.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RefusedRequest {
    /// Time that the request would take now.
    pub expected: WorkMillis,
    /// Time that admission allows it.
    pub allowed: WorkMillis,
    /// Time left until its deadline.
    pub left: Millis,
    /// Time that the stages need for the reservations that wait already, and for this one.
    pub reserved: WorkMillis,
}

impl RefusedRequest {
    /// Returns the longest wait after which the caller returns and can still be served before its deadline.
    fn longest_wait(&self) -> f64 {
        let third = (self.left.0 / WAIT_DIVISOR) as f64;
        third.min(self.left.0 as f64 - self.allowed.0)
    }

    /// Returns the wait after which the request will be served; `None` if it can't be served in its time.
    /// `expected_after` estimates the time that the request would take if it came after a wait and the work that is
    /// outstanding now were still outstanding. `digest` are the bytes of the request's digest.
    pub fn wait(
        &self,
        digest: &[u8],
        mut expected_after: impl FnMut(Millis) -> WorkMillis,
    ) -> Option<Millis> {
        let longest = self.longest_wait();
        let mut wait = self.excess(self.expected);
        for _ in 0..MAX_ESTIMATES {
            if wait > longest {
                return None;
            }
            let next = wait.max(self.excess(expected_after(Millis(wait as u64))));
            let is_found = next - wait < WAIT_PRECISION_MS;
            wait = next;
            if is_found {
                break;
            }
        }
        let is_full = self.reserved.0 > longest;
        let latest = longest * (1.0 - SPREAD_SHARE * fraction(digest));
        (!is_full && wait <= longest).then_some(Millis(wait.max(latest) as u64))
    }

    fn excess(&self, expected: WorkMillis) -> f64 {
        (expected.0 - self.allowed.0).max(SHORTEST_WAIT.0 as f64)
    }

    /// Returns the time after which a caller without a reservation may retry: that until the backlog is gone, and at
    /// least `usual`, which applies to other routes.
    pub fn unserved_wait(&self, usual: Millis) -> Millis {
        usual.max(Millis(self.expected.0 as u64))
    }
}

/// Returns a fraction that a digest determines.
fn fraction(digest: &[u8]) -> f64 {
    let first = digest.first().copied().unwrap_or_default();
    f64::from(first) / 256.0
}

/// When a reservation was made and when it is due.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReservedTime {
    /// Time of the refusal.
    pub made: Time,
    /// Time at which the caller should return.
    pub due: Time,
}

impl ReservedTime {
    /// Returns whether the reservation can be claimed now, unless it has expired.
    pub fn is_claimable(&self, now: Time) -> bool {
        let half = self.due.since(self.made) / 2;
        now >= self.due - half.min(CLAIM_EARLY.to_duration())
    }

    /// Returns whether the reservation can't be claimed any more.
    pub fn is_expired(&self, now: Time) -> bool {
        now >= self.due + CLAIM_LATE
    }

    /// Returns whether the pieces of the reservation count as outstanding.
    pub fn is_counted(&self, now: Time) -> bool {
        now >= self.due && !self.is_late(now)
    }

    /// Returns whether the caller should have returned.
    pub fn is_late(&self, now: Time) -> bool {
        now >= self.due + COUNTED_LATE
    }
}

/// The share of the callers with reservations of one daemon that returned lately.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ReturnShare(f64);

impl Default for ReturnShare {
    fn default() -> Self {
        Self(1.0)
    }
}

impl ReturnShare {
    /// Records whether the caller of a reservation returned.
    pub fn record(&mut self, returned: bool) {
        let observed = f64::from(u8::from(returned));
        self.0 += (observed - self.0) * RETURN_GAIN;
    }

    /// Returns the number of reservations whose pieces count, of `waiting` ones.
    pub fn counted(&self, waiting: usize) -> usize {
        (self.0 * waiting as f64).round() as usize
    }
}

/// Returns whether a daemon may make one more reservation, with `waiting` waiting ones, of which `of_customer` are those
/// of the same customer.
pub fn may_reserve(waiting: usize, of_customer: usize) -> bool {
    let is_fair =
        waiting < UNLIMITED_RESERVATIONS || (of_customer + 1) * CUSTOMER_DIVISOR <= waiting + 1;
    waiting < MAX_RESERVATIONS && is_fair
}

/// Returns by how much earlier than a new request a granted one is ordered. `waited` is the time since it was first
/// refused, `slack` the time until the first of its stages should end if it were a new request.
pub fn lead(waited: Millis, objective: Millis, slack: Millis) -> Millis {
    waited
        .min(Millis(objective.0 / LEAD_DIVISOR))
        .min(Millis(slack.0 / SLACK_DIVISOR))
}

/// Returns those of `daemons` that hold the reservation of a request, or all of them if there are no more than needed.
pub fn holders(digest: &[u8], daemons: impl Iterator<Item = SocketAddr>) -> Vec<SocketAddr> {
    holders::holders(digest, daemons, RESERVATION_HOLDERS)
}
