//! Read-only HTTP interface for operators: readiness, metrics and status.
//!
//! The addresses for readiness, operators and metrics each serve all three paths.

use {
    crate::gateway::{
        dialect::Dialect,
        peers::message::Phase,
        serving::status::GatewayStatus,
        state::Gateway,
        wire::{listen::accept_each, reply::ReplyBody},
    },
    http::{HeaderValue, Method, Request, Response, StatusCode, header},
    hyper::{body::Incoming, server::conn::http1, service::service_fn},
    hyper_util::rt::{TokioIo, TokioTimer},
    std::{convert::Infallible, rc::Rc, time::Duration},
    tokio::net::{TcpListener, TcpStream},
};

/// Maximum time until the head of a request has arrived.
const MAX_HEAD_TIME: Duration = Duration::from_secs(10);

/// Path of the metrics.
const METRICS_PATH: &str = "/metrics";

/// Path of the daemon's status.
const STATUS_PATH: &str = "/v1/status";

/// Content types of replies: readiness and errors, metrics in the text format of Prometheus, and status.
const TEXT: &str = "text/plain";
const METRICS: &str = "text/plain; version=0.0.4";
const JSON: &str = "application/json";

/// Serves readiness, metrics and status on one address until the task is aborted.
pub async fn serve<D: Dialect>(gateway: Rc<Gateway<D>>, listener: Rc<TcpListener>) {
    accept_each(&listener, "operator.accept_failed", |stream, _| {
        tokio::task::spawn_local(serve_connection(gateway.clone(), stream));
    })
    .await;
}

async fn serve_connection<D: Dialect>(gateway: Rc<Gateway<D>>, stream: TcpStream) {
    let service = service_fn(|request| {
        let response = answer(&gateway, &request);
        async move { Ok::<_, Infallible>(response) }
    });
    // A connection fails if the client leaves or doesn't send valid HTTP. No caller's request depends on it.
    let _ = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(MAX_HEAD_TIME)
        .serve_connection(TokioIo::new(stream), service)
        .await;
}

fn answer<D: Dialect>(gateway: &Gateway<D>, request: &Request<Incoming>) -> Response<ReplyBody> {
    if request.method() != Method::GET {
        return reply(StatusCode::METHOD_NOT_ALLOWED, TEXT, "only GET\n".into());
    }
    match request.uri().path() {
        path if path == D::READY_PATH => reply(ready_status(gateway), TEXT, String::new()),
        METRICS_PATH => reply(StatusCode::OK, METRICS, gateway.metrics.text()),
        STATUS_PATH => reply(StatusCode::OK, JSON, status_json(gateway)),
        _ => reply(StatusCode::NOT_FOUND, TEXT, String::new()),
    }
}

fn ready_status<D: Dialect>(gateway: &Gateway<D>) -> StatusCode {
    if gateway.phase() == Phase::Ready {
        StatusCode::OK
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    }
}

fn status_json<D: Dialect>(gateway: &Gateway<D>) -> String {
    serde_json::to_string(&GatewayStatus::new(gateway))
        .expect("a struct of texts, numbers and lists is valid JSON")
}

fn reply(status: StatusCode, kind: &'static str, body: String) -> Response<ReplyBody> {
    let mut response = Response::new(ReplyBody::whole(body));
    *response.status_mut() = status;
    response
        .headers_mut()
        .insert(header::CONTENT_TYPE, HeaderValue::from_static(kind));
    response
}
