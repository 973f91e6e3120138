//! Applies changes of the living daemons: logs them, and closes links to daemons that were lost or restarted.

use crate::gateway::{dialect::Dialect, peers::peer_change::PeerChange, state::Gateway};

/// Logs changes, and closes the links to daemons that were lost or restarted.
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
    let mut state = gateway.state.borrow_mut();
    state.origins.daemon_changed(*address);
    if state.origins.has_stale_holders() {
        gateway.origin_reports.notify_one();
    }
}
