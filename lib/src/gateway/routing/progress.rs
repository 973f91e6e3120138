//! The state of one request during its attempts: the counts for the rules, and what is kept for
//! the next attempt or the end.

use crate::{
    gateway::{routing::answer::WholeReply, rules::outcome::AttemptHistory},
    shared::ids::EndpointId,
};

/// The attempts of one request so far.
#[derive(Debug, Default)]
pub(crate) struct RequestProgress {
    /// Counts for the rules.
    pub(crate) history: AttemptHistory,
    /// Endpoints that were chosen, those included to which no connection came up.
    pub(crate) tried: Vec<EndpointId>,
    /// Latest reply with a server error, passed on if no other attempt does better.
    pub(crate) failure: Option<WholeReply>,
    /// Result of the last attempt, for logs and problem details.
    pub(crate) last_result: String,
}
