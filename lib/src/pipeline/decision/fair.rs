//! Which customers are refused first when there isn't capacity for all?
//!
//! Inputs: the work in milliseconds that was admitted for each customer, that was requested by all customers, and that
//! endpoints have completed, each with its time. Output: the wait allowance of a customer: the fraction (a [`Share`])
//! by which [`admission`](super::admission) multiplies the wait that it allows.
//!
//! Rule: a customer with up to an equal share of the recently admitted work has the full wait allowance. Beyond that
//! its allowance is the equal share divided by its own work, but at least [`LEAST_ROOM`]. The reduction applies in
//! proportion to how far the requested work exceeds the completed work: not at all up to a ratio of
//! [`PRESSURE_FROM`], and in full [`PRESSURE_SPAN`] above it.
//!
//! Reason: with a smaller wait allowance, a customer over its share is refused while the queue is still short enough
//! for all others, so it only gets the capacity that they leave. While a queue shrinks, nobody needs to be
//! refused, which is why the currently requested work counts and not the queue's length.
//!
//! `test_policy_pins.rs` (`fair_rooms`) pins the rule.

use {
    crate::shared::{
        ids::CustomerId,
        units::{Millis, Share, Time, WorkMillis},
    },
    foldhash::HashMap,
};

/// Half-life of the work admitted for customers.
const HALF_LIFE: Millis = Millis(2_000);

/// Half-life of the work requested by all customers and of the work completed. Shorter than [`HALF_LIFE`], since the
/// ratio of the two has to show the overload of this moment.
const PRESSURE_HALF_LIFE: Millis = Millis(500);

/// Ratio of requested to completed work above which the customers' shares begin to count.
pub const PRESSURE_FROM: f64 = 1.05;

/// Increase of that ratio above [`PRESSURE_FROM`] at which the shares count in full.
pub const PRESSURE_SPAN: f64 = 0.25;

/// Recent work below which a customer counts as inactive and is removed.
const GONE_BELOW: WorkMillis = WorkMillis(0.5);

/// Smallest wait allowance of a customer over its share.
pub const LEAST_ROOM: Share = Share(0.4);

/// Wait allowance of a customer within its share.
const FULL_ROOM: Share = Share(1.0);

/// Admitted requests between two sweeps that remove inactive customers. A sweep visits all customers, so it must not
/// run with each request.
const SWEEP_EVERY: u32 = 256;

/// An amount of work that decays exponentially.
#[derive(Debug, Clone, Copy)]
struct Decaying {
    /// Amount at the time `at`.
    work: WorkMillis,
    at: Time,
    half_life: Millis,
}

impl Decaying {
    fn new(half_life: Millis) -> Self {
        Self {
            work: WorkMillis(0.0),
            at: Time::default(),
            half_life,
        }
    }

    fn now(&self, now: Time) -> WorkMillis {
        let halves = now.millis_since(self.at) / self.half_life.0 as f64;
        WorkMillis(self.work.0 * (-halves).exp2())
    }

    fn add(&mut self, now: Time, work: WorkMillis) {
        self.work = WorkMillis(self.now(now).0 + work.0);
        self.at = now;
    }
}

/// Recent work of all customers, admitted, requested and completed.
#[derive(Debug)]
pub struct FairShares {
    /// Work admitted for each customer.
    customers: HashMap<CustomerId, Decaying>,
    /// Work admitted for all customers.
    total: Decaying,
    /// Work requested by all customers, admitted or not.
    asked: Decaying,
    /// Work that endpoints have completed.
    done: Decaying,
    /// Number of requests admitted; determines when to sweep.
    adds: u32,
}

impl Default for FairShares {
    fn default() -> Self {
        Self {
            customers: HashMap::default(),
            total: Decaying::new(HALF_LIFE),
            asked: Decaying::new(PRESSURE_HALF_LIFE),
            done: Decaying::new(PRESSURE_HALF_LIFE),
            adds: 0,
        }
    }
}

impl FairShares {
    /// Records work that was requested, whether or not it is admitted.
    pub fn ask(&mut self, now: Time, work: WorkMillis) {
        self.asked.add(now, work);
    }

    /// Records work that an endpoint has completed.
    pub fn done(&mut self, now: Time, work: WorkMillis) {
        self.done.add(now, work);
    }

    /// Records work that was admitted for a customer.
    pub fn add(&mut self, now: Time, customer: &CustomerId, work: WorkMillis) {
        let own = self.customers.entry(customer.clone());
        own.or_insert(Decaying::new(HALF_LIFE)).add(now, work);
        self.total.add(now, work);
        self.adds += 1;
        if self.adds.is_multiple_of(SWEEP_EVERY) {
            self.customers.retain(|_, own| own.now(now) > GONE_BELOW);
        }
    }

    /// Returns a customer's wait allowance: 1 up to an equal share of the recent work, less beyond it while more
    /// work is requested than completed.
    pub fn room(&self, now: Time, customer: &CustomerId) -> Share {
        let recent = self.customers.get(customer);
        let own = recent.map_or(WorkMillis(0.0), |own| own.now(now));
        if own.0 <= 0.0 {
            return FULL_ROOM;
        }
        let fair = self.total.now(now).0 / self.customers.len() as f64;
        let room = (fair / own.0).clamp(LEAST_ROOM.0, FULL_ROOM.0);
        Share(FULL_ROOM.0 - (FULL_ROOM.0 - room) * self.pressure(now))
    }

    /// Returns how much the customers' shares count: 0 while requested and completed work are about equal, 1 when far
    /// more is requested.
    fn pressure(&self, now: Time) -> f64 {
        let ratio = self.asked.now(now).0 / self.done.now(now).0.max(f64::EPSILON);
        ((ratio - PRESSURE_FROM) / PRESSURE_SPAN).clamp(0.0, 1.0)
    }

    /// Returns the number of customers with recent work.
    pub fn len(&self) -> usize {
        self.customers.len()
    }

    /// Returns whether no customer has recent work.
    pub fn is_empty(&self) -> bool {
        self.customers.is_empty()
    }
}
