//! Links to other daemons: WebSocket connections with one CBOR frame per message.
//!
//! The daemon that opened a link sends requests, the other one replies. [`Links`] owns all links that
//! this daemon opened; each runs in a separate task. A link is closed when the other daemon is lost, and also when
//! pings show that the connection is silent although the daemon is alive; pending requests then fail at once.

use {
    crate::gateway::{
        peers::{
            link_socket::{
                IDLE_PING_INTERVAL, LINK_RETRY_PAUSE, LINK_RETRY_TIMEOUT, LINK_TIMEOUT, LinkError,
                LinkSocket, PING_INTERVAL, PING_TIMEOUT, QUEUE_CAPACITY, config, ping, read, send,
                upgraded,
            },
            message::{Frame, LinkReply, LinkRequest, decode, encode},
        },
        rules::gossip::HEARTBEAT,
        wire::egress,
    },
    foldhash::HashMap,
    futures_util::StreamExt,
    std::{cell::RefCell, net::SocketAddr, time::Duration},
    tokio::{
        sync::{mpsc, oneshot},
        task::{self, AbortHandle},
        time::{Instant, MissedTickBehavior, interval},
    },
    tokio_tungstenite::client_async_with_config,
};

/// Links that this daemon opened, by the address of the other daemon.
#[derive(Debug, Default)]
pub struct Links {
    open: RefCell<HashMap<SocketAddr, Link>>,
}

#[derive(Debug, Clone)]
struct Link {
    requests: mpsc::Sender<PendingRequest>,
    task: AbortHandle,
}

/// A request to be sent, and the channel for its reply.
#[derive(Debug)]
struct PendingRequest {
    content: LinkRequest,
    reply: oneshot::Sender<LinkReply>,
}

impl Links {
    /// Sends a request to another daemon and returns the reply; `None` if the link breaks or its queue is full.
    /// Dropping the future cancels the request.
    pub async fn request(&self, peer: SocketAddr, content: LinkRequest) -> Option<LinkReply> {
        let requests = self.link(peer).requests;
        let (reply, receiver) = oneshot::channel();
        requests.try_send(PendingRequest { content, reply }).ok()?;
        receiver.await.ok()
    }

    /// Sends another daemon a request whose reply isn't needed.
    pub fn notify(&self, peer: SocketAddr, content: LinkRequest) {
        let (reply, _) = oneshot::channel();
        let request = PendingRequest { content, reply };
        // The request is lost if the queue is full or the link has just closed. If it was a release, the endpoints drop
        // the results after a timeout.
        let _ = self.link(peer).requests.try_send(request);
    }

    /// Closes the link to a daemon that was lost or restarted.
    pub fn close(&self, peer: SocketAddr) {
        if let Some(link) = self.open.borrow_mut().remove(&peer) {
            link.task.abort();
        }
    }

    /// Returns the link to a daemon, opening one if there is none or it broke.
    fn link(&self, peer: SocketAddr) -> Link {
        let mut open = self.open.borrow_mut();
        if let Some(link) = open.get(&peer)
            && !link.requests.is_closed()
        {
            return link.clone();
        }
        let (requests, queue) = mpsc::channel(QUEUE_CAPACITY);
        let task = task::spawn_local(async move {
            if let Err(error) = run_link(peer, queue).await {
                log::info!(peer:% = peer, error:%; "link.closed");
            }
        });
        let link = Link {
            requests,
            task: task.abort_handle(),
        };
        open.insert(peer, link.clone());
        link
    }
}

/// Sends requests to one daemon until the link breaks. Requests that are pending then get no reply.
async fn run_link(
    peer: SocketAddr,
    mut requests: mpsc::Receiver<PendingRequest>,
) -> Result<(), LinkError> {
    let mut session = LinkSession::open(peer).await?;
    let mut sweep = interval(HEARTBEAT.to_duration());
    // After a stall of this process, the missed sweeps must not count as silence of the other end.
    sweep.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            request = requests.recv() => match request {
                Some(request) => session.send_request(request).await?,
                None => return Ok(()),
            },
            message = session.socket.next() => {
                let bytes = read(message)?;
                session.silent_sweeps = None;
                if let Some(bytes) = bytes {
                    session.receive_reply(&bytes)?;
                }
            }
            _ = sweep.tick() => {
                session.cancel_abandoned().await?;
                session.check_silence().await?;
            }
        }
    }
}

/// One open link, and the reply channels of its pending requests by frame number.
#[derive(Debug)]
struct LinkSession {
    socket: LinkSocket,
    pending: HashMap<u64, oneshot::Sender<LinkReply>>,
    last_number: u64,
    /// Time at which the last ping was sent.
    last_ping: Instant,
    /// Number of sweeps since the first ping after the last received message; `None` if no ping was sent since.
    silent_sweeps: Option<u32>,
}

impl LinkSession {
    /// Opens a link. If the daemon is slow to answer, tries once more with a longer timeout.
    async fn open(peer: SocketAddr) -> Result<Self, LinkError> {
        match Self::open_within(peer, LINK_TIMEOUT).await {
            Err(error) if error.is_slow() => {
                let pause = LINK_RETRY_PAUSE.mul_f64(rand::random());
                tokio::time::sleep(pause).await;
                Self::open_within(peer, LINK_RETRY_TIMEOUT).await
            }
            opened => opened,
        }
    }

    async fn open_within(peer: SocketAddr, limit: Duration) -> Result<Self, LinkError> {
        let stream = egress::open_stream(peer, limit, egress::SERVICE_SILENCE).await?;
        let url = format!("ws://{peer}/link");
        let upgrade = client_async_with_config(url, stream, Some(config()));
        let (socket, _) = upgraded(limit, upgrade).await?;
        Ok(Self {
            socket,
            pending: HashMap::default(),
            last_number: 0,
            last_ping: Instant::now(),
            silent_sweeps: None,
        })
    }

    async fn send_request(&mut self, request: PendingRequest) -> Result<(), LinkError> {
        let number = self.next_number();
        self.pending.insert(number, request.reply);
        let content = request.content;
        send(&mut self.socket, encode(&Frame { number, content })).await
    }

    fn receive_reply(&mut self, bytes: &[u8]) -> Result<(), LinkError> {
        let frame: Frame<LinkReply> = decode(bytes)?;
        if let Some(reply) = self.pending.remove(&frame.number) {
            // Sending fails if the requester has stopped waiting; nobody else needs the reply.
            let _ = reply.send(frame.content);
        }
        Ok(())
    }

    /// Sends a ping if one is due. Returns an error if nothing was received for too long after a ping: the connection
    /// is dead, and its requests would wait in vain, since a daemon that is alive isn't detected as lost.
    async fn check_silence(&mut self) -> Result<(), LinkError> {
        if let Some(sweeps) = &mut self.silent_sweeps {
            *sweeps += 1;
            let silence = HEARTBEAT.to_duration() * *sweeps;
            if silence > PING_TIMEOUT {
                return Err(LinkError::Silent(silence));
            }
        }
        let pause = if self.pending.is_empty() {
            IDLE_PING_INTERVAL
        } else {
            PING_INTERVAL
        };
        if self.last_ping.elapsed() < pause {
            return Ok(());
        }
        self.last_ping = Instant::now();
        self.silent_sweeps.get_or_insert(0);
        ping(&mut self.socket).await
    }

    /// Cancels the requests whose requesters no longer wait for a reply.
    async fn cancel_abandoned(&mut self) -> Result<(), LinkError> {
        let abandoned: Vec<u64> = self
            .pending
            .iter()
            .filter(|(_, reply)| reply.is_closed())
            .map(|(number, _)| *number)
            .collect();
        for request in abandoned {
            self.pending.remove(&request);
            let number = self.next_number();
            let content = LinkRequest::Cancel(request);
            send(&mut self.socket, encode(&Frame { number, content })).await?;
        }
        Ok(())
    }

    fn next_number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }
}
