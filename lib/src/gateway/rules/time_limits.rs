//! How long does the gateway work on a request?
//!
//! Inputs: the time that the caller says it will wait, the timeout and the objective of the route,
//! and for a stream its longest pause between two events, all in milliseconds. Results: times in
//! milliseconds from the request's arrival.
//!
//! Rule: a request may take the shorter of the caller's time and the route's timeout, less a little
//! that the answer needs to reach the caller. A caller of a stream gives up earlier if the first
//! event doesn't come: after some objectives or some pauses, whichever is longer.
//!
//! Reason: work for a caller that has left takes the place of work that is still wanted.

use crate::{gateway::table::RouteKind, shared::units::Millis};

/// Time that the answer needs to reach the caller, kept back of the request's time.
const ANSWER_TRANSIT: Millis = Millis(15);

/// Time that a caller is expected to wait if it names none.
const DEFAULT_TIME: Millis = Millis(30_000);

/// Shortest time that callers of a stream wait for its first event.
const SHORTEST_FIRST_EVENT: Millis = Millis(2_000);

/// Objectives that callers of a stream wait for its first event.
const FIRST_EVENT_OBJECTIVES: u64 = 4;

/// Longest pauses between two events that callers of a stream wait for its first one.
const FIRST_EVENT_GAPS: u64 = 8;

/// Returns the time within which a caller expects its answer, and within which its body has to
/// arrive.
pub fn caller_time(remaining: Option<Millis>, timeout: Millis) -> Millis {
    remaining.unwrap_or(DEFAULT_TIME).min(timeout)
}

/// Returns the time from a request's arrival to its deadline in this daemon.
pub fn work_time(caller_time: Millis) -> Millis {
    Millis(caller_time.0.saturating_sub(ANSWER_TRANSIT.0))
}

/// Returns the time from a request's arrival after which a caller of a stream gives up if no event
/// has come; nothing for other requests, which have their deadline only.
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
