//! A change in who is alive, as membership reports it to its caller.

use {crate::shared::ids::HostId, std::net::SocketAddr};

/// A change in who is alive; the host is known once a heartbeat of the daemon was received.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PeerChange {
    /// A daemon is alive for the first time, or again.
    Met(SocketAddr, Option<HostId>),
    /// A daemon that is alive started anew since its last heartbeat.
    Restarted(SocketAddr, Option<HostId>),
    /// A daemon has been silent for too long.
    Lost(SocketAddr, Option<HostId>),
}
