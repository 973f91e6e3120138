//! The rules of the forwarding daemon, one module each: pure functions and values.

pub mod admission;
pub mod attempt_timeout;
pub mod backend_choice;
pub mod catch_up;
pub mod connections;
pub mod coordinator;
pub mod directory_reads;
pub mod endpoint_choice;
pub mod endpoint_pace;
pub mod engine_pace;
pub mod gossip;
pub mod liveness;
pub mod outcome;
pub mod pause;
pub(crate) mod piece_order;
pub mod reply_proof;
pub mod resume;
pub mod retry;
pub mod retry_after;
pub mod retry_budget;
pub mod set_aside;
pub mod shutdown;
pub mod suspect_entry;
pub mod time_limits;
pub mod urgency;
