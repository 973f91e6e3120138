//! Decides when another endpoint is sought for a broken or silent stream, and how often.
//!
//! Inputs: the kind of the route, whether the caller has received an event from this endpoint or an earlier one, the
//! number of attempts sent, and the number of attempts that the route allows. Results: a time limit for silence, and
//! whether another attempt is allowed.
//!
//! Rule: only streams of routes marked as resumable are resumed. After a silence, which may be longer before the first
//! event, another endpoint is sought that can continue the stream; [`handover`](crate::gateway::rules::handover) decides
//! when it takes over. Each attempt to resume a stream counts as an attempt of the request and is charged to the retry
//! budget.
//!
//! Reason: resuming other streams would repeat events or run the request twice, so they are aborted if they break off,
//! which the caller notices. Before the first event the endpoint may still have the request in its queue.

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

/// Returns the silence after which another endpoint is sought for a stream; `None` if it can't be resumed.
/// `events_begun` is set once the caller has received an event.
pub fn silence_limit(kind: RouteKind, events_begun: bool) -> Option<Duration> {
    let limit = if events_begun {
        EVENT_SILENCE
    } else {
        FIRST_EVENT_SILENCE
    };
    is_resumable(kind).then_some(limit)
}

/// What keeps a stream from being resumed at another endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Hindrance {
    /// The route's streams aren't resumable.
    Kind,
    /// The route allows no further attempt.
    Attempts,
    /// The retry budget of the service is used up.
    Budget,
    /// No endpoint may get the request.
    NoEndpoint,
    /// Too many endpoints didn't answer a connect.
    Unreachable,
    /// The software version of the endpoint that began the stream isn't known.
    Version,
    /// The stages of the request, whose results are needed again, failed or are late.
    Stages,
    /// Too many endpoints terminated under the request.
    Quarantine,
    /// The deadline of the request has passed.
    Deadline,
}

impl Hindrance {
    /// Returns the stable text for logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Kind => "kind",
            Self::Attempts => "attempts",
            Self::Budget => "budget",
            Self::NoEndpoint => "no_endpoint",
            Self::Unreachable => "unreachable",
            Self::Version => "version",
            Self::Stages => "stages",
            Self::Quarantine => "quarantine",
            Self::Deadline => "deadline",
        }
    }
}

/// Checks whether a broken stream may be sent to another endpoint after `sent` of `allowed` attempts, if the retry
/// budget allows it.
///
/// # Errors
///
/// Returns what keeps it from being sent.
pub fn check_resume(kind: RouteKind, sent: u32, allowed: u32) -> Result<(), Hindrance> {
    if !is_resumable(kind) {
        return Err(Hindrance::Kind);
    }
    if sent >= allowed {
        return Err(Hindrance::Attempts);
    }
    Ok(())
}
