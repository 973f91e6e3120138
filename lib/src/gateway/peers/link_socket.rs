//! The WebSocket connection of a link: limits, errors, sending and reading, for both ends.

use {
    crate::gateway::peers::message::{MAX_MESSAGE, MessageError},
    bytes::Bytes,
    futures_util::SinkExt,
    std::{io, time::Duration},
    thiserror::Error,
    tokio::{net::TcpStream, time::timeout},
    tokio_tungstenite::{
        WebSocketStream,
        tungstenite::{self, Message, protocol::WebSocketConfig},
    },
};

/// Timeout of the first attempt to open a link: for connecting, and again for the upgrade to WebSocket.
pub(crate) const LINK_TIMEOUT: Duration = Duration::from_millis(300);

/// The same timeout for the second and last attempt. A daemon to which hundreds of others open links at once answers
/// slowly although it is alive. A daemon that is really lost is detected by its missing heartbeats, which closes the
/// link.
pub(crate) const LINK_RETRY_TIMEOUT: Duration = Duration::from_millis(900);

/// Longest pause between the two attempts; the actual pause is a random fraction of it.
pub(crate) const LINK_RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Timeout for fetching table data or an endpoint list, and for the other end to accept a message.
pub(crate) const FETCH_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Interval between pings on a link with pending requests, and on an idle one. Two of the shorter intervals fit into
/// [`PING_TIMEOUT`].
pub(crate) const PING_INTERVAL: Duration = Duration::from_millis(400);
pub(crate) const IDLE_PING_INTERVAL: Duration = Duration::from_secs(2);

/// Time after a ping within which the other end has to send something; otherwise the link is closed, so that no request
/// waits on a connection that has failed without a reset. It equals the time for which a daemon that broadcasts its
/// heartbeats may be silent.
pub(crate) const PING_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Silence after which the serving end closes a link on which it has received pings before: the time of several pings.
pub(crate) const SILENCE_TIMEOUT: Duration = Duration::from_secs(10);

/// Capacity of the queues of requests and replies of one link, in messages; further requests fail.
pub(crate) const QUEUE_CAPACITY: usize = 1_024;

/// A link over one TCP connection.
pub(crate) type LinkSocket = WebSocketStream<TcpStream>;

/// Reason for which a link ended or was never established.
#[derive(Debug, Error)]
pub(crate) enum LinkError {
    /// The TCP connection couldn't be opened or configured.
    #[error("the TCP connection to the peer failed: {0}")]
    Connection(#[from] io::Error),
    /// The upgrade to WebSocket took too long; the other end may be blocked or not be a daemon.
    #[error("the WebSocket upgrade of the link took longer than {0:?}")]
    UpgradeTimeout(Duration),
    /// The connection failed, or the other end doesn't speak WebSocket.
    #[error("the WebSocket connection of the link failed: {0}")]
    Socket(#[from] tungstenite::Error),
    /// The other end asked for a relay, and its request was invalid or its connection failed.
    #[error("the connection of a relay failed: {0}")]
    Relay(#[from] hyper::Error),
    /// The other end didn't accept a message in time.
    #[error("the other end of the link didn't accept a message for {FETCH_TIMEOUT:?}")]
    WriteTimeout,
    /// The connection is silent, although the other daemon may be alive.
    #[error("the other end of the link sent nothing for {0:?} after a ping")]
    Silent(Duration),
    /// The other end closed the link.
    #[error("the other end closed the link")]
    Closed,
    /// The other end sent a frame that can't be decoded.
    #[error(transparent)]
    Message(#[from] MessageError),
}

/// Returns the WebSocket configuration, which limits the size of messages.
pub(crate) fn config() -> WebSocketConfig {
    WebSocketConfig::default()
        .max_message_size(Some(MAX_MESSAGE))
        .max_frame_size(Some(MAX_MESSAGE))
}

impl LinkError {
    /// Returns whether the other end didn't answer in time and may just be busy.
    pub(crate) fn is_slow(&self) -> bool {
        match self {
            Self::Connection(error) => error.kind() == io::ErrorKind::TimedOut,
            Self::UpgradeTimeout(_) => true,
            _ => false,
        }
    }
}

/// Waits for an upgrade to WebSocket, for at most `limit`.
pub(crate) async fn upgraded<T>(
    limit: Duration,
    upgrade: impl Future<Output = Result<T, tungstenite::Error>>,
) -> Result<T, LinkError> {
    let upgraded = timeout(limit, upgrade)
        .await
        .map_err(|_| LinkError::UpgradeTimeout(limit))??;
    Ok(upgraded)
}

/// Sends one binary message.
pub(crate) async fn send(socket: &mut LinkSocket, bytes: Vec<u8>) -> Result<(), LinkError> {
    send_message(socket, Message::Binary(bytes.into())).await
}

/// Sends a ping, which the WebSocket library at the other end answers.
pub(crate) async fn ping(socket: &mut LinkSocket) -> Result<(), LinkError> {
    send_message(socket, Message::Ping(Bytes::new())).await
}

async fn send_message(socket: &mut LinkSocket, message: Message) -> Result<(), LinkError> {
    timeout(FETCH_TIMEOUT, socket.send(message))
        .await
        .map_err(|_| LinkError::WriteTimeout)??;
    Ok(())
}

/// Returns the bytes of a binary message; `None` for any other, such as a ping.
pub(crate) fn read(
    message: Option<Result<Message, tungstenite::Error>>,
) -> Result<Option<Bytes>, LinkError> {
    match message {
        None | Some(Ok(Message::Close(_))) => Err(LinkError::Closed),
        Some(Err(error)) => Err(error.into()),
        Some(Ok(Message::Binary(bytes))) => Ok(Some(bytes)),
        Some(Ok(_)) => Ok(None),
    }
}
