//! Exchanges with other daemons the connections that they lend each other.
//!
//! [`ConnectionLoans`](crate::gateway::loans::store::ConnectionLoans) decides what is sent. A fleet in which each daemon's
//! share is enough sends nothing.

use {
    crate::{
        gateway::{
            dialect::Dialect,
            hashes::{IncarnationHash, service_hash},
            loans::note::{AskNote, BorrowerReport},
            peers::{
                message::{Datagram, LoanReport, PROTOCOL},
                request_reports::{OutgoingDatagram, RequestReports},
                sockets::send_datagram,
            },
            rules::{
                connection_loan::{LENDERS, REPORT_INTERVAL, Room, is_scarce, wanted},
                connections::in_flight_limit,
            },
            state::{Gateway, GatewayState, PublishedTable},
        },
        shared::{ids::ServiceId, units::Millis},
    },
    foldhash::{HashMap, HashSet},
    std::{iter, net::SocketAddr},
    tokio::{net::UdpSocket, sync::Notify},
};

/// Time for which questions are collected before they are sent. Requests wait for the answers.
const REPORT_DELAY: Millis = Millis(1);

/// The reports about connections that this daemon borrows.
pub(crate) struct LoanReports;

impl RequestReports for LoanReports {
    const DELAY: Millis = REPORT_DELAY;
    const INTERVAL: Millis = REPORT_INTERVAL;

    fn wake<D: Dialect>(gateway: &Gateway<D>) -> &Notify {
        &gateway.loan_reports
    }

    fn is_idle<D: Dialect>(gateway: &Gateway<D>) -> bool {
        gateway.state.borrow().endpoints.loans.is_empty()
    }

    fn collect<D: Dialect>(gateway: &Gateway<D>) -> Vec<OutgoingDatagram> {
        let now = gateway.now();
        let mut state = gateway.state.borrow_mut();
        let mut loans = std::mem::take(&mut state.endpoints.loans);
        let local = state.peers.local_address();
        let shares = all_shares(&state);
        let living: HashSet<SocketAddr> = state.peers.living_daemons().collect();
        let reports = loans.reports(
            now,
            |endpoint| shares.get(&endpoint).copied(),
            |address| living.contains(&address),
            |service| AskNote {
                service: service_hash(service),
                wanted: 0,
            },
        );
        let (lent, borrowed) = loans.totals(now);
        state.endpoints.loans = loans;
        drop(state);
        gateway.metrics.endpoints.set_loans(lent, borrowed);
        let datagrams = reports
            .into_iter()
            .map(|(to, stamp, report)| OutgoingDatagram {
                datagram: Datagram::Loans(LoanReport {
                    protocol: PROTOCOL,
                    address: local,
                    run: gateway.run,
                    stamp,
                    is_answer: false,
                    loans: report.kept,
                    asks: report.asks,
                }),
                targets: vec![to],
            });
        datagrams.collect()
    }
}

/// Returns this daemon's shares of the connections of all endpoints.
fn all_shares(state: &GatewayState) -> HashMap<IncarnationHash, Room> {
    let services = state.endpoints.services();
    services
        .flat_map(|service| shares(state, service))
        .collect()
}

/// Returns this daemon's shares of the connections of a service's endpoints.
fn shares(state: &GatewayState, service: &ServiceId) -> Vec<(IncarnationHash, Room)> {
    let published = state.published.as_ref();
    let entry = published.and_then(|published| published.table.service(service));
    let accepted = entry.map(|entry| entry.connections);
    let connections = in_flight_limit(accepted, state.peers.daemons());
    state.endpoints.shares(service, connections)
}

/// Returns the longest time that a request may take by the table.
fn longest_time(published: Option<&PublishedTable>) -> Millis {
    let routes = published.into_iter().flat_map(|one| one.table.routes());
    routes.map(|route| route.timeout).max().unwrap_or_default()
}

/// Applies a message of another daemon about lent connections.
pub(crate) fn receive_loans<D: Dialect>(
    gateway: &Gateway<D>,
    socket: &UdpSocket,
    report: LoanReport,
    from: SocketAddr,
) {
    // A daemon may send reports only from the IP address that they state.
    if report.address.ip() != from.ip() {
        log::warn!(from:% = from, protocol = report.protocol; "heartbeat.refused");
        return;
    }
    if report.is_answer {
        gateway.take_loans(&report);
    } else {
        gateway.answer_borrower(socket, report);
    }
}

impl<D: Dialect> Gateway<D> {
    /// Takes a lender's answer, and wakes what waits for connections.
    fn take_loans(&self, answer: &LoanReport) {
        if answer.run != self.run {
            return;
        }
        let now = self.now();
        let mut state = self.state.borrow_mut();
        let loans = &mut state.endpoints.loans;
        loans.take_answer(now, answer.address, answer.stamp, &answer.loans);
        drop(state);
        // A daemon that has nothing to lend may be the last one that was asked.
        self.permits.notify_waiters();
    }

    /// Takes a borrower's report, and answers it.
    fn answer_borrower(&self, socket: &UdpSocket, report: LoanReport) {
        let now = self.now();
        // A daemon that doesn't know the others yet takes its share for larger than it is.
        let may_lend = self.is_settled();
        let mut state = self.state.borrow_mut();
        let mut loans = std::mem::take(&mut state.endpoints.loans);
        let all = all_shares(&state);
        let sender = (report.address, report.run, report.stamp);
        let borrower = BorrowerReport {
            kept: report.loans,
            asks: report.asks.into_iter().filter(|_| may_lend).collect(),
        };
        let answer = loans.take_report(
            now,
            sender,
            &borrower,
            longest_time(state.published.as_deref()),
            |ask| {
                let mut services = state.endpoints.services();
                let service = services.find(|service| service_hash(service) == ask.service);
                service.map_or_else(Vec::new, |service| shares(&state, service))
            },
            |endpoint| all.get(&endpoint).map(|room| room.limit),
        );
        state.endpoints.loans = loans;
        let local = state.peers.local_address();
        drop(state);
        self.loan_reports.notify_one();
        let Some(lent) = answer else {
            return;
        };
        let datagram = Datagram::Loans(LoanReport {
            protocol: PROTOCOL,
            address: local,
            run: report.run,
            stamp: report.stamp,
            is_answer: true,
            loans: lent,
            asks: Vec::new(),
        });
        send_datagram(socket, &datagram, iter::once(report.address));
    }

    /// Asks other daemons for connections of a service if this daemon uses most of those that it may. Returns whether answers
    /// are expected.
    pub(crate) fn borrow_connections(&self, service: &ServiceId) -> bool {
        let now = self.now();
        let mut guard = self.state.borrow_mut();
        let state = &mut *guard;
        let shares = shares(state, service);
        let endpoints = &mut state.endpoints;
        let rooms: Vec<Room> = shares
            .into_iter()
            .map(|(endpoint, room)| Room {
                limit: endpoints.loans.limit(now, endpoint, room.limit),
                ..room
            })
            .collect();
        if is_scarce(&rooms) {
            let peers = &mut state.peers;
            let draw = || peers.draw_living(LENDERS);
            if endpoints.loans.ask(now, service, wanted(&rooms), draw) {
                self.loan_reports.notify_one();
            }
        }
        endpoints.loans.is_asking(now, service)
    }
}
