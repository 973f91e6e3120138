//! Decides how long an attempt may take before another one is sent instead.
//!
//! Inputs: the kind of the route, the number of attempts and endpoints left for another attempt, and the time that the
//! endpoint is expected to take, in milliseconds. Result: a timeout, or none.
//!
//! Rule: an attempt has a timeout only if the request may run more than once and an attempt at another endpoint is
//! possible. For a whole reply the timeout is a multiple of the expected time; for the head of a stream it is a fixed
//! time plus a smaller multiple.
//!
//! Reason: without a timeout, an endpoint that hangs holds the request until its deadline. A timeout close to the
//! expected time would send slow requests twice and use up the retry budget.

use {
    crate::{gateway::table::RouteKind, shared::units::WorkMillis},
    std::time::Duration,
};

/// Timeout for a whole reply, as a multiple of its expected time.
const REPLY_FACTOR: f64 = 8.0;

/// Minimum timeout for a whole reply.
const SHORTEST_REPLY: Duration = Duration::from_millis(120);

/// Fixed part of the timeout for the head of a stream.
const STREAM_HEAD: Duration = Duration::from_millis(2_500);

/// Variable part of the timeout for the head of a stream, as a multiple of the expected time.
const STREAM_FACTOR: f64 = 3.0;

/// Number of milliseconds in a second.
const MS_PER_S: f64 = 1e3;

/// An attempt that is about to be sent.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AttemptPlan {
    /// Kind of the route.
    pub kind: RouteKind,
    /// Number of attempts that the route allows after this one.
    pub later_attempts: u32,
    /// Number of endpoints of the service that could take the request now or soon and haven't been tried.
    pub other_endpoints: usize,
    /// Time that the endpoint is expected to take.
    pub expected: WorkMillis,
}

/// Returns the timeout of an attempt; `None` if it may take all of the request's remaining time.
///
/// # Panics
///
/// Panics if the expected time is negative or not finite; estimates for endpoints are neither.
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
