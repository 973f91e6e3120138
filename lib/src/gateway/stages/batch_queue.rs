//! Plans which pieces of stages go to which endpoint, and when: the queue of one service.
//!
//! A call costs an endpoint a fixed time and a little for each piece, so throughput is the fill of
//! its calls. One daemon at a time plans for a service. It gives an endpoint its next call when
//! the endpoint is free, so that calls grow by themselves as the load grows. Any piece may be made
//! again; a second planner costs time, never safety.

use {
    crate::{
        gateway::{
            directory::catalogue::EndpointEntry,
            rules::{
                piece_order::{Served, WaitingOrder, served},
                retry_budget::WindowBudget,
            },
            stages::{
                batch_call::{BatchCall, CallEnd, JobState, PieceState, RunningCall, made, task},
                job::{JobEnd, JobId, PieceEnd, PieceInput, ResultHandle, StageJob},
                worker::Worker,
            },
            table::BatchLimits,
        },
        shared::{
            ids::EndpointId,
            units::{ByteSize, Millis, Time},
        },
    },
    foldhash::HashMap,
    std::{collections::BTreeMap, sync::Arc},
};

/// A call that takes longer than this many times what was expected, and a little, is overdue.
const OVERDUE_FACTOR: f64 = 1.7;
const OVERDUE_MS: f64 = 120.0;

/// Pace above which an endpoint gets no call while others may take it.
const SLOW_PACE: f64 = 1.8;

/// Time for which an endpoint is passed over after it refused, broke off or wasn't reached.
const PASSED_OVER: Millis = Millis(300);

/// Time for which a lack of room counts.
const SHORTAGE: Millis = Millis(1_000);

/// Time within which an endpoint has fetched the inputs of a call.
const FETCH: Millis = Millis(100);

/// Time for which an endpoint without room for a result is passed over.
const FULL_PASSED_OVER: Millis = Millis(60);

/// The queue of one service.
#[derive(Debug)]
pub struct BatchQueue {
    limits: BatchLimits,
    budget: WindowBudget,
    daemons: usize,
    jobs: BTreeMap<JobId, JobState>,
    workers: HashMap<EndpointId, Worker>,
    calls: HashMap<u64, RunningCall>,
    next_call: u64,
    ended: Vec<(JobId, JobEnd)>,
    /// Results that nobody waits for any more.
    surplus: Vec<ResultHandle>,
    /// When a call was last kept small for lack of room for results.
    short_of_room: Option<Time>,
}

impl BatchQueue {
    /// Starts without jobs and endpoints.
    pub fn new(limits: BatchLimits, budget: WindowBudget) -> Self {
        Self {
            limits,
            budget,
            daemons: 1,
            jobs: BTreeMap::new(),
            workers: HashMap::default(),
            calls: HashMap::default(),
            next_call: 0,
            ended: Vec::new(),
            surplus: Vec::new(),
            short_of_room: None,
        }
    }

    /// Takes in new limits, and how many daemons share the budget of repeats.
    pub fn set_limits(&mut self, limits: BatchLimits, daemons: usize) {
        self.limits = limits;
        self.daemons = daemons;
    }

    /// Takes in which endpoints may be called.
    pub fn set_endpoints(&mut self, open: &[Arc<EndpointEntry>]) {
        self.workers
            .retain(|id, worker| worker.calls > 0 || open.iter().any(|entry| entry.id == *id));
        for (id, worker) in &mut self.workers {
            worker.open = open.iter().any(|entry| entry.id == *id);
        }
        for entry in open {
            let worker = self
                .workers
                .entry(entry.id.clone())
                .or_insert_with(|| Worker::new(entry.clone()));
            worker.entry = entry.clone();
        }
    }

    /// Takes in a job.
    pub fn add(&mut self, now: Time, id: JobId, job: StageJob) {
        for _ in 0..job.pieces {
            self.budget.deposit(now);
        }
        let pieces = job.pieces as usize;
        let state = JobState {
            job,
            added: now,
            last_sent: now,
            fetched: false,
            pieces: vec![PieceState::Waiting; pieces],
            tries: vec![0; pieces],
            waiting: pieces,
        };
        self.jobs.insert(id, state);
    }

    /// Drops a job; what it has made is released.
    pub fn cancel(&mut self, id: JobId) {
        if let Some(state) = self.jobs.remove(&id) {
            self.surplus.extend(made(state));
        }
    }

    /// Notes that results are no longer kept.
    pub fn released(&mut self, handles: &[ResultHandle]) {
        for worker in self.workers.values_mut() {
            for handle in handles {
                worker.kept.remove(handle);
            }
        }
    }

    /// Returns the pieces that wait.
    pub fn waiting(&self) -> usize {
        self.jobs.values().map(|state| state.waiting).sum()
    }

    /// Returns the jobs in hand.
    pub fn jobs(&self) -> usize {
        self.jobs.len()
    }

    /// Returns the number of endpoints that take calls and are about as fast as usual.
    pub fn available_workers(&self, now: Time) -> usize {
        self.workers
            .values()
            .filter(|worker| worker.is_ready(now) && worker.pace(now) < SLOW_PACE)
            .count()
    }

    /// Plans the calls to be made now.
    pub fn plan(&mut self, now: Time) -> Vec<BatchCall> {
        self.drop_hopeless(now);
        self.requeue_overdue(now);
        let mut calls = Vec::new();
        let mut free = self.free_workers(now);
        if free.is_empty() {
            return calls;
        }
        let served = served(self.workers.values());
        let mut waiting = self.waiting();
        while !free.is_empty() && waiting > 0 {
            let planned = free.iter().find_map(|endpoint| {
                let (order, target) = self.order_for(now, endpoint, &free, &served)?;
                self.plan_call(now, endpoint, target, &order.jobs, waiting)
            });
            let Some(call) = planned else {
                return calls;
            };
            waiting -= call.pieces.len();
            calls.push(call);
            free = self.free_workers(now);
        }
        calls
    }

    /// Returns what waits for an endpoint, and how many pieces its call should take.
    fn order_for(
        &self,
        now: Time,
        endpoint: &EndpointId,
        free: &[EndpointId],
        served: &Served,
    ) -> Option<(WaitingOrder, usize)> {
        let here = &self.workers.get(endpoint)?.entry.data_centre;
        let is_here = |other: &&EndpointId| {
            let worker = self.workers.get(*other);
            worker.is_some_and(|worker| worker.entry.data_centre == *here)
        };
        let free_here = free.iter().filter(is_here).count();
        let order = WaitingOrder::new(now, &self.jobs, here, served);
        let target = order.share(free_here, free.len());
        (target > 0).then_some((order, target.min(self.limits.pieces)))
    }

    /// Takes in how a call ended.
    pub fn call_ended(&mut self, now: Time, id: u64, end: CallEnd) {
        let Some(call) = self.calls.remove(&id) else {
            return;
        };
        let limits = self.limits;
        if let Some(worker) = self.workers.get_mut(&call.endpoint) {
            worker.calls = worker.calls.saturating_sub(1);
            worker.reserved = worker.reserved.saturating_sub(call.reserved);
            match &end {
                CallEnd::Answered(_) => {
                    worker.learn_pace(now, now.millis_since(call.sent) / call.expected_ms);
                }
                CallEnd::Refused | CallEnd::Broken => {
                    worker.passed_over_until = now + PASSED_OVER;
                }
                CallEnd::Replaced => worker.open = false,
            }
        }
        match end {
            CallEnd::Answered(ends) => {
                let until = now + limits.keep;
                for ((job, piece, size), end) in call.pieces.iter().zip(ends) {
                    let at = &call.endpoint;
                    self.piece_ended(now, (*job, *piece), *size, end, at, until);
                }
            }
            CallEnd::Refused | CallEnd::Replaced => self.put_back(&call.pieces, true),
            CallEnd::Broken => self.put_back(&call.pieces, false),
        }
    }

    /// Returns the jobs that ended since the last call.
    pub fn take_ended(&mut self) -> Vec<(JobId, JobEnd)> {
        std::mem::take(&mut self.ended)
    }

    /// Returns the results that nobody waits for any more, since the last call.
    pub fn take_surplus(&mut self) -> Vec<ResultHandle> {
        std::mem::take(&mut self.surplus)
    }

    /// Returns whether calls were kept small lately because endpoints had no room for results.
    pub fn is_short_of_room(&self, now: Time) -> bool {
        self.short_of_room
            .is_some_and(|at| now.since(at) < SHORTAGE.to_duration())
    }

    /// Returns inputs whose makers are short of room and that aren't needed any more: an endpoint
    /// fetches them when it begins a call. A piece that has to be made again then finds them gone,
    /// and its request's stages start over, so that this is done only where room is short.
    pub fn take_fetched(
        &mut self,
        now: Time,
        is_short: impl Fn(&ResultHandle) -> bool,
    ) -> Vec<ResultHandle> {
        let mut fetched = Vec::new();
        for state in self.jobs.values_mut() {
            let begun = state.waiting == 0 && now.since(state.last_sent) >= FETCH.to_duration();
            if !begun || state.fetched {
                continue;
            }
            if let PieceInput::Results(handles) = &state.job.input
                && handles.iter().any(&is_short)
            {
                state.fetched = true;
                fetched.extend(handles.iter().cloned());
            }
        }
        fetched
    }

    /// Returns endpoints that may take a call, the fastest first.
    fn free_workers(&self, now: Time) -> Vec<EndpointId> {
        let any_available = self.available_workers(now) > 0;
        let mut free: Vec<&Worker> = self
            .workers
            .values()
            .filter(|worker| worker.calls < self.limits.slots.max(1))
            .filter(|worker| worker.is_ready(now))
            .filter(|worker| !any_available || worker.pace(now) < SLOW_PACE)
            .collect();
        free.sort_by(|a, b| {
            let pace = a.pace(now).total_cmp(&b.pace(now));
            pace.then_with(|| a.entry.id.cmp(&b.entry.id))
        });
        free.iter().map(|worker| worker.entry.id.clone()).collect()
    }

    fn plan_call(
        &mut self,
        now: Time,
        endpoint: &EndpointId,
        target: usize,
        order: &[JobId],
        waiting: usize,
    ) -> Option<BatchCall> {
        let limits = self.limits;
        let worker = self.workers.get_mut(endpoint)?;
        let mut room = worker.room(now, &limits);
        let entry = worker.entry.clone();
        let mut chosen = Vec::new();
        let mut tasks = Vec::new();
        let mut reserved = 0;
        let mut repeated = 0;
        for id in order.iter().copied() {
            if chosen.len() >= target {
                break;
            }
            let Some(state) = self.jobs.get_mut(&id) else {
                continue;
            };
            for piece in 0..state.pieces.len() {
                // A job that was begun is taken whole where it fits, past the target too.
                let size = state.job.result.0;
                if chosen.len() >= limits.pieces {
                    break;
                }
                if size > room {
                    self.short_of_room = Some(now);
                    break;
                }
                if state.pieces[piece] != PieceState::Waiting {
                    continue;
                }
                // A repeat that the budget doesn't have yet waits until it does.
                if state.tries[piece] > 0 && !self.budget.withdraw(now, self.daemons) {
                    continue;
                }
                room -= size;
                reserved += size;
                state.pieces[piece] = PieceState::Running;
                state.waiting -= 1;
                repeated += usize::from(state.tries[piece] > 0);
                state.tries[piece] += 1;
                state.last_sent = now;
                chosen.push((id, piece, state.job.result));
                tasks.push(task(now, &state.job, piece));
            }
        }
        if chosen.is_empty() {
            return None;
        }
        let expected_ms = limits.call_ms + limits.piece_ms * chosen.len() as f64;
        let id = self.next_call;
        self.next_call += 1;
        if let Some(worker) = self.workers.get_mut(endpoint) {
            worker.calls += 1;
            worker.reserved += reserved;
        }
        self.calls.insert(
            id,
            RunningCall {
                endpoint: endpoint.clone(),
                sent: now,
                expected_ms,
                pieces: chosen,
                reserved,
                overdue: false,
            },
        );
        Some(BatchCall {
            id,
            entry,
            pieces: tasks,
            expected_ms,
            waiting,
            repeated,
        })
    }

    fn drop_hopeless(&mut self, now: Time) {
        let least = Millis(self.limits.call_ms as u64);
        let hopeless: Vec<JobId> = self
            .jobs
            .iter()
            .filter(|(_, state)| state.waiting > 0 && now + least > state.job.deadline)
            .map(|(id, _)| *id)
            .collect();
        for id in hopeless {
            self.end(id, JobEnd::Late);
        }
    }

    fn requeue_overdue(&mut self, now: Time) {
        let mut overdue = Vec::new();
        for call in self.calls.values_mut() {
            let bound = call.expected_ms * OVERDUE_FACTOR + OVERDUE_MS;
            let waited = now.millis_since(call.sent);
            if call.overdue || waited < bound {
                continue;
            }
            call.overdue = true;
            overdue.extend(call.pieces.iter().copied());
            if let Some(worker) = self.workers.get_mut(&call.endpoint) {
                worker.is_overdue(now, waited / call.expected_ms);
            }
        }
        self.put_back_overdue(&overdue);
    }

    /// Puts pieces back into the queue; `free` gives a try back where nothing was run.
    fn put_back(&mut self, pieces: &[(JobId, usize, ByteSize)], free: bool) {
        for (id, piece, _) in pieces {
            let Some(state) = self.jobs.get_mut(id) else {
                continue;
            };
            if free && state.pieces[*piece] == PieceState::Running {
                state.tries[*piece] = state.tries[*piece].saturating_sub(1);
            }
            if state.pieces[*piece] != PieceState::Running {
                continue;
            }
            if !state.can_repeat(*piece) {
                self.end(*id, JobEnd::Failed);
                continue;
            }
            state.requeue(*piece);
        }
    }

    /// Puts pieces of calls that are out for too long back; the calls go on, and the first result
    /// wins.
    fn put_back_overdue(&mut self, pieces: &[(JobId, usize, ByteSize)]) {
        for (id, piece, _) in pieces {
            let Some(state) = self.jobs.get_mut(id) else {
                continue;
            };
            if state.pieces[*piece] == PieceState::Running && state.can_repeat(*piece) {
                state.requeue(*piece);
            }
        }
    }

    fn piece_ended(
        &mut self,
        now: Time,
        (id, piece): (JobId, usize),
        size: ByteSize,
        end: PieceEnd,
        endpoint: &EndpointId,
        until: Time,
    ) {
        if let PieceEnd::Completed(handle) = end {
            self.piece_made((id, piece), handle, size, endpoint, until);
            return;
        }
        if !self.jobs.contains_key(&id) {
            return;
        }
        match end {
            PieceEnd::Late => self.end(id, JobEnd::Late),
            PieceEnd::InputGone => self.end(id, JobEnd::InputsGone),
            PieceEnd::NoRoom => {
                if let Some(worker) = self.workers.get_mut(endpoint) {
                    // It has less room than was believed, and gets time to clear.
                    worker.passed_over_until = now + FULL_PASSED_OVER;
                }
                self.put_back(&[(id, piece, size)], true);
            }
            PieceEnd::Failed | PieceEnd::Completed(_) => self.put_back(&[(id, piece, size)], false),
        }
    }

    fn piece_made(
        &mut self,
        (id, piece): (JobId, usize),
        handle: ResultHandle,
        size: ByteSize,
        endpoint: &EndpointId,
        until: Time,
    ) {
        if let Some(worker) = self.workers.get_mut(endpoint) {
            worker.kept.insert(handle.clone(), (size, until));
        }
        let Some(state) = self.jobs.get_mut(&id) else {
            self.surplus.push(handle);
            return;
        };
        if matches!(state.pieces[piece], PieceState::Completed(_)) {
            self.surplus.push(handle);
            return;
        }
        if state.pieces[piece] == PieceState::Waiting {
            state.waiting -= 1;
        }
        state.pieces[piece] = PieceState::Completed(handle);
        let whole = state
            .pieces
            .iter()
            .all(|state| matches!(state, PieceState::Completed(_)));
        if whole && let Some(state) = self.jobs.remove(&id) {
            self.ended
                .push((id, JobEnd::Completed(made(state).collect())));
        }
    }

    fn end(&mut self, id: JobId, end: JobEnd) {
        if let Some(state) = self.jobs.remove(&id) {
            self.surplus.extend(made(state));
            self.ended.push((id, end));
        }
    }
}
