//! Decides whether a request may be sent to another endpoint after an attempt failed.
//!
//! Inputs: how the attempt failed, the counts of the request's attempts, the kind of its route, and the number of
//! attempts that the route allows. Result: the next step. The retry budget of the service (`retry_budget`) is checked
//! afterwards, and only if the step requires it.
//!
//! Rule: another attempt is sent if the route allows more attempts and the request either may run more than once or has
//! certainly not run yet. It is charged to the retry budget, except after an endpoint that could not be reached, since
//! no byte was sent there. The number of endpoints that don't answer a connect has its own limit. Endpoints that refuse
//! connections have no limit except that each is tried once. If the results of the request's stages are gone, the
//! stages run again first.
//!
//! Reason: a request that must not run twice runs at most once, and retries of many requests at the same time would
//! overload the remaining endpoints.

use crate::gateway::{
    rules::{outcome::AttemptHistory, reply_proof::NotRunReason},
    table::RouteKind,
};

/// Maximum number of endpoints for which one request may wait in vain, each for the full connect timeout. Endpoints
/// that refuse connections don't count: if they did, a request would end unanswered while one of 24 endpoints is still
/// reachable (test `one_left`), and each refusal costs only 0.1 ms on loopback.
pub const UNREACHABLE_LIMIT: usize = 4;

/// Reason for which a request is sent again. The names of the variants appear in the event `attempt.repeat`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryReason {
    /// The previous endpoint did not run the request.
    NotRun,
    /// The previous endpoint failed or did not answer, and the request may run more than once.
    Failed,
    /// A stream is resumed at another endpoint.
    Resume,
}

/// An attempt that gave no reply for the caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptFailure {
    /// The endpoint replied with a server error, which is passed on if there is no better reply.
    ServerError,
    /// The request certainly did not run.
    NotRun(NotRunReason),
    /// The request has possibly run.
    PossiblyRun,
}

/// The step after a failed attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AfterFailure {
    /// Choose another endpoint without charging the retry budget.
    ChooseAnother,
    /// Choose another endpoint if [`may_retry`] and the budget allow it.
    Retry(RetryReason),
    /// Run the stages again if the retry budget allows it, then choose among all endpoints.
    RunStages,
    /// End the request.
    GiveUp,
}

/// Returns the step after a failed attempt, which `history` already includes.
pub fn next_step(failure: AttemptFailure, history: &AttemptHistory) -> AfterFailure {
    match failure {
        AttemptFailure::NotRun(NotRunReason::Unreachable) => {
            if history.unreachable() < UNREACHABLE_LIMIT {
                AfterFailure::ChooseAnother
            } else {
                AfterFailure::GiveUp
            }
        }
        AttemptFailure::NotRun(NotRunReason::Ended) => AfterFailure::ChooseAnother,
        AttemptFailure::NotRun(NotRunReason::InputsGone) => AfterFailure::RunStages,
        AttemptFailure::NotRun(NotRunReason::Refused | NotRunReason::Replaced) => {
            AfterFailure::Retry(RetryReason::NotRun)
        }
        AttemptFailure::ServerError | AttemptFailure::PossiblyRun => {
            AfterFailure::Retry(RetryReason::Failed)
        }
    }
}

/// Returns whether the route allows more attempts than were sent.
pub fn may_send_again(allowed: u32, history: &AttemptHistory) -> bool {
    history.sent() < allowed
}

/// Returns whether another attempt may be sent if the retry budget allows it, where `allowed` is the number of attempts
/// that the route allows.
pub fn may_retry(kind: RouteKind, allowed: u32, history: &AttemptHistory) -> bool {
    may_send_again(allowed, history) && (kind.is_retryable() || history.possibly_run() == 0)
}
