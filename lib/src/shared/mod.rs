//! Types and rules that both daemons use: ids, units, problems, health of endpoints, findings.
//!
//! Nothing here imports from the other folders.

pub mod adoption;
pub mod clock;
pub mod findings;
pub mod health;
pub mod http_body;
pub mod ids;
pub(crate) mod invariant;
pub(crate) mod json;
pub mod problem;
pub(crate) mod recent_map;
pub mod sse;
pub mod status;
pub mod units;
