//! The state of one job: which of its pieces are waiting, running or completed, and how often each was sent.
//!
//! Owns the number of waiting pieces, which always matches the states of the pieces. Relies on
//! `rules::piece_retry` for which pieces may be sent again.

use crate::{
    gateway::{
        request_digest::RequestDigest,
        rules::{
            piece_order::WaitingJob,
            piece_retry::{LostSend, PieceRetry, after_loss, may_resend},
        },
        stages::job::{CustomerHash, JobId, PieceInput, PieceTask, ResultHandle, StageJob},
    },
    shared::units::{ByteSize, Millis, Time},
};

#[derive(Debug, Clone, PartialEq, Eq)]
enum PieceState {
    Waiting,
    Running,
    Completed(ResultHandle),
}

#[derive(Debug, Clone)]
struct Piece {
    state: PieceState,
    /// Number of times that the piece was sent, without sends that certainly didn't run.
    tries: u32,
    /// Maximum number of pieces in a call with this piece; `None` if only the limit of the service applies.
    max_batch: Option<usize>,
}

#[derive(Debug)]
pub(crate) struct JobState {
    job: StageJob,
    added: Time,
    /// Time at which a piece was last sent.
    last_sent: Time,
    /// Set if the inputs were released early.
    inputs_released: bool,
    pieces: Vec<Piece>,
    waiting: usize,
}

impl JobState {
    /// Creates the state of a job whose pieces are all waiting.
    pub(crate) fn new(job: StageJob, now: Time) -> Self {
        let count = job.pieces as usize;
        let piece = Piece {
            state: PieceState::Waiting,
            tries: 0,
            max_batch: None,
        };
        Self {
            job,
            added: now,
            last_sent: now,
            inputs_released: false,
            pieces: vec![piece; count],
            waiting: count,
        }
    }

    pub(crate) fn digest(&self) -> Option<RequestDigest> {
        self.job.digest
    }

    pub(crate) fn pieces(&self) -> usize {
        self.pieces.len()
    }

    pub(crate) fn waiting(&self) -> usize {
        self.waiting
    }

    pub(crate) fn last_sent(&self) -> Time {
        self.last_sent
    }

    pub(crate) fn deadline(&self) -> Time {
        self.job.deadline
    }

    pub(crate) fn objective(&self) -> Time {
        self.job.objective
    }

    pub(crate) fn rank(&self) -> u32 {
        self.job.rank
    }

    pub(crate) fn customer(&self) -> Option<CustomerHash> {
        self.job.customer
    }

    pub(crate) fn result_size(&self) -> ByteSize {
        self.job.result
    }

    /// Returns the values that determine the job's position in the order of waiting jobs.
    pub(crate) fn waiting_job(&self, id: JobId) -> WaitingJob<'_> {
        WaitingJob {
            id,
            waiting: self.waiting,
            added: self.added,
            objective: self.job.objective,
            rank: self.job.rank,
            preferred: self.job.preferred.as_ref(),
            allowed: &self.job.allowed,
            crossing_size: self.job.crossing_size,
        }
    }

    /// Returns the maximum number of pieces in a call with a piece.
    pub(crate) fn max_batch(&self, piece: usize) -> usize {
        self.pieces[piece].max_batch.unwrap_or(usize::MAX)
    }

    /// Sets the maximum number of pieces in a call with a piece.
    pub(crate) fn set_max_batch(&mut self, piece: usize, max_batch: usize) {
        self.pieces[piece].max_batch = Some(max_batch);
    }

    /// Returns how often a piece was sent, or `None` if it isn't waiting.
    pub(crate) fn waiting_tries(&self, piece: usize) -> Option<u32> {
        let piece = &self.pieces[piece];
        (piece.state == PieceState::Waiting).then_some(piece.tries)
    }

    /// Records that a waiting piece is sent, and returns it in the form that is sent to the endpoint.
    pub(crate) fn send(&mut self, now: Time, piece: usize) -> PieceTask {
        self.pieces[piece].state = PieceState::Running;
        self.pieces[piece].tries += 1;
        self.waiting -= 1;
        self.last_sent = now;
        PieceTask {
            request: self.job.request.clone(),
            digest: self.job.digest,
            stage: self.job.stage,
            piece: piece as u32,
            remaining: Millis(self.job.deadline.since(now).as_millis() as u64),
            input: self.job.input.clone(),
        }
    }

    /// Handles a send of a piece that ended without a result: queues the piece again if it may be sent again, and
    /// returns the decision. Returns `None` if the piece isn't running, because it is queued again or completed.
    pub(crate) fn send_lost(&mut self, piece: usize, loss: LostSend) -> Option<PieceRetry> {
        if self.pieces[piece].state != PieceState::Running {
            return None;
        }
        let retry = after_loss(self.pieces[piece].tries, loss);
        if let PieceRetry::Requeue { tries } = retry {
            self.pieces[piece].tries = tries;
            self.requeue(piece);
        }
        Some(retry)
    }

    /// Queues a piece of an overdue call again if it is running and may be sent again. The call continues, and the
    /// first result counts.
    pub(crate) fn send_overdue(&mut self, piece: usize) {
        let is_running = self.pieces[piece].state == PieceState::Running;
        if is_running && may_resend(self.pieces[piece].tries) {
            self.requeue(piece);
        }
    }

    fn requeue(&mut self, piece: usize) {
        self.pieces[piece].state = PieceState::Waiting;
        self.waiting += 1;
    }

    /// Stores the result of a piece.
    ///
    /// # Errors
    ///
    /// Returns the result if the piece already has one.
    pub(crate) fn complete(
        &mut self,
        piece: usize,
        handle: ResultHandle,
    ) -> Result<(), ResultHandle> {
        let state = &mut self.pieces[piece].state;
        match state {
            PieceState::Completed(_) => return Err(handle),
            PieceState::Waiting => self.waiting -= 1,
            PieceState::Running => {}
        }
        *state = PieceState::Completed(handle);
        Ok(())
    }

    pub(crate) fn is_complete(&self) -> bool {
        self.pieces
            .iter()
            .all(|piece| matches!(piece.state, PieceState::Completed(_)))
    }

    /// Returns the results of the completed pieces, in the order of the pieces.
    pub(crate) fn into_results(self) -> impl Iterator<Item = ResultHandle> {
        self.pieces
            .into_iter()
            .filter_map(|piece| match piece.state {
                PieceState::Completed(handle) => Some(handle),
                PieceState::Waiting | PieceState::Running => None,
            })
    }

    /// Returns the inputs that can be released early, once. There are none while pieces are waiting, or unless
    /// `is_short` is true for the endpoint that stores one of the inputs.
    pub(crate) fn release_inputs(
        &mut self,
        is_short: impl Fn(&ResultHandle) -> bool,
    ) -> &[ResultHandle] {
        let PieceInput::Results(handles) = &self.job.input else {
            return &[];
        };
        if self.inputs_released || self.waiting > 0 || !handles.iter().any(is_short) {
            return &[];
        }
        self.inputs_released = true;
        handles
    }
}
