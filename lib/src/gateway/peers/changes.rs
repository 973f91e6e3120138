//! Changes in who is alive: their log events, and the end of links to daemons that are gone.

use {
    crate::{
        gateway::{dialect::Dialect, state::Gateway},
        shared::ids::HostId,
    },
    std::net::SocketAddr,
};

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

/// Logs changes, and closes the links to daemons that were lost or started anew.
pub(crate) fn apply_changes<D: Dialect>(gateway: &Gateway<D>, changes: &[PeerChange]) {
    for change in changes {
        apply_change(gateway, change);
    }
}

fn apply_change<D: Dialect>(gateway: &Gateway<D>, change: &PeerChange) {
    let (event, address, host) = match change {
        PeerChange::Met(address, host) => ("peer.met", address, host),
        PeerChange::Restarted(address, host) => ("peer.restarted", address, host),
        PeerChange::Lost(address, host) => ("peer.lost", address, host),
    };
    let host = host.as_ref().map_or("", |host| host.as_str());
    log::info!(peer:% = address, host; "{event}");
    if !matches!(change, PeerChange::Met(..)) {
        gateway.links.close(*address);
    }
}
