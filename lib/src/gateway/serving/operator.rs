//! Small interfaces beside the callers': readiness, metrics, and what the daemon believes.

use {
    crate::{
        gateway::{
            dialect::Dialect,
            peers::message::Phase,
            state::Gateway,
            wire::{listen::accept_each, reply::ReplyBody},
        },
        shared::status::{EndpointStatus, StatusBody},
    },
    http::{HeaderValue, Method, Request, Response, StatusCode, header},
    hyper::{body::Incoming, server::conn::http1, service::service_fn},
    hyper_util::rt::{TokioIo, TokioTimer},
    serde::Serialize,
    std::{convert::Infallible, rc::Rc, time::Duration},
    tokio::net::TcpListener,
};

/// Longest time for a head to arrive.
const HEAD_TIME: Duration = Duration::from_secs(10);

/// Path of the metrics.
const METRICS_PATH: &str = "/metrics";

/// Path of what the daemon believes.
const STATUS_PATH: &str = "/v1/status";

/// Serves readiness, metrics and state on one address for good.
pub async fn serve<D: Dialect>(gateway: Rc<Gateway<D>>, listener: TcpListener) {
    accept_each(listener, "operator.accept_failed", |stream, _| {
        let gateway = gateway.clone();
        tokio::task::spawn_local(async move {
            let service = service_fn(|request| {
                let response = answer(&gateway, &request);
                async move { Ok::<_, Infallible>(response) }
            });
            // Whoever asked may be gone.
            let _ = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(HEAD_TIME)
                .serve_connection(TokioIo::new(stream), service)
                .await;
        });
    })
    .await;
}

fn answer<D: Dialect>(gateway: &Gateway<D>, request: &Request<Incoming>) -> Response<ReplyBody> {
    if request.method() != Method::GET {
        return text(
            StatusCode::METHOD_NOT_ALLOWED,
            "text/plain",
            "only GET\n".into(),
        );
    }
    match request.uri().path() {
        path if path == D::READY_PATH => {
            let status = if gateway.phase() == Phase::Ready {
                StatusCode::OK
            } else {
                StatusCode::SERVICE_UNAVAILABLE
            };
            text(status, "text/plain", String::new())
        }
        METRICS_PATH => text(
            StatusCode::OK,
            "text/plain; version=0.0.4",
            gateway.metrics.text(),
        ),
        STATUS_PATH => {
            let json = serde_json::to_string(&status(gateway)).unwrap_or_default();
            text(StatusCode::OK, "application/json", json)
        }
        _ => text(StatusCode::NOT_FOUND, "text/plain", String::new()),
    }
}

fn text(status: StatusCode, kind: &'static str, body: String) -> Response<ReplyBody> {
    let mut response = Response::new(ReplyBody::whole(body));
    *response.status_mut() = status;
    response
        .headers_mut()
        .insert(header::CONTENT_TYPE, HeaderValue::from_static(kind));
    response
}

/// What a daemon believes, for people: the state that every daemon tells, and what only a forwarding
/// one knows.
#[derive(Debug, Serialize)]
struct GatewayStatus {
    #[serde(flatten)]
    common: StatusBody,
    phase: Phase,
    catalogue: u64,
    jobs: usize,
    directory_lost: bool,
    peers: Vec<PeerStatus>,
}

#[derive(Debug, Serialize)]
struct PeerStatus {
    host: String,
    address: String,
    phase: Phase,
    table: u64,
    catalogue: u64,
}

fn status<D: Dialect>(gateway: &Gateway<D>) -> GatewayStatus {
    let phase = gateway.phase();
    let state = gateway.state.borrow();
    let peers = state.peers.heartbeats().map(|peer| PeerStatus {
        host: peer.host.to_string(),
        address: peer.address.to_string(),
        phase: peer.phase,
        table: peer.table,
        catalogue: peer.catalogue,
    });
    let endpoints = state.endpoints.members().map(|member| EndpointStatus {
        service: member.entry.service.to_string(),
        endpoint: member.entry.id.to_string(),
        open: member.is_open(),
        in_flight: member.running,
    });
    let common = StatusBody {
        host: gateway.settings.host.to_string(),
        ready: phase == Phase::Ready,
        version: state.published.as_ref().map_or(0, |p| p.table.version),
        in_flight: gateway.in_flight.get() as u64,
        answered: gateway.metrics.answers(),
        late: 0,
        problems: gateway.metrics.problems(),
        attempts: gateway.metrics.attempts(),
        extra: gateway.metrics.retries(),
        endpoints: endpoints.collect(),
    };
    GatewayStatus {
        common,
        phase,
        catalogue: state.catalogue.revision(),
        jobs: state.planning.jobs(),
        directory_lost: state.contact.is_lost(),
        peers: peers.collect(),
    }
}
