//! The WebSocket under a link, the same at both ends: its limits, its errors, sending and reading.

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

/// Longest time to connect, and again to upgrade the connection, at the first try.
pub(crate) const LINK_LIMIT: Duration = Duration::from_millis(300);

/// The same at the second and last try: a daemon to which hundreds open links at once is slow to answer, and lives.
/// One that is really lost is noticed by its heartbeats, which ends the link.
pub(crate) const PATIENT_LIMIT: Duration = Duration::from_millis(900);

/// Longest pause between the two tries, of which a random part is waited.
pub(crate) const LINK_PAUSE: Duration = Duration::from_millis(100);

/// Longest time for a table or a list, and for the other end to accept a message.
pub(crate) const FETCH_LIMIT: Duration = Duration::from_millis(1_500);

/// Time between two pings on a link where a reply is awaited, and on one that rests. Two of the first fit into
/// [`LINK_SILENCE`].
pub(crate) const PING_WAITING: Duration = Duration::from_millis(400);
pub(crate) const PING_RESTING: Duration = Duration::from_secs(2);

/// Time after a ping in which the other end has to send something, so that a connection that has gone silent without a
/// reset isn't waited on: as long as a daemon that sends heartbeats to all may be silent.
pub(crate) const LINK_SILENCE: Duration = Duration::from_millis(1_000);

/// Silence after which a link that was pinged before is closed by the end that replies: some pings.
pub(crate) const PING_MISSING: Duration = Duration::from_secs(10);

/// Messages that may wait on one link before it counts as stuck.
pub(crate) const QUEUE: usize = 1_024;

/// A link over one TCP connection.
pub(crate) type LinkSocket = WebSocketStream<TcpStream>;

/// Why a link ended, or never came up.
#[derive(Debug, Error)]
pub(crate) enum LinkError {
    /// No TCP connection came up, or it couldn't be set up.
    #[error("no connection: {0}")]
    Connection(#[from] io::Error),
    /// The other end didn't answer the upgrade in time; it may be stuck or no daemon.
    #[error("no upgrade within {0:?}")]
    UpgradeTime(Duration),
    /// The connection failed, or the other end doesn't speak WebSocket.
    #[error("link failed: {0}")]
    Socket(#[from] tungstenite::Error),
    /// The other end didn't accept a message in time.
    #[error("the other end didn't read for {FETCH_LIMIT:?}")]
    WriteTime,
    /// The connection has gone silent, although the other daemon may live.
    #[error("nothing came for {0:?} after a ping")]
    Silent(Duration),
    /// The other end closed the link.
    #[error("closed by the other end")]
    Closed,
    /// The other end sent something else than a message of its kind.
    #[error(transparent)]
    Message(#[from] MessageError),
}

/// Returns the limits on messages.
pub(crate) fn config() -> WebSocketConfig {
    WebSocketConfig::default()
        .max_message_size(Some(MAX_MESSAGE))
        .max_frame_size(Some(MAX_MESSAGE))
}

impl LinkError {
    /// Returns whether the other end didn't answer in time, and may be busy.
    pub(crate) fn is_slow(&self) -> bool {
        match self {
            Self::Connection(error) => error.kind() == io::ErrorKind::TimedOut,
            Self::UpgradeTime(_) => true,
            _ => false,
        }
    }
}

/// Waits for an upgrade, for a limit at most.
pub(crate) async fn upgraded<T>(
    limit: Duration,
    upgrade: impl Future<Output = Result<T, tungstenite::Error>>,
) -> Result<T, LinkError> {
    let upgraded = timeout(limit, upgrade)
        .await
        .map_err(|_| LinkError::UpgradeTime(limit))??;
    Ok(upgraded)
}

/// Sends one message.
pub(crate) async fn send(socket: &mut LinkSocket, bytes: Vec<u8>) -> Result<(), LinkError> {
    send_message(socket, Message::Binary(bytes.into())).await
}

/// Sends a ping, which the other end answers by itself.
pub(crate) async fn ping(socket: &mut LinkSocket) -> Result<(), LinkError> {
    send_message(socket, Message::Ping(Bytes::new())).await
}

async fn send_message(socket: &mut LinkSocket, message: Message) -> Result<(), LinkError> {
    timeout(FETCH_LIMIT, socket.send(message))
        .await
        .map_err(|_| LinkError::WriteTime)??;
    Ok(())
}

/// Returns the bytes of a message; nothing for one that carries none, such as a ping.
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
