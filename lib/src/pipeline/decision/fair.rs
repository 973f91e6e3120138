//! Which customers are refused first when there isn't capacity for all?
//!
//! Inputs: the work in milliseconds that was admitted for each customer, that was requested by all customers, and that
//! endpoints have completed, each with its time. Output: the wait allowance of a customer: the fraction (a [`Share`])
//! by which [`admission`](super::admission) multiplies the wait that it allows.
//!
//! Rule: a customer with up to an equal share of the recently admitted work has the full wait allowance. Beyond that
//! its allowance is the equal share divided by its own work, but at least [`MIN_WAIT_ALLOWANCE`]. The reduction applies
//! in proportion to how far the requested work exceeds the completed work: not at all up to a ratio of
//! [`OVERLOAD_START`], and in full [`OVERLOAD_SPAN`] above it.
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
const SHARE_HALF_LIFE: Millis = Millis(2_000);

/// Half-life of the work requested by all customers and of the work completed. Shorter than [`SHARE_HALF_LIFE`], since
/// the ratio of the two has to show the overload of this moment.
const OVERLOAD_HALF_LIFE: Millis = Millis(500);

/// Ratio of requested to completed work above which the customers' shares begin to count.
pub const OVERLOAD_START: f64 = 1.05;

/// Increase of that ratio above [`OVERLOAD_START`] at which the shares count in full.
pub const OVERLOAD_SPAN: f64 = 0.25;

/// Recent work below which a customer counts as inactive and is removed.
const INACTIVE_BELOW: WorkMillis = WorkMillis(0.5);

/// Smallest wait allowance of a customer over its share.
pub const MIN_WAIT_ALLOWANCE: Share = Share(0.4);

/// Wait allowance of a customer within its share.
const FULL_WAIT_ALLOWANCE: Share = Share(1.0);

/// Admitted requests between two sweeps that remove inactive customers. A sweep visits all customers, so it must not
/// run with each request.
const SWEEP_INTERVAL: u32 = 256;

/// An amount of work that decays exponentially.
#[derive(Debug, Clone, Copy)]
struct DecayingWork {
    /// Amount at the time `updated`.
    work: WorkMillis,
    updated: Time,
    half_life: Millis,
}

impl DecayingWork {
    fn new(half_life: Millis) -> Self {
        Self {
            work: WorkMillis(0.0),
            updated: Time::default(),
            half_life,
        }
    }

    fn amount(&self, now: Time) -> WorkMillis {
        let halves = now.millis_since(self.updated) / self.half_life.0 as f64;
        WorkMillis(self.work.0 * (-halves).exp2())
    }

    fn add(&mut self, now: Time, work: WorkMillis) {
        self.work = WorkMillis(self.amount(now).0 + work.0);
        self.updated = now;
    }
}

/// Recent work of all customers, admitted, requested and completed.
#[derive(Debug)]
pub struct FairShares {
    /// Work admitted for each customer.
    customers: HashMap<CustomerId, DecayingWork>,
    /// Work admitted for all customers.
    total: DecayingWork,
    /// Work requested by all customers, admitted or not.
    requested: DecayingWork,
    /// Work that endpoints have completed.
    completed: DecayingWork,
    /// Number of requests admitted; determines when to sweep.
    admissions: u32,
}

impl Default for FairShares {
    fn default() -> Self {
        Self {
            customers: HashMap::default(),
            total: DecayingWork::new(SHARE_HALF_LIFE),
            requested: DecayingWork::new(OVERLOAD_HALF_LIFE),
            completed: DecayingWork::new(OVERLOAD_HALF_LIFE),
            admissions: 0,
        }
    }
}

impl FairShares {
    /// Records work that was requested, whether or not it is admitted.
    pub fn record_requested(&mut self, now: Time, work: WorkMillis) {
        self.requested.add(now, work);
    }

    /// Records work that an endpoint has completed.
    pub fn record_completed(&mut self, now: Time, work: WorkMillis) {
        self.completed.add(now, work);
    }

    /// Records work that was admitted for a customer.
    pub fn record_admitted(&mut self, now: Time, customer: &CustomerId, work: WorkMillis) {
        let recent = self.customers.entry(customer.clone());
        recent
            .or_insert(DecayingWork::new(SHARE_HALF_LIFE))
            .add(now, work);
        self.total.add(now, work);
        self.admissions += 1;
        if self.admissions.is_multiple_of(SWEEP_INTERVAL) {
            self.customers
                .retain(|_, recent| recent.amount(now) > INACTIVE_BELOW);
        }
    }

    /// Returns a customer's wait allowance: 1 up to an equal share of the recent work, less beyond it while more
    /// work is requested than completed.
    pub fn wait_allowance(&self, now: Time, customer: &CustomerId) -> Share {
        let recent = self.customers.get(customer);
        let work = recent.map_or(WorkMillis(0.0), |recent| recent.amount(now));
        if work.0 <= 0.0 {
            return FULL_WAIT_ALLOWANCE;
        }
        let fair = self.total.amount(now).0 / self.customers.len() as f64;
        let allowance = (fair / work.0).clamp(MIN_WAIT_ALLOWANCE.0, FULL_WAIT_ALLOWANCE.0);
        Share(FULL_WAIT_ALLOWANCE.0 - (FULL_WAIT_ALLOWANCE.0 - allowance) * self.overload(now))
    }

    /// Returns how much the customers' shares count: 0 while requested and completed work are about equal, 1 when far
    /// more is requested.
    fn overload(&self, now: Time) -> f64 {
        let ratio = self.requested.amount(now).0 / self.completed.amount(now).0.max(f64::EPSILON);
        ((ratio - OVERLOAD_START) / OVERLOAD_SPAN).clamp(0.0, 1.0)
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
