//! The pipeline daemon's decisions: a pure state machine without clock, socket or task.

pub(crate) mod admit;
pub mod attempt;
pub mod core;
pub mod endpoint;
pub mod estimate;
pub mod fair;
pub mod limit;
pub mod policy;
pub mod policy_choice;
pub mod policy_estimated;
pub mod policy_naive;
pub mod pool;
pub mod prefix;
pub mod request;
pub mod retry;
pub mod retry_after;
pub mod state;
