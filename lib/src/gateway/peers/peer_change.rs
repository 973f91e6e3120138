//! A change of the living daemons, as membership reports it to its caller.

use {crate::shared::ids::HostId, std::net::SocketAddr};

/// A change of the living daemons. The host is `None` until a heartbeat of the daemon was received.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PeerChange {
    /// A daemon became alive, for the first time or again.
    Met(SocketAddr, Option<HostId>),
    /// A living daemon has restarted since its last heartbeat.
    Restarted(SocketAddr, Option<HostId>),
    /// A daemon has been silent for too long.
    Lost(SocketAddr, Option<HostId>),
}
