//! Calls of pieces as a planner makes them, and the state of the jobs that they come from.

use {
    crate::{
        gateway::{
            directory::catalogue::EndpointEntry,
            stages::job::{JobId, PieceEnd, PieceTask, ResultHandle, StageJob},
        },
        shared::{
            ids::EndpointId,
            units::{ByteSize, Millis, Time},
        },
    },
    std::sync::Arc,
};

/// Headstart that each rank gives over the next one.
const RANK_STEP: Millis = Millis(400);

/// Handicap of a job that can't meet its objective any more.
const LATE_STEP: Millis = Millis(20_000);

/// Times that one piece is tried.
const PIECE_TRIES: u32 = 3;

/// One call of one endpoint.
#[derive(Debug, Clone)]
pub struct BatchCall {
    /// Tells it from other calls.
    pub id: u64,
    /// Endpoint to call.
    pub entry: Arc<EndpointEntry>,
    /// Its pieces.
    pub pieces: Vec<PieceTask>,
    /// Time it should take, in milliseconds.
    pub expected_ms: f64,
    /// Pieces that waited when it was planned.
    pub waiting: usize,
    /// Pieces in it that were sent before.
    pub repeated: usize,
}

/// How a call ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallEnd {
    /// The endpoint answered for each piece.
    Answered(Vec<PieceEnd>),
    /// The endpoint didn't take it.
    Refused,
    /// The endpoint is another one, or is leaving.
    Replaced,
    /// There was no answer.
    Broken,
}

/// A call under way.
#[derive(Debug)]
pub(crate) struct RunningCall {
    pub(crate) endpoint: EndpointId,
    pub(crate) sent: Time,
    pub(crate) expected_ms: f64,
    /// StageJob, place within it, and usual size of its result.
    pub(crate) pieces: Vec<(JobId, usize, ByteSize)>,
    pub(crate) reserved: u64,
    pub(crate) overdue: bool,
}

#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum PieceState {
    Waiting,
    Running,
    Completed(ResultHandle),
}

#[derive(Debug)]
pub(crate) struct JobState {
    pub(crate) job: StageJob,
    /// When it was taken in.
    pub(crate) added: Time,
    /// When its last piece was sent.
    pub(crate) last_sent: Time,
    /// Whether its inputs were given up.
    pub(crate) fetched: bool,
    pub(crate) pieces: Vec<PieceState>,
    pub(crate) tries: Vec<u32>,
    pub(crate) waiting: usize,
}

impl JobState {
    pub(crate) fn order(&self, now: Time) -> Time {
        let late = if now > self.job.objective {
            LATE_STEP.0
        } else {
            0
        };
        self.job.objective + Millis(u64::from(self.job.rank) * RANK_STEP.0 + late)
    }

    pub(crate) fn can_repeat(&self, piece: usize) -> bool {
        self.tries[piece] < PIECE_TRIES
    }

    pub(crate) fn requeue(&mut self, piece: usize) {
        self.pieces[piece] = PieceState::Waiting;
        self.waiting += 1;
    }
}

pub(crate) fn made(state: JobState) -> impl Iterator<Item = ResultHandle> {
    state.pieces.into_iter().filter_map(|piece| match piece {
        PieceState::Completed(handle) => Some(handle),
        PieceState::Waiting | PieceState::Running => None,
    })
}

pub(crate) fn task(now: Time, job: &StageJob, piece: usize) -> PieceTask {
    PieceTask {
        request: job.request.clone(),
        stage: job.stage,
        piece: piece as u32,
        remaining: Millis(job.deadline.since(now).as_millis() as u64),
        input: job.input.clone(),
    }
}
