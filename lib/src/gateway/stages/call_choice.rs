//! Chooses the pieces of one call from the waiting jobs, in their order.
//!
//! Applies `rules::call_fill` (how many pieces), `rules::piece_retry` with the retry budget (which pieces may be sent
//! again), and for a tight service `rules::call_length` (how long the call may take).

use crate::{
    gateway::{
        rules::{
            call_fill::{CallFill, Fit},
            piece_retry::is_retry,
            worker_slowdown::Slowdown,
        },
        stages::{
            batch_call::{PieceRef, SentPiece},
            batch_queue::BatchQueue,
            job::{JobId, PieceTask},
        },
    },
    shared::units::{Time, WorkMillis},
};

/// The pieces chosen for one call.
pub(super) struct ChosenPieces {
    pub(super) fill: CallFill,
    /// The call as it would be if it weren't kept short.
    pub(super) whole: CallFill,
    /// Longest expected time of the call, if it is kept short for its most urgent job.
    longest: Option<WorkMillis>,
    /// Set once a piece was left out to keep the call short.
    pub(super) is_cut: bool,
    pub(super) expected: WorkMillis,
    pub(super) sent: Vec<SentPiece>,
    pub(super) tasks: Vec<PieceTask>,
    /// Number of the chosen pieces that were sent before.
    pub(super) retries: usize,
    /// Maximum number of pieces in the call: the smallest limit of the chosen pieces.
    max_pieces: usize,
}

impl ChosenPieces {
    /// Starts an empty call, whose fixed time is `fixed`.
    fn new(fill: CallFill, fixed: WorkMillis) -> Self {
        Self {
            fill,
            whole: fill,
            longest: None,
            is_cut: false,
            expected: fixed,
            sent: Vec::new(),
            tasks: Vec::new(),
            retries: 0,
            max_pieces: usize::MAX,
        }
    }

    /// Returns whether a piece that takes the time `piece` has to be left out to keep the call short. All later pieces
    /// are then left out too.
    fn leaves_out(&mut self, piece: WorkMillis) -> bool {
        let is_over = |longest: WorkMillis| self.expected.0 + piece.0 > longest.0;
        self.is_cut |= self.longest.is_some_and(is_over);
        self.is_cut
    }

    /// Returns whether a piece that may be in calls of at most `max_batch` pieces can join the call.
    fn may_share(&self, max_batch: usize) -> bool {
        self.tasks.len() < self.max_pieces.min(max_batch)
    }
}

impl BatchQueue {
    /// Chooses the pieces of one call from the jobs, in their order, and marks the pieces as sent.
    pub(super) fn choose(
        &mut self,
        now: Time,
        jobs: &[JobId],
        fill: CallFill,
        slowdown: Slowdown,
    ) -> ChosenPieces {
        let mut chosen = ChosenPieces::new(fill, self.limits.call_cost().fixed);
        for job in jobs {
            if !chosen.whole.takes_job() || chosen.tasks.len() >= chosen.max_pieces {
                break;
            }
            let is_first = chosen.tasks.is_empty();
            self.choose_from(now, *job, &mut chosen);
            if is_first && !chosen.tasks.is_empty() {
                chosen.longest = self.longest_call(now, *job, &chosen, slowdown);
            }
        }
        chosen
    }

    /// Returns the longest expected time of a call that is kept short for its first job; `None` otherwise.
    fn longest_call(
        &self,
        now: Time,
        job: JobId,
        chosen: &ChosenPieces,
        slowdown: Slowdown,
    ) -> Option<WorkMillis> {
        let overload = self.overload.as_ref()?;
        let objective = self.jobs.get(&job)?.objective();
        overload.longest_call(now, objective, &chosen.sent, slowdown)
    }

    /// Adds waiting pieces of a job to a call, as far as they fit and the retry budget allows.
    fn choose_from(&mut self, now: Time, job: JobId, chosen: &mut ChosenPieces) {
        let Some(state) = self.jobs.get_mut(&job) else {
            return;
        };
        if state.waiting() == 0 {
            return;
        }
        let result = state.result_size();
        let cost = self
            .overload
            .as_ref()
            .map(|overload| overload.piece(result));
        for piece in 0..state.pieces() {
            match chosen.whole.fit(result) {
                Fit::Fits => {}
                Fit::CallFull => return,
                Fit::NoCapacity => {
                    self.shortage_at = Some(now);
                    return;
                }
            }
            let Some(tries) = state.waiting_tries(piece) else {
                continue;
            };
            let max_batch = state.max_batch(piece);
            if !chosen.may_share(max_batch) {
                continue;
            }
            if cost.is_some_and(|cost| chosen.leaves_out(cost)) {
                chosen.whole.add(result);
                continue;
            }
            // A retry that exceeds the budget stays in the queue until the budget allows it.
            if is_retry(tries) && !self.budget.withdraw(now, self.daemons) {
                continue;
            }
            chosen.retries += usize::from(is_retry(tries));
            chosen.max_pieces = chosen.max_pieces.min(max_batch);
            chosen.fill.add(result);
            chosen.whole.add(result);
            chosen.expected.0 += cost.map_or(0.0, |cost| cost.0);
            if let Some(overload) = &mut self.overload {
                overload.record_sent(now, state.rank(), state.customer());
            }
            chosen.tasks.push(state.send(now, piece));
            chosen.sent.push(SentPiece {
                piece: PieceRef { job, piece },
                result,
            });
        }
    }
}
