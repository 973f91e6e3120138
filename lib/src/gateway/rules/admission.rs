//! Is a request whose stages have to run first admitted, or refused at once?
//!
//! Inputs: for each stage its pieces and how its service stands (`StageService`: endpoints, cost of
//! a call in milliseconds, room in results, outstanding pieces of all daemons), how many of those go
//! ahead of the stage's own, the request's objective (milliseconds), its route's rank, the tokens of
//! its prompt, and the way to the region where it would run (milliseconds).
//!
//! The outstanding pieces of a service that go ahead (`rules::backlog`), over its throughput, and the wait
//! for the first call that ends say when a new piece would begin; with the time of a call at the present
//! load, and of the stages before, that gives the time to the end of all stages. The request is admitted if
//! that time and its own fit into its objective, less `RANK_MARGIN` for each rank.
//!
//! Work that was begun and isn't finished in time takes the place of work that could have been.
//! `test_stage_admission` pins the rule.

use crate::{
    gateway::rules::{call_timing::CallCost, engine_pace::TOKENS_PER_MS, retry_after},
    shared::units::{Millis, WorkMillis},
};

/// Time that a request needs beside its stages and its prompt.
const OWN: WorkMillis = WorkMillis(80.0);

/// Most of a request's own time that counts against its admission ("a long prompt counts for 200 ms
/// at most": 0.919 -> 0.979). A long prompt costs the stages no more than a short one, and refusing
/// it for its length alone would starve its kind.
const MOST_OWN: WorkMillis = WorkMillis(200.0);

/// Part of a service's full throughput that is reached (a share).
const EFFICIENCY: f64 = 0.85;

/// Time for which results are kept beyond the call that computed them.
const KEPT: WorkMillis = WorkMillis(350.0);

/// Part of the objective that the expected time may take at rank 0 (a share; "nine tenths of the
/// objective": 0.318 -> 0.234, so that it stayed whole).
const MARGIN: f64 = 1.0;

/// Part of the objective that each rank leaves free (a share; "0.12 for each rank instead of 0.05":
/// 0.318 -> 0.237, so that it stayed at 0.05).
const RANK_MARGIN: f64 = 0.05;

/// A number of pieces, or of their results; an average is no whole number.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd)]
pub struct PieceCount(pub f64);

/// The load and the size of the service of one stage.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct StageService {
    /// Endpoints that get calls.
    pub endpoints: usize,
    /// Most pieces in a call.
    pub batch: usize,
    /// Cost of a call.
    pub cost: CallCost,
    /// Results that an endpoint has room for.
    pub room: PieceCount,
    /// Pieces that any daemon has admitted and that aren't completed yet.
    pub outstanding: PieceCount,
}

impl StageService {
    /// Returns the endpoints that share the load; one at least, since a service that has none at the
    /// moment gets one back sooner or later.
    fn sharing(&self) -> f64 {
        self.endpoints.max(1) as f64
    }

    /// Returns the pieces that a call can hold at full load, for which the room for results counts.
    fn fill(&self) -> f64 {
        let batch = self.batch as f64;
        let call = self.cost.expected(batch).0;
        let by_room = self.room.0 * call / (call + KEPT.0);
        batch.min(by_room).max(1.0)
    }

    /// Returns the pieces that the service completes in a millisecond at full load.
    fn pieces_per_ms(&self) -> f64 {
        let fill = self.fill();
        let call = self.cost.expected(fill).0;
        self.sharing() * fill / call * EFFICIENCY
    }

    /// Returns the time until the first endpoint is free for a piece with nothing ahead of it: calls that
    /// run are not broken off. Endpoints whose calls began at random times become free one after the
    /// other within the time of one call. Without this wait the mean worth of days with trouble fell from
    /// 0.605 to 0.597 (five days, two scores each).
    fn busy_wait(&self) -> WorkMillis {
        let call = self.cost.expected(self.fill()).0;
        let backlog = self.outstanding.0 / self.pieces_per_ms();
        let busy = (backlog / call).min(1.0);
        WorkMillis(busy * call / (self.sharing() + 1.0))
    }

    /// Returns the time of a call that has so many pieces of one request, at the present load.
    fn usual_call(&self, pieces: f64) -> WorkMillis {
        let share = self.outstanding.0 / self.sharing();
        let fill = share.clamp(pieces, self.fill().max(pieces));
        self.cost.expected(fill)
    }
}

/// How many endpoints of a service get calls, by each of those who know something of it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CountSources {
    /// By this daemon's own queue of the service, if it has jobs for it.
    pub own_queue: Option<usize>,
    /// By the reports of other daemons, if any has a queue of the service.
    pub peers: Option<usize>,
    /// By the list of endpoints: those that aren't draining.
    pub listed: usize,
}

impl CountSources {
    /// Returns the count that is believed. A queue with jobs sees which endpoints are slow or passed
    /// over, and this daemon's own is the freshest; next come other daemons' reports of theirs.
    /// Neither may know yet that an endpoint has left, so that the list bounds them.
    pub fn believed(&self) -> usize {
        let reported = self.own_queue.or(self.peers);
        reported.unwrap_or(self.listed).min(self.listed)
    }
}

/// One stage of a request that is to be admitted.
#[derive(Debug, Clone, PartialEq)]
pub struct PlannedStage {
    /// Its service.
    pub service: StageService,
    /// Those of the service's outstanding pieces that go ahead of its own.
    pub ahead: PieceCount,
    /// Its pieces; none if it is left out.
    pub pieces: u32,
    /// Stages before it, by their places.
    pub after: Vec<usize>,
}

/// A request that is to be admitted.
#[derive(Debug, Clone, PartialEq)]
pub struct AdmissionRequest {
    /// Its stages, in order.
    pub stages: Vec<PlannedStage>,
    /// Time within which its answer is worth most.
    pub objective: Millis,
    /// Rank of its route; 0 goes first.
    pub rank: u32,
    /// Tokens of its prompt.
    pub tokens: u32,
    /// Way there and back to the region where it would run, for each stage and for the request itself; none for the
    /// own region.
    pub way: WorkMillis,
}

/// The decision about a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum AdmissionDecision {
    /// Its stages may begin.
    Admit {
        /// Time that it should take.
        expected: WorkMillis,
    },
    /// It is refused.
    Refuse {
        /// Time that it would have taken.
        expected: WorkMillis,
        /// Time after which the caller may come back.
        retry_after: Millis,
    },
}

/// Estimates the time that a request itself takes to its first event.
pub fn own_time(tokens: u32) -> WorkMillis {
    WorkMillis(OWN.0 + f64::from(tokens) / TOKENS_PER_MS)
}

/// Estimates the time to the end of all stages, each of which waits for a way there and back.
pub fn stages_time(stages: &[PlannedStage], way: WorkMillis) -> WorkMillis {
    let mut ends = Vec::with_capacity(stages.len());
    for stage in stages {
        // A checked table names earlier stages only, so that each of them has an end here.
        let before = stage
            .after
            .iter()
            .filter_map(|before| ends.get(*before).copied())
            .fold(0.0, f64::max);
        if stage.pieces == 0 {
            ends.push(before);
            continue;
        }
        let service = &stage.service;
        let queued = service.busy_wait().0 + stage.ahead.0 / service.pieces_per_ms();
        let call = service.usual_call(f64::from(stage.pieces));
        ends.push(queued.max(before) + call.0 + way.0);
    }
    WorkMillis(ends.into_iter().fold(0.0, f64::max))
}

/// Decides whether a request is admitted.
pub fn decide(request: &AdmissionRequest) -> AdmissionDecision {
    let own = own_time(request.tokens).0.min(MOST_OWN.0);
    let expected_ms = stages_time(&request.stages, request.way).0 + request.way.0 + own;
    let expected = WorkMillis(expected_ms);
    let objective = request.objective.0 as f64;
    let allowed = objective * (MARGIN - RANK_MARGIN * f64::from(request.rank));
    if expected_ms <= allowed {
        return AdmissionDecision::Admit { expected };
    }
    AdmissionDecision::Refuse {
        expected,
        retry_after: retry_after::after_admission(expected, WorkMillis(allowed)),
    }
}
