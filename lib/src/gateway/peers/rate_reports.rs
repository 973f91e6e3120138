//! Exchanges reports with other daemons about endpoints that advertise a rate limit: sends this daemon's share of
//! each limit and its claims to the coordinator, and permits from the coordinator to the others.
//!
//! A daemon that receives an advertised rate reports it to the coordinator of the endpoint's service and to some
//! daemons drawn anew each time, in a small fleet to all; the coordinator forwards new rates to all daemons. A fleet
//! without such endpoints sends nothing. [`EndpointRates`] decides what to report.

use {
    crate::{
        gateway::{
            dialect::Dialect,
            peers::{
                membership::Peers,
                message::{Datagram, PROTOCOL, RateReport},
                sockets::send_datagram,
            },
            rates::{
                note::{PermitNote, RateNote},
                store::{EndpointRates, PermitAnswer, RateMessages},
            },
            routing::advertised_rates::RateSource,
            rules::{coordinator::Coordinator, gossip::HEARTBEAT},
            state::{Gateway, GatewayState},
        },
        shared::units::{Millis, Time},
    },
    foldhash::HashMap,
    std::{iter, net::SocketAddr, rc::Rc},
    tokio::net::UdpSocket,
};

/// Maximum number of entries in one datagram. An entry takes up to 33 bytes, and any network transmits 1,400 bytes
/// unfragmented.
const RATE_NOTES: usize = 36;

/// Time for which claims are collected before they are sent.
const CLAIM_DELAY: Millis = Millis(2);

/// Sends reports to other daemons until the process ends.
pub(crate) async fn run_rate_reports<D: Dialect>(gateway: Rc<Gateway<D>>, socket: Rc<UdpSocket>) {
    loop {
        let is_idle = gateway.state.borrow().endpoints.rates.is_empty();
        if is_idle {
            gateway.rate_reports.notified().await;
        } else {
            // Reports are due both on a notification and on the timeout.
            let notified = gateway.rate_reports.notified();
            let _ = tokio::time::timeout(HEARTBEAT.to_duration(), notified).await;
        }
        tokio::time::sleep(CLAIM_DELAY.to_duration()).await;
        send(&gateway, &socket);
    }
}

/// Entries for one daemon.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
struct OutboxEntry {
    notes: Vec<RateNote>,
    permits: Vec<PermitNote>,
}

/// Entries for each daemon, by its address.
#[derive(Debug, Default)]
struct Outbox(HashMap<SocketAddr, OutboxEntry>);

impl Outbox {
    fn add_note(&mut self, to: SocketAddr, note: RateNote) {
        self.0.entry(to).or_default().notes.push(note);
    }

    fn add_answers(&mut self, answers: Vec<PermitAnswer>) {
        for PermitAnswer { to, note } in answers {
            self.0.entry(to).or_default().permits.push(note);
        }
    }

    /// Adds the messages about one endpoint, each for its recipients.
    fn add(&mut self, now: Time, ready: bool, peers: &mut Peers, messages: RateMessages) {
        let coordinator = peers.coordinator(now, &messages.service, ready, &[]);
        let address = match coordinator {
            Coordinator::Local => peers.local_address(),
            Coordinator::Peer(address) => address,
        };
        if let Some(report) = messages.report {
            self.add_note(address, report);
        }
        let Some(note) = messages.announcement else {
            return;
        };
        let mut targets: Vec<SocketAddr> = match coordinator {
            Coordinator::Local => peers.addresses().collect(),
            Coordinator::Peer(_) => peers.draw_any(),
        };
        if !targets.contains(&address) && messages.report.is_none() {
            targets.push(address);
        }
        targets.retain(|to| *to != peers.local_address());
        for to in targets {
            self.add_note(to, note);
        }
    }
}

fn send<D: Dialect>(gateway: &Gateway<D>, socket: &UdpSocket) {
    let now = gateway.now();
    let ready = gateway.may_coordinate();
    let settled = gateway.is_settled();
    let mut guard = gateway.state.borrow_mut();
    let GatewayState {
        peers, endpoints, ..
    } = &mut *guard;
    let daemons = settled.then(|| peers.known_daemons());
    let mut outbox = Outbox::default();
    for messages in endpoints.rates.messages(now, daemons) {
        outbox.add(now, ready, peers, messages);
    }
    drop(guard);
    deliver(gateway, socket, outbox);
}

/// Sends the entries to other daemons. Entries for this daemon, as the coordinator, are applied at once.
fn deliver<D: Dialect>(gateway: &Gateway<D>, socket: &UdpSocket, mut outbox: Outbox) {
    let me = gateway.state.borrow().peers.local_address();
    if let Some(local) = outbox.0.remove(&me) {
        let answers = apply_reports(gateway, &local.notes, me);
        gateway.take_permits(&local.permits);
        outbox.add_answers(answers);
    }
    if let Some(local) = outbox.0.remove(&me) {
        gateway.take_permits(&local.permits);
    }
    for (to, entry) in outbox.0 {
        send_entry(socket, me, to, &entry);
    }
}

fn send_entry(socket: &UdpSocket, from: SocketAddr, to: SocketAddr, entry: &OutboxEntry) {
    let notes = entry.notes.chunks(RATE_NOTES);
    let permits = entry.permits.chunks(RATE_NOTES);
    let notes = notes.map(|part| (part.to_vec(), Vec::new()));
    let permits = permits.map(|part| (Vec::new(), part.to_vec()));
    for (notes, permits) in notes.chain(permits) {
        let datagram = Datagram::Rates(RateReport {
            protocol: PROTOCOL,
            address: from,
            notes,
            permits,
        });
        send_datagram(socket, &datagram, iter::once(to));
    }
}

/// Applies the reports of a daemon, as the coordinator, and returns the permits in answer.
fn apply_reports<D: Dialect>(
    gateway: &Gateway<D>,
    notes: &[RateNote],
    from: SocketAddr,
) -> Vec<PermitAnswer> {
    let now = gateway.now();
    let mut state = gateway.state.borrow_mut();
    let rates = &mut state.endpoints.rates;
    let reports = notes.iter().filter(|note| note.is_report());
    let answers = reports.flat_map(|note| rates.take_report(now, from, note));
    answers.collect()
}

/// Returns this daemon's newer entries for endpoints about which another one sent outdated reports.
fn newer_notes(rates: &EndpointRates, now: Time, notes: &[RateNote]) -> Vec<RateNote> {
    let reports = notes.iter().filter(|note| note.is_report());
    let newer = reports.filter_map(|note| rates.newer(now, note));
    newer.collect()
}

/// Applies a report of another daemon about endpoints that advertise a rate limit.
pub(crate) fn receive_rates<D: Dialect>(
    gateway: &Gateway<D>,
    socket: &UdpSocket,
    report: &RateReport,
    from: SocketAddr,
) {
    // A daemon may send reports only from the IP address that they state.
    if report.address.ip() != from.ip() {
        log::warn!(from:% = from, protocol = report.protocol; "heartbeat.refused");
        return;
    }
    let sender = report.address;
    let now = gateway.now();
    let better = newer_notes(&gateway.state.borrow().endpoints.rates, now, &report.notes);
    for note in &report.notes {
        gateway.merge_rate(note, RateSource::Peer(sender));
    }
    gateway.take_permits(&report.permits);
    let mut outbox = Outbox::default();
    for note in better {
        outbox.add_note(sender, note);
    }
    outbox.add_answers(apply_reports(gateway, &report.notes, sender));
    deliver(gateway, socket, outbox);
}
