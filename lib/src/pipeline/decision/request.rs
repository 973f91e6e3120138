//! The state of one request: its stage, its attempts, and the outcome that may be reported for it.
//!
//! A [`Request`] holds what the core knows of one request between its arrival and its final answer. Whether the outcome
//! `not_run` may be reported depends on its field `possible_runs`: the number of attempts, at any stage, that may have
//! run.

use {
    crate::{
        pipeline::decision::{
            call_costs::CallSize,
            endpoint::{AttemptEnd, Resume},
            retry::StageProgress,
        },
        settings::{
            tree::{Pipeline, Stage},
            values::{Priority, Settings},
        },
        shared::{
            ids::{
                AttemptId, CustomerId, EndpointId, IdempotencyKey, MemberSerial, PipelineId,
                RequestId, ServiceId,
            },
            problem::{Code, Outcome, Problem},
            units::{Millis, Time, WorkMillis},
        },
    },
    bytes::Bytes,
    std::sync::Arc,
};

/// A request as it arrives from a caller, with its syntax already checked.
#[derive(Debug, Clone)]
pub struct Arrival {
    /// Id that the daemon gave the request.
    pub id: RequestId,
    /// Customer that the caller names.
    pub customer: CustomerId,
    /// Pipeline or service that is requested.
    pub target: Target,
    /// Time that the caller allows, from the arrival on. The settings' deadline applies if it is shorter or if this is
    /// absent.
    pub remaining: Option<Millis>,
    /// Priority that the caller requests, which can only lower that of the settings.
    pub priority: Option<Priority>,
    /// Idempotency key, with which the caller may send the request again.
    pub key: Option<IdempotencyKey>,
    /// Set if tokens are delivered as they arrive.
    pub stream: bool,
    /// Input of the first stage: a JSON value.
    pub body: Bytes,
    /// Trace context (`traceparent`) for the calls of endpoints, if the request is traced.
    pub trace_parent: Option<String>,
}

/// Pipeline or service that a request asks for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Target {
    /// Run a pipeline.
    Pipeline(PipelineId),
    /// Call a service directly.
    Service(ServiceId),
}

/// The complete answer to a request.
#[derive(Debug, Clone, PartialEq)]
pub struct Answer {
    /// HTTP status of the answer.
    pub status: u16,
    /// Body of the answer: a JSON value.
    pub body: Bytes,
    /// Number of tokens that the last stage generated; 0 if it doesn't generate.
    pub tokens: u32,
}

/// One attempt in flight.
#[derive(Debug, Clone)]
pub struct Attempt {
    /// Id of the attempt.
    pub id: AttemptId,
    /// Endpoint that the attempt was sent to.
    pub endpoint: EndpointId,
    /// Serial of the endpoint in its pool when the attempt was sent.
    pub serial: MemberSerial,
    /// Time at which the attempt was sent.
    pub sent: Time,
    /// Expected time to the end of the call when it was sent, without the correction by observed times.
    pub expected: WorkMillis,
    /// Size of the call.
    pub size: CallSize,
}

impl Attempt {
    /// Returns the endpoint time of an attempt that ends at `now`.
    ///
    /// The time that the endpoint reports is used if it is within the time that the attempt took. Otherwise, or if the
    /// endpoint reports none, the whole time counts.
    pub fn spent(&self, now: Time, end: &AttemptEnd) -> WorkMillis {
        let took = WorkMillis(now.millis_since(self.sent));
        let served = end.served();
        served
            .filter(|served| (0.0..=took.0).contains(&served.0))
            .unwrap_or(took)
    }
}

/// An attempt with its end, from which a pool learns.
#[derive(Debug, Clone, Copy)]
pub struct EndedAttempt<'a> {
    /// The attempt.
    pub attempt: &'a Attempt,
    /// How the attempt ended.
    pub end: &'a AttemptEnd,
    /// Endpoint time that the attempt took.
    pub spent: WorkMillis,
    /// Set if endpoints that fail are ejected.
    pub may_eject: bool,
}

/// One request between arrival and its final answer.
#[derive(Debug, Clone)]
pub struct Request {
    /// Id of the request.
    pub id: RequestId,
    /// Customer that the request belongs to.
    pub customer: CustomerId,
    /// Pipeline that the request runs; for a direct call of a service, one with a single stage.
    pub pipeline: Arc<Pipeline>,
    /// Set for a direct call of a service, whose reply is passed on unchanged, a rejection included.
    pub direct_call: bool,
    /// Time by which the request must be answered.
    pub deadline: Time,
    /// Priority of the request in the admission and at the endpoints.
    pub priority: Priority,
    /// Idempotency key, if the caller gave one.
    pub key: Option<IdempotencyKey>,
    /// Set if tokens are delivered as they arrive.
    pub stream: bool,
    /// Index of the current stage.
    pub stage: usize,
    /// Input of the current stage: a JSON value.
    pub input: Bytes,
    /// Number of attempts sent at the current stage.
    pub attempts_sent: u32,
    /// Serials of the endpoints tried at the current stage.
    pub tried: Vec<MemberSerial>,
    /// Attempts of the current stage that are in flight.
    pub in_flight: Vec<Attempt>,
    /// Number of attempts that may have run, at any stage.
    pub possible_runs: u32,
    /// Tokens that the current stage has generated.
    pub generated: Resume,
    /// Endpoint time of each stage's winning attempt.
    pub spent: Vec<WorkMillis>,
    /// Endpoint time of each stage's failed, cancelled and lost attempts.
    pub wasted: Vec<WorkMillis>,
    /// Trace context (`traceparent`) for the calls of endpoints, if the request is traced.
    pub trace_parent: Option<String>,
    /// Set once the caller has left.
    pub abandoned: bool,
}

impl Request {
    /// Creates a request at its first stage. The caller can only shorten the settings' deadline and lower their
    /// priority.
    pub fn new(arrival: Arrival, pipeline: Arc<Pipeline>, settings: &Settings, now: Time) -> Self {
        let limit = settings.deadline.value;
        let remaining = arrival
            .remaining
            .map_or(limit, |requested| requested.min(limit));
        let highest = settings.priority.value;
        let stages = pipeline.stages.len();
        Self {
            id: arrival.id,
            customer: arrival.customer,
            direct_call: matches!(arrival.target, Target::Service(_)),
            deadline: now + remaining,
            priority: arrival
                .priority
                .map_or(highest, |requested| requested.min(highest)),
            key: arrival.key,
            stream: arrival.stream,
            stage: 0,
            input: arrival.body,
            attempts_sent: 0,
            tried: Vec::new(),
            in_flight: Vec::new(),
            possible_runs: 0,
            generated: Resume::default(),
            spent: vec![WorkMillis::default(); stages],
            wasted: vec![WorkMillis::default(); stages],
            trace_parent: arrival.trace_parent,
            abandoned: false,
            pipeline,
        }
    }

    /// Returns the current stage.
    pub fn current(&self) -> &Stage {
        &self.pipeline.stages[self.stage]
    }

    /// Returns whether the current stage is the last.
    pub fn is_last(&self) -> bool {
        self.stage + 1 == self.pipeline.stages.len()
    }

    /// Returns the time left until the deadline, rounded down to whole milliseconds.
    pub fn remaining(&self, now: Time) -> Millis {
        Millis(self.deadline.since(now).as_millis() as u64)
    }

    /// Returns the state of the current stage, as far as retries depend on it.
    pub fn progress(&self) -> StageProgress {
        let settings = &self.current().settings;
        StageProgress {
            attempts_sent: self.attempts_sent,
            in_flight: self.in_flight.len(),
            max_attempts: settings.attempts.value,
            repeatable: settings.repeatable.value,
            tokens: self.generated.tokens,
            abandoned: self.abandoned,
        }
    }

    /// Records an attempt that is about to be sent.
    ///
    /// # Panics
    ///
    /// Panics if another attempt is in flight at a stage that must not run twice. `test_core_random.rs` checks this
    /// invariant and those of the functions below.
    pub fn add_attempt(&mut self, attempt: Attempt) {
        let stage = self.current();
        let guarded = !stage.settings.repeatable.value;
        crate::invariant!(
            !guarded || self.in_flight.is_empty(),
            "request {} sends stage {} again while an attempt that must not be repeated is in flight",
            self.id,
            stage.id
        );
        self.attempts_sent += 1;
        self.possible_runs += 1;
        self.tried.push(attempt.serial);
        self.in_flight.push(attempt);
    }

    /// Adds the endpoint time of the current stage's winning attempt.
    pub fn add_spent(&mut self, spent: WorkMillis) {
        self.spent[self.stage].0 += spent.0;
    }

    /// Adds the endpoint time of a failed, cancelled or lost attempt at the current stage.
    pub fn add_wasted(&mut self, spent: WorkMillis) {
        self.wasted[self.stage].0 += spent.0;
    }

    /// Removes an attempt that ended and returns it; `None` if it isn't in flight.
    pub fn remove_attempt(&mut self, id: AttemptId) -> Option<Attempt> {
        let i = self.in_flight.iter().position(|attempt| attempt.id == id)?;
        Some(self.in_flight.swap_remove(i))
    }

    /// Records that an attempt certainly did not run.
    pub fn record_not_run(&mut self) {
        crate::invariant!(
            self.possible_runs > 0,
            "request {} marks more attempts as not run than it sent",
            self.id
        );
        self.possible_runs -= 1;
    }

    /// Advances to the next stage, whose input is the current stage's output.
    pub fn advance(&mut self, output: Bytes) {
        crate::invariant!(
            !self.is_last(),
            "request {} advances beyond its last stage",
            self.id
        );
        self.stage += 1;
        self.input = output;
        self.attempts_sent = 0;
        self.tried.clear();
        self.generated = Resume::default();
    }

    /// Builds the problem that ends this request, with the outcome that its attempts allow.
    pub fn problem(&self, code: Code, detail: String, retry_after: Option<Millis>) -> Problem {
        Problem {
            code,
            outcome: if self.possible_runs == 0 {
                Outcome::NotRun
            } else {
                Outcome::Unknown
            },
            detail,
            retry_after,
        }
    }
}
