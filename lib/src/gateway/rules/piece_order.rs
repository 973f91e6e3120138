//! Which waiting pieces may an endpoint of a stage take, in which order, and how many of them?
//!
//! Inputs: the clock, each job with waiting pieces (`WaitingJob`: its objective, rank, home and what
//! would cross between data centres, in bytes), the data centre of the endpoint, and the number of
//! endpoints that may be called in each data centre.
//!
//! A job has a home: the data centre where its request's endpoint probably is. Its pieces go to
//! endpoints there. Endpoints elsewhere may take them once they have waited `WAIT_MS_PER_MB` for
//! each megabyte that would cross, `LONGEST_WAIT` at most; the wait shrinks with the number of
//! endpoints at home, and ends with the objective. Jobs are ordered by their objective, with
//! `RANK_STEP` for each rank, `LATE_STEP` for those past their objective, and `AWAY_STEP` for those
//! whose home is elsewhere. The endpoints that are free share what waits.
//!
//! A result that crosses between data centres costs money and time, an idle endpoint only time. A late job has lost
//! most of its worth, so that it goes last. `large_result_home` and its neighbours in `test_batch_queue`, and
//! `test_stage_rules`, pin the rule.
//!
//! Of `stages`, the rule uses the id of jobs only, which is a plain number.

use {
    crate::{
        gateway::{rules::eligibility::Places, stages::job::JobId},
        shared::{
            ids::DataCentreId,
            units::{ByteSize, Millis, Time},
        },
    },
    foldhash::HashMap,
};

/// Wait for an endpoint at home, for each megabyte that would cross (ms/MB; rows "longer waits"
/// and "1.2 s a MB" of the second milestone, the latter together with a change that was dropped).
const WAIT_MS_PER_MB: f64 = 1200.0;

/// The longest such wait.
const LONGEST_WAIT: Millis = Millis(600);

/// Endpoints at home from which on the whole wait is worth it (a count; row "the wait follows from
/// the endpoints at home").
const MANY_ENDPOINTS: f64 = 4.0;

/// Handicap of a job at an endpoint outside its home.
const AWAY_STEP: Millis = Millis(200);

/// Head start that each rank has over the next one.
const RANK_STEP: Millis = Millis(400);

/// Handicap of a job past its objective ("late jobs 2.5 s behind instead of 20 s": 0.068 -> -0.017,
/// so that it stayed at 20 s).
const LATE_STEP: Millis = Millis(20_000);

const BYTES_PER_MB: f64 = 1e6;

/// Numbers of the endpoints that may be called, by data centre.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct DataCentreCounts(HashMap<DataCentreId, usize>);

impl DataCentreCounts {
    /// Counts endpoints by their data centres.
    pub fn new<'a>(data_centres: impl Iterator<Item = &'a DataCentreId>) -> Self {
        let mut counts: HashMap<DataCentreId, usize> = HashMap::default();
        for data_centre in data_centres {
            *counts.entry(data_centre.clone()).or_default() += 1;
        }
        Self(counts)
    }

    /// Returns the endpoints in a data centre; nothing if there is none.
    pub fn get(&self, data_centre: &DataCentreId) -> Option<usize> {
        self.0.get(data_centre).copied()
    }
}

/// A job with waiting pieces, as far as its place in the order depends on it.
#[derive(Debug, Clone, Copy)]
pub struct WaitingJob<'a> {
    /// Its id.
    pub id: JobId,
    /// Its waiting pieces.
    pub waiting: usize,
    /// When it was queued.
    pub added: Time,
    /// When it should be done.
    pub objective: Time,
    /// Its rank; 0 goes first.
    pub rank: u32,
    /// Data centre where its results will probably be used.
    pub home: Option<&'a DataCentreId>,
    /// Data centres where its pieces may run.
    pub places: &'a Places,
    /// Bytes that cross between data centres for each piece that runs away from home.
    pub moved: ByteSize,
}

impl WaitingJob<'_> {
    /// Returns the time by which jobs are ordered, wherever they run.
    fn urgency(&self, now: Time) -> Time {
        due(now, self.objective, self.rank)
    }

    /// Returns whether its pieces may run outside its home, which has so many endpoints.
    fn may_leave(&self, now: Time, endpoints: usize) -> bool {
        now.since(self.added) >= home_wait(self.moved, endpoints).to_duration()
            || now > self.objective
    }
}

/// The jobs that one endpoint may take pieces of.
#[derive(Debug, Default)]
pub struct WaitingOrder {
    /// The jobs, the most urgent first.
    pub jobs: Vec<JobId>,
    /// Pieces that only endpoints of its data centre may take yet.
    pub own: usize,
    /// Pieces that endpoints anywhere may take.
    pub shared: usize,
    /// Who may take the pieces of each job.
    pub takers: HashMap<JobId, Takers>,
}

/// Which endpoints may take the pieces of a job yet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Takers {
    /// Those of its home alone.
    Home,
    /// Any.
    Anywhere,
}

impl WaitingOrder {
    /// Orders the waiting jobs for an endpoint in `data_centre`.
    pub fn new<'a>(
        now: Time,
        jobs: impl Iterator<Item = WaitingJob<'a>>,
        data_centre: &DataCentreId,
        endpoints: &DataCentreCounts,
    ) -> Self {
        let mut order = Self::default();
        let mut keys: Vec<(Time, JobId)> = Vec::new();
        for job in jobs.filter(|job| job.places.allow(data_centre)) {
            // A home without endpoints is none.
            let home = job.home.and_then(|home| Some((home, endpoints.get(home)?)));
            let is_shared = home.is_none_or(|(_, count)| job.may_leave(now, count));
            let is_own = home.is_some_and(|(home, _)| home == data_centre);
            if !is_own && !is_shared {
                continue;
            }
            let takers = if is_shared {
                Takers::Anywhere
            } else {
                Takers::Home
            };
            *order.count(takers) += job.waiting;
            order.takers.insert(job.id, takers);
            let is_away = home.is_some() && !is_own;
            let handicap = if is_away { AWAY_STEP } else { Millis(0) };
            keys.push((job.urgency(now) + handicap, job.id));
        }
        // Among equally urgent jobs, the one that was queued first goes first.
        keys.sort_unstable();
        order.jobs = keys.into_iter().map(|(_, id)| id).collect();
        order
    }

    /// Records that a call took pieces of a job. The order stays: sorted anew for each call, as many jobs were
    /// compared for 100 calls as 100 times those that wait (test `planning_cost`).
    pub fn take(&mut self, job: JobId, pieces: usize) {
        // A job that isn't in this order waits for endpoints of another data centre.
        if let Some(takers) = self.takers.get(&job).copied() {
            *self.count(takers) -= pieces;
        }
    }

    fn count(&mut self, takers: Takers) -> &mut usize {
        match takers {
            Takers::Home => &mut self.own,
            Takers::Anywhere => &mut self.shared,
        }
    }

    /// Returns the pieces that one call should take, where so many endpoints are free in its data
    /// centre and anywhere.
    pub fn share(&self, free_here: usize, free: usize) -> usize {
        self.own.div_ceil(free_here.max(1)) + self.shared.div_ceil(free.max(1))
    }
}

/// Returns the time by which the pieces of a job are ordered, wherever they run; the job should end by
/// `objective`.
pub fn due(now: Time, objective: Time, rank: u32) -> Time {
    let late = if now > objective {
        LATE_STEP
    } else {
        Millis(0)
    };
    objective + Millis(u64::from(rank) * RANK_STEP.0 + late.0)
}

/// Returns the time for which pieces wait for one of so many endpoints at home: the fewer there are,
/// the longer it takes until one is free, and the less the wait is worth.
pub fn home_wait(moved: ByteSize, endpoints: usize) -> Millis {
    let chance = (endpoints as f64 / MANY_ENDPOINTS).min(1.0);
    let wait = moved.0 as f64 / BYTES_PER_MB * WAIT_MS_PER_MB;
    let wait = wait.min(LONGEST_WAIT.0 as f64) * chance;
    Millis(wait as u64)
}
