//! Decides how long the gateway works on a request.
//!
//! Inputs: the time that the caller says it will wait, the timeout and the objective of the route, and for a stream the
//! longest gap between two events, all in milliseconds. Results: times in milliseconds from the request's arrival.
//!
//! Rule: a request may take the caller's time or the route's timeout, whichever is shorter, less the time that the
//! answer needs to reach the caller. For a stream, the caller is expected to give up earlier if the first event doesn't
//! come: after a multiple of the objective or of the longest gap, whichever is longer.
//!
//! Reason: work for a caller that has left displaces work that is still wanted.

use crate::{gateway::table::RouteKind, shared::units::Millis};

/// Time that the answer needs to reach the caller, which is subtracted from the caller's time.
const ANSWER_TRANSIT: Millis = Millis(15);

/// Time that a caller is assumed to wait if it states none.
const DEFAULT_TIME: Millis = Millis(30_000);

/// Minimum time for which callers of a stream are assumed to wait for its first event.
const SHORTEST_FIRST_EVENT: Millis = Millis(2_000);

/// Number of objectives for which callers of a stream are assumed to wait for its first event.
const FIRST_EVENT_OBJECTIVES: u64 = 4;

/// Number of longest gaps between events for which callers of a stream are assumed to wait for its first event.
const FIRST_EVENT_GAPS: u64 = 8;

/// Returns the time within which a caller expects its answer, and within which its body has to arrive.
pub fn caller_time(remaining: Option<Millis>, timeout: Millis) -> Millis {
    remaining.unwrap_or(DEFAULT_TIME).min(timeout)
}

/// Returns the time from a request's arrival to its deadline in this daemon.
pub fn work_time(caller_time: Millis) -> Millis {
    Millis(caller_time.0.saturating_sub(ANSWER_TRANSIT.0))
}

/// Returns the time from a request's arrival after which the caller of a stream gives up if no event has come; `None`
/// for other requests, which have only their deadline.
pub fn first_event_time(kind: RouteKind, objective: Millis) -> Option<Millis> {
    let RouteKind::Stream { gap, .. } = kind else {
        return None;
    };
    let longest = SHORTEST_FIRST_EVENT
        .0
        .max(objective.0 * FIRST_EVENT_OBJECTIVES)
        .max(gap.0 * FIRST_EVENT_GAPS);
    Some(Millis(longest))
}

/// Returns the time from a request's arrival within which the next event of the stream that it takes up should come;
/// `remaining` is the time to its deadline. The objective is the time to a stream's first event, which its caller has
/// had. Half of the time for which it waits for an event leaves room for estimates that are too low.
pub fn taken_up_time(kind: RouteKind, objective: Millis, remaining: Millis) -> Millis {
    let waits = first_event_time(kind, objective).unwrap_or(objective);
    Millis(waits.0.min(remaining.0) / 2).max(objective)
}
