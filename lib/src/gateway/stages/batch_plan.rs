//! Composes the next calls of a queue.
//!
//! Carries out `rules::piece_order` (which pieces, in which order), `rules::call_fill` (how many),
//! `rules::piece_retry` with the budget of retries (which of them again), and `rules::call_timing`
//! (overdue calls).

use {
    crate::{
        gateway::{
            directory::catalogue::EndpointLife,
            rules::{
                call_fill::{CallFill, Fit},
                call_timing::is_overdue,
                piece_order::{DataCentreCounts, WaitingOrder},
                piece_retry::{is_hopeless, is_retry},
                worker_pace::Pace,
            },
            stages::{
                batch_call::{BatchCall, CallId, PieceRef, RunningCall, SentPiece},
                batch_queue::BatchQueue,
                job::{JobEnd, JobId, PieceTask},
            },
        },
        shared::units::{Time, WorkMillis},
    },
    std::sync::Arc,
};

/// The part of the waiting pieces that one endpoint should get.
struct CallShare {
    /// Jobs with waiting pieces, in the order in which they go.
    jobs: Vec<JobId>,
    /// Pieces that its call should take.
    pieces: usize,
}

/// The pieces chosen for one call.
struct ChosenPieces {
    fill: CallFill,
    sent: Vec<SentPiece>,
    tasks: Vec<PieceTask>,
    /// Pieces among them that were sent before.
    retries: usize,
}

impl BatchQueue {
    /// Plans the calls to be sent now, after jobs that can't end in time were ended and the pieces
    /// of overdue calls queued again.
    pub fn plan(&mut self, now: Time) -> Vec<BatchCall> {
        self.end_hopeless(now);
        self.requeue_overdue(now);
        let mut calls = Vec::new();
        let mut free = self.free_endpoints(now);
        if free.is_empty() {
            return calls;
        }
        let counts = self.workers.counts();
        let mut waiting = self.waiting();
        while !free.is_empty() && waiting > 0 {
            let Some(call) = self.plan_next(now, &free, &counts, waiting) else {
                break;
            };
            waiting -= call.pieces.len();
            calls.push(call);
            free = self.free_endpoints(now);
        }
        calls
    }

    fn free_endpoints(&self, now: Time) -> Vec<EndpointLife> {
        // An endpoint without a stated number of slots runs one call at a time.
        self.workers.free(now, self.limits.slots.max(1))
    }

    /// Plans one call, for the first free endpoint that may take any of the waiting pieces.
    fn plan_next(
        &mut self,
        now: Time,
        free: &[EndpointLife],
        counts: &DataCentreCounts,
        waiting: usize,
    ) -> Option<BatchCall> {
        free.iter().find_map(|endpoint| {
            let share = self.share_of(now, endpoint, free, counts)?;
            self.plan_call(now, endpoint, &share, waiting)
        })
    }

    /// Returns the part of the waiting pieces that a free endpoint should get, if any.
    fn share_of(
        &self,
        now: Time,
        endpoint: &EndpointLife,
        free: &[EndpointLife],
        counts: &DataCentreCounts,
    ) -> Option<CallShare> {
        let here = self.workers.data_centre(endpoint)?;
        let is_here = |other: &&EndpointLife| self.workers.data_centre(other) == Some(here);
        let free_here = free.iter().filter(is_here).count();
        let waiting = self.jobs.iter().filter(|(_, state)| state.waiting() > 0);
        let jobs = waiting.map(|(id, state)| state.waiting_job(*id));
        let order = WaitingOrder::new(now, jobs, here, counts);
        let pieces = order.share(free_here, free.len());
        (pieces > 0).then_some(CallShare {
            jobs: order.jobs,
            pieces: pieces.min(self.limits.pieces),
        })
    }

    /// Plans a call of an endpoint; nothing if no piece may be sent there.
    fn plan_call(
        &mut self,
        now: Time,
        endpoint: &EndpointLife,
        share: &CallShare,
        waiting: usize,
    ) -> Option<BatchCall> {
        let worker = self.workers.get_mut(endpoint)?;
        let room = worker.free_room(now, self.limits.room);
        let entry = Arc::clone(&worker.entry);
        let fill = CallFill::new(share.pieces, self.limits.pieces, room);
        let chosen = self.choose(now, &share.jobs, fill);
        if chosen.tasks.is_empty() {
            return None;
        }
        let expected = self
            .limits
            .call_cost()
            .expected(chosen.fill.pieces() as f64);
        let call = BatchCall {
            id: CallId(self.next_call),
            entry,
            pieces: chosen.tasks,
            expected,
            waiting,
            retries: chosen.retries,
        };
        self.next_call += 1;
        self.begin(now, &call, chosen.sent, chosen.fill);
        Some(call)
    }

    /// Chooses pieces of waiting jobs for one call, and marks them as sent.
    fn choose(&mut self, now: Time, jobs: &[JobId], fill: CallFill) -> ChosenPieces {
        let mut chosen = ChosenPieces {
            fill,
            sent: Vec::new(),
            tasks: Vec::new(),
            retries: 0,
        };
        for job in jobs {
            if !chosen.fill.takes_job() {
                break;
            }
            self.choose_from(now, *job, &mut chosen);
        }
        chosen
    }

    /// Adds the waiting pieces of a job to a call, as far as they fit and the budget has retries.
    fn choose_from(&mut self, now: Time, job: JobId, chosen: &mut ChosenPieces) {
        let Some(state) = self.jobs.get_mut(&job) else {
            return;
        };
        let result = state.result_size();
        for piece in 0..state.pieces() {
            match chosen.fill.fit(result) {
                Fit::Fits => {}
                Fit::CallFull => return,
                Fit::NoRoom => {
                    self.short_at = Some(now);
                    return;
                }
            }
            let Some(tries) = state.waiting_tries(piece) else {
                continue;
            };
            // A retry that the budget doesn't have yet waits until it does.
            if is_retry(tries) && !self.budget.withdraw(now, self.daemons) {
                continue;
            }
            chosen.retries += usize::from(is_retry(tries));
            chosen.fill.add(result);
            chosen.tasks.push(state.send(now, piece));
            chosen.sent.push(SentPiece {
                piece: PieceRef { job, piece },
                result,
            });
        }
    }

    /// Books a planned call as in flight.
    fn begin(&mut self, now: Time, call: &BatchCall, pieces: Vec<SentPiece>, fill: CallFill) {
        let endpoint = call.entry.life();
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

    /// Ends jobs with waiting pieces that no call can complete in time.
    fn end_hopeless(&mut self, now: Time) {
        let call = self.limits.call_cost().fixed;
        let hopeless: Vec<JobId> = self
            .jobs
            .iter()
            .filter(|(_, state)| state.waiting() > 0 && is_hopeless(now, state.deadline(), call))
            .map(|(id, _)| *id)
            .collect();
        for id in hopeless {
            self.end(id, JobEnd::Late);
        }
    }

    /// Queues the pieces of overdue calls again, once for each call.
    fn requeue_overdue(&mut self, now: Time) {
        for call in self.calls.values_mut() {
            let elapsed = WorkMillis(now.millis_since(call.sent));
            if call.overdue || !is_overdue(elapsed, call.expected) {
                continue;
            }
            call.overdue = true;
            if let Some(worker) = self.workers.get_mut(&call.endpoint) {
                worker.call_overdue(now, Pace::of_call(elapsed, call.expected));
            }
            for sent in &call.pieces {
                if let Some(state) = self.jobs.get_mut(&sent.piece.job) {
                    state.send_overdue(sent.piece.piece);
                }
            }
        }
    }
}
