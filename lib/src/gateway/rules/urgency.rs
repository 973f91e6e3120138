//! How urgent is a request among those of its endpoint and its stages?
//!
//! Inputs: the ranks of the customer and of the route; 0 goes first. Result: the urgency, from 0
//! (first) to [`LAST`].
//!
//! Rule: the customer's rank goes before the route's. Where a route's rank reaches the weight of the
//! customer's, the two overlap.
//!
//! Reason: endpoints take one number for the order of requests, from 0 to 9.

/// Urgency of the requests that go last: the largest one digit, as endpoints read it.
pub const LAST: u32 = 9;

/// Steps of urgency between two ranks of customers, which leave room for route ranks 0, 1 and 2.
const CUSTOMER_STEP: u32 = 3;

/// Returns the urgency of a request; a request without a customer counts as one of rank 0.
pub fn urgency(customer_rank: Option<u32>, route_rank: u32) -> u32 {
    (customer_rank.unwrap_or(0) * CUSTOMER_STEP + route_rank).min(LAST)
}
