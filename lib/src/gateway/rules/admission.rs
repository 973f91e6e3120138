//! Whether a request whose stages have to be made first is taken, or refused at once.
//!
//! Work that was begun and isn't finished in time takes its place from work that could have been.
//! What all daemons have taken on and not finished yet is told in heartbeats; with the pace of each
//! service it tells when a new request would be done.

use crate::{
    gateway::rules::{engine_pace::TOKENS_PER_MS, retry_after},
    shared::units::{Millis, WorkMillis},
};

/// Time that a request needs beside its stages and its prompt, in milliseconds.
const OWN_MS: f64 = 80.0;

/// Most time of a prompt that counts against its admission, in milliseconds. A long prompt costs the
/// stages no more than a short one, and refusing it for its length alone would starve its kind.
const MOST_OWN_MS: f64 = 200.0;

/// Part of a service's full pace that is reached.
const EFFICIENCY: f64 = 0.85;

/// Time for which results are kept beyond the call that made them, in milliseconds.
const KEPT_MS: f64 = 350.0;

/// Part of the objective that the expected time may take, for rank 0 and less for each rank.
const MARGIN: f64 = 1.0;
const RANK_MARGIN: f64 = 0.05;

/// How a service of a stage stands.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct StageService {
    /// Endpoints that take calls.
    pub endpoints: usize,
    /// Most pieces in a call.
    pub batch: usize,
    /// Time of a call apart from its pieces, in milliseconds.
    pub call_ms: f64,
    /// Time of one piece, in milliseconds.
    pub piece_ms: f64,
    /// Results that an endpoint has room for.
    pub room: f64,
    /// Pieces that were taken on, by any daemon, and aren't made yet.
    pub outstanding: f64,
}

impl StageService {
    /// Returns the pieces that a call can hold at full load, for which the room for results counts.
    fn fill(&self) -> f64 {
        let batch = self.batch as f64;
        let call = self.call_ms + self.piece_ms * batch;
        let by_room = self.room * call / (call + KEPT_MS);
        batch.min(by_room).max(1.0)
    }

    /// Returns the pieces that the service makes in a millisecond at full load.
    fn pace(&self) -> f64 {
        let fill = self.fill();
        let call = self.call_ms + self.piece_ms * fill;
        self.endpoints.max(1) as f64 * fill / call * EFFICIENCY
    }

    /// Returns the time of a call at the present load, in milliseconds.
    fn usual_call_ms(&self, pieces: f64) -> f64 {
        let share = self.outstanding / self.endpoints.max(1) as f64;
        let fill = share.clamp(pieces, self.fill().max(pieces));
        self.call_ms + self.piece_ms * fill
    }
}

/// One stage of a request that asks to be taken.
#[derive(Debug, Clone, PartialEq)]
pub struct PlannedStage {
    /// Its service.
    pub service: StageService,
    /// Its pieces; none if it is left out.
    pub pieces: u32,
    /// Stages before it, by their places.
    pub after: Vec<usize>,
}

/// What decides about a request.
#[derive(Debug, Clone, PartialEq)]
pub struct AdmissionRequest {
    /// Its stages, in order.
    pub stages: Vec<PlannedStage>,
    /// Time within which its answer is worth most.
    pub objective: Millis,
    /// Rank of its route.
    pub rank: u32,
    /// Tokens of its prompt.
    pub tokens: u32,
}

/// What was decided.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum AdmissionDecision {
    /// It is taken; it should take this many milliseconds.
    Take(f64),
    /// It is refused.
    Refuse {
        /// Time it would have taken, in milliseconds.
        expected_ms: f64,
        /// Time after which the caller may come back.
        retry_after: Millis,
    },
}

/// Estimates the time that a request itself takes to its first event, in milliseconds.
pub fn own_ms(tokens: u32) -> f64 {
    OWN_MS + f64::from(tokens) / TOKENS_PER_MS
}

/// Estimates the time to the end of all stages, in milliseconds.
pub fn expected_ms(stages: &[PlannedStage]) -> f64 {
    let mut ends = Vec::with_capacity(stages.len());
    for stage in stages {
        let before = stage
            .after
            .iter()
            .filter_map(|before| ends.get(*before).copied())
            .fold(0.0, f64::max);
        if stage.pieces == 0 {
            ends.push(before);
            continue;
        }
        let pieces = f64::from(stage.pieces);
        let queued = stage.service.outstanding / stage.service.pace();
        ends.push(queued.max(before) + stage.service.usual_call_ms(pieces));
    }
    ends.into_iter().fold(0.0, f64::max)
}

/// Decides whether a request is taken.
pub fn decide(request: &AdmissionRequest) -> AdmissionDecision {
    let expected_ms = expected_ms(&request.stages) + own_ms(request.tokens).min(MOST_OWN_MS);
    let objective = request.objective.0 as f64;
    let allowed = objective * (MARGIN - RANK_MARGIN * f64::from(request.rank));
    if expected_ms <= allowed {
        return AdmissionDecision::Take(expected_ms);
    }
    AdmissionDecision::Refuse {
        expected_ms,
        retry_after: retry_after::after_admission(WorkMillis(expected_ms), WorkMillis(allowed)),
    }
}
