//! Sends one request to one endpoint, on a connection of its own, and opens streams to other daemons.
//!
//! A connection serves one request, so that no late or extra answer can be taken for another request's, and no idle
//! connection closes under a request that must not be sent twice. It owns nothing beyond a connection, and relies on
//! `hyper` for HTTP/1.1.

use {
    bytes::Bytes,
    http::{Request, Response},
    http_body_util::Full,
    hyper::body::Incoming,
    hyper_util::rt::TokioIo,
    socket2::{SockRef, TcpKeepalive},
    std::{io, net::SocketAddr, time::Duration},
    thiserror::Error,
    tokio::{net::TcpStream, task::AbortHandle},
};

/// Longest time to connect to an endpoint.
pub const CONNECT_LIMIT: Duration = Duration::from_millis(250);

/// Time of silence before the first keep-alive probe, and between two probes; the shortest that the
/// system's interface takes.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(1);

/// Unanswered probes after which a connection breaks: a silent peer is noticed within about three seconds.
const KEEPALIVE_PROBES: u32 = 2;

/// Time after which unacknowledged bytes break a connection: several times a round trip between data centres with a
/// lost packet.
const UNACKNOWLEDGED: Duration = Duration::from_millis(1_500);

/// Bytes of a reply that a connection reads ahead: a head, or what comes while the caller doesn't read.
const REPLY_BUFFER: usize = 32 * 1024;

/// Why a request got no reply.
#[derive(Debug, Error)]
pub enum SendError {
    /// No connection came up, so no byte was sent.
    #[error("not connected: {0}")]
    NotSent(io::Error),
    /// The connection broke after the request may have been sent, so it may have run.
    #[error("broken off: {0}")]
    MaybeSent(hyper::Error),
    /// The reply broke off or didn't come. The request was sent, and may have run.
    #[error("no whole reply: {0}")]
    Broken(String),
    /// The request was sent, and no reply came in time; it may have run.
    #[error("no answer in time")]
    TimedOut,
}

impl SendError {
    /// Returns whether the endpoint refused the connection, so that nobody listens there.
    pub fn is_refused(&self) -> bool {
        matches!(self, Self::NotSent(error) if is_refused(error))
    }
}

/// Returns whether a connection was refused, so that nobody listens there.
pub fn is_refused(error: &io::Error) -> bool {
    error.kind() == io::ErrorKind::ConnectionRefused
}

/// Keeps the connection of a reply open; dropping it closes the connection at once.
#[derive(Debug)]
pub struct ConnectionGuard(AbortHandle);

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// A connection that has carried no request yet.
#[derive(Debug)]
pub struct FreshConnection {
    sender: hyper::client::conn::http1::SendRequest<Full<Bytes>>,
    guard: ConnectionGuard,
}

/// Opens a connection within `limit`.
///
/// # Errors
///
/// Returns [`SendError::NotSent`] if none comes up; no byte of a request was sent then.
pub async fn connect(address: SocketAddr, limit: Duration) -> Result<FreshConnection, SendError> {
    let stream = open_stream(address, limit)
        .await
        .map_err(SendError::NotSent)?;
    let (sender, connection) = hyper::client::conn::http1::Builder::new()
        .max_buf_size(REPLY_BUFFER)
        .handshake(TokioIo::new(stream))
        .await
        .map_err(|error| SendError::NotSent(io::Error::other(error)))?;
    let task = tokio::task::spawn_local(async move {
        // An error reaches whoever reads the reply as well, so it is handled there.
        let _ = connection.await;
    });
    Ok(FreshConnection {
        sender,
        guard: ConnectionGuard(task.abort_handle()),
    })
}

/// Opens a TCP connection that breaks within seconds when its peer falls silent.
///
/// # Errors
///
/// Returns an error if it doesn't come up within `limit`.
pub async fn open_stream(address: SocketAddr, limit: Duration) -> io::Result<TcpStream> {
    let stream = tokio::time::timeout(limit, TcpStream::connect(address))
        .await
        .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
    stream.set_nodelay(true)?;
    let socket = SockRef::from(&stream);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE)
        .with_interval(KEEPALIVE_IDLE)
        .with_retries(KEEPALIVE_PROBES);
    // Both only make a dead peer noticed sooner. On a system without them, the time limits of the
    // callers still end the wait, so a failure to set them is ignored.
    let _ = socket.set_tcp_keepalive(&keepalive);
    let _ = socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED));
    Ok(stream)
}

impl FreshConnection {
    /// Sends the connection's only request and waits for the head of the reply.
    ///
    /// # Errors
    ///
    /// Returns [`SendError::MaybeSent`] if no head comes; the request may have run then.
    pub async fn send(
        mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<(Response<Incoming>, ConnectionGuard), SendError> {
        let response = self
            .sender
            .send_request(request)
            .await
            .map_err(SendError::MaybeSent)?;
        Ok((response, self.guard))
    }
}
