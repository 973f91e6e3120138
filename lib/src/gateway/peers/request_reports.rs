//! Sends other daemons what concerns them of the fleet's memory of requests.
//!
//! Each kind of record has a [`RequestReports`], which says when there is something to send and what. One task for each
//! kind collects entries for a moment, so that entries of the same moment share datagrams, and sends them. A kind without
//! entries sends nothing and wakes nobody.

use {
    crate::{
        gateway::{
            dialect::Dialect,
            peers::{message::Datagram, sockets::send_datagram},
            state::{Gateway, GatewayState},
        },
        shared::units::{Millis, Time},
    },
    foldhash::HashMap,
    std::{net::SocketAddr, rc::Rc},
    tokio::{net::UdpSocket, sync::Notify},
};

/// A datagram and its recipients.
pub(crate) struct OutgoingDatagram {
    pub(crate) datagram: Datagram,
    pub(crate) targets: Vec<SocketAddr>,
}

/// Returns the datagrams for entries that wait in an outbox; `divide` makes those for one recipient.
pub(crate) fn addressed<E, I: IntoIterator<Item = Datagram>>(
    outgoing: HashMap<SocketAddr, E>,
    divide: impl Fn(E) -> I,
) -> Vec<OutgoingDatagram> {
    let mut addressed = Vec::new();
    for (to, entries) in outgoing {
        let datagrams = divide(entries).into_iter();
        addressed.extend(datagrams.map(|datagram| OutgoingDatagram {
            datagram,
            targets: vec![to],
        }));
    }
    addressed
}

/// What daemons send each other about one kind of record.
pub(crate) trait RequestReports {
    /// Time for which entries are collected before they are sent.
    const DELAY: Millis;
    /// Interval at which records are updated while there are any.
    const INTERVAL: Millis;

    /// Returns what wakes the task when there is something to send.
    fn wake<D: Dialect>(gateway: &Gateway<D>) -> &Notify;

    /// Returns whether nothing has to be updated until the task is woken.
    fn is_idle<D: Dialect>(gateway: &Gateway<D>) -> bool;

    /// Updates the records, and returns what is to be sent now.
    fn collect<D: Dialect>(gateway: &Gateway<D>) -> Vec<OutgoingDatagram>;
}

/// Sends the reports of one kind until the process ends.
pub(crate) async fn run_reports<R: RequestReports, D: Dialect>(
    gateway: Rc<Gateway<D>>,
    socket: Rc<UdpSocket>,
) {
    loop {
        let woken = R::wake(&gateway).notified();
        if R::is_idle(&gateway) {
            woken.await;
        } else {
            // Records are updated both when the task is woken and after the interval.
            let _ = tokio::time::timeout(R::INTERVAL.to_duration(), woken).await;
        }
        tokio::time::sleep(R::DELAY.to_duration()).await;
        send_collected::<R, D>(&gateway, &socket);
    }
}

fn send_collected<R: RequestReports, D: Dialect>(gateway: &Gateway<D>, socket: &UdpSocket) {
    for OutgoingDatagram { datagram, targets } in R::collect(gateway) {
        send_datagram(socket, &datagram, targets.into_iter());
    }
}

/// Sends the reports of one kind without delay.
pub(crate) fn send_now<R: RequestReports, D: Dialect>(gateway: &Gateway<D>) {
    // A daemon that hasn't joined the others yet has none to tell.
    if let Some(socket) = gateway.datagrams.get() {
        send_collected::<R, D>(gateway, socket);
    }
}

impl<D: Dialect> Gateway<D> {
    /// Waits until a question to other daemons is decided, at most until `end`. `woken` is notified when an answer arrives.
    /// Returns whether `is_done` holds.
    pub(crate) async fn wait_for_peers(
        &self,
        woken: &Notify,
        end: Time,
        is_done: impl Fn(&GatewayState) -> bool,
    ) -> bool {
        loop {
            // Created before the check, so that what happens after it ends the wait.
            let wake = woken.notified();
            if is_done(&self.state.borrow()) {
                return true;
            }
            if self.timeout_at(end, wake).await.is_none() {
                return false;
            }
        }
    }
}
