//! Tells other daemons under which requests endpoints ended, and hears it from them.
//!
//! What this daemon saw goes to the keepers of each request, a few times; which requests are refused goes on and on to
//! some daemons drawn anew each time, in a small fleet to all, so that those learn of it too that start later. A fleet
//! without such requests sends nothing. Relies on [`Quarantine`] for what there is to tell.

use {
    crate::{
        gateway::{
            dialect::Dialect,
            peers::{
                membership::Peers,
                message::{Datagram, PROTOCOL, QuarantineReport},
                sockets::send_datagram,
            },
            quarantine::{
                note::EvidenceNote,
                store::{Quarantine, QuarantineChange},
            },
            rules::{gossip::HEARTBEAT, quarantine::evidence_holders},
            state::Gateway,
        },
        shared::units::{Millis, Time},
    },
    foldhash::HashMap,
    std::{fmt::Display, net::SocketAddr, rc::Rc},
    tokio::net::UdpSocket,
};

/// Requests that one datagram names: one takes up to 70 bytes, and 1,400 are sent whole by any network.
const DATAGRAM_NOTES: usize = 16;

/// Time for which news is gathered before it is sent, since all requests of an endpoint that ends break off together.
const NEWS_DELAY: Millis = Millis(5);

/// Tells others what is new, for good.
pub(crate) async fn run_quarantine_news<D: Dialect>(
    gateway: Rc<Gateway<D>>,
    socket: Rc<UdpSocket>,
) {
    loop {
        let now = gateway.now();
        if gateway.state.borrow().quarantine.has_reports(now) {
            // Either end means the same: it is time to tell.
            let news = gateway.quarantine_reports.notified();
            let _ = tokio::time::timeout(HEARTBEAT.to_duration(), news).await;
        } else {
            gateway.quarantine_reports.notified().await;
        }
        tokio::time::sleep(NEWS_DELAY.to_duration()).await;
        gateway.expire_quarantine();
        send(&gateway, &socket);
    }
}

/// What some daemons are told.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OutgoingNotes {
    /// What is known of some requests.
    pub notes: Vec<EvidenceNote>,
    /// The daemons that are told.
    pub targets: Vec<SocketAddr>,
}

/// Gathers what others are told now: the keepers of each request what this daemon saw, and some daemons which
/// requests are refused.
pub fn gather(now: Time, peers: &mut Peers, quarantine: &mut Quarantine) -> Vec<OutgoingNotes> {
    let mut outgoing = for_keepers(quarantine.take_local_reports(now), peers);
    let notes = quarantine.common_reports(now);
    if !notes.is_empty() {
        let targets = peers.draw_any();
        outgoing.push(OutgoingNotes { notes, targets });
    }
    outgoing
}

/// Addresses notes to the keepers of each request, other than this daemon.
fn for_keepers(notes: Vec<EvidenceNote>, peers: &Peers) -> Vec<OutgoingNotes> {
    let mut told: HashMap<SocketAddr, Vec<EvidenceNote>> = HashMap::default();
    for note in notes {
        for keeper in evidence_holders(note.digest.as_bytes(), peers.living_daemons()) {
            told.entry(keeper).or_default().push(note.clone());
        }
    }
    told.remove(&peers.own_address());
    let outgoing = told.into_iter().map(|(keeper, notes)| OutgoingNotes {
        notes,
        targets: vec![keeper],
    });
    outgoing.collect()
}

fn send<D: Dialect>(gateway: &Gateway<D>, socket: &UdpSocket) {
    let now = gateway.now();
    let mut guard = gateway.state.borrow_mut();
    let state = &mut *guard;
    let outgoing = gather(now, &mut state.peers, &mut state.quarantine);
    drop(guard);
    for part in outgoing {
        send_notes(socket, &part.notes, &part.targets);
    }
}

fn send_notes(socket: &UdpSocket, notes: &[EvidenceNote], targets: &[SocketAddr]) {
    for part in notes.chunks(DATAGRAM_NOTES) {
        let report = QuarantineReport {
            protocol: PROTOCOL,
            notes: part.to_vec(),
        };
        let datagram = Datagram::Quarantine(report);
        send_datagram(socket, &datagram, targets.iter().copied());
    }
}

impl<D: Dialect> Gateway<D> {
    /// Merges what another daemon knows of requests under which endpoints ended.
    pub(crate) fn merge_quarantine(&self, notes: &[EvidenceNote], from: SocketAddr) {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        let had_news = state.quarantine.has_reports(now);
        let changes = state.quarantine.merge(now, notes);
        let has_reports = state.quarantine.has_reports(now);
        drop(state);
        if has_reports && !had_news {
            // Also where nothing changes here: what was served here isn't refused, and others are to know.
            self.quarantine_reports.notify_one();
        }
        self.apply_quarantine(changes, format_args!("peer {from}"));
    }

    fn expire_quarantine(&self) {
        let now = self.now();
        let changes = self.state.borrow_mut().quarantine.expire(now);
        self.apply_quarantine(changes, "time");
    }

    /// Logs what has become of refused requests, and wakes the loop that tells others.
    pub(crate) fn apply_quarantine(
        &self,
        changes: impl IntoIterator<Item = QuarantineChange>,
        source: impl Display,
    ) {
        let changes: Vec<QuarantineChange> = changes.into_iter().collect();
        if changes.is_empty() {
            return;
        }
        for change in &changes {
            self.log_quarantine(change, &source);
        }
        self.quarantine_reports.notify_one();
        let now = self.now();
        let refused = self.state.borrow().quarantine.digests(now).count();
        self.metrics.endpoints.set_quarantined(refused);
    }

    fn log_quarantine(&self, change: &QuarantineChange, source: &impl Display) {
        match change {
            QuarantineChange::Began { digest, ended } => {
                let state = self.state.borrow();
                let names = ended.iter().map(|life| state.incarnation_name(*life));
                let names: Vec<String> = names.collect();
                log::warn!(digest:%, endpoints = names.join(","), source:%; "quarantine.began");
            }
            QuarantineChange::Ended(digest) => {
                log::warn!(digest:%, source:%; "quarantine.ended");
            }
        }
    }
}
