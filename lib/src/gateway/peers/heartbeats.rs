//! Sends this daemon's heartbeats, and the load digests of the services that it coordinates.
//!
//! Relies on [`Peers`](crate::gateway::peers::membership::Peers) for the contents and the
//! targets of a heartbeat.

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

/// Sends heartbeats for good, and notes with each who is alive and what others have in flight.
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
        send_far_services(&gateway, &socket, now);
        gateway.state.borrow_mut().update_peer_loads(now);
        gateway.apply_timeouts();
    }
}

/// Looks at the clock for good, so that it shows whether this process stands still.
pub async fn look_at_clock<D: Dialect>(gateway: Rc<Gateway<D>>) {
    let mut looks = interval(CLOCK_CHECK.to_duration());
    looks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        looks.tick().await;
        let now = gateway.now();
        gateway.state.borrow_mut().peers.standstills.check(now);
    }
}

/// Announces at once that this daemon may coordinate services now. With its next heartbeat, up to 200 ms later,
/// others that start at the same time would take themselves for the coordinator meanwhile.
pub async fn announce_settled<D: Dialect>(gateway: Rc<Gateway<D>>) {
    for wait in [SETTLE_TIME, YIELD_TIME] {
        let end = Time::default() + wait;
        loop {
            let ran = gateway.state.borrow().peers.ran(gateway.now());
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

/// Sends everybody of this region what is in flight at the endpoints that this daemon coordinates; needed only
/// where not every daemon receives the heartbeats of every other one.
fn send_load_digest<D: Dialect>(gateway: &Gateway<D>, socket: &UdpSocket) {
    let now = gateway.now();
    let ready = gateway.may_coordinate();
    let mut state = gateway.state.borrow_mut();
    if state.peers.is_small() || !ready {
        return;
    }
    let loads = state.next_digest(now, ready);
    let everybody: Vec<SocketAddr> = state.peers.near_addresses().collect();
    drop(state);
    for part in loads.chunks(DATAGRAM_LOADS) {
        gateway.state.borrow_mut().load_sums.merge(now, part);
        let digest = LoadDigest {
            protocol: PROTOCOL,
            loads: part.to_vec(),
        };
        let datagram = Datagram::Loads(digest);
        send_datagram(socket, &datagram, everybody.iter().copied());
    }
}

/// Tells this region how the services that this daemon coordinates stand in other ones.
fn send_far_services<D: Dialect>(gateway: &Gateway<D>, socket: &UdpSocket, now: Time) {
    let ready = gateway.may_coordinate();
    let mut state = gateway.state.borrow_mut();
    if !ready || !gossip::is_remote_due(state.peers.last_sequence()) {
        return;
    }
    let services: Vec<ServiceId> = state.stage_queues.services().cloned().collect();
    let notes = state.peers.far_notes(now, &services, ready);
    state.peers.merge_far_services(now, &notes);
    let everybody: Vec<SocketAddr> = state.peers.near_addresses().collect();
    drop(state);
    for part in notes.chunks(MAX_REMOTE_NOTES) {
        let report = RegionReport {
            protocol: PROTOCOL,
            notes: part.to_vec(),
        };
        send_datagram(
            socket,
            &Datagram::Regions(report),
            everybody.iter().copied(),
        );
    }
}
