//! Decides whether a request whose stages have to run first is admitted or refused at once.
//!
//! Inputs: for each stage its pieces and the state of its service (`StageService`: endpoints, cost of a call in
//! milliseconds, result capacity, outstanding pieces of all daemons), the number of outstanding pieces that go ahead of
//! the stage's own, the request's objective (milliseconds), the rank of its route, the tokens of its prompt, the time
//! to the first event that the model of a tight service's engines expects (milliseconds), and the round-trip time to
//! the region where it would run (milliseconds).
//!
//! Rule: the outstanding pieces of a service that go ahead (`rules::backlog`), divided by the service's throughput,
//! plus the wait for the first endpoint to become free, give the time at which an endpoint can take a new piece. A stage
//! starts then, or when the stages that it needs have ended if that is later, and takes the time of a call at the
//! present load and one round trip. The request is admitted if the time until all stages have ended, one more round trip
//! and the request's own time, at most `MAX_COUNTED_REQUEST_TIME`, fit into its objective, less `RANK_FRACTION` of the
//! objective for each rank. A request of a tight service counts its time by the model, at most `OWN_TIME_SHARE` of its
//! objective.
//!
//! A request of a tight route is admitted if its expected time, multiplied by the factor of its route
//! ([`calibration`](crate::gateway::rules::calibration)), fits into its objective, whatever its rank: the factor has the
//! route's own error in place of the margin by rank. It is admitted too if it displaces nothing: at each stage's service,
//! even if each outstanding piece occupies an endpoint of its own, the others can take its pieces in one call each.
//!
//! Reason: work that starts and doesn't finish in time displaces work that could have finished. `test_stage_admission`
//! checks the rule.

use crate::{
    gateway::rules::{
        calibration::CorrectionFactor, call_timing::CallCost, prefill_rate::TOKENS_PER_MS,
        retry_after,
    },
    shared::units::{Millis, WorkMillis},
};

/// Time that a request needs besides its stages and its prompt.
const REQUEST_OVERHEAD: WorkMillis = WorkMillis(80.0);

/// Upper bound on the time of a request itself that counts against its admission. A long prompt costs the stages no
/// more than a short one; without the bound, long prompts would be refused for their length alone and never be served.
const MAX_COUNTED_REQUEST_TIME: WorkMillis = WorkMillis(200.0);

/// Largest fraction of the objective that the model's time of a tight request counts for. A prompt whose reading alone
/// takes longer than the objective would otherwise never be served.
const OWN_TIME_SHARE: f64 = 0.5;

/// Fraction of the theoretical throughput of a service that it reaches in practice.
const THROUGHPUT_FRACTION: f64 = 0.85;

/// Time for which an endpoint keeps results after the call that computed them.
const RESULT_RETENTION: WorkMillis = WorkMillis(350.0);

/// Fraction of the objective that the expected time may take at rank 0.
const OBJECTIVE_FRACTION: f64 = 1.0;

/// Fraction of the objective that has to stay free for each rank.
const RANK_FRACTION: f64 = 0.05;

/// A number of pieces or of their results. It may be fractional, since averages are.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd)]
pub struct PieceCount(pub f64);

/// The load and the size of the service of one stage.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct StageService {
    /// Number of endpoints that get calls.
    pub endpoints: usize,
    /// Maximum number of pieces in a call.
    pub batch: usize,
    /// Cost of a call, as a function of its pieces.
    pub cost: CallCost,
    /// Number of results that one endpoint can hold.
    pub result_capacity: PieceCount,
    /// Pieces that any daemon has admitted and that aren't completed yet.
    pub outstanding: PieceCount,
}

impl StageService {
    /// Returns the number of endpoints that share the load. At least 1: a service without endpoints is expected to get
    /// one back.
    fn sharing_endpoints(&self) -> f64 {
        self.endpoints.max(1) as f64
    }

    /// Returns the number of pieces in a call at full load, which the batch size and the result capacity limit.
    fn fill(&self) -> f64 {
        let batch = self.batch as f64;
        let call = self.cost.expected(batch).0;
        let by_capacity = self.result_capacity.0 * call / (call + RESULT_RETENTION.0);
        batch.min(by_capacity).max(1.0)
    }

    /// Returns the number of pieces that the service completes in a millisecond at full load.
    pub fn pieces_per_ms(&self) -> f64 {
        let fill = self.fill();
        let call = self.cost.expected(fill).0;
        self.sharing_endpoints() * fill / call * THROUGHPUT_FRACTION
    }

    /// Returns the time until the first endpoint is free for a piece with nothing ahead of it. Running calls are not
    /// interrupted. Endpoints whose calls began at random times become free one after the other within the time of one
    /// call. Without this wait the estimate is too low, and during failures the value of the answers falls.
    fn free_endpoint_wait(&self) -> WorkMillis {
        let call = self.cost.expected(self.fill()).0;
        let backlog = self.outstanding.0 / self.pieces_per_ms();
        let busy = (backlog / call).min(1.0);
        WorkMillis(busy * call / (self.sharing_endpoints() + 1.0))
    }

    /// Returns the time of a call with `pieces` pieces of one request, at the present load.
    fn expected_call(&self, pieces: f64) -> WorkMillis {
        let share = self.outstanding.0 / self.sharing_endpoints();
        let fill = share.clamp(pieces, self.fill().max(pieces));
        self.cost.expected(fill)
    }

    /// Returns whether a request with `pieces` pieces displaces nothing here. It isn't known which endpoints are
    /// occupied. Pieces that share a call or wait occupy fewer endpoints than assumed, so this never returns true for a
    /// service without free endpoints for them.
    fn has_idle_capacity(&self, pieces: f64) -> bool {
        let free = (self.endpoints as f64 - self.outstanding.0).max(0.0);
        pieces <= free.floor() * self.fill().floor()
    }
}

/// The number of endpoints of a service that get calls, by each source that has a count.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EndpointCounts {
    /// Count of this daemon's own queue of the service; `None` if it has no jobs for the service.
    pub local_queue: Option<usize>,
    /// Count that other daemons reported; `None` if none of them has a queue of the service.
    pub peers: Option<usize>,
    /// Endpoints in the endpoint list that aren't draining.
    pub listed: usize,
}

impl EndpointCounts {
    /// Returns the count to use. A queue with jobs sees which endpoints are slow or excluded for a time; this daemon's
    /// own queue is the most recent, then the queues that other daemons report. Both may still include an endpoint that
    /// has left, so the listed count is an upper bound.
    pub fn usable(&self) -> usize {
        let reported = self.local_queue.or(self.peers);
        reported.unwrap_or(self.listed).min(self.listed)
    }
}

/// One stage of a request that waits for admission.
#[derive(Debug, Clone, PartialEq)]
pub struct PlannedStage {
    /// Load and size of the stage's service.
    pub service: StageService,
    /// Outstanding pieces of the service that go ahead of this stage's pieces.
    pub ahead: PieceCount,
    /// Number of pieces of the stage; 0 if the stage is skipped.
    pub pieces: u32,
    /// Stages that have to end first, as indices into the request's stages.
    pub after: Vec<usize>,
}

/// A request that waits for admission.
#[derive(Debug, Clone, PartialEq)]
pub struct AdmissionRequest {
    /// Stages of the request, in order.
    pub stages: Vec<PlannedStage>,
    /// Target time of the route: an answer within it has the full value.
    pub objective: Millis,
    /// Rank of the route; 0 goes first.
    pub rank: u32,
    /// Tokens of the prompt.
    pub tokens: u32,
    /// Expected time from sending the request to its first event; `None` if its service isn't tight.
    pub own_time: Option<WorkMillis>,
    /// Factor for the expected time if the route is tight; `None` for other routes.
    pub calibration: Option<CorrectionFactor>,
    /// Round-trip time to the region where the request would run, which each stage and the request itself takes once; 0
    /// for the local region.
    pub round_trip: WorkMillis,
}

impl AdmissionRequest {
    /// Returns the expected time, before correction, up to which the request is admitted.
    fn allowed(&self) -> WorkMillis {
        let objective = self.objective.0 as f64;
        let fraction = match self.calibration {
            Some(factor) => OBJECTIVE_FRACTION / factor.0,
            None => OBJECTIVE_FRACTION - RANK_FRACTION * f64::from(self.rank),
        };
        WorkMillis(objective * fraction)
    }

    /// Returns whether all stages of a request of a tight route find idle capacity.
    fn displaces_nothing(&self) -> bool {
        let idle = |stage: &PlannedStage| {
            stage.pieces == 0 || stage.service.has_idle_capacity(f64::from(stage.pieces))
        };
        self.calibration.is_some() && self.stages.iter().all(idle)
    }
}

/// Result of the admission of a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum AdmissionDecision {
    /// The stages of the request may start.
    Admit {
        /// Time that the request should take, before correction.
        expected: WorkMillis,
    },
    /// The request is refused.
    Refuse {
        /// Time that the request would have taken, before correction.
        expected: WorkMillis,
        /// Time that it is allowed, before correction.
        allowed: WorkMillis,
        /// Time after which the caller may retry.
        retry_after: Millis,
    },
}

/// Estimates the time from the end of a request's stages to its first event, with a prompt of `tokens` tokens.
pub fn request_time(tokens: u32) -> WorkMillis {
    WorkMillis(REQUEST_OVERHEAD.0 + f64::from(tokens) / TOKENS_PER_MS)
}

/// Estimates the time until all stages have ended, where each stage takes the time `round_trip` in addition.
pub fn stages_time(stages: &[PlannedStage], round_trip: WorkMillis) -> WorkMillis {
    let mut ends = Vec::with_capacity(stages.len());
    for stage in stages {
        // A validated table refers to earlier stages only, so each of them has an end time here.
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
        let queued = service.free_endpoint_wait().0 + stage.ahead.0 / service.pieces_per_ms();
        let call = service.expected_call(f64::from(stage.pieces));
        ends.push(queued.max(before) + call.0 + round_trip.0);
    }
    WorkMillis(ends.into_iter().fold(0.0, f64::max))
}

/// Returns the part of the request's own time that counts against its admission.
fn counted_time(request: &AdmissionRequest) -> WorkMillis {
    let (own, bound) = match request.own_time {
        Some(own) => (own, OWN_TIME_SHARE * request.objective.0 as f64),
        None => (request_time(request.tokens), MAX_COUNTED_REQUEST_TIME.0),
    };
    WorkMillis(own.0.min(bound))
}

/// Decides whether a request is admitted.
pub fn decide(request: &AdmissionRequest) -> AdmissionDecision {
    let counted = counted_time(request).0;
    let expected_ms =
        stages_time(&request.stages, request.round_trip).0 + request.round_trip.0 + counted;
    let expected = WorkMillis(expected_ms);
    let allowed = request.allowed();
    if expected_ms <= allowed.0 || request.displaces_nothing() {
        return AdmissionDecision::Admit { expected };
    }
    AdmissionDecision::Refuse {
        expected,
        allowed,
        retry_after: retry_after::after_admission(expected, allowed),
    }
}
