//! Forwards a request: accept it, choose endpoints, send attempts, pass on the reply.

pub(crate) mod accept;
pub(crate) mod attempt;
pub(crate) mod call;
pub mod endpoint_state;
pub mod endpoint_states;
pub mod forward;
pub(crate) mod guards;
pub(crate) mod outbound;
pub(crate) mod reply_stream;
pub(crate) mod sent_parts;
pub(crate) mod stages;
