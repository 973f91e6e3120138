//! Types and rules that both daemons use: ids, units, problems, the health of endpoints, errors in settings.
//!
//! Modules of this folder import from no other folder.

pub mod adoption;
pub mod clock;
pub(crate) mod fifo_map;
pub mod findings;
pub mod health;
pub mod http_body;
pub mod ids;
pub(crate) mod invariant;
pub(crate) mod json;
pub mod problem;
pub mod sse;
pub mod status;
pub mod tasks;
pub mod units;
