//! The life of one request: route, customer, stages, then attempts until there is an answer.

use {
    crate::{
        gateway::{
            admission::Verdict,
            dialect::{Dialect, Inbound, Outbound},
            egress::{self, ConnectionGuard, SendError},
            fleet::{Choice, Demand, Ending, weighted},
            headers::strip_connection_headers,
            metrics::Repeat,
            reply::{ReplyBody, problem_reply},
            reply_stream::{self, StreamSource},
            stage_chain::{self, ChainError, ChainRequest, Results},
            state::{Gateway, Published},
            table::{CustomerEntry, Route, RouteKind},
            workload,
        },
        ids::{EndpointId, ServiceId},
        problem::{Code, Outcome, Problem},
        units::{Millis, Time},
    },
    bytes::Bytes,
    http::{HeaderMap, Request, Response, StatusCode, Uri, header, request::Parts, response},
    http_body_util::{BodyExt, Full, LengthLimitError, Limited},
    hyper::body::Incoming,
    std::{rc::Rc, sync::Arc, time::Duration},
};

/// Longest time to connect to an endpoint.
pub(crate) const CONNECT_LIMIT: Duration = Duration::from_millis(250);

/// Endpoints that one request may fail to connect to.
const CONNECT_TRIES: usize = 4;

/// Time kept back of a request's time, for the answer's way.
const MARGIN: Millis = Millis(15);

/// Longest wait that is suggested to a caller, and the shortest.
const LONGEST_RETRY: Millis = Millis(3_000);
const SHORTEST_RETRY: Millis = Millis(100);

/// Largest reply that is gathered before it is passed on.
const GATHERED: usize = 1 << 20;

/// Waiting time for a repeatable call, in multiples of its usual time, and its least.
const PATIENCE_FACTOR: f64 = 8.0;
const LEAST_PATIENCE: Duration = Duration::from_millis(120);

/// Waiting time for the head of a stream that can be resumed.
const STREAM_PATIENCE: Duration = Duration::from_millis(2_500);

/// Time that callers of a stream wait for its first event: the longest of these.
const LEAST_WAIT: Millis = Millis(2_000);
const WAIT_OBJECTIVES: u64 = 4;
const WAIT_GAPS: u64 = 8;

/// Time that is expected of a caller that names none.
const DEFAULT_TIME: Millis = Millis(30_000);

/// One request, as far as it doesn't change.
pub(crate) struct Call {
    pub(crate) inbound: Inbound,
    pub(crate) route: Arc<Route>,
    pub(crate) customer: Option<Arc<CustomerEntry>>,
    pub(crate) service: ServiceId,
    pub(crate) head: Parts,
    pub(crate) body: Bytes,
    pub(crate) arrived: Time,
    pub(crate) deadline: Time,
    pub(crate) urgency: u32,
}

impl Call {
    pub(crate) fn id(&self) -> &str {
        &self.inbound.id
    }

    /// Returns when a caller of a stream gives up before its first event.
    fn give_up(&self) -> Time {
        let RouteKind::Stream { gap, .. } = self.route.kind else {
            return self.deadline;
        };
        let longest = LEAST_WAIT
            .0
            .max(self.route.objective.0 * WAIT_OBJECTIVES)
            .max(gap.0 * WAIT_GAPS);
        self.arrived + Millis(longest)
    }

    pub(crate) fn remaining(&self, now: Time) -> Millis {
        Millis(self.deadline.since(now).as_millis() as u64)
    }
}

/// Counts a request in flight at an endpoint until it is told how that ended.
pub(crate) struct Ticket<D: Dialect> {
    gateway: Rc<Gateway<D>>,
    pub(crate) choice: Choice,
    sent: Time,
    prefill: bool,
    ended: bool,
}

impl<D: Dialect> Ticket<D> {
    pub(crate) fn new(gateway: &Rc<Gateway<D>>, call: &Call, choice: Choice) -> Self {
        let now = gateway.now();
        let mut state = gateway.state.borrow_mut();
        let prompt = &call.inbound.prompt;
        state
            .fleet
            .sent(now, &choice.entry.id, prompt, choice.uncached);
        drop(state);
        Self {
            gateway: gateway.clone(),
            choice,
            sent: now,
            prefill: true,
            ended: false,
        }
    }

    pub(crate) fn first_event(&mut self) {
        if std::mem::take(&mut self.prefill) {
            let now = self.gateway.now();
            let waited = now.millis_since(self.sent);
            let mut state = self.gateway.state.borrow_mut();
            state.fleet.first_event(now, &self.choice, waited);
        }
    }

    pub(crate) fn end(mut self, ending: Ending) {
        self.settle(ending);
    }

    pub(crate) fn took_ms(&self) -> f64 {
        self.gateway.now().millis_since(self.sent)
    }

    fn settle(&mut self, ending: Ending) {
        if std::mem::replace(&mut self.ended, true) {
            return;
        }
        let now = self.gateway.now();
        let id = &self.choice.entry.id;
        let mut state = self.gateway.state.borrow_mut();
        if self.prefill {
            state.fleet.forget_prefill(id, self.choice.uncached);
        }
        let set_aside = state.fleet.ended(now, id, ending);
        drop(state);
        if set_aside {
            log::info!(endpoint:% = id, ending:? = ending; "endpoint.set_aside");
        }
    }
}

impl<D: Dialect> Drop for Ticket<D> {
    fn drop(&mut self) {
        self.settle(Ending::Neutral);
    }
}

/// How one attempt ended.
enum AttemptEnd<D: Dialect> {
    /// A whole reply, to be passed on unless another attempt is worth it.
    Reply(response::Parts, Bytes),
    /// The head of a reply whose body is still coming.
    Coming(Box<Coming<D>>),
    /// It certainly didn't run.
    NotRun(NotRunCause),
    /// It may have run.
    Unknown,
}

struct Coming<D: Dialect> {
    head: response::Parts,
    body: Incoming,
    guard: ConnectionGuard,
    ticket: Ticket<D>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum NotRunCause {
    Unreachable,
    Refused,
    Replaced,
    InputsGone,
}

/// Answers one request.
pub async fn handle<D: Dialect>(
    gateway: Rc<Gateway<D>>,
    request: Request<Incoming>,
) -> Response<ReplyBody> {
    let arrived = gateway.now();
    let guard = InFlight::new(&gateway);
    let id = match accept(&gateway, request, arrived).await {
        Ok(call) => {
            let id = call.inbound.id.clone();
            match forward(&gateway, Rc::new(call), guard).await {
                Ok(response) => return response,
                Err(problem) => (id, problem),
            }
        }
        Err(refusal) => refusal,
    };
    let (id, problem) = id;
    let took = gateway.now().since(arrived);
    log::info!(
        request = &*id,
        code:% = problem.code,
        outcome:% = problem.outcome,
        retry_after_ms = problem.retry_after.map_or(0, |wait| wait.0),
        took_ms = took.as_millis() as u64,
        detail = problem.detail.as_str();
        "request.problem"
    );
    gateway.metrics.problem(problem.code);
    problem_reply::<D>(&problem)
}

/// Counts a request of this daemon until its answer is whole.
pub(crate) struct InFlight<D: Dialect> {
    gateway: Rc<Gateway<D>>,
}

impl<D: Dialect> InFlight<D> {
    fn new(gateway: &Rc<Gateway<D>>) -> Self {
        gateway.in_flight.set(gateway.in_flight.get() + 1);
        Self {
            gateway: gateway.clone(),
        }
    }
}

impl<D: Dialect> Drop for InFlight<D> {
    fn drop(&mut self) {
        let left = self.gateway.in_flight.get().saturating_sub(1);
        self.gateway.in_flight.set(left);
    }
}

type Refusal = (Arc<str>, Problem);

/// Finds the route and the customer of a request and reads its body.
async fn accept<D: Dialect>(
    gateway: &Rc<Gateway<D>>,
    request: Request<Incoming>,
    arrived: Time,
) -> Result<Call, Refusal> {
    let (head, body) = request.into_parts();
    let unnamed = |problem| (Arc::from("-"), problem);
    let inbound = D::read_request(&head)
        .map_err(|error| unnamed(Problem::not_run(Code::BadRequest, error.to_string())))?;
    let id = inbound.id.clone();
    let named = |problem| (id.clone(), problem);
    let Some(published) = gateway.published() else {
        let problem = Problem::not_run(Code::NotReady, "no table is known yet");
        return Err(named(problem.retry_after(Millis(500))));
    };
    let (route, customer) = find(&published, &head, &inbound).map_err(named)?;
    let limit = published.table.limits().map_or(0, |limits| limits.body.0);
    let time = inbound.remaining.unwrap_or(DEFAULT_TIME).min(route.timeout);
    let body = tokio::time::timeout(time.to_duration(), read_body(body, limit as usize))
        .await
        .unwrap_or_else(|_| {
            let detail = "the body didn't arrive in time";
            Err(Problem::not_run(Code::ReceiveTimeout, detail))
        })
        .map_err(named)?;
    let service = choose_backend(&route, &inbound.id);
    let rank = customer.as_ref().map_or(0, |customer| customer.rank);
    gateway.deposit(&service);
    log::info!(
        request = &*inbound.id,
        route = &*route.name,
        service:% = service,
        customer = customer.as_ref().map_or("-", |customer| customer.id.as_str()),
        version = published.table.version,
        time_ms = time.0,
        bytes = body.len(),
        pieces:? = inbound.pieces;
        "request.accepted"
    );
    let urgency = (rank * 3 + route.rank).min(9);
    Ok(Call {
        inbound,
        route,
        customer,
        service,
        head,
        body,
        arrived,
        deadline: arrived + Millis(time.0.saturating_sub(MARGIN.0)),
        urgency,
    })
}

fn find(
    published: &Published,
    head: &Parts,
    inbound: &Inbound,
) -> Result<(Arc<Route>, Option<Arc<CustomerEntry>>), Problem> {
    let table = &published.table;
    let host = host_of(head).unwrap_or_default();
    let Some(route) = table.route(host, head.uri.path()) else {
        let detail = format!("no route for host {host:?} in version {}", table.version);
        return Err(Problem::not_run(Code::NotFound, detail));
    };
    if route.public || !table.needs_keys() {
        let customer = inbound.key.as_deref().and_then(|key| table.customer(key));
        return Ok((route.clone(), customer.cloned()));
    }
    let customer = inbound.key.as_deref().and_then(|key| table.customer(key));
    match customer {
        Some(customer) => Ok((route.clone(), Some(customer.clone()))),
        None => {
            let detail = format!("no customer holds the key in version {}", table.version);
            Err(Problem::not_run(Code::Unauthorized, detail))
        }
    }
}

fn host_of(head: &Parts) -> Option<&str> {
    match head.uri.host() {
        Some(host) => Some(host),
        None => head.headers.get(header::HOST)?.to_str().ok(),
    }
}

/// Picks one of a route's services, the same one for the same request.
fn choose_backend(route: &Route, id: &str) -> ServiceId {
    let chosen = weighted(id, &route.backends, |backend| backend.weight);
    // A checked table has a backend on each route.
    chosen.unwrap_or(&route.backends[0]).service.clone()
}

async fn read_body(body: Incoming, limit: usize) -> Result<Bytes, Problem> {
    match Limited::new(body, limit).collect().await {
        Ok(collected) => Ok(collected.to_bytes()),
        Err(error) if error.is::<LengthLimitError>() => {
            let detail = format!("the body has more than {limit} bytes");
            Err(Problem::not_run(Code::BodyTooLarge, detail))
        }
        Err(error) => Err(Problem::not_run(Code::BadRequest, error.to_string())),
    }
}

/// Runs the stages and the attempts of a request.
async fn forward<D: Dialect>(
    gateway: &Rc<Gateway<D>>,
    call: Rc<Call>,
    in_flight: InFlight<D>,
) -> Result<Response<ReplyBody>, Problem> {
    let left = LeftEarly::new(gateway, &call);
    let deadline = gateway.instant(call.deadline);
    let mut progress = Progress::default();
    let work = attempts(gateway, &call, &mut progress, in_flight);
    let ended = tokio::time::timeout_at(deadline, work).await;
    left.defuse();
    match ended {
        Ok(result) => result,
        Err(_) => Err(progress.problem(gateway, &call, "the request's time is over")),
    }
}

/// Notes a caller that left: the request's future is dropped before its end.
struct LeftEarly<'a, D: Dialect> {
    gateway: &'a Gateway<D>,
    call: &'a Call,
    armed: bool,
}

impl<'a, D: Dialect> LeftEarly<'a, D> {
    fn new(gateway: &'a Gateway<D>, call: &'a Call) -> Self {
        Self {
            gateway,
            call,
            armed: true,
        }
    }

    fn defuse(mut self) {
        self.armed = false;
    }
}

impl<D: Dialect> Drop for LeftEarly<'_, D> {
    fn drop(&mut self) {
        if self.armed {
            let took = self.gateway.now().since(self.call.arrived);
            self.gateway.metrics.caller_left();
            log::info!(request = self.call.id(), took_ms = took.as_millis() as u64; "request.caller_left");
        }
    }
}

/// What a request has done so far.
#[derive(Debug, Default)]
struct Progress {
    /// Endpoints it was sent to, or tried to connect to.
    tried: Vec<EndpointId>,
    /// Attempts that arrived, or may have.
    sent: u32,
    /// Attempts that may have run.
    exposed: u32,
    unreachable: usize,
    /// The endpoint's own failure, to be passed on when no other attempt does better.
    failure: Option<(response::Parts, Bytes)>,
    last: String,
}

impl Progress {
    /// Builds the problem that ends the request, with what can be promised of it.
    fn problem<D: Dialect>(&self, gateway: &Gateway<D>, call: &Call, why: &str) -> Problem {
        let detail = format!("{why}; {} sent, last: {}", self.sent, self.last);
        if self.exposed > 0 {
            let late = gateway.now() >= call.deadline;
            return Problem {
                code: if late {
                    Code::DeadlineExceeded
                } else {
                    Code::StageFailed
                },
                outcome: Outcome::Unknown,
                detail,
                retry_after: None,
            };
        }
        let wait = retry_after(gateway, &call.service);
        Problem::not_run(Code::NoEndpoint, detail).retry_after(wait)
    }
}

/// Suggests when a refused caller may come back.
fn retry_after<D: Dialect>(gateway: &Gateway<D>, service: &ServiceId) -> Millis {
    let state = gateway.state.borrow();
    let usual = state
        .fleet
        .service(service)
        .filter_map(|member| {
            let (_, load) = member.told?;
            Some(f64::from(load.waiting) / f64::from(load.slots.max(1)))
        })
        .fold(0.0, f64::max);
    Millis((usual * 500.0) as u64).clamp(SHORTEST_RETRY, LONGEST_RETRY)
}

async fn attempts<D: Dialect>(
    gateway: &Rc<Gateway<D>>,
    call: &Rc<Call>,
    progress: &mut Progress,
    in_flight: InFlight<D>,
) -> Result<Response<ReplyBody>, Problem> {
    check_admission(gateway, call)?;
    let mut results = run_stages(gateway, call).await?;
    loop {
        let Some(choice) = choose(gateway, call, progress, results.as_ref()) else {
            return finish_failed(gateway, call, progress, "no endpoint is left");
        };
        log::info!(
            request = call.id(),
            endpoint:% = choice.entry.id,
            expected_ms = choice.expected_ms,
            uncached = choice.uncached,
            outstanding = choice.outstanding,
            candidates = choice.candidates,
            attempt = progress.sent + 1,
            left_ms = call.remaining(gateway.now()).0;
            "attempt.sent"
        );
        let inputs = results.as_ref().map(Results::inputs).unwrap_or_default();
        let patience = patience(gateway, call, progress, &choice);
        progress.tried.push(choice.entry.id.clone());
        let outbound =
            outbound_request::<D>(gateway, call, &choice, &inputs, call.inbound.last_event);
        let end = attempt(gateway, call, choice, outbound, patience, progress).await;
        match end {
            AttemptEnd::Reply(head, body) => {
                let worth_retry = head.status.is_server_error() && call.route.kind.is_repeatable();
                if worth_retry && may_repeat(gateway, call, progress, Repeat::Failed) {
                    progress.failure = Some((head, body));
                    continue;
                }
                return Ok(pass_whole(gateway, call, head, body));
            }
            AttemptEnd::Coming(coming) => {
                return Ok(pass_stream(
                    gateway, call, *coming, progress, results, in_flight,
                ));
            }
            AttemptEnd::NotRun(NotRunCause::InputsGone) => {
                drop(results.take());
                results = run_stages(gateway, call).await?;
                progress.tried.clear();
            }
            AttemptEnd::NotRun(NotRunCause::Unreachable) => {
                progress.unreachable += 1;
                if progress.unreachable >= CONNECT_TRIES {
                    return finish_failed(gateway, call, progress, "endpoints can't be reached");
                }
            }
            AttemptEnd::NotRun(NotRunCause::Refused | NotRunCause::Replaced) => {
                if !may_repeat(gateway, call, progress, Repeat::NotRun) {
                    return finish_failed(gateway, call, progress, "no other attempt is allowed");
                }
            }
            AttemptEnd::Unknown => {
                let repeatable = call.route.kind.is_repeatable();
                if !repeatable || !may_repeat(gateway, call, progress, Repeat::Failed) {
                    return finish_failed(gateway, call, progress, "the attempt broke off");
                }
            }
        }
    }
}

/// Refuses a request at once whose stages can't be made in time.
fn check_admission<D: Dialect>(gateway: &Gateway<D>, call: &Call) -> Result<(), Problem> {
    if call.route.stages.is_empty() || call.inbound.pieces.iter().all(|count| *count == 0) {
        return Ok(());
    }
    match workload::admit(gateway, &call.route, &call.inbound) {
        Verdict::Take(expected_ms) => {
            log::info!(request = call.id(), expected_ms, objective_ms = call.route.objective.0; "request.admitted");
            Ok(())
        }
        Verdict::Refuse {
            expected_ms,
            retry_after,
        } => {
            let detail = format!("the stages would take about {expected_ms:.0} ms");
            Err(Problem::not_run(Code::NoTime, detail).retry_after(retry_after))
        }
    }
}

/// Runs the stages before the request, if there are any.
pub(crate) async fn run_stages<D: Dialect>(
    gateway: &Rc<Gateway<D>>,
    call: &Call,
) -> Result<Option<Results<D>>, Problem> {
    if call.route.stages.is_empty() || call.inbound.pieces.iter().all(|count| *count == 0) {
        return Ok(None);
    }
    let objective = call.arrived + call.route.objective;
    let request = ChainRequest::new(
        &call.inbound,
        &call.route,
        call.deadline.min(call.give_up()),
        objective,
        call.urgency,
    );
    match stage_chain::run(gateway, &request).await {
        Ok(results) => Ok(Some(results)),
        Err(ChainError::Late) => {
            Err(Problem::not_run(Code::NoTime, "the stages take too long")
                .retry_after(SHORTEST_RETRY))
        }
        Err(ChainError::Failed) => {
            Err(Problem::not_run(Code::NoEndpoint, "a stage failed").retry_after(SHORTEST_RETRY))
        }
    }
}

fn choose<D: Dialect>(
    gateway: &Gateway<D>,
    call: &Call,
    progress: &Progress,
    results: Option<&Results<D>>,
) -> Option<Choice> {
    let sites = results.map(Results::sites).unwrap_or_default();
    let demand = Demand {
        prompt: &call.inbound.prompt,
        affinity: call.route.affinity,
        tried: &progress.tried,
        inputs: &sites,
    };
    let here = &gateway.settings.data_centre;
    let state = gateway.state.borrow();
    state
        .fleet
        .choose(gateway.now(), here, &call.service, &demand)
}

/// Returns how long the attempt may take before another one is worth it.
fn patience<D: Dialect>(
    gateway: &Gateway<D>,
    call: &Call,
    progress: &Progress,
    choice: &Choice,
) -> Option<Duration> {
    if !call.route.kind.is_repeatable() || progress.sent + 1 >= call.route.attempts {
        return None;
    }
    let others = gateway.state.borrow().fleet.service(&call.service).count();
    if others <= progress.tried.len() + 1 {
        return None;
    }
    Some(match call.route.kind {
        RouteKind::Stream { .. } => {
            STREAM_PATIENCE + Duration::from_secs_f64(choice.expected_ms * 3.0 / 1e3)
        }
        RouteKind::Repeatable | RouteKind::Guarded => {
            let usual = Duration::from_secs_f64(choice.expected_ms * PATIENCE_FACTOR / 1e3);
            usual.max(LEAST_PATIENCE)
        }
    })
}

/// Pays for another attempt; returns whether there may be one.
fn may_repeat<D: Dialect>(
    gateway: &Gateway<D>,
    call: &Call,
    progress: &Progress,
    why: Repeat,
) -> bool {
    let allowed = progress.sent < call.route.attempts && gateway.withdraw(&call.service);
    if allowed {
        gateway.metrics.repeat(why);
    }
    log::info!(
        request = call.id(),
        why:? = why,
        sent = progress.sent,
        allowed,
        last = progress.last.as_str();
        "attempt.repeat"
    );
    allowed
}

/// Builds a request as it goes to an endpoint.
pub(crate) fn outbound_request<D: Dialect>(
    gateway: &Gateway<D>,
    call: &Call,
    choice: &Choice,
    inputs: &[crate::gateway::stage_job::Handle],
    resume_after: Option<u64>,
) -> Request<Full<Bytes>> {
    let mut headers: HeaderMap = call.head.headers.clone();
    strip_connection_headers(&mut headers);
    headers.remove(header::CONTENT_LENGTH);
    headers.remove(header::EXPECT);
    let outbound = Outbound {
        endpoint: &choice.entry.id,
        customer: call.customer.as_ref().map(|customer| &customer.id),
        remaining: call.remaining(gateway.now()),
        urgency: call.urgency,
        inputs,
        resume_after,
    };
    D::write_request(&mut headers, &outbound);
    let had_body = call.head.headers.contains_key(header::CONTENT_LENGTH)
        || call.head.headers.contains_key(header::TRANSFER_ENCODING);
    if had_body {
        headers.insert(header::CONTENT_LENGTH, call.body.len().into());
    }
    let mut request = Request::new(Full::new(call.body.clone()));
    *request.method_mut() = call.head.method.clone();
    *request.uri_mut() = origin_form(&call.head.uri);
    *request.headers_mut() = headers;
    request
}

/// Takes scheme and host off a URI; the path and the query stay as they are.
fn origin_form(uri: &Uri) -> Uri {
    let path = uri.path_and_query().cloned();
    path.map_or_else(|| uri.clone(), Uri::from)
}

async fn attempt<D: Dialect>(
    gateway: &Rc<Gateway<D>>,
    call: &Rc<Call>,
    choice: Choice,
    request: Request<Full<Bytes>>,
    patience: Option<Duration>,
    progress: &mut Progress,
) -> AttemptEnd<D> {
    let ticket = Ticket::new(gateway, call, choice);
    let address = ticket.choice.entry.address;
    let connection = match egress::connect(address, CONNECT_LIMIT).await {
        Ok(connection) => connection,
        Err(error) => {
            progress.last = error.to_string();
            note_end(call, &ticket, "unreachable", &progress.last);
            ticket.end(Ending::Unreachable);
            return AttemptEnd::NotRun(NotRunCause::Unreachable);
        }
    };
    progress.sent += 1;
    progress.exposed += 1;
    let endpoint = ticket.choice.entry.id.clone();
    let exchange = async {
        let (response, guard) = connection.send(request).await?;
        let (head, body) = response.into_parts();
        judge(gateway, call, &endpoint, (head, body, guard)).await
    };
    let judged = match patience {
        Some(patience) => tokio::time::timeout(patience, exchange).await,
        None => Ok(exchange.await),
    };
    let (end, ending) = match judged {
        Ok(Ok(judged)) => judged,
        Ok(Err(error)) => (Judged::Unknown(error.to_string()), Ending::Failed),
        Err(_) => (Judged::Unknown("no answer in time".into()), Ending::Failed),
    };
    match end {
        Judged::Whole(head, body) => {
            progress.last = format!("status {}", head.status.as_u16());
            note_end(call, &ticket, "answered", &progress.last);
            let served = matches!(ending, Ending::Served(_));
            let took = ticket.took_ms();
            ticket.end(if served {
                Ending::Served(Some(took))
            } else {
                ending
            });
            AttemptEnd::Reply(head, body)
        }
        Judged::Coming(head, body, guard) => AttemptEnd::Coming(Box::new(Coming {
            head,
            body,
            guard,
            ticket,
        })),
        Judged::NotRun(cause) => {
            progress.exposed -= 1;
            progress.last = format!("{cause:?}");
            note_end(call, &ticket, "not_run", &progress.last);
            ticket.end(ending);
            AttemptEnd::NotRun(cause)
        }
        Judged::Unknown(error) => {
            progress.last = error;
            note_end(call, &ticket, "unknown", &progress.last);
            ticket.end(ending);
            AttemptEnd::Unknown
        }
    }
}

fn note_end<D: Dialect>(call: &Call, ticket: &Ticket<D>, outcome: &str, detail: &str) {
    log::info!(
        request = call.id(),
        endpoint:% = ticket.choice.entry.id,
        outcome,
        took_ms = ticket.took_ms(),
        detail;
        "attempt.ended"
    );
}

enum Judged {
    Whole(response::Parts, Bytes),
    Coming(response::Parts, Incoming, ConnectionGuard),
    NotRun(NotRunCause),
    Unknown(String),
}

/// Judges a reply: whose it is, whether the request ran, and whether it is whole.
async fn judge<D: Dialect>(
    gateway: &Gateway<D>,
    call: &Call,
    endpoint: &EndpointId,
    (head, body, guard): (response::Parts, Incoming, ConnectionGuard),
) -> Result<(Judged, Ending), SendError> {
    let facts = D::read_reply(&head);
    if let Some(load) = facts.load {
        let now = gateway.now();
        gateway.state.borrow_mut().fleet.told(now, endpoint, load);
    }
    if head.status == StatusCode::MISDIRECTED_REQUEST {
        return Ok((Judged::NotRun(NotRunCause::Replaced), Ending::Replaced));
    }
    if facts.not_run {
        let gone = head.status == StatusCode::CONFLICT;
        return Ok(if gone {
            (Judged::NotRun(NotRunCause::InputsGone), Ending::Neutral)
        } else {
            (Judged::NotRun(NotRunCause::Refused), Ending::Full)
        });
    }
    if facts.request.as_deref() != Some(call.id()) {
        let error = format!("a reply to request {:?}", facts.request);
        return Ok((Judged::Unknown(error), Ending::Failed));
    }
    if !facts.signed {
        let error = format!("an unsigned reply with status {}", head.status.as_u16());
        return Ok((Judged::Unknown(error), Ending::Failed));
    }
    if call.route.kind.is_stream() && head.status.is_success() {
        return Ok((Judged::Coming(head, body, guard), Ending::Neutral));
    }
    let collected = Limited::new(body, GATHERED).collect().await;
    drop(guard);
    let ending = if head.status.is_server_error() {
        Ending::Failed
    } else {
        Ending::Served(None)
    };
    match collected {
        Ok(body) => Ok((Judged::Whole(head, body.to_bytes()), ending)),
        Err(error) => Ok((Judged::Unknown(format!("body: {error}")), Ending::Failed)),
    }
}

/// Ends a request without a usable answer: with the endpoint's own failure if there is one.
fn finish_failed<D: Dialect>(
    gateway: &Gateway<D>,
    call: &Call,
    progress: &mut Progress,
    why: &str,
) -> Result<Response<ReplyBody>, Problem> {
    match progress.failure.take() {
        Some((head, body)) => Ok(pass_whole(gateway, call, head, body)),
        None => Err(progress.problem(gateway, call, why)),
    }
}

fn pass_whole<D: Dialect>(
    gateway: &Gateway<D>,
    call: &Call,
    head: response::Parts,
    body: Bytes,
) -> Response<ReplyBody> {
    let took = gateway.now().since(call.arrived);
    gateway.metrics.answered(took);
    log::info!(
        request = call.id(),
        status = head.status.as_u16(),
        bytes = body.len(),
        took_ms = took.as_millis() as u64;
        "request.answered"
    );
    let length = body.len();
    let mut response = response_head(head, ReplyBody::whole(body));
    response
        .headers_mut()
        .insert(header::CONTENT_LENGTH, length.into());
    response
}

fn response_head(head: response::Parts, body: ReplyBody) -> Response<ReplyBody> {
    let mut response = Response::new(body);
    *response.status_mut() = head.status;
    *response.headers_mut() = head.headers;
    strip_connection_headers(response.headers_mut());
    response
}

fn pass_stream<D: Dialect>(
    gateway: &Rc<Gateway<D>>,
    call: &Rc<Call>,
    coming: Coming<D>,
    progress: &mut Progress,
    results: Option<Results<D>>,
    in_flight: InFlight<D>,
) -> Response<ReplyBody> {
    let took = gateway.now().since(call.arrived);
    gateway.metrics.head(took);
    let source = StreamSource {
        body: coming.body,
        guard: coming.guard,
        ticket: coming.ticket,
    };
    let receiver = reply_stream::start(
        gateway.clone(),
        call.clone(),
        source,
        std::mem::take(&mut progress.tried),
        progress.sent,
        results,
        in_flight,
    );
    let mut response = response_head(coming.head, ReplyBody::Stream(receiver));
    response.headers_mut().remove(header::CONTENT_LENGTH);
    response
}
