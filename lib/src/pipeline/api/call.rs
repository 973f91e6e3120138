//! Serves one request of a caller, from its head to the whole answer or the start of the stream.
//!
//! Sets the order of the checks, starts the trace spans and writes the log line. The node makes the decisions.

use {
    crate::{
        pipeline::{
            api::{
                body::read_json_body,
                context::ApiContext,
                headers::{CallHeaders, CallOptions, check_header_size},
                problem::{ApiProblem, json_response},
                stream::stream_response,
            },
            decision::request::{Arrival, Target},
            endpoints::http_transport::HttpTransport,
            node::{Delivery, Node, RequestHandle},
            trace::TraceSpan,
        },
        shared::{
            ids::RequestId,
            problem::{Code, Outcome, Problem},
        },
    },
    dropshot::{Body, RequestContext, StreamingBody},
    http::Response,
    opentelemetry::trace::SpanKind,
    std::{sync::Arc, time::Instant},
    tokio::sync::OwnedSemaphorePermit,
};

/// Serves one request. The permit and the headers are checked first, since this costs least; then the body is read
/// and the request is submitted to the node.
///
/// # Errors
///
/// Returns the problem for the caller. It has the request's id if the request was submitted.
pub(super) async fn serve_request(
    context: RequestContext<Arc<ApiContext>>,
    target: Result<Target, ApiProblem>,
    headers: CallHeaders,
    body: StreamingBody,
) -> Result<Response<Body>, ApiProblem> {
    let started = Instant::now();
    let target = target?;
    let api = context.context();
    let node = api.node.clone();
    let permit = api.take_permit()?;
    check_header_size(context.request.headers(), api.limits.max_headers)?;
    let options = CallOptions::try_from(&headers)?;
    let parent = headers.traceparent.as_deref();
    let mut receive_span = node
        .tracing()
        .start_span("receive", SpanKind::Server, parent);
    let id = RequestId::from_random(node.random_bits());
    receive_span.set_attribute("request", id);
    let body = read_json_body(body, api.limits.receive_timeout).await?;
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
        trace_parent: receive_span.trace_parent(),
    };
    let handle = submit(&node, arrival, &receive_span);
    let answer = await_response(handle, id, stream, permit, &receive_span, &node).await;
    api.metrics.observe_request(started.elapsed());
    log_request(id, started, &answer);
    answer
}

/// Submits a request to the node, within the trace span `admit`.
fn submit(
    node: &Node<HttpTransport>,
    arrival: Arrival,
    receive_span: &TraceSpan,
) -> RequestHandle<HttpTransport> {
    let parent = receive_span.trace_parent();
    let mut admit_span = node
        .tracing()
        .start_span("admit", SpanKind::Internal, parent.as_deref());
    admit_span.set_attribute("customer", &arrival.customer);
    node.submit(arrival)
}

/// Waits for the first delivery and builds the response from it: the whole answer, or the start of the
/// stream.
async fn await_response(
    mut handle: RequestHandle<HttpTransport>,
    id: RequestId,
    stream: bool,
    permit: OwnedSemaphorePermit,
    receive_span: &TraceSpan,
    node: &Node<HttpTransport>,
) -> Result<Response<Body>, ApiProblem> {
    let first = handle.next().await;
    let parent = receive_span.trace_parent();
    let forward_span = node
        .tracing()
        .start_span("forward", SpanKind::Internal, parent.as_deref());
    match first {
        Some(Delivery::Finished(Ok(answer))) if !stream => {
            Ok(json_response(answer.status, id, answer.body))
        }
        Some(Delivery::Finished(Err(problem))) => Err(ApiProblem::new(problem, Some(id))),
        Some(first) => Ok(stream_response(handle, id, first, permit, forward_span)),
        None => Err(ApiProblem::new(daemon_stopped(), Some(id))),
    }
}

/// Returns the problem for a request that gets no final delivery. The node sends one for every request, so this
/// happens only while the daemon is being dropped.
fn daemon_stopped() -> Problem {
    Problem {
        code: Code::Internal,
        outcome: Outcome::Unknown,
        detail: "the daemon stopped".into(),
        retry_after: None,
    }
}

/// Logs how a request was answered. A streamed answer is logged at its start.
fn log_request(id: RequestId, started: Instant, answer: &Result<Response<Body>, ApiProblem>) {
    let ms = started.elapsed().as_millis() as u64;
    let request = id.to_string();
    match answer {
        Ok(response) => {
            log::info!(request, status = response.status().as_u16(), ms; "request answered");
        }
        Err(problem) => {
            let body = problem.body();
            log::info!(request, code = body.code, outcome = body.outcome, ms; "request answered with a problem");
        }
    }
}
