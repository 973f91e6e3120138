//! Computes the urgency of a request, which orders it among the others at its endpoint and in its stages.
//!
//! Inputs: the ranks of the customer and of the route; 0 goes first. Result: the urgency, from 0 (first) to [`LAST`].
//!
//! Rule: the customer's rank has priority over the route's. Route ranks from `CUSTOMER_STEP` up overlap with those of
//! the next customer rank.
//!
//! Reason: endpoints accept a single number from 0 to 9 for the order of requests.

/// Urgency of the requests that go last: the largest digit, since endpoints accept one digit.
pub const LAST: u32 = 9;

/// Difference in urgency between two customer ranks, which leaves room for the route ranks 0, 1 and 2.
const CUSTOMER_STEP: u32 = 3;

/// Returns the urgency of a request; a request without a customer is treated as one of rank 0.
pub fn urgency(customer_rank: Option<u32>, route_rank: u32) -> u32 {
    (customer_rank.unwrap_or(0) * CUSTOMER_STEP + route_rank).min(LAST)
}
