//! Exchanges the calibration of tight routes with other daemons.
//!
//! Once per second a daemon reports the samples that it took since its last report to some living daemons drawn
//! anew each time. A daemon that has just started gets the whole state. A fleet without tight routes sends
//! nothing. [`Calibration`](crate::gateway::calibration::store::Calibration) decides what to report.

use {
    crate::{
        gateway::{
            calibration::note::{CalibrationNote, CheckedNote},
            dialect::Dialect,
            hashes::{RouteHash, route_hash},
            peers::{
                message::{CalibrationReport, Datagram, PROTOCOL},
                sockets::send_datagram,
            },
            state::{Gateway, GatewayState},
        },
        shared::units::Millis,
    },
    foldhash::HashSet,
    std::{net::SocketAddr, rc::Rc},
    tokio::{
        net::UdpSocket,
        time::{MissedTickBehavior, interval},
    },
};

/// Maximum number of entries in one datagram, of at most 1,200 bytes. An entry takes up to 116 bytes.
pub const CALIBRATION_NOTES: usize = 10;

/// Time between two reports.
const REPORT_INTERVAL: Millis = Millis(1_000);

/// Number of daemons that get each report. With six, a daemon of 63 had too few samples to correct its estimates within
/// the first seconds of a load; a report of three routes takes some 120 bytes.
const REPORT_TARGETS: usize = 24;

/// Sends reports to other daemons until the process ends.
pub(crate) async fn run_calibration_reports<D: Dialect>(
    gateway: Rc<Gateway<D>>,
    socket: Rc<UdpSocket>,
) {
    let mut ticks = interval(REPORT_INTERVAL.to_duration());
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let tight = tight_routes(&gateway.state.borrow());
        gateway.state.borrow_mut().calibration.retain(&tight);
        for message in collect(&gateway) {
            send_notes(&socket, &message.notes, &message.targets);
        }
    }
}

/// Entries and their recipients.
struct OutgoingNotes {
    notes: Vec<CalibrationNote>,
    targets: Vec<SocketAddr>,
}

/// Collects what is to be sent now: own samples to daemons drawn at random, the whole state to those that have just
/// started.
fn collect<D: Dialect>(gateway: &Gateway<D>) -> Vec<OutgoingNotes> {
    let now = gateway.now();
    let mut guard = gateway.state.borrow_mut();
    let GatewayState {
        calibration, peers, ..
    } = &mut *guard;
    let mut outgoing = Vec::new();
    let joining = calibration.take_joining();
    if !joining.is_empty() {
        outgoing.push(OutgoingNotes {
            notes: calibration.state(now),
            targets: joining,
        });
    }
    // Until a daemon that has just started has had time to take over the state of another one, it reports nothing.
    if !peers.is_joining(now) {
        let notes = calibration.take_samples();
        if !notes.is_empty() {
            let targets = peers.draw_living(REPORT_TARGETS);
            outgoing.push(OutgoingNotes { notes, targets });
        }
    }
    outgoing
}

fn send_notes(socket: &UdpSocket, notes: &[CalibrationNote], targets: &[SocketAddr]) {
    for batch in notes.chunks(CALIBRATION_NOTES) {
        let report = CalibrationReport {
            protocol: PROTOCOL,
            notes: batch.to_vec(),
        };
        let datagram = Datagram::Calibration(report);
        send_datagram(socket, &datagram, targets.iter().copied());
    }
}

/// Returns the tight routes of the table in force.
fn tight_routes(state: &GatewayState) -> HashSet<RouteHash> {
    let Some(published) = &state.published else {
        return HashSet::default();
    };
    let tight = published.tight();
    let routes = published.table.routes();
    let routes = routes.filter(|route| tight.has_route(route));
    routes.map(|route| route_hash(&route.name)).collect()
}

impl<D: Dialect> Gateway<D> {
    /// Merges a report of another daemon. Entries about routes that aren't tight here are ignored: its sender may have
    /// another version of the table.
    pub(crate) fn merge_calibration(&self, notes: &[CalibrationNote], from: SocketAddr) {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        let tight = tight_routes(&state);
        for note in notes.iter().filter(|note| tight.contains(&note.route)) {
            match CheckedNote::try_from(note) {
                Ok(note) => state.calibration.merge(now, &note),
                Err(error) if state.calibration.is_new_fault(from) => {
                    log::warn!(from:%, error:%; "admission.report_unclear");
                }
                Err(_) => {}
            }
        }
    }
}
