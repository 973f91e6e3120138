//! The queue of one stage's service: its jobs, its endpoints and its calls in flight.
//!
//! A call costs an endpoint a fixed time and a little for each piece, so throughput is the fill of
//! calls. The service's coordinator holds all of its jobs in one queue and gives an endpoint the
//! next call when the endpoint is free, so that calls grow by themselves as the load grows. Any
//! piece may run more than once; a second coordinator costs time, never safety.
//!
//! Owns the state and its plain changes. `batch_plan` composes calls from it, `batch_results`
//! applies how they ended. Sends nothing and reads no clock.

use {
    crate::{
        gateway::{
            directory::endpoint_entry::EndpointEntry,
            rules::{
                call_spacing::CallSpacing,
                result_capacity,
                retry_budget::{BudgetLimits, WindowBudget},
            },
            stages::{
                batch_call::{CallId, RunningCall},
                job::{JobEnd, JobId, ResultHandle, StageJob},
                job_state::JobState,
                workers::Workers,
            },
            table::BatchLimits,
        },
        shared::{ids::DataCentreId, units::Time},
    },
    foldhash::HashMap,
    std::{collections::BTreeMap, sync::Arc},
};

/// The queue of one service.
#[derive(Debug)]
pub struct BatchQueue {
    pub(super) limits: BatchLimits,
    pub(super) budget: WindowBudget,
    /// Daemons that share the budget of retries.
    pub(super) daemons: usize,
    pub(super) jobs: BTreeMap<JobId, JobState>,
    pub(super) workers: Workers,
    pub(super) calls: HashMap<CallId, RunningCall>,
    pub(super) next_call: u64,
    /// Jobs that ended and weren't reported yet.
    pub(super) ended: Vec<EndedJob>,
    /// Results that nobody waits for any more.
    pub(super) surplus: Vec<ResultHandle>,
    /// The calls of each data centre.
    pub(super) spacing: HashMap<DataCentreId, CallSpacing>,
    /// When the first of the calls is due that were held; nothing if none was.
    pub(super) held_until: Option<Time>,
    /// Jobs that were put in order so far, each time counted.
    pub(super) ordered: u64,
    /// When the first endpoint has rested, while all of them rest.
    pub(super) rested: Option<Time>,
    /// When a call was last kept small for lack of room for results.
    pub(super) short_at: Option<Time>,
}

/// A job that ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndedJob {
    /// Its id.
    pub id: JobId,
    /// How it ended.
    pub end: JobEnd,
}

impl BatchQueue {
    /// Starts without jobs and endpoints.
    pub fn new(limits: BatchLimits, budget: WindowBudget) -> Self {
        Self {
            limits,
            budget,
            daemons: 1,
            jobs: BTreeMap::new(),
            workers: Workers::default(),
            calls: HashMap::default(),
            next_call: 0,
            ended: Vec::new(),
            surplus: Vec::new(),
            spacing: HashMap::default(),
            held_until: None,
            ordered: 0,
            rested: None,
            short_at: None,
        }
    }

    /// Returns when the next planning is due because a call was held; nothing if none was.
    pub fn held_until(&self) -> Option<Time> {
        self.held_until
    }

    /// Returns how many jobs were put in order so far, each as often as it was: the cost of planning.
    pub fn ordered_jobs(&self) -> u64 {
        self.ordered
    }

    /// Sets the limits of calls and of retries, and how many daemons share the budget of retries.
    pub fn set_limits(&mut self, limits: BatchLimits, budget: BudgetLimits, daemons: usize) {
        self.limits = limits;
        self.budget.set_limits(budget);
        self.daemons = daemons;
    }

    /// Sets which endpoints may be called.
    pub fn set_endpoints(&mut self, open: &[Arc<EndpointEntry>]) {
        self.workers.set(open);
    }

    /// Sets when the first endpoint has rested, while all of them rest.
    pub fn set_rested(&mut self, rested: Option<Time>) {
        self.rested = rested;
    }

    /// Queues a job; each of its pieces counts for the budget of retries.
    pub fn add(&mut self, now: Time, id: JobId, job: StageJob) {
        for _ in 0..job.pieces {
            self.budget.deposit(now);
        }
        self.jobs.insert(id, JobState::new(job, now));
    }

    /// Drops a job without an end; its results become surplus.
    pub fn cancel(&mut self, id: JobId) {
        if let Some(state) = self.jobs.remove(&id) {
            self.surplus.extend(state.into_results());
        }
    }

    /// Records that endpoints dropped results, so that they have room again.
    pub fn released(&mut self, handles: &[ResultHandle]) {
        self.workers.released(handles);
    }

    /// Returns the number of pieces that wait.
    pub fn waiting(&self) -> usize {
        self.jobs.values().map(JobState::waiting).sum()
    }

    /// Returns the number of jobs that haven't ended.
    pub fn jobs(&self) -> usize {
        self.jobs.len()
    }

    /// Returns the number of endpoints that may get calls and aren't slow.
    pub fn available_workers(&self, now: Time) -> usize {
        self.workers.available(now)
    }

    /// Returns the jobs that ended since the last call.
    pub fn take_ended(&mut self) -> Vec<EndedJob> {
        std::mem::take(&mut self.ended)
    }

    /// Returns the results that nobody waits for any more, since the last call.
    pub fn take_surplus(&mut self) -> Vec<ResultHandle> {
        std::mem::take(&mut self.surplus)
    }

    /// Returns whether a call was kept small lately because an endpoint had no room for results.
    pub fn is_short_of_room(&self, now: Time) -> bool {
        self.short_at
            .is_some_and(|met| result_capacity::is_shortage(now, met))
    }

    /// Returns inputs that endpoints have fetched and that may be released early, each once;
    /// `is_short` returns true for results that are kept by an endpoint short of room.
    pub fn take_fetched(
        &mut self,
        now: Time,
        is_short: impl Fn(&ResultHandle) -> bool,
    ) -> Vec<ResultHandle> {
        let mut fetched = Vec::new();
        for state in self.jobs.values_mut() {
            if result_capacity::are_inputs_fetched(now, state.last_sent()) {
                fetched.extend_from_slice(state.release_inputs(&is_short));
            }
        }
        fetched
    }

    /// Ends a job that isn't complete; its results become surplus.
    pub(super) fn end(&mut self, id: JobId, end: JobEnd) {
        if let Some(state) = self.jobs.remove(&id) {
            self.surplus.extend(state.into_results());
            self.ended.push(EndedJob { id, end });
        }
    }
}
