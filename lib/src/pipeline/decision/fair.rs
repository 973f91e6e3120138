//! Shares of the customers: who is shed first when there isn't room for all.

use {
    crate::shared::{
        ids::CustomerId,
        units::{Millis, Share, Time, WorkMillis},
    },
    foldhash::HashMap,
};

/// Time after which half of a customer's past work is forgotten.
const HALF_LIFE: Millis = Millis(2_000);

/// The same for the work asked for and done by all, which tells whether there is too much now.
const PRESSURE_HALF_LIFE: Millis = Millis(500);

/// Ratio of work asked for to work done from which on shares begin to count, and the further part
/// over which they come to count in full.
const PRESSURE_FROM: f64 = 1.05;
const PRESSURE_SPAN: f64 = 0.25;

/// Work below which a customer counts as gone, in milliseconds.
const GONE_BELOW: f64 = 0.5;

/// Least part of the usual room that a customer over its share is left.
const LEAST_ROOM: Share = Share(0.4);

/// The usual room.
const FULL_ROOM: Share = Share(1.0);

/// Most customers looked at in one sweep for those that are gone.
const SWEEP_EVERY: u32 = 256;

/// Work that is forgotten by half in each half-life.
#[derive(Debug, Clone, Copy)]
struct Decaying {
    work: f64,
    at: Time,
    half_life: Millis,
}

impl Decaying {
    fn new(half_life: Millis) -> Self {
        Self {
            work: 0.0,
            at: Time::default(),
            half_life,
        }
    }

    fn now(&self, now: Time) -> f64 {
        let halves = now.millis_since(self.at) / self.half_life.0 as f64;
        self.work * (-halves).exp2()
    }

    fn add(&mut self, now: Time, work: WorkMillis) {
        self.work = self.now(now) + work.0;
        self.at = now;
    }
}

/// Recent work of every customer that has any.
#[derive(Debug)]
pub struct FairShares {
    customers: HashMap<CustomerId, Decaying>,
    total: Decaying,
    asked: Decaying,
    done: Decaying,
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
    /// Notes work that was asked for, whether or not it is admitted.
    pub fn ask(&mut self, now: Time, work: WorkMillis) {
        self.asked.add(now, work);
    }

    /// Notes work that endpoints have done.
    pub fn done(&mut self, now: Time, work: WorkMillis) {
        self.done.add(now, work);
    }

    /// Notes work that was admitted for a customer.
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
    ///
    /// With less room, a customer over its share is refused while the queue is still short enough
    /// for all others, so it can only take what they leave. A queue that is being worked off is no
    /// reason to refuse anybody: hence the look at what is asked for now.
    pub fn room(&self, now: Time, customer: &CustomerId) -> Share {
        let own = self.customers.get(customer).map_or(0.0, |own| own.now(now));
        if own <= 0.0 {
            return FULL_ROOM;
        }
        let fair = self.total.now(now) / self.customers.len() as f64;
        let room = (fair / own).clamp(LEAST_ROOM.0, FULL_ROOM.0);
        Share(FULL_ROOM.0 - (FULL_ROOM.0 - room) * self.pressure(now))
    }

    /// Returns 0 while no more is asked for than is done, 1 when it is far more.
    fn pressure(&self, now: Time) -> f64 {
        let ratio = self.asked.now(now) / self.done.now(now).max(f64::EPSILON);
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
