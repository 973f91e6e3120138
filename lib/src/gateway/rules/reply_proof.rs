//! Decides from the head of a reply whether the request ran, and what the reply says about the endpoint's health.
//!
//! Inputs: the request's id, the kind of its route, the reply's status, and the facts that the dialect reads from its
//! head. Result: whether the request ran, whether the reply may be passed on, and the outcome for the endpoint's
//! health.
//!
//! Rule: a reply whose status is none that ends an answer proves nothing. A reply with status 421, or one whose endpoint says so, proves that the request did not run. Any other reply
//! counts only if it names this request and is signed; otherwise the request has possibly run. A reply that counts is
//! passed on; a server error counts as a failure of the endpoint.
//!
//! Reason: intermediaries between daemon and endpoint may answer themselves, late, or for another request. A status
//! alone therefore proves nothing, except for 421: no endpoint runs a request that is addressed to another endpoint.

use {
    crate::{
        gateway::{dialect::ReplyFacts, table::RouteKind},
        shared::units::WorkMillis,
    },
    http::StatusCode,
    std::ops::RangeInclusive,
    thiserror::Error,
};

/// Statuses that end an answer. Those below announce one or change the protocol, and those above aren't defined.
const FINAL_STATUSES: RangeInclusive<u16> = 200..=599;

/// Outcome of a request for the state of its endpoint. The names of the variants appear in the log
/// (`endpoint.set_aside`).
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum EndpointOutcome {
    /// The request was served; for a plain call, within this time.
    Served(Option<WorkMillis>),
    /// The endpoint failed.
    Failed,
    /// The endpoint refused the request for lack of capacity.
    Full,
    /// Another endpoint replied at the address, or the endpoint replied that it is leaving.
    Replaced,
    /// The connection could not be established.
    Unreachable,
    /// The connection was refused: no process listens on the address any more.
    Ended,
    /// The end of the request says nothing about the endpoint.
    Neutral,
}

/// Reason for which an attempt certainly did not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NotRunReason {
    /// No connection to the endpoint was established.
    Unreachable,
    /// The endpoint refused the connection: no process listens on the address any more.
    Ended,
    /// The endpoint refused the request, usually for lack of capacity.
    Refused,
    /// The endpoint at this address is another one than the request was addressed to, or it is leaving.
    Replaced,
    /// Results of earlier stages that the request needs no longer exist.
    InputsGone,
}

impl NotRunReason {
    /// Returns the stable text for logs and problem details.
    pub fn as_str(self) -> &'static str {
        match self {
            NotRunReason::Unreachable => "Unreachable",
            NotRunReason::Ended => "Ended",
            NotRunReason::Refused => "Refused",
            NotRunReason::Replaced => "Replaced",
            NotRunReason::InputsGone => "InputsGone",
        }
    }

    /// Returns what the reason says about the endpoint.
    pub fn endpoint_outcome(self) -> EndpointOutcome {
        match self {
            NotRunReason::Unreachable => EndpointOutcome::Unreachable,
            NotRunReason::Ended => EndpointOutcome::Ended,
            NotRunReason::Refused => EndpointOutcome::Full,
            NotRunReason::Replaced => EndpointOutcome::Replaced,
            // Other endpoints held the results, so this one is not at fault.
            NotRunReason::InputsGone => EndpointOutcome::Neutral,
        }
    }
}

/// Error of a reply that proves nothing about the request.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum ReplyOriginError {
    /// The reply has a status that ends no answer.
    #[error("a reply with status {}", .0.as_u16())]
    NotFinal(StatusCode),
    /// The reply names another request, or none.
    #[error("a reply to request {0:?}")]
    OtherRequest(Option<String>),
    /// The reply lacks the signature that endpoints add to their replies.
    #[error("an unsigned reply with status {}", .0.as_u16())]
    Unsigned(StatusCode),
}

/// Meaning of the head of a reply for the request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum HeadVerdict {
    /// The request certainly did not run.
    NotRun(NotRunReason),
    /// The reply is a stream of events, which is passed on as it arrives.
    Stream,
    /// The reply has to be read to its end before it is passed on.
    Whole,
}

/// Classifies the head of the reply to an attempt.
///
/// # Errors
///
/// Returns an error if the reply proves nothing: the request has possibly run.
pub fn classify_head(
    request: &str,
    kind: RouteKind,
    status: StatusCode,
    facts: &ReplyFacts,
) -> Result<HeadVerdict, ReplyOriginError> {
    if !FINAL_STATUSES.contains(&status.as_u16()) {
        return Err(ReplyOriginError::NotFinal(status));
    }
    if status == StatusCode::MISDIRECTED_REQUEST {
        return Ok(HeadVerdict::NotRun(NotRunReason::Replaced));
    }
    if facts.not_run && status == StatusCode::CONFLICT {
        return Ok(HeadVerdict::NotRun(NotRunReason::InputsGone));
    }
    if facts.not_run {
        return Ok(HeadVerdict::NotRun(NotRunReason::Refused));
    }
    check_origin(request, status, facts)?;
    if kind.is_stream() && status.is_success() {
        return Ok(HeadVerdict::Stream);
    }
    Ok(HeadVerdict::Whole)
}

/// What a reply proves that doesn't continue a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ResumeRejection {
    /// The request certainly did not run.
    NotRun(NotRunReason),
    /// The request has possibly run.
    PossiblyRun,
}

impl ResumeRejection {
    /// Returns what the rejection says about the endpoint.
    pub fn endpoint_outcome(self) -> EndpointOutcome {
        match self {
            Self::NotRun(reason) => reason.endpoint_outcome(),
            Self::PossiblyRun => EndpointOutcome::Failed,
        }
    }
}

/// Classifies the head of the reply to an attempt that resumes a stream. Only a signed reply with status 200 continues
/// the stream; any other reply says the same about its endpoint as a reply to a first attempt.
///
/// # Errors
///
/// Returns what the reply proves if it does not continue the stream.
pub fn classify_resumed_head(
    request: &str,
    kind: RouteKind,
    status: StatusCode,
    facts: &ReplyFacts,
) -> Result<(), ResumeRejection> {
    match classify_head(request, kind, status, facts) {
        Ok(HeadVerdict::NotRun(reason)) => Err(ResumeRejection::NotRun(reason)),
        Ok(_) if status == StatusCode::OK => Ok(()),
        Ok(_) | Err(_) => Err(ResumeRejection::PossiblyRun),
    }
}

/// Returns whether a reply with this status counts as a failure of the endpoint, although it may be passed on.
pub fn is_endpoint_failure(status: StatusCode) -> bool {
    status.is_server_error()
}

/// Checks that a reply belongs to the request and comes from an endpoint.
fn check_origin(
    request: &str,
    status: StatusCode,
    facts: &ReplyFacts,
) -> Result<(), ReplyOriginError> {
    if facts.request.as_deref() != Some(request) {
        return Err(ReplyOriginError::OtherRequest(facts.request.clone()));
    }
    if !facts.signed {
        return Err(ReplyOriginError::Unsigned(status));
    }
    Ok(())
}
