//! Receives datagrams from other daemons, and sends a roster to a daemon that has just started.

use {
    crate::gateway::{
        dialect::Dialect,
        peers::{
            changes::apply_changes,
            engine_reports::{receive_engines, report_to_joining},
            loan_reports::receive_loans,
            message::{Datagram, Heartbeat, PROTOCOL, Roster, decode},
            origin_reports::receive_origins,
            rate_reports::receive_rates,
            reservation_reports::receive_reservations,
            sockets::{MAX_DATAGRAM, send_datagram},
        },
        rules::gossip::{HEARTBEAT, ROSTER_PEERS},
        state::Gateway,
    },
    std::{iter, net::SocketAddr, rc::Rc},
    tokio::net::UdpSocket,
};

/// Receives datagrams until the process ends.
pub async fn receive_datagrams<D: Dialect>(gateway: Rc<Gateway<D>>, socket: Rc<UdpSocket>) {
    let mut buffer = vec![0; MAX_DATAGRAM];
    loop {
        match socket.recv_from(&mut buffer).await {
            Ok((length, from)) => receive_datagram(&gateway, &socket, &buffer[..length], from),
            Err(error) => {
                log::warn!(error:%; "heartbeat.receive_failed");
                tokio::time::sleep(HEARTBEAT.to_duration()).await;
            }
        }
    }
}

fn receive_datagram<D: Dialect>(
    gateway: &Gateway<D>,
    socket: &UdpSocket,
    bytes: &[u8],
    from: SocketAddr,
) {
    let datagram: Datagram = match decode(bytes) {
        Ok(datagram) => datagram,
        Err(error) => {
            log::debug!(from:% = from, error:%; "heartbeat.refused");
            return;
        }
    };
    let protocol = datagram.protocol();
    if protocol != PROTOCOL {
        log::warn!(from:% = from, protocol; "heartbeat.refused");
        return;
    }
    let now = gateway.now();
    match datagram {
        Datagram::Heartbeat(heartbeat) => receive_heartbeat(gateway, socket, *heartbeat, from),
        Datagram::Loads(digest) => gateway
            .state
            .borrow_mut()
            .load_sums
            .merge(now, &digest.loads),
        Datagram::Roster(roster) => {
            let mut state = gateway.state.borrow_mut();
            let changes = state.peers.merge_roster(now, &roster.peers);
            drop(state);
            apply_changes(gateway, &changes);
        }
        Datagram::Quarantine(report) => gateway.merge_quarantine(report, from),
        Datagram::Rates(report) => receive_rates(gateway, socket, &report, from),
        Datagram::Regions(report) => gateway
            .state
            .borrow_mut()
            .peers
            .merge_remote_services(now, &report.notes),
        Datagram::Engines(report) => receive_engines(gateway, &report, from),
        Datagram::Calibration(report) => gateway.merge_calibration(&report.notes, from),
        Datagram::Reservations(report) => receive_reservations(gateway, report, from),
        Datagram::Origins(report) => receive_origins(gateway, report, from),
        Datagram::Loans(report) => receive_loans(gateway, socket, report, from),
    }
}

fn receive_heartbeat<D: Dialect>(
    gateway: &Gateway<D>,
    socket: &UdpSocket,
    heartbeat: Heartbeat,
    from: SocketAddr,
) {
    // A daemon may send heartbeats only from the IP address that they state.
    if heartbeat.address.ip() != from.ip() {
        log::warn!(from:% = from, protocol = heartbeat.protocol; "heartbeat.refused");
        return;
    }
    let now = gateway.now();
    let (joining, sender, table) = (heartbeat.joining, heartbeat.address, heartbeat.table);
    if let Some(evacuations) = heartbeat.known_evacuations() {
        gateway.merge_evacuations(&evacuations, format_args!("peer {sender}"));
    }
    gateway.record_era(heartbeat.eras.table.max(heartbeat.eras.list));
    let mut state = gateway.state.borrow_mut();
    let changes = state.peers.receive_heartbeat(now, heartbeat);
    if joining {
        state.calibration.add_joining(sender);
    }
    if table > state.table_version() {
        gateway.newer_table.notify_one();
    }
    drop(state);
    apply_changes(gateway, &changes);
    if joining {
        send_roster(gateway, socket, sender);
        report_to_joining(gateway, socket, sender);
    }
}

/// Sends a daemon that has just started the addresses of some living daemons.
fn send_roster<D: Dialect>(gateway: &Gateway<D>, socket: &UdpSocket, joining: SocketAddr) {
    let now = gateway.now();
    let living = gateway.state.borrow_mut().peers.roster(now, joining);
    for batch in living.chunks(ROSTER_PEERS) {
        let roster = Roster {
            protocol: PROTOCOL,
            peers: batch.to_vec(),
        };
        let datagram = Datagram::Roster(roster);
        send_datagram(socket, &datagram, iter::once(joining));
    }
}
