//! Sends single HTTP/1.1 requests to endpoints, and opens TCP connections to other daemons.
//!
//! Each request has its own connection. So a late or extra answer can't be mistaken for the answer to another request,
//! and an idle connection can't close while a request that must not be sent twice is written to it.

use {
    crate::gateway::wire::read_guard::{GuardedBody, GuardedStream, Undelivered},
    bytes::Bytes,
    http::{Request, Response},
    http_body_util::Full,
    hyper_util::rt::TokioIo,
    socket2::{SockRef, TcpKeepalive},
    std::{io, net::SocketAddr, time::Duration},
    thiserror::Error,
    tokio::{
        io::{AsyncRead, AsyncWrite},
        net::TcpStream,
        task::AbortHandle,
    },
};

/// Maximum time to connect to an endpoint.
pub const CONNECT_LIMIT: Duration = Duration::from_millis(250);

/// Silence after which a connection to an endpoint fails. A sound endpoint may be silent for a second, in which up to two
/// probes get no answer.
pub const ENDPOINT_SILENCE: Duration = Duration::from_secs(3);

/// Silence after which a connection to the directory or to another daemon fails. It is short, because changes wait for
/// it.
pub const SERVICE_SILENCE: Duration = Duration::from_secs(2);

/// Idle time before the first TCP keep-alive probe, and interval between probes. This is the minimum that the system's
/// interface accepts.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Maximum number of bytes of a reply that are buffered: the head, or the part of the body that the caller hasn't read.
const REPLY_BUFFER: usize = 32 * 1024;

/// Reason why a request got no complete reply.
#[derive(Debug, Error)]
pub enum SendError {
    /// The connection couldn't be opened, so no byte was sent.
    #[error("not connected: {0}")]
    NotSent(io::Error),
    /// The connection failed after the request may have been sent, so it may have run.
    #[error("broken off: {0}")]
    MaybeSent(hyper::Error),
    /// The reply is incomplete or missing. The request was sent, so it may have run.
    #[error("no whole reply: {0}")]
    IncompleteReply(String),
    /// The request was sent, but no reply came in time, so it may have run.
    #[error("no answer in time")]
    TimedOut,
}

impl SendError {
    /// Returns whether the connection was refused, which means that no process listens there.
    pub fn is_refused(&self) -> bool {
        matches!(self, Self::NotSent(error) if is_refused(error))
    }
}

/// Returns whether a connection was refused, which means that no process listens there.
pub fn is_refused(error: &io::Error) -> bool {
    error.kind() == io::ErrorKind::ConnectionRefused
}

/// Keeps the connection of a reply open. Dropping it closes the connection at once.
#[derive(Debug)]
pub struct ConnectionGuard(AbortHandle);

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// A connection on which no request has been sent yet.
#[derive(Debug)]
pub struct FreshConnection {
    sender: hyper::client::conn::http1::SendRequest<Full<Bytes>>,
    guard: ConnectionGuard,
    undelivered: Undelivered,
}

/// Opens a connection within `limit`, which fails after a silence of the peer of [`SERVICE_SILENCE`].
///
/// # Errors
///
/// Returns [`SendError::NotSent`] if the connection can't be opened; no byte of a request was sent then.
pub async fn connect(address: SocketAddr, limit: Duration) -> Result<FreshConnection, SendError> {
    let stream = open_stream(address, limit, SERVICE_SILENCE)
        .await
        .map_err(SendError::NotSent)?;
    FreshConnection::new(stream).await
}

/// Opens a TCP connection that fails after a silence of the peer of `silence`.
///
/// # Errors
///
/// Returns an error if the connection can't be opened within `limit`.
pub async fn open_stream(
    address: SocketAddr,
    limit: Duration,
    silence: Duration,
) -> io::Result<TcpStream> {
    let stream = tokio::time::timeout(limit, TcpStream::connect(address))
        .await
        .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
    stream.set_nodelay(true)?;
    limit_silence(&stream, silence);
    Ok(stream)
}

/// Lets a TCP connection fail after a silence of the peer of `silence`.
pub(crate) fn limit_silence(stream: &TcpStream, silence: Duration) {
    let socket = SockRef::from(stream);
    let probes = silence.div_duration_f64(PROBE_INTERVAL).round() as u32;
    let keepalive = TcpKeepalive::new()
        .with_time(PROBE_INTERVAL)
        .with_interval(PROBE_INTERVAL)
        .with_retries(probes.saturating_sub(1));
    // Both options only detect a dead peer sooner. Without them, the time limits of the functions that use the stream
    // still end the wait, so a failure to set them is ignored. The second one limits the time of unacknowledged bytes,
    // and on Linux also that of unanswered probes, so both need the same limit.
    let _ = socket.set_tcp_keepalive(&keepalive);
    let _ = socket.set_tcp_user_timeout(Some(silence));
}

impl FreshConnection {
    /// Prepares a connection for one request.
    ///
    /// # Errors
    ///
    /// Returns [`SendError::NotSent`] if the connection can't be used; no byte of a request was sent then.
    pub async fn new<S>(stream: S) -> Result<Self, SendError>
    where
        S: AsyncRead + AsyncWrite + Unpin + 'static,
    {
        let undelivered = Undelivered::default();
        let stream = GuardedStream::new(stream, undelivered.clone());
        let (sender, connection) = hyper::client::conn::http1::Builder::new()
            .max_buf_size(REPLY_BUFFER)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(|error| SendError::NotSent(io::Error::other(error)))?;
        let task = tokio::task::spawn_local(async move {
            // The reader of the reply gets the error too, and handles it.
            let _ = connection.await;
        });
        Ok(Self {
            sender,
            guard: ConnectionGuard(task.abort_handle()),
            undelivered,
        })
    }

    /// Sends the connection's only request and waits for the head of the reply.
    ///
    /// # Errors
    ///
    /// Returns [`SendError::MaybeSent`] if no head arrives, or too much that is none; the request may have run then.
    pub async fn send(
        mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<(Response<GuardedBody>, ConnectionGuard), SendError> {
        let response = self
            .sender
            .send_request(request)
            .await
            .map_err(SendError::MaybeSent)?;
        self.undelivered.reset();
        let response = response.map(|body| GuardedBody::new(body, self.undelivered));
        Ok((response, self.guard))
    }
}
