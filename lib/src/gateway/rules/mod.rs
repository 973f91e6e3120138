//! The rules of the forwarding daemon, one module each: pure functions and values.

pub mod admission;
pub mod backend_choice;
pub mod catch_up;
pub mod coordinator;
pub mod endpoint_choice;
pub mod endpoint_pace;
pub mod engine_pace;
pub mod gossip;
pub mod liveness;
pub mod pause;
pub(crate) mod piece_order;
pub mod progress;
pub mod retry_budget;
pub mod set_aside;
