//! Which waiting pieces an endpoint of a stage should get, and in which order.
//!
//! A result that is taken in another data centre costs its way. Each request has a data centre where
//! its endpoint probably stands; its pieces go to endpoints there, and to others only after a wait
//! that grows with what would have to cross.

use {
    crate::{
        gateway::stages::{
            batch_call::JobState,
            job::{JobId, StageJob},
            worker::Worker,
        },
        shared::{
            ids::DataCentreId,
            units::{Millis, Time},
        },
    },
    foldhash::HashMap,
    std::collections::BTreeMap,
};

/// Wait for an endpoint in the request's own data centre, for each megabyte that would
/// cross, and the longest such wait.
const WAIT_MS_PER_MB: f64 = 1200.0;
const LONGEST_WAIT: Millis = Millis(600);

/// Endpoints in a data centre from which on the whole wait is worth it.
const MANY_ENDPOINTS: f64 = 4.0;

/// Handicap of a piece at an endpoint outside its request's data centre.
const AWAY_STEP: Millis = Millis(200);

/// Endpoints that take calls, by their data centres.
pub(crate) type Served = HashMap<DataCentreId, usize>;

/// The pieces that one endpoint may take.
#[derive(Debug, Default)]
pub(crate) struct WaitingOrder {
    /// Jobs with waiting pieces, the most urgent first.
    pub(crate) jobs: Vec<JobId>,
    /// Pieces that only endpoints of its data centre may take yet.
    pub(crate) own: usize,
    /// Pieces that endpoints anywhere may take.
    pub(crate) shared: usize,
}

impl WaitingOrder {
    /// Orders what waits for an endpoint in `data_centre`; `served` counts the endpoints of
    /// each data centre.
    pub(crate) fn new(
        now: Time,
        jobs: &BTreeMap<JobId, JobState>,
        data_centre: &DataCentreId,
        served: &Served,
    ) -> Self {
        let mut order = Self::default();
        let mut keys: Vec<(Time, JobId)> = Vec::new();
        for (id, state) in jobs.iter().filter(|(_, state)| state.waiting > 0) {
            let home = state.job.home.as_ref();
            let home = home.filter(|home| served.contains_key(*home));
            let is_shared = home.is_none_or(|home| may_leave(now, state, served[home]));
            let is_own = home == Some(data_centre);
            if !is_own && !is_shared {
                continue;
            }
            if is_shared {
                order.shared += state.waiting;
            } else {
                order.own += state.waiting;
            }
            let is_away = home.is_some() && !is_own;
            let handicap = if is_away { AWAY_STEP } else { Millis(0) };
            keys.push((state.order(now) + handicap, *id));
        }
        keys.sort_unstable();
        order.jobs = keys.into_iter().map(|(_, id)| id).collect();
        order
    }

    /// Returns the pieces for one call, where so many endpoints are free here and anywhere.
    pub(crate) fn share(&self, free_here: usize, free: usize) -> usize {
        self.own.div_ceil(free_here.max(1)) + self.shared.div_ceil(free.max(1))
    }
}

/// Counts the endpoints that take calls in each data centre.
pub(crate) fn served<'a>(workers: impl Iterator<Item = &'a Worker>) -> Served {
    let mut served = Served::default();
    for worker in workers.filter(|worker| worker.open) {
        *served.entry(worker.entry.data_centre.clone()).or_default() += 1;
    }
    served
}

/// Returns whether a job's pieces may be made outside its request's data centre.
fn may_leave(now: Time, state: &JobState, endpoints: usize) -> bool {
    now.since(state.added) >= wait_of(&state.job, endpoints).to_duration()
        || now > state.job.objective
}

/// Returns the time for which a piece waits for one of so many endpoints: the fewer there are, the
/// longer it takes until one is free, and the less the wait is worth.
fn wait_of(job: &StageJob, endpoints: usize) -> Millis {
    let chance = (endpoints as f64 / MANY_ENDPOINTS).min(1.0);
    let wait = job.moved.0 as f64 / 1e6 * WAIT_MS_PER_MB;
    let wait = wait.min(LONGEST_WAIT.0 as f64) * chance;
    Millis(wait as u64)
}
