//! The state of one request that changes with its attempts.

use crate::{
    gateway::{routing::answer::WholeReply, rules::outcome::AttemptHistory},
    shared::ids::EndpointId,
};

/// The attempts of one request so far.
#[derive(Debug, Default)]
pub(crate) struct RequestProgress {
    /// Counts of attempts by result, from which the rules decide about retries and the final problem.
    pub(crate) history: AttemptHistory,
    /// Endpoints that were chosen so far, including those that couldn't be reached.
    pub(crate) tried: Vec<EndpointId>,
    /// Latest reply with a server error, which is passed on if no later attempt succeeds.
    pub(crate) failure: Option<WholeReply>,
    /// Result of the last attempt, for logs and problem details; empty before the first one.
    pub(crate) last_result: String,
}
