//! Exchanges messages with other daemons about reservations of refused callers.
//!
//! New reservations, claims, answers and releases are collected for a moment and sent to the daemon that each concerns.
//! A fleet without refused callers of routes with short objectives sends nothing.
//! [`Reservations`](crate::gateway::reservations::store::Reservations) decides what is sent.

use {
    crate::{
        gateway::{
            dialect::Dialect,
            peers::{
                message::{Datagram, PROTOCOL, ReservationReport},
                request_reports::{OutgoingDatagram, RequestReports, addressed},
            },
            request_memory::outbox::take_entries,
            reservations::note::ReservationEntries,
            state::{Gateway, GatewayState},
        },
        shared::units::Millis,
    },
    std::net::SocketAddr,
    tokio::sync::Notify,
};

/// Maximum number of entries in one datagram. An entry takes up to 53 bytes, and a datagram up to 1,200 bytes.
const DATAGRAM_ENTRIES: usize = 21;

/// Time for which entries are collected before they are sent. A claim and its answer are delayed once each, well within
/// the time that a request waits for the answer.
const REPORT_DELAY: Millis = Millis(2);

/// Interval at which expired reservations are removed: a fifth of the time for which they can be claimed late.
const EXPIRY_INTERVAL: Millis = Millis(100);

/// The reports about reservations.
pub(crate) struct ReservationReports;

impl RequestReports for ReservationReports {
    const DELAY: Millis = REPORT_DELAY;
    const INTERVAL: Millis = EXPIRY_INTERVAL;

    fn wake<D: Dialect>(gateway: &Gateway<D>) -> &Notify {
        &gateway.reservation_reports
    }

    fn is_idle<D: Dialect>(gateway: &Gateway<D>) -> bool {
        gateway.state.borrow().reservations.is_idle()
    }

    fn collect<D: Dialect>(gateway: &Gateway<D>) -> Vec<OutgoingDatagram> {
        gateway.expire_reservations();
        let mut state = gateway.state.borrow_mut();
        let local = state.peers.local_address();
        let outgoing = state.reservations.take_entries();
        drop(state);
        addressed(outgoing, |entries| {
            let reports = reports(local, entries).into_iter();
            reports.map(Datagram::Reservations)
        })
    }
}

/// Divides the entries for one daemon into reports that fit into a datagram each.
pub fn reports(from: SocketAddr, entries: ReservationEntries) -> Vec<ReservationReport> {
    let mut reports = Vec::new();
    let mut made = entries.made.into_iter();
    let mut claims = entries.claims.into_iter();
    let mut answers = entries.answers.into_iter();
    let mut releases = entries.releases.into_iter();
    loop {
        let mut left = DATAGRAM_ENTRIES;
        let report = ReservationReport {
            protocol: PROTOCOL,
            address: from,
            made: take_entries(&mut made, &mut left),
            claims: take_entries(&mut claims, &mut left),
            answers: take_entries(&mut answers, &mut left),
            releases: take_entries(&mut releases, &mut left),
        };
        if left == DATAGRAM_ENTRIES {
            return reports;
        }
        reports.push(report);
    }
}

/// Applies a message of another daemon about reservations.
pub(crate) fn receive_reservations<D: Dialect>(
    gateway: &Gateway<D>,
    report: ReservationReport,
    from: SocketAddr,
) {
    // A daemon may send reports only from the IP address that they state.
    if report.address.ip() != from.ip() {
        log::warn!(from:% = from, protocol = report.protocol; "heartbeat.refused");
        return;
    }
    let sender = report.address;
    let entries = ReservationEntries {
        made: report.made,
        claims: report.claims,
        answers: report.answers,
        releases: report.releases,
    };
    let now = gateway.now();
    let mut guard = gateway.state.borrow_mut();
    let GatewayState {
        reservations,
        workload,
        ..
    } = &mut *guard;
    let is_unclear = reservations.receive(now, sender, &entries, workload);
    drop(guard);
    if is_unclear {
        log::warn!(from:% = sender; "reservation.unclear");
    }
    gateway.reservation_reports.notify_one();
    gateway.reservation_answers.notify_waiters();
}

impl<D: Dialect> Gateway<D> {
    /// Removes expired reservations, and logs those of this daemon that weren't claimed.
    fn expire_reservations(&self) {
        let now = self.now();
        let mut guard = self.state.borrow_mut();
        let GatewayState {
            reservations,
            workload,
            ..
        } = &mut *guard;
        let missed = reservations.expire(now, workload);
        drop(guard);
        for missed in missed {
            self.metrics.reservations.count_missed();
            log::info!(
                request = &*missed.request,
                digest:% = missed.digest,
                wait_ms = missed.wait.0;
                "reservation.missed"
            );
        }
    }
}
