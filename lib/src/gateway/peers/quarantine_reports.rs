//! Exchanges reports with other daemons about requests under which endpoints terminated.
//!
//! Evidence that this daemon saw itself is sent a few times to the evidence holders of each request. The quarantined
//! requests are reported repeatedly to daemons drawn anew each time, in a small fleet to all, so that daemons that
//! start later receive the reports too. A fleet without such requests sends nothing. [`Quarantine`] decides what to
//! report.

use {
    crate::{
        gateway::{
            dialect::Dialect,
            peers::{
                membership::Peers,
                message::{Datagram, QuarantineReport},
                request_reports::{OutgoingDatagram, RequestReports},
            },
            quarantine::{
                note::{EvidenceNote, TrialNote},
                store::{Quarantine, QuarantineChange},
            },
            rules::{gossip::HEARTBEAT, quarantine::evidence_holders},
            state::Gateway,
        },
        shared::units::{Millis, Time},
    },
    foldhash::HashMap,
    std::{fmt::Display, net::SocketAddr},
    tokio::sync::Notify,
};

/// Maximum number of entries in one datagram. An entry takes up to 110 bytes, and any network transmits 1,400 bytes
/// unfragmented.
pub const DATAGRAM_NOTES: usize = 10;

/// Maximum number of trials in one datagram, of 24 bytes each.
const DATAGRAM_TRIALS: usize = 10;

/// Time for which reports are collected before they are sent: when an endpoint terminates, all its requests break off
/// together.
const REPORT_DELAY: Millis = Millis(5);

/// The reports about requests under which endpoints terminated.
pub(crate) struct QuarantineReports;

impl RequestReports for QuarantineReports {
    const DELAY: Millis = REPORT_DELAY;
    const INTERVAL: Millis = HEARTBEAT;

    fn wake<D: Dialect>(gateway: &Gateway<D>) -> &Notify {
        &gateway.quarantine_reports
    }

    fn is_idle<D: Dialect>(gateway: &Gateway<D>) -> bool {
        !gateway.state.borrow().quarantine.has_reports(gateway.now())
    }

    fn collect<D: Dialect>(gateway: &Gateway<D>) -> Vec<OutgoingDatagram> {
        gateway.expire_quarantine();
        let now = gateway.now();
        let mut guard = gateway.state.borrow_mut();
        let state = &mut *guard;
        let outgoing = collect_reports(now, &mut state.peers, &mut state.quarantine);
        outgoing.iter().flat_map(datagrams).collect()
    }
}

/// Entries and their recipients.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OutgoingNotes {
    /// Evidence about some requests, one entry each.
    pub notes: Vec<EvidenceNote>,
    /// Trials that run.
    pub trials: Vec<TrialNote>,
    /// Addresses of the recipients.
    pub targets: Vec<SocketAddr>,
}

/// Collects the reports to send now: what this daemon saw to the evidence holders of each request, and the
/// quarantined requests to some daemons.
pub fn collect_reports(
    now: Time,
    peers: &mut Peers,
    quarantine: &mut Quarantine,
) -> Vec<OutgoingNotes> {
    let mut outgoing = for_holders(quarantine.take_local_reports(now), peers);
    let notes = quarantine.common_reports(now);
    if !notes.is_empty() {
        let targets = peers.draw_any();
        let trials = quarantine.trials(now);
        outgoing.push(OutgoingNotes {
            notes,
            trials,
            targets,
        });
    }
    outgoing
}

/// Addresses entries to the evidence holders of each request, except this daemon.
fn for_holders(notes: Vec<EvidenceNote>, peers: &Peers) -> Vec<OutgoingNotes> {
    let mut by_holder: HashMap<SocketAddr, Vec<EvidenceNote>> = HashMap::default();
    for note in notes {
        for holder in evidence_holders(note.digest.as_bytes(), peers.living_daemons()) {
            by_holder.entry(holder).or_default().push(note.clone());
        }
    }
    by_holder.remove(&peers.local_address());
    let outgoing = by_holder.into_iter().map(|(holder, notes)| OutgoingNotes {
        notes,
        trials: Vec::new(),
        targets: vec![holder],
    });
    outgoing.collect()
}

/// Divides entries into datagrams.
fn datagrams(outgoing: &OutgoingNotes) -> impl Iterator<Item = OutgoingDatagram> {
    let batches = outgoing.notes.chunks(DATAGRAM_NOTES);
    let trials = outgoing.trials.chunks(DATAGRAM_TRIALS);
    let notes = batches.map(|batch| QuarantineReport::new(batch, Vec::new()));
    let trials = trials.map(|batch| QuarantineReport::new(&[], batch.to_vec()));
    notes.chain(trials).map(|report| OutgoingDatagram {
        datagram: Datagram::Quarantine(report),
        targets: outgoing.targets.clone(),
    })
}

impl<D: Dialect> Gateway<D> {
    /// Merges a report of another daemon about requests under which endpoints terminated.
    pub(crate) fn merge_quarantine(&self, report: QuarantineReport, from: SocketAddr) {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        let had_reports = state.quarantine.has_reports(now);
        state.quarantine.merge_trials(now, &report.trials);
        let changes = state.quarantine.merge(now, &report.into_notes());
        let has_reports = state.quarantine.has_reports(now);
        drop(state);
        if has_reports && !had_reports {
            // This is also needed if nothing changes here: a request that was served here isn't quarantined, and the
            // others have to receive that.
            self.quarantine_reports.notify_one();
        }
        self.apply_quarantine(changes, format_args!("peer {from}"));
    }

    fn expire_quarantine(&self) {
        let now = self.now();
        let changes = self.state.borrow_mut().quarantine.expire(now);
        self.apply_quarantine(changes, "time");
    }

    /// Logs changes of the quarantined requests, and wakes the task that reports to others.
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
        self.quarantine_began.notify_waiters();
        let now = self.now();
        let refused = self.state.borrow().quarantine.digests(now).count();
        self.metrics.endpoints.set_quarantined(refused);
    }

    fn log_quarantine(&self, change: &QuarantineChange, source: &impl Display) {
        match change {
            QuarantineChange::Began { digest, terminated } => {
                let state = self.state.borrow();
                let names = terminated
                    .iter()
                    .map(|incarnation| state.incarnation_name(*incarnation));
                let names: Vec<String> = names.collect();
                log::warn!(digest:%, endpoints = names.join(","), source:%; "quarantine.began");
            }
            QuarantineChange::Ended(digest) => {
                log::warn!(digest:%, source:%; "quarantine.ended");
            }
        }
    }
}
