//! Messages between daemons, membership, and what daemons report of themselves.

pub mod links;
pub mod load_sums;
pub mod membership;
pub mod message;
pub mod pause;
pub(crate) mod record;
pub mod relay;
pub(crate) mod self_report;
pub(crate) mod sums;
