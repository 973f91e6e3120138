//! The calibration of each tight route, from this daemon's own admitted requests and those that others report.
//!
//! Each daemon reports the samples that it took itself, once, and never those of others. A sample therefore counts at
//! most once at each daemon, and none comes back to the daemon that took it.

use {
    crate::{
        gateway::{
            calibration::note::{CalibrationNote, CheckedNote},
            hashes::RouteHash,
            rules::{
                calibration::{AdmittedRequest, CorrectionFactor, Outcome, RouteCalibration},
                ratio_sketch::RatioCounts,
            },
        },
        shared::units::{Millis, Time},
    },
    foldhash::{HashMap, HashSet},
    std::{mem, net::SocketAddr},
};

/// Shortest time between two log events about a route.
const LOG_INTERVAL: Millis = Millis(5_000);

/// Largest number of daemons that have just started and wait for this daemon's state. The others get it from another
/// daemon, or with one of their next heartbeats.
const MAX_JOINING: usize = 8;

/// Largest number of daemons whose invalid reports are logged, which bounds the memory for them.
const MAX_LOGGED_PEERS: usize = 64;

/// What this daemon knows about one route.
#[derive(Debug)]
struct RouteRecord {
    calibration: RouteCalibration,
    /// Own samples that were not reported yet.
    unreported: RatioCounts,
    /// Set if own samples were reported, so that this daemon's evidence isn't replaced by that of another one.
    has_reported: bool,
    /// Time of the last log event.
    logged: Option<Time>,
}

impl RouteRecord {
    fn new(now: Time) -> Self {
        Self {
            calibration: RouteCalibration::new(now),
            unreported: RatioCounts::default(),
            has_reported: false,
            logged: None,
        }
    }
}

/// State of a route for the log.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct CalibrationState {
    /// The factor in use.
    pub factor: CorrectionFactor,
    /// Number of samples that it is based on, by their present weight.
    pub samples: u32,
}

/// The calibration of all tight routes.
#[derive(Debug, Default)]
pub struct Calibration {
    routes: HashMap<RouteHash, RouteRecord>,
    /// Daemons that have just started and get this daemon's state with the next report.
    joining: Vec<SocketAddr>,
    /// Daemons whose invalid reports were logged.
    logged_peers: HashSet<SocketAddr>,
}

impl Calibration {
    /// Records the end of an admitted request. Returns the state of its route if it should be logged now.
    pub fn record(
        &mut self,
        now: Time,
        route: RouteHash,
        request: &AdmittedRequest,
        outcome: Outcome,
    ) -> Option<CalibrationState> {
        let bucket = request.sample(outcome)?;
        let record = self.record_of(now, route);
        record.calibration.add(now, &RatioCounts::one(bucket));
        record.unreported.add(bucket, 1);
        let is_due = |last| now.since(last) >= LOG_INTERVAL.to_duration();
        if !record.logged.is_none_or(is_due) {
            return None;
        }
        record.logged = Some(now);
        Some(CalibrationState {
            factor: record.calibration.factor(now),
            samples: record.calibration.evidence().total(),
        })
    }

    /// Returns the factor by which the expected times of a route are multiplied; 1 if nothing is known about it.
    pub fn factor(&mut self, now: Time, route: RouteHash) -> f64 {
        let record = self.routes.get_mut(&route);
        let factor = record.map(|record| record.calibration.factor(now));
        factor.unwrap_or(CorrectionFactor::NONE).0
    }

    /// Drops the routes that aren't tight any more.
    pub fn retain(&mut self, tight: &HashSet<RouteHash>) {
        self.routes.retain(|route, _| tight.contains(route));
    }

    /// Takes the own samples since the last report, one entry for each route that has any.
    pub fn take_samples(&mut self) -> Vec<CalibrationNote> {
        let mut notes = Vec::new();
        for (route, record) in &mut self.routes {
            let samples = mem::take(&mut record.unreported);
            if samples.total() > 0 {
                record.has_reported = true;
                notes.push(CalibrationNote::of_samples(*route, &samples));
            }
        }
        notes.sort_unstable_by_key(|note| note.route);
        notes
    }

    /// Returns the whole state, for daemons that have just started: one entry for each route with evidence.
    pub fn state(&mut self, now: Time) -> Vec<CalibrationNote> {
        let mut notes = Vec::new();
        for (route, record) in &mut self.routes {
            let factor = record.calibration.factor(now);
            let evidence = record.calibration.evidence();
            if evidence.total() > 0 {
                notes.push(CalibrationNote::of_state(*route, &evidence, factor));
            }
        }
        notes.sort_unstable_by_key(|note| note.route);
        notes
    }

    /// Merges an entry of another daemon about a tight route. The whole state of another daemon replaces this one's as
    /// long as this one has reported no samples of the route, if it has more evidence. Own samples that weren't reported
    /// are kept: no other daemon has them.
    pub fn merge(&mut self, now: Time, note: &CheckedNote) {
        let record = self.record_of(now, note.route);
        let Some(factor) = note.factor else {
            record.calibration.add(now, &note.counts);
            return;
        };
        let has_more = note.counts.total() > record.calibration.evidence().total();
        if has_more && !record.has_reported {
            let own = record.unreported;
            record.calibration.adopt(now, &note.counts, factor, &own);
        }
    }

    /// Records a daemon that has just started, which gets the whole state with the next report.
    pub fn add_joining(&mut self, daemon: SocketAddr) {
        if self.joining.len() < MAX_JOINING && !self.joining.contains(&daemon) {
            self.joining.push(daemon);
        }
    }

    /// Takes the daemons that get the whole state.
    pub fn take_joining(&mut self) -> Vec<SocketAddr> {
        mem::take(&mut self.joining)
    }

    /// Returns whether an invalid report of a daemon should be logged, which is so once for each daemon.
    pub fn is_new_fault(&mut self, peer: SocketAddr) -> bool {
        self.logged_peers.len() < MAX_LOGGED_PEERS && self.logged_peers.insert(peer)
    }

    fn record_of(&mut self, now: Time, route: RouteHash) -> &mut RouteRecord {
        let record = self.routes.entry(route);
        record.or_insert_with(|| RouteRecord::new(now))
    }
}
