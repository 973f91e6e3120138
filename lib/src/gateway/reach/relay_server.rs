//! Relays connections of other daemons to endpoints that they can't reach themselves.
//!
//! Only endpoints of this daemon's own list are connected, so that a daemon can't reach any other address through it.

use {
    crate::{
        gateway::{
            dialect::Dialect,
            directory::endpoint_entry::EndpointEntry,
            reach::{
                relay_copy::relay,
                relay_protocol::{ENDPOINT_HEADER, RELAY_PATH, RelayProtocol},
            },
            routing::guards::RequestGuard,
            rules::{eligibility::Exclusion, endpoint_reach::may_relay},
            state::Gateway,
            wire::egress::{ENDPOINT_SILENCE, SendError, is_refused, limit_silence, open_stream},
        },
        shared::ids::EndpointId,
    },
    bytes::Bytes,
    http::{HeaderValue, Request, Response, StatusCode, header},
    http_body_util::Empty,
    hyper::{body::Incoming, server::conn::http1, service::service_fn, upgrade},
    hyper_util::rt::{TokioIo, TokioTimer},
    std::{convert::Infallible, io, rc::Rc, sync::Arc, time::Duration},
    tokio::{
        net::TcpStream,
        time::{sleep, timeout},
    },
};

/// Maximum time to connect to the endpoint.
const RELAYED_CONNECT_LIMIT: Duration = Duration::from_millis(200);

/// Maximum time until the head of a request has arrived.
const HEAD_LIMIT: Duration = Duration::from_millis(900);

/// Pause before a connection is looked at again on which only a part of the first bytes has arrived.
const PEEK_PAUSE: Duration = Duration::from_millis(2);

/// Returns whether a connection of another daemon asks for a relay; otherwise it is a link.
///
/// # Errors
///
/// Returns an error if the connection fails or stays silent.
pub(crate) async fn asks_for_relay(stream: &TcpStream) -> io::Result<bool> {
    let start = format!("GET {RELAY_PATH}");
    let mut bytes = vec![0; start.len()];
    let peeking = async {
        loop {
            let size = stream.peek(&mut bytes).await?;
            let is_relay = size > 0 && start.as_bytes().starts_with(&bytes[..size]);
            if !is_relay || size == start.len() {
                return Ok(is_relay);
            }
            sleep(PEEK_PAUSE).await;
        }
    };
    let peeked = timeout(HEAD_LIMIT, peeking).await;
    peeked.map_err(|_elapsed| io::ErrorKind::TimedOut)?
}

/// Serves the request for a relay on a new connection.
///
/// # Errors
///
/// Returns an error if the request isn't valid HTTP.
pub(crate) async fn serve_relay<D: Dialect>(
    gateway: Rc<Gateway<D>>,
    stream: TcpStream,
) -> hyper::Result<()> {
    let service = service_fn(|request| answer(gateway.clone(), request));
    http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_LIMIT)
        .keep_alive(false)
        .serve_connection(TokioIo::new(stream), service)
        .with_upgrades()
        .await
}

async fn answer<D: Dialect>(
    gateway: Rc<Gateway<D>>,
    request: Request<Incoming>,
) -> Result<Response<Empty<Bytes>>, Infallible> {
    let mut response = Response::new(Empty::new());
    match open(&gateway, &request).await {
        Ok((stream, guard)) => {
            let protocol = RelayProtocol::read(request.headers());
            *response.status_mut() = StatusCode::SWITCHING_PROTOCOLS;
            let headers = response.headers_mut();
            headers.insert(header::CONNECTION, HeaderValue::from_static("upgrade"));
            headers.insert(header::UPGRADE, protocol.name());
            tokio::task::spawn_local(run(request, stream, protocol, guard));
        }
        Err(status) => {
            gateway.metrics.relays.count_refused();
            *response.status_mut() = status;
        }
    }
    Ok(response)
}

/// Opens the connection to the endpoint that a request names.
///
/// # Errors
///
/// Returns the status of the answer if this daemon doesn't relay the connection.
async fn open<D: Dialect>(
    gateway: &Rc<Gateway<D>>,
    request: &Request<Incoming>,
) -> Result<(TcpStream, RelayGuard<D>), StatusCode> {
    let isolated = gateway.state.borrow().reach.is_isolated();
    may_relay(gateway.is_stopping(), isolated, gateway.relays.get())
        .map_err(|_refusal| StatusCode::SERVICE_UNAVAILABLE)?;
    let entry = requested_entry(gateway, request).ok_or(StatusCode::NOT_FOUND)?;
    let guard = RelayGuard::new(gateway);
    match open_stream(entry.address, RELAYED_CONNECT_LIMIT, ENDPOINT_SILENCE).await {
        Ok(stream) => {
            gateway.record_direct(&entry);
            Ok((stream, guard))
        }
        Err(error) if gateway.reaches_others(&entry).await => Err(if is_refused(&error) {
            StatusCode::BAD_GATEWAY
        } else {
            StatusCode::GATEWAY_TIMEOUT
        }),
        Err(error) => {
            gateway.record_unreached(&entry, &SendError::NotSent(error));
            Err(StatusCode::SERVICE_UNAVAILABLE)
        }
    }
}

/// Returns the entry of the requested endpoint, unless this daemon knows that the endpoint gets nothing new.
fn requested_entry<D: Dialect>(
    gateway: &Gateway<D>,
    request: &Request<Incoming>,
) -> Option<Arc<EndpointEntry>> {
    let id = request.headers().get(ENDPOINT_HEADER)?;
    let id: EndpointId = id.to_str().ok()?.parse().ok()?;
    let state = gateway.state.borrow();
    let member = state.endpoints.get(&id)?;
    match member.restrictions().exclusion() {
        Some(Exclusion::Draining | Exclusion::Evacuated | Exclusion::Replaced) => None,
        _ => Some(member.entry.clone()),
    }
}

/// Copies bytes once the connection of the other daemon has been upgraded.
async fn run<D: Dialect>(
    request: Request<Incoming>,
    endpoint: TcpStream,
    protocol: RelayProtocol,
    guard: RelayGuard<D>,
) {
    let Ok(upgraded) = upgrade::on(request).await else {
        return;
    };
    let Ok(parts) = upgraded.downcast::<TokioIo<TcpStream>>() else {
        return;
    };
    // The other daemon sends nothing before it has got the answer.
    if !parts.read_buf.is_empty() {
        return;
    }
    let daemon = parts.io.into_inner();
    limit_silence(&daemon, ENDPOINT_SILENCE);
    relay(daemon, endpoint, protocol).await;
    drop(guard);
}

/// Counts a relayed connection. A planned stop waits for it like for a request.
struct RelayGuard<D: Dialect> {
    gateway: Rc<Gateway<D>>,
    _in_flight: RequestGuard<D>,
}

impl<D: Dialect> RelayGuard<D> {
    fn new(gateway: &Rc<Gateway<D>>) -> Self {
        gateway.relays.set(gateway.relays.get() + 1);
        gateway.metrics.relays.set_running(gateway.relays.get());
        Self {
            gateway: gateway.clone(),
            _in_flight: RequestGuard::new(gateway),
        }
    }
}

impl<D: Dialect> Drop for RelayGuard<D> {
    fn drop(&mut self) {
        let relays = &self.gateway.relays;
        relays.set(relays.get().saturating_sub(1));
        self.gateway.metrics.relays.set_running(relays.get());
    }
}
