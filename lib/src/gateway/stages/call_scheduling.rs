//! Builds the next calls of a queue from its waiting pieces.
//!
//! Relies on `waiting_jobs` for the order of the jobs and on `call_choice` for the pieces of a call. Applies
//! `rules::call_fill` (how many pieces per call), `rules::piece_retry` (which jobs are given up), `rules::call_spacing`
//! (how long a call that isn't full is held), and `rules::call_timing` (which calls are overdue).

use {
    crate::{
        gateway::{
            directory::endpoint_entry::EndpointIncarnation,
            rules::{
                call_fill::CallFill, call_spacing::CallSpacing, call_timing::is_overdue,
                piece_retry::misses_deadline, worker_slowdown::Slowdown,
            },
            stages::{
                batch_call::{BatchCall, CallId, RunningCall, SentPiece},
                batch_queue::BatchQueue,
                job::{JobEnd, JobId},
                scheduling_round::SchedulingRound,
                workers::FreeWorker,
            },
        },
        shared::{
            ids::DataCentreId,
            units::{Time, WorkMillis},
        },
    },
    std::sync::Arc,
};

impl BatchQueue {
    /// Returns the calls to send now, and records them as in flight. Before that, ends the jobs that can't meet
    /// their deadlines and queues the pieces of overdue calls again.
    pub fn schedule(&mut self, now: Time) -> Vec<BatchCall> {
        self.end_late_jobs(now);
        self.requeue_overdue(now);
        self.held_until = None;
        let mut calls = Vec::new();
        // Returns before the endpoints are examined: most daemons of a large fleet have no jobs but list all endpoints.
        let waiting = self.waiting();
        if waiting == 0 {
            return calls;
        }
        let free = self.free_endpoints(now);
        if free.is_empty() {
            return calls;
        }
        let mut round = SchedulingRound::new(free, self.workers.counts(), waiting);
        round.shortage = self.shortage(now, waiting);
        while !round.free.is_empty() && round.waiting > 0 {
            let Some(call) = self.schedule_next(now, &mut round) else {
                break;
            };
            calls.push(call);
        }
        calls
    }

    fn free_endpoints(&self, now: Time) -> Vec<FreeWorker> {
        self.workers.free(now, self.slots())
    }

    /// Returns the maximum number of concurrent calls per endpoint: 1 if the table states none.
    fn slots(&self) -> usize {
        self.limits.slots.max(1)
    }

    /// Schedules one call, for the first free endpoint that can run any of the waiting pieces.
    fn schedule_next(&mut self, now: Time, round: &mut SchedulingRound) -> Option<BatchCall> {
        for index in 0..round.free.len() {
            let worker = round.free[index].clone();
            let Some(call) = self.schedule_for(now, &worker, round) else {
                continue;
            };
            round.subtract(&self.calls[&call.id].pieces);
            self.record_spacing(now, &call);
            let calls = self
                .workers
                .get_mut(&worker.incarnation)
                .map(|busy| busy.calls());
            if calls.is_none_or(|calls| calls >= self.slots()) {
                round.remove(index);
            }
            return Some(call);
        }
        None
    }

    /// Schedules a call for a free endpoint with its share of the waiting pieces. Returns `None` if its share is empty
    /// or the call is held.
    fn schedule_for(
        &mut self,
        now: Time,
        worker: &FreeWorker,
        round: &mut SchedulingRound,
    ) -> Option<BatchCall> {
        let here = &worker.data_centre;
        let (free_here, free) = (round.free_in(here), round.free.len());
        if !round.orders.contains_key(here) {
            let order = self.order_in(now, here, round);
            self.ordered += order.jobs.len() as u64;
            round.orders.insert(here.clone(), order);
        }
        let order = &round.orders[here];
        let pieces = order.share(free_here, free);
        if pieces == 0 {
            return None;
        }
        let pieces = pieces.min(self.limits.pieces);
        if pieces < self.limits.pieces && self.is_held(now, here, round) {
            return None;
        }
        self.schedule_call(now, &worker.incarnation, &order.jobs, pieces, round.waiting)
    }

    /// Returns whether a call that isn't full has to wait in a data centre, and records until when.
    fn is_held(&mut self, now: Time, data_centre: &DataCentreId, round: &SchedulingRound) -> bool {
        let Some(spacing) = self.spacing.get(data_centre) else {
            return false;
        };
        let endpoints = round.counts.get(data_centre).unwrap_or(1);
        let due = spacing.earliest_start(endpoints, round.idle_in(data_centre));
        if due <= now {
            return false;
        }
        let first = self.held_until.map_or(due, |other| other.min(due));
        self.held_until = Some(first);
        true
    }

    /// Records the time of a scheduled call for the spacing of calls in its data centre.
    fn record_spacing(&mut self, now: Time, call: &BatchCall) {
        let data_centre = &call.entry.data_centre;
        let spacing = match self.spacing.get(data_centre) {
            Some(spacing) => spacing.after_call(now, call.expected),
            None => CallSpacing::new(now, call.expected),
        };
        self.spacing.insert(data_centre.clone(), spacing);
    }

    /// Schedules a call of at most `pieces` pieces for an endpoint. Returns `None` if no piece can be sent to it.
    fn schedule_call(
        &mut self,
        now: Time,
        endpoint: &EndpointIncarnation,
        jobs: &[JobId],
        pieces: usize,
        waiting: usize,
    ) -> Option<BatchCall> {
        let worker = self.workers.get_mut(endpoint)?;
        let capacity = worker.free_capacity(now, self.limits.capacity);
        let entry = Arc::clone(&worker.entry);
        let fill = CallFill::new(pieces, self.limits.pieces, capacity);
        let slowdown = worker.slowdown(now);
        let chosen = self.choose(now, jobs, fill, slowdown);
        if chosen.tasks.is_empty() {
            return None;
        }
        let expected = match &self.overload {
            Some(overload) => overload.expected(&chosen.sent),
            None => self
                .limits
                .call_cost()
                .expected(chosen.fill.pieces() as f64),
        };
        let call = BatchCall {
            id: CallId(self.next_call),
            entry,
            pieces: chosen.tasks,
            expected,
            waiting,
            retries: chosen.retries,
            shortened: chosen.is_cut.then_some(chosen.whole.pieces()),
        };
        self.next_call += 1;
        self.begin(now, &call, chosen.sent, chosen.fill);
        Some(call)
    }

    /// Records a scheduled call as in flight.
    fn begin(&mut self, now: Time, call: &BatchCall, pieces: Vec<SentPiece>, fill: CallFill) {
        let endpoint = call.entry.incarnation();
        let reserved = fill.reserved();
        if let Some(worker) = self.workers.get_mut(&endpoint) {
            worker.call_sent(reserved);
        }
        let running = RunningCall {
            endpoint,
            sent: now,
            expected: call.expected,
            pieces,
            reserved,
            overdue: false,
        };
        self.calls.insert(call.id, running);
    }

    /// Ends jobs with waiting pieces that no call can complete before the deadline. While all endpoints are cooling
    /// down, no call starts before the first of them has finished its cooldown.
    fn end_late_jobs(&mut self, now: Time) {
        let call = self.limits.call_cost().fixed;
        let begin = self
            .cooldown_end
            .map_or(now, |cooldown_end| cooldown_end.max(now));
        let late: Vec<JobId> = self
            .jobs
            .iter()
            .filter(|(_, state)| {
                state.waiting() > 0 && misses_deadline(begin, state.deadline(), call)
            })
            .map(|(id, _)| *id)
            .collect();
        for id in late {
            self.end(id, JobEnd::Late);
        }
    }

    /// Queues the pieces of overdue calls again, once per call.
    fn requeue_overdue(&mut self, now: Time) {
        for call in self.calls.values_mut() {
            let elapsed = WorkMillis(now.millis_since(call.sent));
            if call.overdue || !is_overdue(elapsed, call.expected) {
                continue;
            }
            call.overdue = true;
            if let Some(worker) = self.workers.get_mut(&call.endpoint) {
                worker.call_overdue(now, Slowdown::of_call(elapsed, call.expected));
            }
            for sent in &call.pieces {
                if let Some(state) = self.jobs.get_mut(&sent.piece.job) {
                    state.send_overdue(sent.piece.piece);
                }
            }
        }
    }
}
