//! The decisions of one daemon: a pure state machine without clock, socket or task.

use {
    crate::{
        core_state::{Costs, Counters, Fleet, Timer, Timers},
        endpoint::{AttemptEnd, Call, FailCause, LoadReport, NotRunCause, Reply},
        ids::{AttemptId, CallIds, CustomerId, DataCentreId, EndpointId, RequestId, ServiceId},
        limit::CustomerUse,
        policy::{AnyPolicy, Policy},
        problem::{Code, Outcome, Problem},
        request::{Answer, Arrival, Attempt, Request, Target},
        settings::{Guard, Settings},
        tree::{Customer, Pipeline, ServiceKind, Tree},
        units::{Millis, Time, WorkMillis},
    },
    bytes::Bytes,
    foldhash::HashMap,
    rand::{RngExt, SeedableRng, rngs::SmallRng},
    std::sync::Arc,
};

/// Endpoints looked at to estimate a stage that isn't sent yet.
const ESTIMATE_SAMPLE: usize = 4;

/// What a daemon knows of itself.
#[derive(Debug, Clone)]
pub struct CoreConfig {
    /// Data centre it stands in.
    pub data_centre: DataCentreId,
    /// Cost of a call into another data centre.
    pub hop: Millis,
    /// Seed of its random choices.
    pub seed: u64,
}

/// What happens to a daemon.
#[derive(Debug, Clone)]
pub enum Event {
    /// A caller's request came in.
    Arrived(Arrival),
    /// A token of a stream came in.
    Token {
        /// Attempt it belongs to.
        attempt: AttemptId,
        /// Its position in the whole generation.
        index: u32,
        /// Its text.
        text: String,
    },
    /// An attempt ended.
    Ended {
        /// The attempt.
        attempt: AttemptId,
        /// How it ended.
        end: AttemptEnd,
    },
    /// A caller left before its answer.
    Left(RequestId),
    /// An endpoint's load report came in.
    Load {
        /// The endpoint.
        endpoint: EndpointId,
        /// What it reports.
        report: LoadReport,
    },
    /// A checked tree came in.
    Adopt(Arc<Tree>),
    /// A timer is due.
    Tick,
}

/// What a daemon has to do.
#[derive(Debug, Clone)]
pub enum Action {
    /// Send a call.
    Send(Box<Call>),
    /// Stop an attempt; its end is no longer of interest.
    Cancel(AttemptId),
    /// Pass a token on to the caller.
    Token {
        /// Request it belongs to.
        request: RequestId,
        /// Its position.
        index: u32,
        /// Its text.
        text: String,
    },
    /// Give the caller its final answer.
    Finish {
        /// The request.
        request: RequestId,
        /// The answer, or why there is none.
        result: Result<Answer, Problem>,
    },
}

/// The decisions of one daemon.
#[derive(Debug)]
pub struct Core {
    config: CoreConfig,
    tree: Arc<Tree>,
    fleet: Fleet,
    requests: HashMap<RequestId, Request>,
    attempts: HashMap<AttemptId, RequestId>,
    customers: HashMap<CustomerId, CustomerUse>,
    services: HashMap<ServiceId, Arc<Pipeline>>,
    timers: Timers,
    last_attempt: u64,
    rng: SmallRng,
    costs: Costs,
    counters: Counters,
    actions: Vec<Action>,
}

impl Core {
    /// Starts without a tree: every request is refused until one is adopted.
    pub fn new(config: CoreConfig) -> Self {
        let rng = SmallRng::seed_from_u64(config.seed);
        Self {
            config,
            tree: Arc::default(),
            fleet: Fleet::default(),
            requests: HashMap::default(),
            attempts: HashMap::default(),
            customers: HashMap::default(),
            services: HashMap::default(),
            timers: Timers::default(),
            last_attempt: 0,
            rng,
            costs: Costs::default(),
            counters: Counters::default(),
            actions: Vec::new(),
        }
    }

    /// Takes in one event and returns what has to be done about it, in order.
    pub fn step(&mut self, now: Time, event: Event) -> Vec<Action> {
        match event {
            Event::Arrived(arrival) => self.arrive(now, arrival),
            Event::Token {
                attempt,
                index,
                text,
            } => self.token(now, attempt, index, text),
            Event::Ended { attempt, end } => self.ended(now, attempt, end),
            Event::Left(request) => self.left(now, request),
            Event::Load { endpoint, report } => self.fleet.load(now, &endpoint, report),
            Event::Adopt(tree) => self.adopt(tree),
            Event::Tick => self.tick(now),
        }
        std::mem::take(&mut self.actions)
    }

    /// Returns when the next timer is due.
    pub fn next_timer(&self) -> Option<Time> {
        self.timers.next()
    }

    /// Returns the tree in force.
    pub fn tree(&self) -> &Arc<Tree> {
        &self.tree
    }

    /// Returns the endpoints as this daemon sees them.
    pub fn fleet(&self) -> &Fleet {
        &self.fleet
    }

    /// Returns the endpoint time spent by pipeline and stage.
    pub fn costs(&self) -> &Costs {
        &self.costs
    }

    /// Returns counts of what happened.
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// Returns the number of requests without a final answer.
    pub fn in_flight(&self) -> usize {
        self.requests.len()
    }

    fn adopt(&mut self, tree: Arc<Tree>) {
        if tree.version <= self.tree.version {
            return;
        }
        crate::invariant!(
            tree.version > self.tree.version,
            "settings would fall from {} to {}",
            self.tree.version,
            tree.version
        );
        self.fleet.adopt(&tree, &self.config.data_centre);
        self.services = tree
            .services
            .values()
            .map(|service| (service.id.clone(), Arc::new(Tree::service_call(service))))
            .collect();
        self.customers
            .retain(|id, used| tree.customers.contains_key(id) || !used.is_idle());
        self.tree = tree;
    }

    fn arrive(&mut self, now: Time, arrival: Arrival) {
        let id = arrival.id;
        crate::invariant!(
            !self.requests.contains_key(&id),
            "request {id} arrived twice"
        );
        match self.admit(now, arrival) {
            Ok(request) => {
                self.timers.add(request.deadline, Timer::Deadline(id));
                self.requests.insert(id, request);
                self.send_next(now, id, false);
            }
            Err(problem) => self.finish_unstarted(id, problem),
        }
    }

    fn finish_unstarted(&mut self, request: RequestId, problem: Problem) {
        crate::invariant!(
            problem.outcome == Outcome::NotRun,
            "request {request} was refused as {}",
            problem.outcome
        );
        self.counters.refused(problem.code);
        self.actions.push(Action::Finish {
            request,
            result: Err(problem),
        });
    }

    fn admit(&mut self, now: Time, arrival: Arrival) -> Result<Request, Problem> {
        let tree = self.tree.clone();
        let customer = find_customer(&tree, &arrival)?;
        let (pipeline, settings) = self.find_target(&tree, customer, &arrival)?;
        check_arrival(&arrival, &pipeline, &settings)?;
        self.check_stream(&arrival, &pipeline)?;
        let request = Request::new(arrival, pipeline, &settings, now);
        self.check_time(now, &request)?;
        let used = self.customers.entry(request.customer.clone()).or_default();
        if let Err(wait) = used.enter(now, &customer.settings) {
            let detail = format!("customer {} is over its limit", customer.id);
            return Err(Problem::not_run(Code::OverLimit, detail).retry_after(wait));
        }
        Ok(request)
    }

    fn find_target(
        &self,
        tree: &Tree,
        customer: &Customer,
        arrival: &Arrival,
    ) -> Result<(Arc<Pipeline>, Arc<Settings>), Problem> {
        match &arrival.target {
            Target::Pipeline(id) => match tree.pipelines.get(id) {
                Some(pipeline) => Ok((pipeline.clone(), tree.request_settings(customer, pipeline))),
                None => Err(Problem::not_run(
                    Code::UnknownPipeline,
                    format!("no pipeline is named {id}"),
                )),
            },
            Target::Service(id) => match self.services.get(id) {
                Some(pipeline) => Ok((pipeline.clone(), pipeline.settings.clone())),
                None => Err(Problem::not_run(
                    Code::UnknownService,
                    format!("no service is named {id}"),
                )),
            },
        }
    }

    /// Only a generation comes token by token.
    fn check_stream(&self, arrival: &Arrival, pipeline: &Pipeline) -> Result<(), Problem> {
        let last = pipeline.stages.last().map(|stage| &stage.service);
        let kind = last.and_then(|service| self.fleet.kind(service));
        if arrival.stream && !matches!(kind, Some(ServiceKind::Engine { .. })) {
            let detail = format!("{} doesn't end in a generation", pipeline.id);
            return Err(Problem::not_run(Code::BadRequest, detail));
        }
        Ok(())
    }

    /// Refuses a request at once that can't meet its deadline, by the estimate.
    fn check_time(&self, now: Time, request: &Request) -> Result<(), Problem> {
        let expected = self.expected_rest(now, request);
        let stage = request.current();
        let policy = self.policy(&stage.settings);
        let remaining = request.remaining(now);
        if policy.admits(remaining, expected, request.priority) {
            return Ok(());
        }
        let wait = match self.fleet.pool(&stage.service) {
            Some(pool) => pool.retry_after(now),
            None => Millis(1_000),
        };
        let detail = format!("about {expected} needed, {remaining} left");
        Err(Problem::not_run(Code::NoTime, detail).retry_after(wait))
    }

    /// Estimates the time that the current and all later stages take.
    fn expected_rest(&self, now: Time, request: &Request) -> WorkMillis {
        let stages = &request.pipeline.stages[request.stage..];
        let expected = stages.iter().map(|stage| {
            let floor = stage.settings.floor.value.0 as f64;
            match self.fleet.pool(&stage.service) {
                Some(pool) => pool
                    .best_finish(now, pool.usual_work(), ESTIMATE_SAMPLE)
                    .map_or(floor, |finish| finish.0.max(floor)),
                None => floor,
            }
        });
        WorkMillis(expected.sum())
    }

    fn policy(&self, settings: &Settings) -> AnyPolicy {
        AnyPolicy::new(settings.policy.value, self.config.hop)
    }

    /// Sends the current stage to an endpoint, or ends the request if none can take it.
    fn send_next(&mut self, now: Time, id: RequestId, hedge: bool) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let stage = request.current().clone();
        let policy = AnyPolicy::new(stage.settings.policy.value, self.config.hop);
        let Some(pool) = self.fleet.pool_mut(&stage.service) else {
            return self.fail(now, id, Code::NoEndpoint, "the service is gone".into());
        };
        let max_tokens = stage.settings.max_tokens.value.0;
        let units = pool.units(request.input.len(), max_tokens);
        let work = pool.work(units);
        let tried = &request.tried;
        let Some(chosen) = policy.choose(now, pool, work, tried, &mut self.rng) else {
            if !hedge {
                let detail = format!("no endpoint of {} can take the call", stage.service);
                self.fail(now, id, Code::NoEndpoint, detail);
            }
            return;
        };
        let extra = request.tries > 0;
        if !extra {
            policy.first_attempt(pool, stage.settings.retry_budget.value);
        }
        let kind = pool.service.kind.clone();
        let member = &mut pool.members[chosen];
        if hedge && tried.contains(&member.serial) {
            return;
        }
        member.load.sent(now, work);
        self.last_attempt += 1;
        let attempt = Attempt {
            id: AttemptId(self.last_attempt),
            endpoint: member.spec.id.clone(),
            serial: member.serial,
            sent: now,
            work,
            units,
            extra,
        };
        let call = Call {
            ids: CallIds {
                request: id,
                stage: stage.id.clone(),
                attempt: attempt.id,
            },
            endpoint: member.spec.id.clone(),
            address: member.spec.address,
            kind,
            input: request.input.clone(),
            remaining: request.remaining(now),
            priority: request.priority,
            key: request.key.clone(),
            max_reply: stage.settings.max_reply.value,
            max_tokens,
            resume: request.generated.clone(),
            trace_parent: request.trace_parent.clone(),
        };
        self.counters.sent(extra);
        self.attempts.insert(attempt.id, id);
        if let Some(wait) = stage.settings.hedge_after.value.0
            && stage.settings.repeatable.value
            && !hedge
        {
            self.timers.add(now + wait, Timer::Hedge(attempt.id));
        }
        request.add_attempt(attempt);
        self.actions.push(Action::Send(Box::new(call)));
    }

    fn token(&mut self, now: Time, attempt: AttemptId, index: u32, text: String) {
        let Some(request) = self
            .attempts
            .get(&attempt)
            .and_then(|id| self.requests.get_mut(id))
        else {
            return;
        };
        let next = request.generated.tokens;
        if index < next {
            return;
        }
        if index > next {
            let end = AttemptEnd::Failed(FailCause::Garbage);
            self.actions.push(Action::Cancel(attempt));
            return self.ended(now, attempt, end);
        }
        request.generated.tokens += 1;
        request.generated.text.push_str(&text);
        if request.stream && request.is_last() && !request.abandoned {
            self.actions.push(Action::Token {
                request: request.id,
                index,
                text,
            });
        }
    }

    fn ended(&mut self, now: Time, id: AttemptId, end: AttemptEnd) {
        let Some(request_id) = self.attempts.remove(&id) else {
            return;
        };
        let Some(request) = self.requests.get_mut(&request_id) else {
            return;
        };
        let Some(attempt) = request.remove_attempt(id) else {
            return;
        };
        let stage = request.current().clone();
        let service = stage.service;
        let served = match &end {
            AttemptEnd::Answered(reply) => reply.served,
            AttemptEnd::StreamEnded { served, .. } => *served,
            AttemptEnd::NotRun(_) => Some(WorkMillis(0.0)),
            AttemptEnd::Failed(_) => None,
        };
        let took = WorkMillis(now.millis_since(attempt.sent));
        let served = served.filter(|s| (0.0..=took.0).contains(&s.0));
        let won = matches!(
            end,
            AttemptEnd::Answered(_) | AttemptEnd::StreamEnded { .. }
        );
        let account = if won {
            &mut request.spent
        } else {
            &mut request.wasted
        };
        account[request.stage].0 += served.unwrap_or(took).0;
        let ejects = self.policy(&stage.settings).ejects();
        self.fleet.ended(
            now,
            &service,
            &attempt,
            &end,
            served,
            ejects,
            &mut self.counters,
        );
        match end {
            AttemptEnd::Answered(reply) => self.answered(now, request_id, reply),
            AttemptEnd::StreamEnded { tokens, .. } => self.stream_ended(now, request_id, tokens),
            AttemptEnd::NotRun(cause) => self.not_run(now, request_id, cause),
            AttemptEnd::Failed(cause) => self.failed(now, request_id, cause),
        }
    }

    fn answered(&mut self, now: Time, id: RequestId, reply: Reply) {
        let request = &self.requests[&id];
        let rejected = reply.status >= 400;
        if rejected && !request.plain {
            let stage = &request.current().id;
            let detail = format!("stage {stage} was rejected with status {}", reply.status);
            return self.fail(now, id, Code::StageRejected, detail);
        }
        self.stage_done(now, id, reply.status, reply.body);
    }

    fn stream_ended(&mut self, now: Time, id: RequestId, tokens: u32) {
        let request = &self.requests[&id];
        if tokens != request.generated.tokens {
            return self.failed(now, id, FailCause::Broken);
        }
        let body = generated_body(&request.generated.text, tokens);
        self.stage_done(now, id, 200, body);
    }

    fn stage_done(&mut self, now: Time, id: RequestId, status: u16, body: Bytes) {
        self.cancel_attempts(now, id);
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        if request.is_last() {
            let tokens = request.generated.tokens;
            let answer = Answer {
                status,
                body,
                tokens,
            };
            return self.finish(now, id, Ok(answer));
        }
        if request.abandoned {
            let detail = "the caller left".to_owned();
            return self.fail(now, id, Code::DeadlineExceeded, detail);
        }
        request.advance(body);
        let request = &self.requests[&id];
        match self.check_time(now, request) {
            Ok(()) => self.send_next(now, id, false),
            Err(late) => self.fail(now, id, late.code, late.detail),
        }
    }

    fn not_run(&mut self, now: Time, id: RequestId, cause: NotRunCause) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        request.clear_exposure();
        let attempts = request.current().settings.attempts.value.0;
        // Nothing ran, so even a call that may not be repeated may go to another endpoint.
        if request.live.is_empty() && request.tries < attempts && !request.abandoned {
            return self.send_next(now, id, false);
        }
        if request.live.is_empty() {
            let service = request.current().service.clone();
            let detail = format!("{service}: the last endpoint tried was {cause}");
            self.fail(now, id, Code::NoEndpoint, detail);
        }
    }

    fn failed(&mut self, now: Time, id: RequestId, cause: FailCause) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        if !request.live.is_empty() {
            return;
        }
        let stage = request.current().clone();
        let allowed = stage.settings.repeatable.value
            && request.tries < stage.settings.attempts.value.0
            && !request.abandoned;
        let policy = self.policy(&stage.settings);
        let granted = allowed
            && self
                .fleet
                .pool_mut(&stage.service)
                .is_some_and(|pool| policy.grants_retry(pool));
        if granted {
            return self.send_next(now, id, false);
        }
        let detail = format!("stage {}: {cause}", stage.id);
        self.fail(now, id, Code::StageFailed, detail);
    }

    fn left(&mut self, now: Time, id: RequestId) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        request.abandoned = true;
        let guarded = !request.current().settings.repeatable.value;
        if guarded && !request.live.is_empty() {
            // The call may not be sent again, so it is left to end; only its caller is gone.
            return;
        }
        self.fail(now, id, Code::DeadlineExceeded, "the caller left".into());
    }

    fn tick(&mut self, now: Time) {
        while let Some(timer) = self.timers.pop(now) {
            match timer {
                Timer::Deadline(id) => self.deadline(now, id),
                Timer::Hedge(attempt) => self.hedge(now, attempt),
            }
        }
    }

    fn deadline(&mut self, now: Time, id: RequestId) {
        if self.requests.contains_key(&id) {
            let detail = "the request's time is over".to_owned();
            self.fail(now, id, Code::DeadlineExceeded, detail);
        }
    }

    fn hedge(&mut self, now: Time, attempt: AttemptId) {
        let Some(id) = self.attempts.get(&attempt).copied() else {
            return;
        };
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let stage = request.current().clone();
        let streaming = request.generated.tokens > 0;
        if streaming || request.tries >= stage.settings.attempts.value.0 {
            return;
        }
        let policy = self.policy(&stage.settings);
        let engine = matches!(
            self.fleet.kind(&stage.service),
            Some(ServiceKind::Engine { .. })
        );
        let granted = !engine
            && self
                .fleet
                .pool_mut(&stage.service)
                .is_some_and(|pool| policy.grants_retry(pool));
        if granted {
            self.send_next(now, id, true);
        }
    }

    /// Ends a request without an answer; the outcome follows from its attempts.
    fn fail(&mut self, now: Time, id: RequestId, code: Code, detail: String) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let wait = self
            .fleet
            .pool(&request.current().service)
            .map(|pool| pool.retry_after(now));
        let problem = request.problem(code, detail, wait);
        self.finish(now, id, Err(problem));
    }

    fn finish(&mut self, now: Time, id: RequestId, result: Result<Answer, Problem>) {
        self.cancel_attempts(now, id);
        let Some(request) = self.requests.remove(&id) else {
            return;
        };
        if let Some(used) = self.customers.get_mut(&request.customer) {
            used.leave();
        }
        let useful = result.is_ok() && now <= request.deadline && !request.abandoned;
        self.costs.add(&request, useful);
        match &result {
            Ok(_) => self.counters.answered(useful),
            Err(problem) => self.counters.failed(problem),
        }
        if !request.abandoned {
            self.actions.push(Action::Finish {
                request: id,
                result,
            });
        }
    }

    /// Cancels what is still in flight for a request: its losers, or all when it ends.
    fn cancel_attempts(&mut self, now: Time, id: RequestId) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let service = request.current().service.clone();
        for attempt in std::mem::take(&mut request.live) {
            let spent = WorkMillis(now.millis_since(attempt.sent));
            request.wasted[request.stage].0 += spent.0;
            self.attempts.remove(&attempt.id);
            self.fleet.cancelled(&service, &attempt);
            self.actions.push(Action::Cancel(attempt.id));
        }
    }

    /// Returns fresh random bits, for ids.
    pub fn random_bits(&mut self) -> u128 {
        self.rng.random()
    }
}

fn find_customer<'t>(tree: &'t Tree, arrival: &Arrival) -> Result<&'t Customer, Problem> {
    match tree.customers.get(&arrival.customer) {
        Some(customer) => Ok(customer),
        None => Err(Problem::not_run(
            Code::UnknownCustomer,
            format!("no customer is named {}", arrival.customer),
        )),
    }
}

fn check_arrival(
    arrival: &Arrival,
    pipeline: &Pipeline,
    settings: &Settings,
) -> Result<(), Problem> {
    let limit = settings.max_body.value;
    if arrival.body.len() as u64 > limit.0 {
        let detail = format!(
            "the body has {} bytes, {limit} are allowed",
            arrival.body.len()
        );
        return Err(Problem::not_run(Code::BodyTooLarge, detail));
    }
    for stage in &pipeline.stages {
        match stage.settings.guard.value {
            Guard::None => {}
            Guard::Endpoint if arrival.key.is_some() => {}
            Guard::Endpoint => {
                let detail = format!("stage {} needs an Idempotency-Key", stage.id);
                return Err(Problem::not_run(Code::KeyMissing, detail));
            }
            Guard::Fleet => {
                // TODO: claims among daemons aren't built yet, and without them a repeat through
                // another host could run twice; refusing is the only answer that keeps the promise.
                let detail = format!("stage {} has guard \"fleet\"", stage.id);
                return Err(Problem::not_run(Code::GuardUnavailable, detail));
            }
        }
    }
    Ok(())
}

/// Builds the JSON value that a generation amounts to.
pub fn generated_body(text: &str, tokens: u32) -> Bytes {
    let value = serde_json::json!({ "text": text, "tokens": tokens });
    Bytes::from(value.to_string())
}
