//! When is a broken or silent stream resumed at another endpoint, and how often?
//!
//! Inputs: the kind of the route, whether the caller has got an event from the present endpoint or
//! an earlier one, the attempts sent and the attempts that the route allows. Results: a time limit
//! for silence; whether another attempt is allowed.
//!
//! Rule: only a stream that the route calls resumable is resumed. It counts as broken after some
//! silence, which may be longer before its first event. Each attempt to resume it counts as an
//! attempt of the request and has to be paid from the retry budget.
//!
//! Reason: a stream that cannot be resumed would repeat events or run twice; it breaks off visibly
//! instead. Before the first event the endpoint may still have the request in its queue.

use {crate::gateway::table::RouteKind, std::time::Duration};

/// Longest silence before the first event of a resumable stream.
const FIRST_EVENT_SILENCE: Duration = Duration::from_millis(3_000);

/// Longest silence between two events of a resumable stream.
const EVENT_SILENCE: Duration = Duration::from_millis(1_200);

/// Returns whether another endpoint may continue a route's streams.
pub fn is_resumable(kind: RouteKind) -> bool {
    match kind {
        RouteKind::Idempotent | RouteKind::NonIdempotent => false,
        RouteKind::Stream { resumable, .. } => resumable,
    }
}

/// Returns the silence after which a stream counts as broken; nothing if it could not be resumed.
pub fn silence_limit(kind: RouteKind, events_begun: bool) -> Option<Duration> {
    let limit = if events_begun {
        EVENT_SILENCE
    } else {
        FIRST_EVENT_SILENCE
    };
    is_resumable(kind).then_some(limit)
}

/// Returns whether a broken stream may be sent to another endpoint after so many attempts, if the
/// retry budget allows it.
pub fn may_resume(kind: RouteKind, sent: u32, allowed: u32) -> bool {
    is_resumable(kind) && sent < allowed
}
