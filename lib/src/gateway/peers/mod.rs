//! Messages between daemons, membership, and what daemons report of themselves.

pub mod catch_up;
pub(crate) mod changes;
pub mod heartbeats;
pub(crate) mod job_message;
pub mod link_server;
pub(crate) mod link_socket;
pub mod links;
pub mod load_sums;
pub mod membership;
pub mod message;
pub mod pause;
pub mod receive;
pub(crate) mod record;
pub(crate) mod self_report;
pub mod sockets;
pub(crate) mod sums;
