//! Exchanges reports with other daemons about the first events that each observed at engines of tight services.
//!
//! A daemon reports only its own samples, about once a second to a few daemons drawn anew each time, and to a daemon
//! that has just started. A report replaces the one before from the same daemon. Reports are not passed on: what one
//! daemon sends and receives doesn't grow with the fleet, and a lost report is made up for by the next ones.
//! [`EngineModels`] keeps the samples.

use {
    crate::{
        gateway::{
            dialect::Dialect,
            engines::{
                evidence::ReporterHash, join_reports::REPORT_INTERVAL, note::EngineNote,
                store::EngineModels,
            },
            hashes::IncarnationHash,
            peers::{
                membership::Peers,
                message::{Datagram, EngineReport, PROTOCOL},
                sockets::send_datagram,
            },
            routing::endpoint_states::EndpointStates,
            state::{Gateway, GatewayState},
        },
        shared::{ids::ServiceId, units::Time},
    },
    foldhash::HashMap,
    rand::{rngs::SmallRng, seq::IndexedRandom},
    std::{iter, net::SocketAddr, rc::Rc},
    tokio::{
        net::UdpSocket,
        time::{MissedTickBehavior, interval},
    },
};

/// Number of daemons that get a report. In a fleet of 63 with 6 requests a second at each daemon, every daemon then has
/// the weight of about 9 samples of each of 60 endpoints, instead of 0.4 of its own.
const REPORT_TARGETS: usize = 5;

/// A report of this daemon's own samples, and its recipients.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OutgoingEngines {
    /// The samples, by service.
    pub notes: Vec<EngineNote>,
    /// Addresses of the recipients.
    pub targets: Vec<SocketAddr>,
}

/// Applies the decay of samples, and returns the report to send now; `None` if there is nothing to report.
pub fn collect_engines(
    now: Time,
    peers: &Peers,
    endpoints: &EndpointStates,
    engines: &mut EngineModels,
    rng: &mut SmallRng,
) -> Option<OutgoingEngines> {
    let listed = listed(endpoints, engines);
    engines.refresh(now, |service, endpoint| {
        listed.get(&endpoint) == Some(service)
    });
    let notes = engines.report(now, rng);
    let me = peers.local_address();
    let others = peers.living_daemons().filter(|address| *address != me);
    let others: Vec<SocketAddr> = others.collect();
    let targets = others.sample(rng, REPORT_TARGETS).copied().collect();
    (!notes.is_empty()).then_some(OutgoingEngines { notes, targets })
}

/// Returns the services of the listed endpoints of tight services, by incarnation.
fn listed(
    endpoints: &EndpointStates,
    engines: &EngineModels,
) -> HashMap<IncarnationHash, ServiceId> {
    let members = engines.services().flat_map(|id| endpoints.service(id));
    let listed = members.map(|member| (member.incarnation, member.entry.service.clone()));
    listed.collect()
}

/// Sends reports to other daemons until the process ends.
pub(crate) async fn run_engine_reports<D: Dialect>(gateway: Rc<Gateway<D>>, socket: Rc<UdpSocket>) {
    let mut ticks = interval(REPORT_INTERVAL.to_duration());
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut rng: SmallRng = rand::make_rng();
    loop {
        ticks.tick().await;
        let now = gateway.now();
        let mut guard = gateway.state.borrow_mut();
        let GatewayState {
            peers,
            endpoints,
            engines,
            ..
        } = &mut *guard;
        if engines.is_empty() {
            gateway.metrics.engines.set_models(0);
            continue;
        }
        let outgoing = collect_engines(now, peers, endpoints, engines, &mut rng);
        gateway.metrics.engines.set_models(engines.endpoints());
        let me = peers.local_address();
        drop(guard);
        if let Some(outgoing) = outgoing {
            let targets = outgoing.targets.into_iter();
            send_report(&socket, me, outgoing.notes, targets);
        }
    }
}

fn send_report(
    socket: &UdpSocket,
    me: SocketAddr,
    notes: Vec<EngineNote>,
    targets: impl Iterator<Item = SocketAddr>,
) {
    let datagram = Datagram::Engines(EngineReport {
        protocol: PROTOCOL,
        address: me,
        notes,
    });
    send_datagram(socket, &datagram, targets);
}

/// Sends this daemon's samples to one that has just started.
pub(crate) fn report_to_joining<D: Dialect>(
    gateway: &Gateway<D>,
    socket: &UdpSocket,
    joining: SocketAddr,
) {
    let now = gateway.now();
    let mut state = gateway.state.borrow_mut();
    if state.engines.is_empty() || !state.join_reports.take(now, joining) {
        return;
    }
    let notes = state.engines.report(now, &mut rand::rng());
    let me = state.peers.local_address();
    drop(state);
    if !notes.is_empty() {
        send_report(socket, me, notes, iter::once(joining));
    }
}

/// Merges the samples that another daemon reports.
pub(crate) fn receive_engines<D: Dialect>(
    gateway: &Gateway<D>,
    report: &EngineReport,
    from: SocketAddr,
) {
    // A daemon may send reports only from the IP address that they state.
    if report.address.ip() != from.ip() {
        log::warn!(from:% = from, protocol = report.protocol; "heartbeat.refused");
        return;
    }
    let now = gateway.now();
    let mut guard = gateway.state.borrow_mut();
    let GatewayState {
        peers,
        endpoints,
        engines,
        ..
    } = &mut *guard;
    if report.address == peers.local_address() {
        return;
    }
    let reporter = ReporterHash::from(report.address);
    let listed = listed(endpoints, engines);
    let merged = engines.merge(now, reporter, &report.notes, |service, endpoint| {
        listed.get(&endpoint) == Some(service)
    });
    drop(guard);
    if let Err(error) = merged {
        log::info!(from:% = report.address, error:%; "engine.report_unclear");
    }
}
