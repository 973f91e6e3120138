//! Exchanges the origins of streams with other daemons.
//!
//! [`StreamOrigins`](crate::gateway::stream_origins::store::StreamOrigins) decides what is sent.

use {
    crate::{
        gateway::{
            dialect::Dialect,
            peers::{
                message::{Datagram, OriginReport, PROTOCOL},
                request_reports::{OutgoingDatagram, RequestReports, addressed, send_now},
            },
            request_memory::outbox::take_entries,
            rules::stream_origin::origin_holders,
            state::{Gateway, GatewayState},
            stream_origins::note::OriginEntries,
        },
        shared::units::Millis,
    },
    std::net::SocketAddr,
    tokio::sync::Notify,
};

/// Maximum number of entries in one datagram. An entry takes up to 31 bytes, and a datagram up to 1,200 bytes.
const DATAGRAM_ENTRIES: usize = 36;

/// Time for which the entries for new holders are collected: daemons are lost and start together.
const REPORT_DELAY: Millis = Millis(20);

/// Interval at which the holders of open streams are updated after daemons were lost or have started.
const HOLDERS_INTERVAL: Millis = Millis(200);

/// The reports about origins of streams.
pub(crate) struct OriginReports;

impl RequestReports for OriginReports {
    const DELAY: Millis = REPORT_DELAY;
    const INTERVAL: Millis = HOLDERS_INTERVAL;

    fn wake<D: Dialect>(gateway: &Gateway<D>) -> &Notify {
        &gateway.origin_reports
    }

    fn is_idle<D: Dialect>(gateway: &Gateway<D>) -> bool {
        !gateway.state.borrow().origins.has_stale_holders()
    }

    fn collect<D: Dialect>(gateway: &Gateway<D>) -> Vec<OutgoingDatagram> {
        let mut guard = gateway.state.borrow_mut();
        let GatewayState { origins, peers, .. } = &mut *guard;
        let local = peers.local_address();
        origins.update_holders(|digest| {
            origin_holders(digest.as_bytes(), peers.living_daemons(), local)
        });
        let outgoing = origins.take_entries();
        drop(guard);
        addressed(outgoing, |entries| {
            let reports = reports(local, entries).into_iter();
            reports.map(Datagram::Origins)
        })
    }
}

/// Divides the entries for one daemon into reports that fit into a datagram each.
pub fn reports(from: SocketAddr, entries: OriginEntries) -> Vec<OriginReport> {
    let mut reports = Vec::new();
    let mut notes = entries.notes.into_iter();
    let mut lookups = entries.lookups.into_iter();
    loop {
        let mut left = DATAGRAM_ENTRIES;
        let report = OriginReport {
            protocol: PROTOCOL,
            address: from,
            notes: take_entries(&mut notes, &mut left),
            lookups: take_entries(&mut lookups, &mut left),
        };
        if left == DATAGRAM_ENTRIES {
            return reports;
        }
        reports.push(report);
    }
}

/// Applies a message of another daemon about origins of streams.
pub(crate) fn receive_origins<D: Dialect>(
    gateway: &Gateway<D>,
    report: OriginReport,
    from: SocketAddr,
) {
    // A daemon may send reports only from the IP address that they state.
    if report.address.ip() != from.ip() {
        log::warn!(from:% = from, protocol = report.protocol; "heartbeat.refused");
        return;
    }
    let is_asked = !report.lookups.is_empty();
    let entries = OriginEntries {
        notes: report.notes,
        lookups: report.lookups,
    };
    let now = gateway.now();
    let mut state = gateway.state.borrow_mut();
    state.origins.receive(now, report.address, &entries);
    drop(state);
    if is_asked {
        send_now::<OriginReports, D>(gateway);
    }
    gateway.origin_answers.notify_waiters();
}
