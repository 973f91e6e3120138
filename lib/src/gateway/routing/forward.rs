//! The life of one request: route, customer, stages, then attempts until there is an answer.

use {
    crate::{
        gateway::{
            dialect::Dialect,
            routing::{
                accept::accept,
                attempt::{
                    AttemptOutcome, NotRunReason, StreamingReply, attempt, choose_endpoint,
                    outbound_request,
                },
                call::{CallerLeftGuard, ForwardedCall, RequestGuard},
                reply_stream::{self, StreamSource},
                stages::{check_admission, run_stages},
            },
            rules::{endpoint_choice::EndpointChoice, progress::Progress},
            serving::metrics::RetryReason,
            stages::stage_results::Results,
            state::Gateway,
            table::RouteKind,
            wire::{
                headers::strip_connection_headers,
                reply::{ReplyBody, problem_reply},
            },
        },
        shared::{ids::ServiceId, problem::Problem, units::Millis},
    },
    bytes::Bytes,
    http::{Request, Response, header, response},
    hyper::body::Incoming,
    std::{rc::Rc, time::Duration},
};

/// Endpoints that one request may fail to connect to.
const CONNECT_TRIES: usize = 4;

/// Longest wait that is suggested to a caller, and the shortest.
const LONGEST_RETRY: Millis = Millis(3_000);
const SHORTEST_RETRY: Millis = Millis(100);

/// Waiting time for a repeatable call, in multiples of its usual time, and its least.
const PATIENCE_FACTOR: f64 = 8.0;
const LEAST_PATIENCE: Duration = Duration::from_millis(120);

/// Waiting time for the head of a stream that can be resumed.
const STREAM_PATIENCE: Duration = Duration::from_millis(2_500);

/// Answers one request.
pub async fn handle<D: Dialect>(
    gateway: Rc<Gateway<D>>,
    request: Request<Incoming>,
) -> Response<ReplyBody> {
    let arrived = gateway.now();
    let guard = RequestGuard::new(&gateway);
    let (id, problem) = match accept(&gateway, request, arrived).await {
        Ok(call) => {
            let id = call.inbound.id.clone();
            match forward(&gateway, Rc::new(call), guard).await {
                Ok(response) => return response,
                Err(problem) => (id, problem),
            }
        }
        Err(refusal) => refusal,
    };
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
    gateway.metrics.problem(problem.code, problem.outcome);
    problem_reply::<D>(&problem)
}

/// Runs the stages and the attempts of a request.
async fn forward<D: Dialect>(
    gateway: &Rc<Gateway<D>>,
    call: Rc<ForwardedCall>,
    in_flight: RequestGuard<D>,
) -> Result<Response<ReplyBody>, Problem> {
    let left = CallerLeftGuard::new(gateway, &call);
    let deadline = gateway.instant(call.deadline);
    let mut progress = Progress::default();
    let work = attempts(gateway, &call, &mut progress, in_flight);
    let ended = tokio::time::timeout_at(deadline, work).await;
    left.defuse();
    match ended {
        Ok(result) => result,
        Err(_) => Err(problem(
            gateway,
            &call,
            &progress,
            "the request's time is over",
        )),
    }
}

/// Builds the problem that ends a request without an answer.
fn problem<D: Dialect>(
    gateway: &Gateway<D>,
    call: &ForwardedCall,
    progress: &Progress,
    why: &str,
) -> Problem {
    let late = gateway.now() >= call.deadline;
    progress.problem(why, late, retry_after(gateway, &call.service))
}

/// Suggests when a refused caller may come back.
fn retry_after<D: Dialect>(gateway: &Gateway<D>, service: &ServiceId) -> Millis {
    let state = gateway.state.borrow();
    let usual = state
        .endpoints
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
    call: &Rc<ForwardedCall>,
    progress: &mut Progress,
    in_flight: RequestGuard<D>,
) -> Result<Response<ReplyBody>, Problem> {
    check_admission(gateway, call)?;
    let mut results = run_stages(gateway, call).await?;
    loop {
        let Some(choice) = choose_endpoint(gateway, call, &progress.tried, results.as_ref()) else {
            return finish_failed(gateway, call, progress, "no endpoint is left");
        };
        log::info!(
            request = call.id(),
            endpoint:% = choice.entry.id,
            expected_ms = choice.expected_ms,
            uncached = choice.uncached,
            outstanding = choice.outstanding,
            candidates = choice.candidates,
            attempt = progress.sent() + 1,
            left_ms = call.remaining(gateway.now()).0;
            "attempt.sent"
        );
        let patience = patience(gateway, call, progress, &choice);
        progress.tried.push(choice.entry.id.clone());
        let resume_after = call.inbound.last_event;
        let outbound = outbound_request(gateway, call, &choice, results.as_ref(), resume_after);
        let end = attempt(gateway, call, choice, outbound, patience, progress).await;
        match end {
            AttemptOutcome::Reply(head, body) => {
                if head.status.is_server_error()
                    && may_repeat(gateway, call, progress, RetryReason::Failed)
                {
                    progress.failure = Some((head, body));
                    continue;
                }
                return Ok(pass_whole(gateway, call, head, body));
            }
            AttemptOutcome::Coming(coming) => {
                return Ok(pass_stream(
                    gateway, call, *coming, progress, results, in_flight,
                ));
            }
            AttemptOutcome::NotRun(NotRunReason::InputsGone) => {
                if !gateway.withdraw(&call.service) {
                    return finish_failed(gateway, call, progress, "its inputs are gone");
                }
                drop(results.take());
                results = run_stages(gateway, call).await?;
                progress.tried.clear();
            }
            AttemptOutcome::NotRun(NotRunReason::Unreachable) => {
                if progress.not_reached() >= CONNECT_TRIES {
                    return finish_failed(gateway, call, progress, "endpoints can't be reached");
                }
            }
            AttemptOutcome::NotRun(NotRunReason::Refused | NotRunReason::Replaced) => {
                if !may_repeat(gateway, call, progress, RetryReason::NotRun) {
                    return finish_failed(gateway, call, progress, "no other attempt is allowed");
                }
            }
            AttemptOutcome::Unknown => {
                if !may_repeat(gateway, call, progress, RetryReason::Failed) {
                    return finish_failed(gateway, call, progress, "the attempt broke off");
                }
            }
        }
    }
}

/// Returns how long the attempt may take before another one is worth it.
fn patience<D: Dialect>(
    gateway: &Gateway<D>,
    call: &ForwardedCall,
    progress: &Progress,
    choice: &EndpointChoice,
) -> Option<Duration> {
    if !call.route.kind.is_retryable() || progress.sent() + 1 >= call.route.attempts {
        return None;
    }
    let others = gateway
        .state
        .borrow()
        .endpoints
        .service(&call.service)
        .count();
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
    call: &ForwardedCall,
    progress: &Progress,
    why: RetryReason,
) -> bool {
    let may_send = progress.may_send(call.route.kind, call.route.attempts);
    let allowed = may_send && gateway.withdraw(&call.service);
    if allowed {
        gateway.metrics.repeat(why);
    }
    log::info!(
        request = call.id(),
        why:? = why,
        sent = progress.sent(),
        allowed,
        last = progress.last.as_str();
        "attempt.repeat"
    );
    allowed
}

/// Ends a request without a usable answer: with the endpoint's own failure if there is one.
fn finish_failed<D: Dialect>(
    gateway: &Gateway<D>,
    call: &ForwardedCall,
    progress: &mut Progress,
    why: &str,
) -> Result<Response<ReplyBody>, Problem> {
    match progress.failure.take() {
        Some((head, body)) => Ok(pass_whole(gateway, call, head, body)),
        None => Err(problem(gateway, call, progress, why)),
    }
}

fn pass_whole<D: Dialect>(
    gateway: &Gateway<D>,
    call: &ForwardedCall,
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
    call: &Rc<ForwardedCall>,
    coming: StreamingReply<D>,
    progress: &mut Progress,
    results: Option<Results<D>>,
    in_flight: RequestGuard<D>,
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
        progress.sent(),
        results,
        in_flight,
    );
    let mut response = response_head(coming.head, ReplyBody::Stream(receiver));
    response.headers_mut().remove(header::CONTENT_LENGTH);
    response
}
