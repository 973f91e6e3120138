//! May a request be sent to another endpoint after an attempt failed?
//!
//! Inputs: how the attempt failed, the counts of the request's attempts, the kind of its route and
//! the attempts that the route allows. Result: the next step; the retry budget of the service, which
//! `retry_budget` holds, is asked afterwards and only where the step says so.
//!
//! Rule: another attempt is sent if the route allows more attempts and the request either may run
//! more than once or has certainly not run yet. It is paid from the retry budget, except after an
//! endpoint that could not be reached, since no byte was sent; those that don't answer have a limit of
//! their own, and those that refuse the connection none but that each is tried once. If the results of the request's stages are gone, the stages run again first.
//!
//! Reason: a request that must not run twice runs at most once; retries of many requests at the same
//! time would overload the endpoints that are left.

use crate::gateway::{
    rules::{outcome::AttemptHistory, reply_proof::NotRunReason},
    table::RouteKind,
};

/// Endpoints that one request may wait for in vain, each for the longest time of a connect. Endpoints that refuse
/// connections don't count: with them, a request ended with nowhere sent while one of 24 endpoints could be reached
/// (test `one_left`), and each costs 0.1 ms on loopback.
const UNREACHABLE_LIMIT: usize = 4;

/// Reason for which a request is sent again. The names of the variants appear in the event
/// `attempt.repeat`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryReason {
    /// The endpoint before did not run it.
    NotRun,
    /// The endpoint before failed or was silent, and the request may run more than once.
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
    /// Choose another endpoint, without asking the budget.
    ChooseAnother,
    /// Choose another endpoint if [`may_retry`] and the budget allow it.
    Retry(RetryReason),
    /// Run the stages again if the budget allows it, and choose among all endpoints.
    RunStages,
    /// End the request.
    GiveUp,
}

/// Returns the step after a failed attempt, which `history` already counts.
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

/// Returns whether another attempt may be sent if the retry budget allows it, where the route allows
/// `allowed` attempts.
pub fn may_retry(kind: RouteKind, allowed: u32, history: &AttemptHistory) -> bool {
    history.sent() < allowed && (kind.is_retryable() || history.possibly_run() == 0)
}
