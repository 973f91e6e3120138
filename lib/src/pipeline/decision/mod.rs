//! The pipeline daemon's decisions: a pure state machine without clock, socket or task.

pub mod admission;
pub(crate) mod admit;
pub mod attempt;
pub mod call_costs;
pub mod core;
pub mod counters;
pub mod endpoint;
pub mod estimate;
pub mod fair;
pub mod limit;
pub mod member;
pub mod policy;
pub mod policy_choice;
pub mod policy_estimated;
pub mod policy_naive;
pub mod pool;
pub mod pools;
pub mod prefix;
pub mod request;
pub mod retry;
pub mod retry_after;
pub mod stage_costs;
pub mod timers;
