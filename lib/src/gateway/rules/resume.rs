//! Decides when a broken or silent stream is resumed at another endpoint, and how often.
//!
//! Inputs: the kind of the route, whether the caller has received an event from this endpoint or an earlier one, the
//! number of attempts sent, and the number of attempts that the route allows. Results: a time limit for silence, and
//! whether another attempt is allowed.
//!
//! Rule: only streams of routes marked as resumable are resumed. A stream counts as broken after a silence, which may
//! be longer before its first event. Each attempt to resume it counts as an attempt of the request and is charged to
//! the retry budget.
//!
//! Reason: resuming other streams would repeat events or run the request twice, so they are aborted, which the caller
//! notices. Before the first event the endpoint may still have the request in its queue.

use {crate::gateway::table::RouteKind, std::time::Duration};

/// Longest silence before the first event of a resumable stream.
const FIRST_EVENT_SILENCE: Duration = Duration::from_millis(3_000);

/// Longest silence between two events of a resumable stream.
const EVENT_SILENCE: Duration = Duration::from_millis(1_200);

/// Returns whether another endpoint may continue the streams of a route.
pub fn is_resumable(kind: RouteKind) -> bool {
    match kind {
        RouteKind::Idempotent | RouteKind::NonIdempotent => false,
        RouteKind::Stream { resumable, .. } => resumable,
    }
}

/// Returns the silence after which a stream counts as broken; `None` if it can't be resumed. `events_begun` is set once
/// the caller has received an event.
pub fn silence_limit(kind: RouteKind, events_begun: bool) -> Option<Duration> {
    let limit = if events_begun {
        EVENT_SILENCE
    } else {
        FIRST_EVENT_SILENCE
    };
    is_resumable(kind).then_some(limit)
}

/// Returns whether a broken stream may be sent to another endpoint after `sent` of `allowed` attempts, if the retry
/// budget allows it.
pub fn may_resume(kind: RouteKind, sent: u32, allowed: u32) -> bool {
    is_resumable(kind) && sent < allowed
}
