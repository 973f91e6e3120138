//! Which customers are refused first when there isn't room for all?
//!
//! Inputs: the work in milliseconds that was admitted for each customer, that was asked for by all,
//! and that endpoints have done, each with its time. Output: the part of the usual room that a
//! customer has (a [`Share`]), which [`admission`](super::admission) multiplies with the wait that
//! it allows.
//!
//! The rule: up to an equal share of the recent admitted work a customer has all of the room,
//! beyond it its fair share over its own work, but at least [`LEAST_ROOM`]. This counts in
//! proportion to how much more is asked for than is done, from [`PRESSURE_FROM`] on and in full
//! [`PRESSURE_SPAN`] later.
//!
//! The reason: with less room, a customer over its share is refused while the queue is still short
//! enough for all others, so it can only take what they leave. A queue that is being worked off is
//! no reason to refuse anybody: hence the look at what is asked for now.
//!
//! `test_policy_pins.rs` (`fair_rooms`) pins the rule.

use {
    crate::shared::{
        ids::CustomerId,
        units::{Millis, Share, Time, WorkMillis},
    },
    foldhash::HashMap,
};

/// Time after which half of a customer's past work is forgotten.
const HALF_LIFE: Millis = Millis(2_000);

/// The same for the work asked for and done by all, which shows whether there is too much now.
const PRESSURE_HALF_LIFE: Millis = Millis(500);

/// Ratio of work asked for to work done from which on shares begin to count.
pub const PRESSURE_FROM: f64 = 1.05;

/// Further part of that ratio over which shares come to count in full.
pub const PRESSURE_SPAN: f64 = 0.25;

/// Recent work below which a customer counts as gone.
const GONE_BELOW: WorkMillis = WorkMillis(0.5);

/// Least part of the usual room that a customer over its share is left.
pub const LEAST_ROOM: Share = Share(0.4);

/// The usual room.
const FULL_ROOM: Share = Share(1.0);

/// Admitted requests between two sweeps for customers that are gone: a bound on the cost of a sweep
/// over all of them.
const SWEEP_EVERY: u32 = 256;

/// Work that is forgotten by half in each half-life.
#[derive(Debug, Clone, Copy)]
struct Decaying {
    /// Work as of `at`.
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

/// Recent work of every customer that has any.
#[derive(Debug)]
pub struct FairShares {
    /// Work admitted for each customer.
    customers: HashMap<CustomerId, Decaying>,
    /// Work admitted for all.
    total: Decaying,
    /// Work asked for by all, admitted or not.
    asked: Decaying,
    /// Work that endpoints have done.
    done: Decaying,
    /// Admitted requests, for the sweep.
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
    /// Records work that was asked for, whether or not it is admitted.
    pub fn ask(&mut self, now: Time, work: WorkMillis) {
        self.asked.add(now, work);
    }

    /// Records work that endpoints have done.
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

    /// Returns the part of the usual room that a customer has: 1 up to an equal share of the
    /// recent work, less beyond it while more is asked for than is done.
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

    /// Returns 0 while no more is asked for than is done, 1 when it is far more.
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
