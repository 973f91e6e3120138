//! Asks another daemon to relay a connection to an endpoint.
//!
//! The request is an HTTP/1.1 upgrade on the address for links. The bytes of the endpoint's connection follow the head of
//! the answer, in frames if the relay knows them: the answer names the protocol that it speaks.

use {
    crate::{
        gateway::{
            reach::{
                relay_frames::{read_framed, read_plain},
                relay_protocol::{ENDPOINT_HEADER, OFFERED_PROTOCOLS, RELAY_PATH, RelayProtocol},
            },
            wire::egress::{ENDPOINT_SILENCE, FreshConnection, SendError, open_stream},
        },
        shared::ids::EndpointId,
    },
    bytes::Bytes,
    http::{HeaderValue, Request, StatusCode, header},
    http_body_util::Empty,
    hyper::{client::conn::http1, upgrade},
    hyper_util::rt::TokioIo,
    std::{io, net::SocketAddr, time::Duration},
    thiserror::Error,
    tokio::{net::TcpStream, time::timeout},
};

/// Maximum time until the relay has confirmed the connection. It is longer than the time that the relay has to connect
/// to the endpoint.
const RELAY_LIMIT: Duration = Duration::from_millis(300);

/// Reason why a daemon doesn't relay a connection. It has got no byte of the request for the endpoint.
#[derive(Debug, Error)]
pub(super) enum RelayError {
    /// The relay doesn't reach the endpoint either. `refused` is set if the endpoint's host refused the connection.
    #[error("the relay doesn't reach the endpoint")]
    Unreached { refused: bool },
    /// The relay doesn't list the endpoint, or knows that the endpoint gets nothing new.
    #[error("the relay doesn't use the endpoint")]
    Unlisted,
    /// The relay can't be reached.
    #[error("no connection to the relay: {0}")]
    Connection(#[from] io::Error),
    /// The relay doesn't speak the protocol, or the connection failed.
    #[error("the relay didn't answer: {0}")]
    Http(#[from] hyper::Error),
    /// The relay doesn't relay this connection.
    #[error("the relay answered with status {0}")]
    Status(StatusCode),
    /// The connection to the relay can't be used for the endpoint.
    #[error("the relay sent bytes before the request")]
    EarlyBytes,
    /// The relay didn't confirm the connection in time.
    #[error("the relay didn't answer within {RELAY_LIMIT:?}")]
    TimedOut,
    /// The endpoint's id can't be written as a header.
    #[error("the endpoint's id can't be sent: {0}")]
    Id(#[from] header::InvalidHeaderValue),
    /// The relayed connection can't be used.
    #[error(transparent)]
    Send(#[from] SendError),
}

/// A connection to an endpoint through another daemon.
#[derive(Debug)]
pub(super) struct RelayedConnection {
    pub(super) connection: FreshConnection,
    pub(super) protocol: RelayProtocol,
}

/// Opens a connection to an endpoint through the daemon at `relay`.
///
/// # Errors
///
/// Returns why the daemon doesn't relay it. The endpoint has got no byte then.
pub(super) async fn open(
    relay: SocketAddr,
    endpoint: &EndpointId,
) -> Result<RelayedConnection, RelayError> {
    let opened = timeout(RELAY_LIMIT, open_tunnel(relay, endpoint)).await;
    let (tunnel, protocol) = opened.map_err(|_elapsed| RelayError::TimedOut)??;
    let connection = match protocol {
        RelayProtocol::Framed => FreshConnection::new(read_framed(tunnel)).await?,
        RelayProtocol::Plain => FreshConnection::new(read_plain(tunnel)).await?,
    };
    Ok(RelayedConnection {
        connection,
        protocol,
    })
}

async fn open_tunnel(
    relay: SocketAddr,
    endpoint: &EndpointId,
) -> Result<(TcpStream, RelayProtocol), RelayError> {
    let request = build_request(relay, endpoint)?;
    let stream = open_stream(relay, RELAY_LIMIT, ENDPOINT_SILENCE).await?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    // The reader of the answer gets the error too.
    let connection = tokio::task::spawn_local(async move {
        let _ = connection.with_upgrades().await;
    });
    let response = sender.send_request(request).await;
    let Ok(response) = response else {
        connection.abort();
        return Err(response
            .err()
            .map_or(RelayError::TimedOut, RelayError::Http));
    };
    match response.status() {
        StatusCode::SWITCHING_PROTOCOLS => {}
        StatusCode::BAD_GATEWAY => return Err(RelayError::Unreached { refused: true }),
        StatusCode::GATEWAY_TIMEOUT => return Err(RelayError::Unreached { refused: false }),
        StatusCode::NOT_FOUND => return Err(RelayError::Unlisted),
        status => return Err(RelayError::Status(status)),
    }
    let protocol = RelayProtocol::read(response.headers());
    let upgraded = upgrade::on(response).await?;
    let parts = upgraded.downcast::<TokioIo<TcpStream>>();
    match parts {
        Ok(parts) if parts.read_buf.is_empty() => Ok((parts.io.into_inner(), protocol)),
        _ => Err(RelayError::EarlyBytes),
    }
}

fn build_request(
    relay: SocketAddr,
    endpoint: &EndpointId,
) -> Result<Request<Empty<Bytes>>, header::InvalidHeaderValue> {
    let mut request = Request::new(Empty::new());
    *request.uri_mut() = http::Uri::from_static(RELAY_PATH);
    let headers = request.headers_mut();
    headers.insert(header::HOST, HeaderValue::from_str(&relay.to_string())?);
    headers.insert(header::CONNECTION, HeaderValue::from_static("upgrade"));
    headers.insert(header::UPGRADE, OFFERED_PROTOCOLS);
    headers.insert(ENDPOINT_HEADER, HeaderValue::from_str(endpoint.as_str())?);
    Ok(request)
}
