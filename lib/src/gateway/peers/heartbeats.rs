//! Sends this daemon's heartbeats, and for the services that it coordinates load digests and reports about other
//! regions.
//!
//! [`Peers`](crate::gateway::peers::membership::Peers) provides the contents and the recipients of a heartbeat.

use {
    crate::{
        gateway::{
            dialect::Dialect,
            peers::{
                changes::apply_changes,
                message::{Datagram, LoadDigest, PROTOCOL, RegionReport},
                sockets::send_datagram,
            },
            rules::{
                coordinator::{SETTLE_TIME, YIELD_TIME},
                gossip::{self, DATAGRAM_LOADS, HEARTBEAT, MAX_REMOTE_NOTES},
                stall::{CLOCK_CHECK, PauseDetector},
            },
            state::Gateway,
        },
        shared::{ids::ServiceId, units::Time},
    },
    std::{net::SocketAddr, rc::Rc},
    tokio::{
        net::UdpSocket,
        time::{MissedTickBehavior, interval},
    },
};

/// Sends heartbeats until the process ends, and updates with each the living daemons and the loads of others.
pub async fn run_heartbeats<D: Dialect>(gateway: Rc<Gateway<D>>, socket: Rc<UdpSocket>) {
    let mut ticks = interval(HEARTBEAT.to_duration());
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut pauses = PauseDetector::default();
    loop {
        tokio::select! {
            _ = ticks.tick() => {}
            () = gateway.announcement.notified() => {}
        }
        let now = gateway.now();
        if let Some(gap) = pauses.check(now) {
            log::warn!(gap_ms = gap.as_millis() as u64; "pause.noticed");
            gateway.state.borrow_mut().peers.end_pause(now);
            gateway.host_resumed.notify_waiters();
        }
        send_heartbeat(&gateway, &socket, now);
        send_load_digest(&gateway, &socket);
        send_remote_services(&gateway, &socket, now);
        gateway.state.borrow_mut().update_peer_loads(now);
        gateway.apply_timeouts();
    }
}

/// Checks the clock at short intervals until the process ends, to detect stalls of this process and to measure its
/// use of the processor.
pub async fn check_clock<D: Dialect>(gateway: Rc<Gateway<D>>) {
    let mut ticks = interval(CLOCK_CHECK.to_duration());
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut last = gateway.now();
    loop {
        ticks.tick().await;
        let now = gateway.now();
        gateway.state.borrow_mut().peers.stalls.check(now);
        gateway.observe_processor(now, last);
        last = now;
    }
}

/// Sends a heartbeat as soon as this daemon may coordinate services. If it waited for its next regular heartbeat, up to
/// 200 ms later, others that start at the same time would consider themselves the coordinator until then.
pub async fn announce_settled<D: Dialect>(gateway: Rc<Gateway<D>>) {
    for wait in [SETTLE_TIME, YIELD_TIME] {
        let end = Time::default() + wait;
        loop {
            let ran = gateway.state.borrow().peers.running_time(gateway.now());
            if ran >= end {
                break;
            }
            tokio::time::sleep(end.since(ran)).await;
        }
        gateway.announcement.notify_one();
    }
}

fn send_heartbeat<D: Dialect>(gateway: &Gateway<D>, socket: &UdpSocket, now: Time) {
    let report = gateway.self_report();
    let changes = gateway.state.borrow_mut().peers.update_liveness(now);
    apply_changes(gateway, &changes);
    let outgoing = gateway.state.borrow_mut().peers.heartbeat(now, report);
    let datagram = Datagram::Heartbeat(Box::new(outgoing.heartbeat));
    send_datagram(socket, &datagram, outgoing.targets.into_iter());
}

/// Sends all daemons of this region the sums of loads on the endpoints of services that this daemon coordinates. Does
/// nothing in a small fleet, where every daemon receives the heartbeats of all others.
fn send_load_digest<D: Dialect>(gateway: &Gateway<D>, socket: &UdpSocket) {
    let now = gateway.now();
    let ready = gateway.may_coordinate();
    let mut state = gateway.state.borrow_mut();
    if state.peers.is_small() || !ready {
        return;
    }
    let loads = state.next_digest(now, ready);
    let recipients: Vec<SocketAddr> = state.peers.region_addresses().collect();
    drop(state);
    for batch in loads.chunks(DATAGRAM_LOADS) {
        gateway.state.borrow_mut().load_sums.merge(now, batch);
        let digest = LoadDigest {
            protocol: PROTOCOL,
            loads: batch.to_vec(),
        };
        let datagram = Datagram::Loads(digest);
        send_datagram(socket, &datagram, recipients.iter().copied());
    }
}

/// Reports to all daemons of this region the state in other regions of the services that this daemon coordinates.
fn send_remote_services<D: Dialect>(gateway: &Gateway<D>, socket: &UdpSocket, now: Time) {
    let ready = gateway.may_coordinate();
    let mut state = gateway.state.borrow_mut();
    if !ready || !gossip::is_remote_due(state.peers.last_sequence()) {
        return;
    }
    let services: Vec<ServiceId> = state.stage_queues.services().cloned().collect();
    let notes = state.peers.remote_notes(now, &services, ready);
    state.peers.merge_remote_services(now, &notes);
    let recipients: Vec<SocketAddr> = state.peers.region_addresses().collect();
    drop(state);
    for batch in notes.chunks(MAX_REMOTE_NOTES) {
        let report = RegionReport {
            protocol: PROTOCOL,
            notes: batch.to_vec(),
        };
        send_datagram(
            socket,
            &Datagram::Regions(report),
            recipients.iter().copied(),
        );
    }
}
