//! The queue of one stage service: its jobs, its endpoints and its calls in flight.
//!
//! A call takes an endpoint a fixed time plus a short time per piece, so throughput depends on how many pieces a
//! call has. The coordinator of the service holds all jobs in one queue and sends an endpoint its next call when
//! the endpoint is free, so calls get larger as the load rises. Any piece may run more than once: two coordinators
//! at the same time cost throughput but do no harm.
//!
//! Owns the state and its simple changes. `call_scheduling` builds calls from it, `batch_results` applies their
//! outcomes. Sends nothing and reads no clock.

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
                overload::Overload,
                workers::Workers,
            },
            table::BatchLimits,
        },
        shared::{ids::DataCentreId, units::Time},
    },
    foldhash::HashMap,
    std::{collections::BTreeMap, sync::Arc},
};

/// The queue of one stage service.
#[derive(Debug)]
pub struct BatchQueue {
    pub(super) limits: BatchLimits,
    pub(super) budget: WindowBudget,
    /// Number of daemons that share the retry budget.
    pub(super) daemons: usize,
    pub(super) jobs: BTreeMap<JobId, JobState>,
    pub(super) workers: Workers,
    pub(super) calls: HashMap<CallId, RunningCall>,
    pub(super) next_call: u64,
    /// Jobs that ended and are not reported yet.
    pub(super) ended: Vec<EndedJob>,
    /// Results that are not needed: of jobs that ended without them, or second results of a piece.
    pub(super) surplus: Vec<ResultHandle>,
    /// Spacing of calls in each data centre.
    pub(super) spacing: HashMap<DataCentreId, CallSpacing>,
    /// Time at which the first held call is due; `None` if no call is held.
    pub(super) held_until: Option<Time>,
    /// Number of jobs put in order so far; a job counts each time.
    pub(super) ordered: u64,
    /// Time at which the first endpoint finishes its cooldown; `None` unless all endpoints are cooling down.
    pub(super) cooldown_end: Option<Time>,
    /// Time at which a call last got fewer pieces because its endpoint lacked result capacity.
    pub(super) shortage_at: Option<Time>,
    /// State of a tight service; `None` for other services.
    pub(super) overload: Option<Overload>,
}

/// A job that ended, to be reported to its request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndedJob {
    /// Id of the job.
    pub id: JobId,
    /// Outcome of the job.
    pub end: JobEnd,
}

impl BatchQueue {
    /// Creates a queue without jobs and endpoints.
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
            cooldown_end: None,
            shortage_at: None,
            overload: None,
        }
    }

    /// Returns when the first held call is due; `None` if no call is held.
    pub fn held_until(&self) -> Option<Time> {
        self.held_until
    }

    /// Returns the number of jobs put in order so far, as a measure of the cost of scheduling; a job counts each time.
    pub fn ordered_jobs(&self) -> u64 {
        self.ordered
    }

    /// Sets the limits of calls, the limits of the retry budget, and the number of daemons that share this budget.
    pub fn set_limits(&mut self, limits: BatchLimits, budget: BudgetLimits, daemons: usize) {
        self.limits = limits;
        self.budget.set_limits(budget);
        self.daemons = daemons;
    }

    /// Sets whether the service is tight, so that its calls are built by its load. Called after the limits are set; what
    /// was learnt is kept while the service stays tight and its costs in the table stay as they are.
    pub fn set_tight(&mut self, is_tight: bool) {
        let stated = self.limits.call_cost();
        match &mut self.overload {
            Some(overload) if is_tight => overload.set_stated(stated),
            overload => *overload = is_tight.then(|| Overload::new(stated)),
        }
    }

    /// Sets the endpoints that may get calls.
    pub fn set_endpoints(&mut self, open: &[Arc<EndpointEntry>]) {
        self.workers.set(open);
    }

    /// Sets when the first endpoint finishes its cooldown; `None` unless all endpoints are cooling down.
    pub fn set_cooldown_end(&mut self, cooldown_end: Option<Time>) {
        self.cooldown_end = cooldown_end;
    }

    /// Queues a job. Each of its pieces adds to the retry budget.
    pub fn add(&mut self, now: Time, id: JobId, job: StageJob) {
        for _ in 0..job.pieces {
            self.budget.deposit(now);
        }
        self.jobs.insert(id, JobState::new(job, now));
    }

    /// Drops a job without reporting an outcome; its results become surplus.
    pub fn cancel(&mut self, id: JobId) {
        if let Some(state) = self.jobs.remove(&id) {
            self.surplus.extend(state.into_results());
        }
    }

    /// Records that endpoints dropped results, which frees result capacity.
    pub fn released(&mut self, handles: &[ResultHandle]) {
        self.workers.released(handles);
    }

    /// Returns the number of waiting pieces.
    pub fn waiting(&self) -> usize {
        self.jobs.values().map(JobState::waiting).sum()
    }

    /// Returns the number of jobs that haven't ended.
    pub fn jobs(&self) -> usize {
        self.jobs.len()
    }

    /// Returns the number of endpoints that can get calls and aren't slow.
    pub fn available_workers(&self, now: Time) -> usize {
        self.workers.available(now)
    }

    /// Returns the jobs that ended since this was called last.
    pub fn take_ended(&mut self) -> Vec<EndedJob> {
        std::mem::take(&mut self.ended)
    }

    /// Returns the results that became surplus since this was called last.
    pub fn take_surplus(&mut self) -> Vec<ResultHandle> {
        std::mem::take(&mut self.surplus)
    }

    /// Returns whether a recent call got fewer pieces because its endpoint lacked result capacity.
    pub fn is_short_of_capacity(&self, now: Time) -> bool {
        self.shortage_at
            .is_some_and(|shortage| result_capacity::is_shortage(now, shortage))
    }

    /// Returns inputs that endpoints have fetched and that can be released early, each once. `is_short` returns
    /// whether the endpoint that stores a result is short of result capacity.
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

    /// Ends a job before all its pieces are completed; its results become surplus.
    pub(super) fn end(&mut self, id: JobId, end: JobEnd) {
        if let Some(state) = self.jobs.remove(&id) {
            self.surplus.extend(state.into_results());
            self.ended.push(EndedJob { id, end });
        }
    }
}
