//! How long may an attempt take before another one is worth it?
//!
//! Inputs: the kind of the route, how many attempts and endpoints are left for another one, and the
//! time that the endpoint is expected to take, in milliseconds. Result: a time limit, or none.
//!
//! Rule: an attempt gets a limit only if the request may run more than once and another attempt at
//! another endpoint is possible. A whole reply may take some multiple of the expected time; the head
//! of a stream may take a fixed time and a smaller multiple.
//!
//! Reason: an endpoint that has hung holds the request until its deadline otherwise. A limit near
//! the expected time would send slow requests twice and spend the retry budget.

use {
    crate::{gateway::table::RouteKind, shared::units::WorkMillis},
    std::time::Duration,
};

/// Limit for a whole reply, in multiples of its expected time.
const REPLY_FACTOR: f64 = 8.0;

/// Shortest limit for a whole reply.
const SHORTEST_REPLY: Duration = Duration::from_millis(120);

/// Fixed part of the limit for the head of a stream.
const STREAM_HEAD: Duration = Duration::from_millis(2_500);

/// Part of the limit for the head of a stream that grows with the expected time, in multiples of it.
const STREAM_FACTOR: f64 = 3.0;

/// Milliseconds in a second.
const MS_PER_S: f64 = 1e3;

/// An attempt that is about to be sent.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AttemptPlan {
    /// Kind of the route.
    pub kind: RouteKind,
    /// Attempts that the route allows after this one.
    pub later_attempts: u32,
    /// Endpoints of the service that could take the request now or soon, and were not tried before.
    pub other_endpoints: usize,
    /// Time that the endpoint is expected to take.
    pub expected: WorkMillis,
}

/// Returns the time limit of an attempt; nothing if it may take all of the request's time.
///
/// # Panics
///
/// Panics if the expected time is negative or not finite; scores of endpoints are neither.
pub fn attempt_timeout(plan: &AttemptPlan) -> Option<Duration> {
    let has_alternative = plan.later_attempts > 0 && plan.other_endpoints > 0;
    if !plan.kind.is_retryable() || !has_alternative {
        return None;
    }
    Some(match plan.kind {
        RouteKind::Stream { .. } => {
            STREAM_HEAD + Duration::from_secs_f64(plan.expected.0 * STREAM_FACTOR / MS_PER_S)
        }
        RouteKind::Idempotent | RouteKind::NonIdempotent => {
            let usual = Duration::from_secs_f64(plan.expected.0 * REPLY_FACTOR / MS_PER_S);
            usual.max(SHORTEST_REPLY)
        }
    })
}
