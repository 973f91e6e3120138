//! The rules of the forwarding daemon, one module each: pure functions and values.

pub mod admission;
pub mod backend_choice;
pub mod call_fill;
pub mod call_timing;
pub mod endpoint_choice;
pub mod endpoint_pace;
pub mod engine_pace;
pub mod piece_order;
pub mod piece_retry;
pub mod progress;
pub mod result_room;
pub mod retry_budget;
pub mod set_aside;
pub mod stage_objective;
pub mod worker_pace;
