//! Decides which customers wait behind the others of their rank because they had more than their share.
//!
//! Load: more pieces than a stage service can run, most of them from a few customers. By objective alone, a customer
//! is served in proportion to what it asks for, and the others of its rank wait as long as if they had sent it all.
//!
//! Inputs: the pieces sent in calls, by rank and customer, with the clock; the ranks and customers that wait.
//!
//! Rule: for each rank, the pieces sent are counted for each customer, and counts halve every `HALF_LIFE`. The
//! customers of a rank that wait have equal shares of the sum of their counts. A customer whose count is more than
//! `SLACK` above its share goes behind the others of that rank. Jobs without a customer, which daemons of an older
//! release send, are neither counted nor put behind. Counts are kept for at most `MAX_COUNTS` ranks and customers.
//!
//! Reason: the share is that of the customers that wait, so capacity that the others leave over goes to those that ask
//! for more. Tests: `test_stage_overload`.

use {
    crate::{
        gateway::stages::job::CustomerHash,
        shared::units::{Millis, Time},
    },
    foldhash::{HashMap, HashSet},
};

/// Time in which counts halve: about the objectives of the requests that compete, so that a customer that sent nothing
/// for some objectives has its whole share again.
const HALF_LIFE: Millis = Millis(2_000);

/// Number of pieces above its share from which a customer goes behind, so that rounding doesn't count.
const SLACK: f64 = 1.0;

/// Largest number of counts, several times the customers that a service has within a few half-lives.
const MAX_COUNTS: usize = 1_024;

/// Count below which a customer is forgotten (pieces).
const LEAST_COUNT: f64 = 0.5;

/// A customer within a rank.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct RankedCustomer {
    /// Rank of the customer's jobs.
    pub rank: u32,
    /// The customer.
    pub customer: CustomerHash,
}

/// Pieces sent for one customer within a rank.
#[derive(Debug, Clone, Copy)]
struct SentCount {
    pieces: f64,
    updated: Time,
}

impl SentCount {
    fn at(&self, now: Time) -> f64 {
        let halvings = now.millis_since(self.updated) / HALF_LIFE.0 as f64;
        self.pieces * (-halvings.max(0.0)).exp2()
    }
}

/// The pieces recently sent for each customer of a service.
#[derive(Debug, Clone, Default)]
pub struct SentPieces(HashMap<RankedCustomer, SentCount>);

impl SentPieces {
    /// Counts a piece that is sent.
    pub fn record(&mut self, now: Time, customer: RankedCustomer) {
        if self.0.len() >= MAX_COUNTS && !self.0.contains_key(&customer) {
            self.0.retain(|_, count| count.at(now) >= LEAST_COUNT);
            if self.0.len() >= MAX_COUNTS {
                return;
            }
        }
        let pieces = self.count(now, customer) + 1.0;
        let updated = now;
        self.0.insert(customer, SentCount { pieces, updated });
    }

    /// Returns the customers that go behind the others of their rank, out of those that wait.
    pub fn over_share(
        &self,
        now: Time,
        waiting: impl Iterator<Item = RankedCustomer>,
    ) -> HashSet<RankedCustomer> {
        let waiting: HashSet<RankedCustomer> = waiting.collect();
        let mut ranks: HashMap<u32, (f64, f64)> = HashMap::default();
        for customer in &waiting {
            let (pieces, customers) = ranks.entry(customer.rank).or_default();
            *pieces += self.count(now, *customer);
            *customers += 1.0;
        }
        let is_over = |customer: &RankedCustomer| {
            let (pieces, customers) = ranks[&customer.rank];
            self.count(now, *customer) > pieces / customers + SLACK
        };
        waiting.into_iter().filter(is_over).collect()
    }

    fn count(&self, now: Time, customer: RankedCustomer) -> f64 {
        self.0.get(&customer).map_or(0.0, |count| count.at(now))
    }
}
