//! Links to other daemons: WebSocket connections with one CBOR frame a message.
//!
//! The daemon that opened a link asks, the other one answers. A link to a daemon that falls silent
//! is closed, which ends what waits on it at once.

use {
    crate::gateway::{
        peers::{
            membership::HEARTBEAT,
            message::{Frame, LinkReply, LinkRequest, MAX_MESSAGE, decode, encode},
        },
        wire::egress,
    },
    bytes::Bytes,
    foldhash::HashMap,
    futures_util::{SinkExt, StreamExt},
    std::{cell::RefCell, net::SocketAddr, time::Duration},
    tokio::{
        net::TcpStream,
        sync::{mpsc, oneshot},
        task::AbortHandle,
    },
    tokio_tungstenite::{
        WebSocketStream, client_async_with_config,
        tungstenite::{Message, protocol::WebSocketConfig},
    },
};

/// Longest time to set up a link.
pub(crate) const LINK_LIMIT: Duration = Duration::from_millis(300);

/// Longest time for a table or a list.
pub(crate) const FETCH_LIMIT: Duration = Duration::from_millis(1_500);

/// Messages that may wait on one link before it counts as stuck.
pub(crate) const QUEUE: usize = 1_024;

/// Links that this daemon opened, by the other daemon's address.
#[derive(Debug, Default)]
pub struct Links {
    open: RefCell<HashMap<SocketAddr, Link>>,
}

#[derive(Debug, Clone)]
struct Link {
    asks: mpsc::Sender<(LinkRequest, oneshot::Sender<LinkReply>)>,
    task: AbortHandle,
}

impl Links {
    /// Asks another daemon; nothing if there is no answer. Dropping it stops waiting.
    pub async fn ask(&self, peer: SocketAddr, ask: LinkRequest) -> Option<LinkReply> {
        let asks = self.link(peer).asks;
        let (sender, receiver) = oneshot::channel();
        asks.try_send((ask, sender)).ok()?;
        receiver.await.ok()
    }

    /// Tells another daemon something that needs no answer.
    pub fn tell(&self, peer: SocketAddr, ask: LinkRequest) {
        let (sender, _) = oneshot::channel();
        // A full or closed link loses it; whoever tells has to bear that.
        let _ = self.link(peer).asks.try_send((ask, sender));
    }

    /// Closes the link to a daemon that is lost.
    pub fn close(&self, peer: SocketAddr) {
        if let Some(link) = self.open.borrow_mut().remove(&peer) {
            link.task.abort();
        }
    }

    fn link(&self, peer: SocketAddr) -> Link {
        let mut open = self.open.borrow_mut();
        if let Some(link) = open.get(&peer)
            && !link.asks.is_closed()
        {
            return link.clone();
        }
        let (asks, queue) = mpsc::channel(QUEUE);
        let task = tokio::task::spawn_local(async move {
            if let Err(error) = run_link(peer, queue).await {
                log::info!(peer:% = peer, error; "link.closed");
            }
        });
        let link = Link {
            asks,
            task: task.abort_handle(),
        };
        open.insert(peer, link.clone());
        link
    }
}

pub(crate) fn config() -> WebSocketConfig {
    WebSocketConfig::default()
        .max_message_size(Some(MAX_MESSAGE))
        .max_frame_size(Some(MAX_MESSAGE))
}

type Asks = mpsc::Receiver<(LinkRequest, oneshot::Sender<LinkReply>)>;

/// Carries asks to one daemon until the link breaks; all that wait are dropped with it.
async fn run_link(peer: SocketAddr, mut asks: Asks) -> Result<(), String> {
    let stream = egress::open_stream(peer, LINK_LIMIT)
        .await
        .map_err(|error| error.to_string())?;
    let url = format!("ws://{peer}/link");
    let upgrade = client_async_with_config(url, stream, Some(config()));
    let (mut socket, _) = tokio::time::timeout(LINK_LIMIT, upgrade)
        .await
        .map_err(|_| "no upgrade in time".to_owned())?
        .map_err(|error| error.to_string())?;
    let mut waiting: HashMap<u64, oneshot::Sender<LinkReply>> = HashMap::default();
    let mut number = 0;
    let mut sweep = tokio::time::interval(HEARTBEAT.to_duration());
    loop {
        tokio::select! {
            ask = asks.recv() => {
                let Some((content, sender)) = ask else {
                    return Ok(());
                };
                number += 1;
                waiting.insert(number, sender);
                let frame = encode(&Frame { number, content });
                send(&mut socket, frame).await?;
            }
            message = socket.next() => {
                let bytes = read(message)?;
                let Some(bytes) = bytes else { continue };
                let frame: Frame<LinkReply> = decode(&bytes).map_err(|error| error.to_string())?;
                if let Some(sender) = waiting.remove(&frame.number) {
                    // Whoever asked may have left.
                    let _ = sender.send(frame.content);
                }
            }
            _ = sweep.tick() => {
                let left: Vec<u64> = waiting
                    .iter()
                    .filter(|(_, sender)| sender.is_closed())
                    .map(|(number, _)| *number)
                    .collect();
                for job in left {
                    waiting.remove(&job);
                    number += 1;
                    let content = LinkRequest::Cancel(job);
                    send(&mut socket, encode(&Frame { number, content })).await?;
                }
            }
        }
    }
}

pub(crate) async fn send(
    socket: &mut WebSocketStream<TcpStream>,
    bytes: Vec<u8>,
) -> Result<(), String> {
    let sent = socket.send(Message::Binary(bytes.into()));
    tokio::time::timeout(FETCH_LIMIT, sent)
        .await
        .map_err(|_| "the other end doesn't read".to_owned())?
        .map_err(|error| error.to_string())
}

/// Takes the bytes out of a message; nothing for one that carries none.
pub(crate) fn read(
    message: Option<Result<Message, tokio_tungstenite::tungstenite::Error>>,
) -> Result<Option<Bytes>, String> {
    match message {
        None | Some(Ok(Message::Close(_))) => Err("closed by the other end".into()),
        Some(Err(error)) => Err(error.to_string()),
        Some(Ok(Message::Binary(bytes))) => Ok(Some(bytes)),
        Some(Ok(_)) => Ok(None),
    }
}
