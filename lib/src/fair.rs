//! Shares of the customers: who is shed first when there isn't room for all.

use {
    crate::{
        ids::CustomerId,
        units::{Millis, Time, WorkMillis},
    },
    foldhash::HashMap,
};

/// Time after which half of a customer's past work is forgotten.
const HALF_LIFE: Millis = Millis(2_000);

/// Work below which a customer counts as gone, in milliseconds.
const GONE_BELOW: f64 = 0.5;

/// Least part of the usual room that a customer over its share is left.
const LEAST_ROOM: f64 = 0.4;

/// Most customers looked at in one sweep for those that are gone.
const SWEEP_EVERY: u32 = 256;

/// Work of one customer, as of a time.
#[derive(Debug, Clone, Copy)]
struct Use {
    work: f64,
    at: Time,
}

impl Use {
    fn now(&self, now: Time) -> f64 {
        let halves = now.millis_since(self.at) / HALF_LIFE.0 as f64;
        self.work * (-halves).exp2()
    }
}

/// Recent work of every customer that has any.
#[derive(Debug, Default)]
pub struct FairShares {
    customers: HashMap<CustomerId, Use>,
    total: Option<Use>,
    adds: u32,
}

impl FairShares {
    /// Notes work that was admitted for a customer.
    pub fn add(&mut self, now: Time, customer: &CustomerId, work: WorkMillis) {
        let own = self.customers.entry(customer.clone());
        let own = own.or_insert(Use { work: 0.0, at: now });
        *own = Use {
            work: own.now(now) + work.0,
            at: now,
        };
        let total = self.total.map_or(0.0, |total| total.now(now));
        self.total = Some(Use {
            work: total + work.0,
            at: now,
        });
        self.adds += 1;
        if self.adds.is_multiple_of(SWEEP_EVERY) {
            self.customers.retain(|_, own| own.now(now) > GONE_BELOW);
        }
    }

    /// Returns the part of the usual room that a customer has: 1 up to an equal share of the
    /// recent work, less beyond it.
    ///
    /// With less room, a customer over its share is refused while the queue is still short enough
    /// for all others, so it can only take what they leave.
    pub fn room(&self, now: Time, customer: &CustomerId) -> f64 {
        let own = self.customers.get(customer).map_or(0.0, |own| own.now(now));
        let total = self.total.map_or(0.0, |total| total.now(now));
        if own <= 0.0 {
            return 1.0;
        }
        let fair = total / self.customers.len() as f64;
        (fair / own).clamp(LEAST_ROOM, 1.0)
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
