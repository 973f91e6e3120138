//! Applies the outcomes of calls to a queue: stores results, queues retries, and updates the state of the endpoint.
//!
//! Applies `rules::piece_retry`, `rules::piece_group` and `rules::worker_slowdown`.

use crate::{
    gateway::{
        directory::endpoint_entry::EndpointIncarnation,
        request_digest::RequestDigest,
        rules::{
            piece_group,
            piece_retry::{LostSend, PieceRetry},
            worker_slowdown::{Slowdown, WorkerExclusion},
        },
        stages::{
            batch_call::{CallEnd, CallId, PieceRef, RunningCall, SentPiece},
            batch_queue::{BatchQueue, EndedJob},
            job::{JobEnd, JobId, PieceEnd, ResultHandle},
        },
    },
    shared::units::{Time, WorkMillis},
};

impl BatchQueue {
    /// Applies the outcome of a call. Does nothing for a call that isn't in flight.
    pub fn call_ended(&mut self, now: Time, id: CallId, end: CallEnd) {
        let Some(call) = self.calls.remove(&id) else {
            return;
        };
        self.update_worker(now, &call, &end);
        if let Some(overload) = &mut self.overload {
            overload.call_ended(now, &call, &end);
        }
        match end {
            CallEnd::Answered(ends) => {
                for (sent, end) in call.pieces.iter().zip(ends) {
                    self.piece_ended(now, &call.endpoint, *sent, end);
                }
            }
            CallEnd::Refused | CallEnd::Unconnected | CallEnd::Replaced => {
                self.call_lost(&call, LostSend::NotRun)
            }
            CallEnd::Broken => self.call_lost(&call, LostSend::MaybeRun),
            CallEnd::Ended => {
                self.limit_batches(&call);
                self.call_lost(&call, LostSend::MaybeRun);
            }
        }
    }

    fn update_worker(&mut self, now: Time, call: &RunningCall, end: &CallEnd) {
        let Some(worker) = self.workers.get_mut(&call.endpoint) else {
            return;
        };
        worker.call_ended(call.reserved);
        match end {
            CallEnd::Answered(_) => {
                let elapsed = WorkMillis(now.millis_since(call.sent));
                worker.call_answered(now, Slowdown::of_call(elapsed, call.expected));
            }
            CallEnd::Refused | CallEnd::Unconnected | CallEnd::Broken | CallEnd::Ended => {
                worker.exclude(now, WorkerExclusion::NoAnswer)
            }
            // The worker gets calls again once the directory lists its endpoint again.
            CallEnd::Replaced => worker.listed = false,
        }
    }

    /// Fails all jobs of a request.
    pub fn fail_request(&mut self, digest: RequestDigest) {
        let jobs = self.jobs.iter();
        let of_request = jobs.filter(|(_, state)| state.digest() == Some(digest));
        let ids: Vec<JobId> = of_request.map(|(id, _)| *id).collect();
        for id in ids {
            self.end(id, JobEnd::Failed);
        }
    }

    /// Limits the size of later calls with pieces of this call, since one of them may have terminated the endpoint.
    fn limit_batches(&mut self, call: &RunningCall) {
        let max_batch = piece_group::max_pieces_after_termination(call.pieces.len());
        for sent in &call.pieces {
            if let Some(state) = self.jobs.get_mut(&sent.piece.job) {
                state.set_max_batch(sent.piece.piece, max_batch);
            }
        }
    }

    fn call_lost(&mut self, call: &RunningCall, loss: LostSend) {
        for sent in &call.pieces {
            self.send_lost(sent.piece, loss);
        }
    }

    /// Queues a piece again that got no result, or fails its job if the piece was sent too often.
    fn send_lost(&mut self, piece: PieceRef, loss: LostSend) {
        let Some(state) = self.jobs.get_mut(&piece.job) else {
            return;
        };
        if state.send_lost(piece.piece, loss) == Some(PieceRetry::GiveUp) {
            self.end(piece.job, JobEnd::Failed);
        }
    }

    fn piece_ended(
        &mut self,
        now: Time,
        endpoint: &EndpointIncarnation,
        sent: SentPiece,
        end: PieceEnd,
    ) {
        match end {
            PieceEnd::Completed(handle) => self.piece_completed(now, endpoint, sent, handle),
            PieceEnd::Late => self.end(sent.piece.job, JobEnd::Late),
            PieceEnd::InputGone => self.end(sent.piece.job, JobEnd::InputsGone),
            PieceEnd::NoCapacity => self.piece_without_capacity(now, endpoint, sent.piece),
            PieceEnd::Failed => self.send_lost(sent.piece, LostSend::MaybeRun),
        }
    }

    fn piece_without_capacity(
        &mut self,
        now: Time,
        endpoint: &EndpointIncarnation,
        piece: PieceRef,
    ) {
        // A job that has ended needs no retry.
        if !self.jobs.contains_key(&piece.job) {
            return;
        }
        if let Some(worker) = self.workers.get_mut(endpoint) {
            // The endpoint has less capacity than expected; excluding it gives it time to free some.
            worker.exclude(now, WorkerExclusion::NoCapacity);
        }
        self.send_lost(piece, LostSend::NotRun);
    }

    /// Stores the first result of a piece and ends the job if all its pieces are completed; a second result of a
    /// piece is surplus. Every result takes up capacity of its endpoint.
    fn piece_completed(
        &mut self,
        now: Time,
        endpoint: &EndpointIncarnation,
        sent: SentPiece,
        handle: ResultHandle,
    ) {
        if let Some(worker) = self.workers.get_mut(endpoint) {
            worker.record_result(handle.clone(), sent.result, now + self.limits.retention);
        }
        let PieceRef { job, piece } = sent.piece;
        let Some(state) = self.jobs.get_mut(&job) else {
            self.surplus.push(handle);
            return;
        };
        if let Err(second) = state.complete(piece, handle) {
            self.surplus.push(second);
            return;
        }
        if state.is_complete()
            && let Some(state) = self.jobs.remove(&job)
        {
            let end = JobEnd::Completed(state.into_results().collect());
            self.ended.push(EndedJob { id: job, end });
        }
    }
}
