//! Decides which waiting pieces an endpoint of a stage may take, in which order, and how many of them.
//!
//! Inputs: the clock, each job with waiting pieces (`WaitingJob`: its objective, rank, preferred data centre and the
//! bytes that would cross between data centres), the data centre of the endpoint, and the number of endpoints that may
//! be called in each data centre.
//!
//! Rule: each job has a preferred data centre, usually the one where its request will run (`rules::stage_placement`).
//! Endpoints there may take its pieces at once. Endpoints in other data centres may take them once they have waited for
//! `PREFERRED_WAIT_MS_PER_MB` for each megabyte that would cross, at most `LONGEST_PREFERRED_WAIT`. This wait is
//! shorter where the preferred data centre has few endpoints, and ends when the objective has passed. Jobs are ordered
//! by their objective; each rank adds `RANK_STEP`, a missed objective adds `LATE_STEP`, and an endpoint outside the
//! preferred data centre adds `NOT_PREFERRED_STEP`. The free endpoints divide the waiting pieces among themselves.
//!
//! In a tight service whose capacity is short ([`is_short`]), jobs go strictly by rank. Within a rank, the jobs of
//! customers that had more than their share (`rules::customer_share`) go last, and the others by their objective. A job
//! that could only end after its objective counts as late and goes behind all others: for the first rank that waits, if
//! a call of its own would end after it, for other ranks, if a full call would ([`call_pieces`]). The load that
//! this addresses is 0.5 to 4 times the capacity: by steps between ranks alone, a backlog of a low rank that is nearly
//! due goes before new pieces of the most urgent one, and by objectives alone the jobs that come first are those that
//! end just too late.
//!
//! Reason: a result that crosses between data centres costs money and time, an idle endpoint only time. A late job has
//! lost most of its worth, so it goes last. Tests: `large_result_home` and its neighbours in `test_batch_queue`, and
//! `test_stage_rules`.
//!
//! Of the module `stages`, the rule uses only the ids of jobs, which are plain numbers.

use {
    crate::{
        gateway::{rules::eligibility::AllowedDataCentres, stages::job::JobId},
        shared::{
            ids::DataCentreId,
            units::{ByteSize, Millis, Time, WorkMillis},
        },
    },
    foldhash::HashMap,
};

/// Wait for an endpoint in the preferred data centre, for each megabyte that would cross (ms/MB).
const PREFERRED_WAIT_MS_PER_MB: f64 = 1200.0;

/// Upper bound of the wait for an endpoint in the preferred data centre.
const LONGEST_PREFERRED_WAIT: Millis = Millis(600);

/// Number of endpoints in the preferred data centre from which the whole wait applies. With fewer, it takes longer
/// until one is free, so the wait is shortened in proportion.
const FULL_WAIT_ENDPOINTS: f64 = 4.0;

/// Added to the objective of a job when it is ordered for an endpoint outside its preferred data centre.
const NOT_PREFERRED_STEP: Millis = Millis(200);

/// Added to the objective of a job for each rank; rank 0 goes first.
const RANK_STEP: Millis = Millis(400);

/// Added to the objective of a job that has missed it, so that late jobs go behind all others.
const LATE_STEP: Millis = Millis(20_000);

const BYTES_PER_MB: f64 = 1e6;

/// How the rank of a job decides its position.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RankOrder {
    /// Each rank adds a step to the objective.
    Stepped,
    /// A lower rank goes first, whatever the objectives: in tight services.
    Strict,
}

impl RankOrder {
    /// Returns the order of a service that is tight or not.
    pub fn of_service(is_tight: bool) -> Self {
        if is_tight {
            Self::Strict
        } else {
            Self::Stepped
        }
    }
}

/// What strict order needs to know of a job, besides its own values.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Standing {
    /// Time of the shortest call that would get the job's pieces ([`call_pieces`]).
    pub call: WorkMillis,
    /// Set if the job's customer had more than its share.
    pub is_over: bool,
}

/// Position of a job in strict order. The fields are compared in this order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct StrictPosition {
    is_late: bool,
    /// Rank of a job; 0 for all late ones, which go by their objectives.
    rank: u32,
    /// Set for jobs of customers that had more than their share.
    is_over: bool,
    due: Time,
}

/// Number of endpoints that may be called, by data centre.
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

    /// Returns the number of endpoints in a data centre, or `None` if it has none.
    pub fn get(&self, data_centre: &DataCentreId) -> Option<usize> {
        self.0.get(data_centre).copied()
    }
}

/// The properties of a job with waiting pieces that decide its position in the order.
#[derive(Debug, Clone, Copy)]
pub struct WaitingJob<'a> {
    /// Identifies the job in the queue of its stage.
    pub id: JobId,
    /// Number of pieces that are accepted and not sent yet.
    pub waiting: usize,
    /// Time at which the job was queued.
    pub added: Time,
    /// Time by which the job should have ended.
    pub objective: Time,
    /// Rank of the job's route; 0 goes first.
    pub rank: u32,
    /// Preferred data centre: the one where the results will probably be used.
    pub preferred: Option<&'a DataCentreId>,
    /// Data centres where the pieces are allowed to run.
    pub allowed: &'a AllowedDataCentres,
    /// Bytes that cross between data centres for each piece that runs outside the preferred data centre.
    pub crossing_size: ByteSize,
}

impl WaitingJob<'_> {
    /// Returns the time by which the job is ordered, before the addition for endpoints outside its preferred data
    /// centre.
    fn urgency(&self, now: Time) -> Time {
        due_time(now, self.objective, self.rank)
    }

    /// Returns the position in strict order, with an addition to the objective.
    fn strict_position(&self, now: Time, penalty: Millis, standing: Standing) -> StrictPosition {
        let is_late = now + standing.call > self.objective;
        StrictPosition {
            is_late,
            rank: if is_late { 0 } else { self.rank },
            is_over: standing.is_over && !is_late,
            due: self.urgency(now) + penalty,
        }
    }

    /// Returns whether the pieces may run outside the preferred data centre, which has `endpoints` endpoints.
    fn may_run_elsewhere(&self, now: Time, endpoints: usize) -> bool {
        now.since(self.added) >= preferred_wait(self.crossing_size, endpoints).to_duration()
            || now > self.objective
    }
}

/// The jobs from which one endpoint may take pieces.
#[derive(Debug, Default)]
pub struct WaitingOrder {
    /// Jobs, the most urgent first.
    pub jobs: Vec<JobId>,
    /// Number of pieces that only endpoints in this endpoint's data centre may take at present.
    pub local: usize,
    /// Number of pieces that endpoints in any allowed data centre may take.
    pub shared: usize,
    /// The endpoints that may take the pieces of each job.
    pub eligible: HashMap<JobId, EligibleEndpoints>,
}

/// The endpoints that may take the pieces of a job at present.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EligibleEndpoints {
    /// Only endpoints in the preferred data centre.
    Preferred,
    /// Endpoints in any allowed data centre.
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
        let position = |job: &WaitingJob<'_>, penalty| job.urgency(now) + penalty;
        Self::sorted(now, jobs, data_centre, endpoints, position)
    }

    /// Orders the waiting jobs for an endpoint in `data_centre` strictly by rank.
    pub fn by_rank<'a>(
        now: Time,
        jobs: impl Iterator<Item = WaitingJob<'a>>,
        data_centre: &DataCentreId,
        endpoints: &DataCentreCounts,
        standing: impl Fn(&WaitingJob<'a>) -> Standing,
    ) -> Self {
        let position =
            |job: &WaitingJob<'a>, penalty| job.strict_position(now, penalty, standing(job));
        Self::sorted(now, jobs, data_centre, endpoints, position)
    }

    /// Orders the waiting jobs for an endpoint in `data_centre` by a position, to which the addition for endpoints
    /// outside the preferred data centre is passed.
    fn sorted<'a, P: Ord>(
        now: Time,
        jobs: impl Iterator<Item = WaitingJob<'a>>,
        data_centre: &DataCentreId,
        endpoints: &DataCentreCounts,
        position: impl Fn(&WaitingJob<'a>, Millis) -> P,
    ) -> Self {
        let mut order = Self::default();
        let mut keys: Vec<(P, JobId)> = Vec::new();
        for job in jobs.filter(|job| job.allowed.allow(data_centre)) {
            // A preferred data centre without endpoints is ignored.
            let preferred = job
                .preferred
                .and_then(|preferred| Some((preferred, endpoints.get(preferred)?)));
            let is_shared = preferred.is_none_or(|(_, count)| job.may_run_elsewhere(now, count));
            let is_local = preferred.is_some_and(|(preferred, _)| preferred == data_centre);
            if !is_local && !is_shared {
                continue;
            }
            let eligible = if is_shared {
                EligibleEndpoints::Anywhere
            } else {
                EligibleEndpoints::Preferred
            };
            *order.count(eligible) += job.waiting;
            order.eligible.insert(job.id, eligible);
            let is_away = preferred.is_some() && !is_local;
            let penalty = if is_away {
                NOT_PREFERRED_STEP
            } else {
                Millis(0)
            };
            keys.push((position(&job, penalty), job.id));
        }
        // Of equally urgent jobs, the one that was queued first goes first.
        keys.sort_unstable();
        order.jobs = keys.into_iter().map(|(_, id)| id).collect();
        order
    }

    /// Records that a call took pieces of a job. The order stays as it is: sorting again for each of 100 calls would
    /// multiply the comparisons by 100 (test `planning_cost`).
    pub fn take(&mut self, job: JobId, pieces: usize) {
        // A job that isn't in this order waits for endpoints in another data centre.
        if let Some(eligible) = self.eligible.get(&job).copied() {
            *self.count(eligible) -= pieces;
        }
    }

    fn count(&mut self, eligible: EligibleEndpoints) -> &mut usize {
        match eligible {
            EligibleEndpoints::Preferred => &mut self.local,
            EligibleEndpoints::Anywhere => &mut self.shared,
        }
    }

    /// Returns the number of pieces that one call should take, with `free_here` free endpoints in its data centre and
    /// `free` in all.
    pub fn share(&self, free_here: usize, free: usize) -> usize {
        self.local.div_ceil(free_here.max(1)) + self.shared.div_ceil(free.max(1))
    }
}

/// Returns whether the capacity of a service is short: more pieces wait than all of its endpoints can take in one call
/// each. With fewer, all pieces are in the next call of an endpoint, in whatever order.
pub fn is_short(waiting: usize, endpoints: usize, call_pieces: usize) -> bool {
    waiting > endpoints * call_pieces
}

/// Returns the number of pieces of the shortest call that would get the pieces of a job. Calls are kept short for jobs of
/// the first rank that waits (`rules::call_length`); jobs of other ranks go along in calls of up to `most` pieces.
pub fn call_pieces(job: &WaitingJob<'_>, first_rank: Option<u32>, most: usize) -> usize {
    if first_rank.is_some_and(|first| job.rank <= first) {
        job.waiting.min(most)
    } else {
        most
    }
}

/// Returns the time by which the pieces of a job with this objective and rank are ordered, before the addition for
/// endpoints outside its preferred data centre.
pub fn due_time(now: Time, objective: Time, rank: u32) -> Time {
    let late_step = if now > objective {
        LATE_STEP
    } else {
        Millis(0)
    };
    objective + Millis(u64::from(rank) * RANK_STEP.0 + late_step.0)
}

/// Returns the time for which pieces wait for one of `endpoints` endpoints in the preferred data centre. With fewer
/// endpoints, it takes longer until one is free, and the wait is worth less.
pub fn preferred_wait(crossing_size: ByteSize, endpoints: usize) -> Millis {
    let chance = (endpoints as f64 / FULL_WAIT_ENDPOINTS).min(1.0);
    let wait = crossing_size.0 as f64 / BYTES_PER_MB * PREFERRED_WAIT_MS_PER_MB;
    let wait = wait.min(LONGEST_PREFERRED_WAIT.0 as f64) * chance;
    Millis(wait as u64)
}
