//! The rules of the forwarding daemon, one module each: pure functions and values.

pub mod admission;
pub(crate) mod endpoint_score;
pub(crate) mod piece_order;
pub mod progress;
pub mod retry_budget;
