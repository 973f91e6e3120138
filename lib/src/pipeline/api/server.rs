//! The HTTP interface for callers and operators.

use {
    crate::{
        pipeline::{
            api::{
                headers::{CallHeaders, CallOptions, parse_header},
                problem::{ApiProblem, ProblemBody, bad_request, json_response, respond},
                stream::stream_response,
            },
            decision::request::{Arrival, Target},
            endpoints::http_transport::HttpTransport,
            metrics::Metrics,
            node::{Delivery, Node, RequestHandle},
            status_view::status_body,
            trace::TraceSpan,
        },
        shared::{
            ids::RequestId,
            json,
            problem::{Code, Outcome, Problem},
            status::StatusBody,
            units::{ByteSize, Count, Millis},
        },
    },
    bytes::{Bytes, BytesMut},
    dropshot::{
        ApiDescription, ApiDescriptionRegisterError, Body, HttpResponseOk, Path, RequestContext,
        StreamingBody, endpoint,
    },
    futures_util::TryStreamExt,
    http::{HeaderMap, Response, header},
    opentelemetry::trace::SpanKind,
    schemars::JsonSchema,
    serde::Deserialize,
    std::{
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering},
        },
        time::Instant,
    },
    tokio::sync::{OwnedSemaphorePermit, Semaphore},
};

/// Largest body that is read at all; settings can only allow less.
pub const BODY_CAP: usize = 16 * 1024 * 1024;

/// Wait suggested to callers that a full daemon refuses.
const BUSY_WAIT: Millis = Millis(1_000);

/// Limits of the interface, from the daemon's settings.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ApiLimits {
    /// Most requests in hand at the same time.
    pub requests: Count,
    /// Largest size of all headers of one request.
    pub headers: ByteSize,
    /// Longest time for a request's body to arrive.
    pub receive: Millis,
}

/// What the handlers share.
#[derive(Debug)]
pub struct ApiContext {
    /// The daemon.
    pub node: Node<HttpTransport>,
    /// Name of the host, for reports.
    pub host: String,
    /// Limits of the interface.
    pub limits: ApiLimits,
    /// Measures that outlive a request.
    pub metrics: Metrics,
    /// Whether a tree is in force.
    pub ready: AtomicBool,
    /// Whether a planned stop has begun.
    pub stopping: AtomicBool,
    permits: Arc<Semaphore>,
}

impl ApiContext {
    /// Builds the context; the daemon isn't ready until it says so.
    pub fn new(node: Node<HttpTransport>, host: String, limits: ApiLimits) -> Self {
        Self {
            node,
            host,
            limits,
            metrics: Metrics::default(),
            ready: AtomicBool::new(false),
            stopping: AtomicBool::new(false),
            permits: Arc::new(Semaphore::new(limits.requests.0 as usize)),
        }
    }

    /// Returns whether the balancer may send requests here.
    pub fn is_ready(&self) -> bool {
        self.ready.load(Ordering::Acquire) && !self.stopping.load(Ordering::Acquire)
    }

    fn permit(&self) -> Result<OwnedSemaphorePermit, ApiProblem> {
        self.permits.clone().try_acquire_owned().map_err(|_| {
            let detail = format!("{} requests are in hand already", self.limits.requests);
            let problem = Problem::not_run(Code::TooBusy, detail);
            problem.retry_after(BUSY_WAIT).into()
        })
    }
}

#[derive(Debug, Deserialize, JsonSchema)]
struct PipelinePath {
    /// Name of the pipeline.
    pipeline: String,
}

#[derive(Debug, Deserialize, JsonSchema)]
struct ServicePath {
    /// Name of the service.
    service: String,
}

/// Builds the description of the interface, from which its OpenAPI document is made.
///
/// # Errors
///
/// Returns an error when two handlers contradict each other.
pub fn describe() -> Result<ApiDescription<Arc<ApiContext>>, ApiDescriptionRegisterError> {
    let mut api = ApiDescription::new();
    api.register(run_pipeline)?;
    api.register(call_service)?;
    api.register(get_live)?;
    api.register(get_ready)?;
    api.register(get_metrics)?;
    api.register(get_status)?;
    Ok(api)
}

/// Returns the OpenAPI document.
///
/// # Panics
///
/// Panics if the handlers contradict each other, which a test rules out.
pub fn openapi() -> serde_json::Value {
    let version = semver::Version::new(1, 0, 0);
    describe()
        .expect("handlers agree with each other")
        .openapi("hazelyoke", version)
        .json()
        .expect("document is JSON")
}

/// Run a pipeline
///
/// The body is the JSON input of its first stage. With `accept: text/event-stream`, a pipeline
/// that ends in a generation answers by events: `token` for each token, then exactly one `done` or
/// `problem`. A stream without one of these broke off.
#[endpoint { method = POST, path = "/v1/pipelines/{pipeline}" }]
async fn run_pipeline(
    context: RequestContext<Arc<ApiContext>>,
    path: Path<PipelinePath>,
    headers: CallHeaders,
    body: StreamingBody,
) -> Result<Response<Body>, ProblemBody> {
    let target = parse_header("pipeline", &path.into_inner().pipeline).map(Target::Pipeline);
    respond(serve(context, target, headers, body).await)
}

/// Call a plain service
///
/// The reply's status and body are passed on as they are.
#[endpoint { method = POST, path = "/v1/services/{service}" }]
async fn call_service(
    context: RequestContext<Arc<ApiContext>>,
    path: Path<ServicePath>,
    headers: CallHeaders,
    body: StreamingBody,
) -> Result<Response<Body>, ProblemBody> {
    let target = parse_header("service", &path.into_inner().service).map(Target::Service);
    respond(serve(context, target, headers, body).await)
}

/// Tell whether the process is alive
#[endpoint { method = GET, path = "/v1/live" }]
async fn get_live(_: RequestContext<Arc<ApiContext>>) -> Result<HttpResponseOk<bool>, ProblemBody> {
    Ok(HttpResponseOk(true))
}

/// Tell whether the balancer may send requests here
#[endpoint { method = GET, path = "/v1/ready" }]
async fn get_ready(
    context: RequestContext<Arc<ApiContext>>,
) -> Result<Response<Body>, ProblemBody> {
    if context.context().is_ready() {
        return respond(Ok(Response::new(Body::from("true"))));
    }
    let detail = "the daemon is starting or stopping";
    respond(Err(Problem::not_run(Code::NotReady, detail).into()))
}

/// Report metrics in the OpenMetrics text form
#[endpoint { method = GET, path = "/metrics" }]
async fn get_metrics(
    context: RequestContext<Arc<ApiContext>>,
) -> Result<Response<Body>, ProblemBody> {
    let context = context.context();
    let dropped = context.node.tracing().dropped();
    let text = context.metrics.encode(&context.node.snapshot(), dropped);
    let response = Response::builder()
        .header(header::CONTENT_TYPE, crate::pipeline::metrics::CONTENT_TYPE)
        .body(text.into())
        .map_err(|error| bad_request(error.to_string()));
    respond(response)
}

/// Report the daemon's state, for `hazelyoke status`
#[endpoint { method = GET, path = "/v1/status" }]
async fn get_status(
    context: RequestContext<Arc<ApiContext>>,
) -> Result<HttpResponseOk<StatusBody>, ProblemBody> {
    let context = context.context();
    let body = status_body(&context.host, context.is_ready(), &context.node.snapshot());
    Ok(HttpResponseOk(body))
}

async fn serve(
    context: RequestContext<Arc<ApiContext>>,
    target: Result<Target, ApiProblem>,
    headers: CallHeaders,
    body: StreamingBody,
) -> Result<Response<Body>, ApiProblem> {
    let started = Instant::now();
    let target = target?;
    let api = context.context();
    let node = api.node.clone();
    let permit = api.permit()?;
    check_header_size(context.request.headers(), api.limits.headers)?;
    let options = CallOptions::try_from(&headers)?;
    let parent = headers.traceparent.as_deref();
    let mut receive = node.tracing().span("receive", SpanKind::Server, parent);
    let id = RequestId::from_random(node.random_bits());
    receive.set("request", id);
    let body = read_request(body, api.limits.receive).await?;
    let stream = options.stream;
    let arrival = Arrival {
        id,
        customer: options.customer,
        target,
        remaining: options.remaining,
        priority: options.priority,
        key: options.key,
        stream,
        body,
        trace_parent: receive.trace_parent(),
    };
    let handle = admit(&node, arrival, &receive);
    let answer = answer(handle, id, stream, permit, &receive, &node).await;
    api.metrics.observe(started.elapsed());
    log_request(id, started, &answer);
    answer
}

fn admit(
    node: &Node<HttpTransport>,
    arrival: Arrival,
    receive: &TraceSpan,
) -> RequestHandle<HttpTransport> {
    let parent = receive.trace_parent();
    let mut admit = node
        .tracing()
        .span("admit", SpanKind::Internal, parent.as_deref());
    admit.set("customer", &arrival.customer);
    node.submit(arrival)
}

async fn answer(
    mut handle: RequestHandle<HttpTransport>,
    id: RequestId,
    stream: bool,
    permit: OwnedSemaphorePermit,
    receive: &TraceSpan,
    node: &Node<HttpTransport>,
) -> Result<Response<Body>, ApiProblem> {
    let first = handle.next().await;
    let parent = receive.trace_parent();
    let forward = node
        .tracing()
        .span("forward", SpanKind::Internal, parent.as_deref());
    match first {
        Some(Delivery::Finished(Ok(answer))) if !stream => {
            json_response(answer.status, id, answer.body)
        }
        Some(Delivery::Finished(Err(problem))) => Err(ApiProblem::new(problem, Some(id))),
        Some(first) => stream_response(handle, id, first, permit, forward),
        None => Err(ApiProblem::new(gone(), Some(id))),
    }
}

/// The daemon ends every request; this is for the case that it is torn down itself.
fn gone() -> Problem {
    Problem {
        code: Code::Internal,
        outcome: Outcome::Unknown,
        detail: "the daemon stopped".into(),
        retry_after: None,
    }
}

fn check_header_size(headers: &HeaderMap, limit: ByteSize) -> Result<(), ApiProblem> {
    let size: usize = headers
        .iter()
        .map(|(name, value)| name.as_str().len() + value.len())
        .sum();
    if size as u64 <= limit.0 {
        return Ok(());
    }
    let detail = format!("the headers have {size} bytes, {limit} are allowed");
    Err(Problem::not_run(Code::HeadersTooLarge, detail).into())
}

/// `dropshot`'s own refusal of a body over its cap doesn't say what is wrong, so that cap is higher.
fn check_body_size(size: usize) -> Result<(), ApiProblem> {
    if size <= BODY_CAP {
        return Ok(());
    }
    let detail = format!("the body has more than {BODY_CAP} bytes");
    Err(Problem::not_run(Code::BodyTooLarge, detail).into())
}

/// Reads a whole JSON body within its time; the settings' size limit is checked by the core.
async fn read_request(body: StreamingBody, limit: Millis) -> Result<Bytes, ApiProblem> {
    let stream = body.into_stream();
    let stream = stream.map_err(ApiProblem::from);
    let read = stream.try_fold(BytesMut::new(), |mut whole, chunk| async move {
        whole.extend_from_slice(&chunk);
        check_body_size(whole.len())?;
        Ok(whole)
    });
    let body = match tokio::time::timeout(limit.to_duration(), read).await {
        Ok(read) => read?.freeze(),
        Err(_) => {
            let detail = format!("the body didn't arrive within {limit}");
            return Err(Problem::not_run(Code::ReceiveTimeout, detail).into());
        }
    };
    match json::check(&body) {
        Ok(()) => Ok(body),
        Err(error) => Err(bad_request(format!("the body isn't JSON: {error}"))),
    }
}

fn log_request(id: RequestId, started: Instant, answer: &Result<Response<Body>, ApiProblem>) {
    let ms = started.elapsed().as_millis() as u64;
    let request = id.to_string();
    match answer {
        Ok(response) => {
            log::info!(request, status = response.status().as_u16(), ms; "request answered");
        }
        Err(problem) => {
            let body = problem.body();
            log::info!(request, code = body.code, outcome = body.outcome, ms; "request refused or failed");
        }
    }
}
