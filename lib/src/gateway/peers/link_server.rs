//! Serves the requests that other daemons send on links.
//!
//! Each request runs in a separate task, so that a running job doesn't delay other requests. When a link ends,
//! its requests are cancelled.

use {
    crate::gateway::{
        dialect::Dialect,
        peers::{
            link_socket::{
                LINK_RETRY_TIMEOUT, LinkError, LinkSocket, QUEUE_CAPACITY, SILENCE_TIMEOUT, config,
                read, send, upgraded,
            },
            message::{Frame, JobOrder, LinkReply, LinkRequest, Phase, decode, encode},
        },
        reach::relay_server::{asks_for_relay, serve_relay},
        revision::Revision,
        state::Gateway,
        table_chunks::{ChunkHash, ChunkList},
        wire::listen::accept_each,
    },
    bytes::Bytes,
    foldhash::HashMap,
    futures_util::StreamExt,
    std::{future, rc::Rc},
    tokio::{
        net::{TcpListener, TcpStream},
        sync::mpsc,
        task::{self, AbortHandle, JoinSet},
        time::{Instant, sleep_until},
    },
    tokio_tungstenite::{
        accept_async_with_config,
        tungstenite::{self, Message},
    },
};

/// Accepts links from other daemons until the process ends.
pub async fn serve_links<D: Dialect>(gateway: Rc<Gateway<D>>, listener: Rc<TcpListener>) {
    accept_each(&listener, "link.accept_failed", |stream, from| {
        let gateway = gateway.clone();
        task::spawn_local(async move {
            if let Err(error) = serve_connection(gateway, stream).await {
                log::info!(from:% = from, error:%; "link.ended");
            }
        });
    })
    .await;
}

/// Serves a connection of another daemon: a link, or a request to relay a connection to an endpoint.
async fn serve_connection<D: Dialect>(
    gateway: Rc<Gateway<D>>,
    stream: TcpStream,
) -> Result<(), LinkError> {
    if asks_for_relay(&stream).await? {
        return Ok(serve_relay(gateway, stream).await?);
    }
    serve_link(gateway, stream).await
}

async fn serve_link<D: Dialect>(
    gateway: Rc<Gateway<D>>,
    stream: TcpStream,
) -> Result<(), LinkError> {
    let mut socket = accept_link(stream).await?;
    let (replies, mut finished) = mpsc::channel::<Frame<LinkReply>>(QUEUE_CAPACITY);
    let mut tasks = JoinSet::new();
    let mut running: HashMap<u64, AbortHandle> = HashMap::default();
    let mut detector = SilenceDetector::default();
    loop {
        tokio::select! {
            () = detector.silence() => return Err(LinkError::Silent(SILENCE_TIMEOUT)),
            Some(frame) = finished.recv() => {
                running.remove(&frame.number);
                send(&mut socket, encode(&frame)).await?;
            }
            // A finished task has sent its reply; a cancelled one sends none.
            Some(_) = tasks.join_next() => {}
            message = socket.next() => {
                detector.record(&message);
                let Some(bytes) = read(message)? else { continue };
                let frame: Frame<LinkRequest> = decode(&bytes)?;
                if let LinkRequest::Cancel(number) = frame.content {
                    if let Some(task) = running.remove(&number) {
                        task.abort();
                    }
                    continue;
                }
                let number = frame.number;
                let task = tasks.spawn_local(reply_to(gateway.clone(), frame, replies.clone()));
                running.insert(number, task);
            }
        }
    }
}

/// Detects silence of the daemon that opened a link, from its pings.
#[derive(Debug, Default)]
struct SilenceDetector {
    /// Time at which the last message was received; `None` until the first ping. An older release sends no pings, so
    /// its links may be silent for any time.
    last: Option<Instant>,
}

impl SilenceDetector {
    fn record(&mut self, message: &Option<Result<Message, tungstenite::Error>>) {
        let is_ping = matches!(message, Some(Ok(Message::Ping(_))));
        if is_ping || self.last.is_some() {
            self.last = Some(Instant::now());
        }
    }

    /// Waits until no message has been received for [`SILENCE_TIMEOUT`].
    async fn silence(&self) {
        match self.last {
            Some(last) => sleep_until(last + SILENCE_TIMEOUT).await,
            None => future::pending().await,
        }
    }
}

async fn accept_link(stream: TcpStream) -> Result<LinkSocket, LinkError> {
    stream.set_nodelay(true)?;
    let upgrade = accept_async_with_config(stream, Some(config()));
    upgraded(LINK_RETRY_TIMEOUT, upgrade).await
}

async fn reply_to<D: Dialect>(
    gateway: Rc<Gateway<D>>,
    frame: Frame<LinkRequest>,
    replies: mpsc::Sender<Frame<LinkReply>>,
) {
    let reply = Frame {
        number: frame.number,
        content: reply(&gateway, frame.content).await,
    };
    // Sending fails if the link has ended; then nobody waits for the reply.
    let _ = replies.send(reply).await;
}

async fn reply<D: Dialect>(gateway: &Gateway<D>, request: LinkRequest) -> LinkReply {
    match request {
        LinkRequest::Table => table(gateway),
        LinkRequest::ChunkList => chunk_list(gateway),
        LinkRequest::Chunks(wanted) => chunks(gateway, wanted),
        LinkRequest::Endpoints => endpoints(gateway),
        LinkRequest::Changes(number) => changes(gateway, number.into()),
        LinkRequest::ChangesInEra(era, number) => changes(gateway, Revision::new(era, number)),
        LinkRequest::Job(order) => run_job(gateway, order).await,
        LinkRequest::Release(service, handles) => {
            gateway
                .state
                .borrow_mut()
                .stage_queues
                .release(&service, handles);
            gateway.stage_work.notify_one();
            LinkReply::Done
        }
        // `serve_link` handles cancellations itself, and a cancelled request has no reply.
        LinkRequest::Cancel(_) => LinkReply::Done,
    }
}

fn table<D: Dialect>(gateway: &Gateway<D>) -> LinkReply {
    match gateway.published() {
        Some(published) => LinkReply::Table {
            bytes: published.bytes.to_vec(),
        },
        None => LinkReply::Unable,
    }
}

fn chunk_list<D: Dialect>(gateway: &Gateway<D>) -> LinkReply {
    let Some(published) = gateway.published() else {
        return LinkReply::Unable;
    };
    let Revision { era, number } = gateway.state.borrow().table_until();
    LinkReply::ChunkList(ChunkList {
        version: published.table.version,
        fingerprint: published.fingerprint,
        revision: number,
        era,
        marks: published.chunks().marks().to_vec(),
    })
}

/// Replies with chunks of the table, unless the network link is fully used.
fn chunks<D: Dialect>(gateway: &Gateway<D>, wanted: Vec<ChunkHash>) -> LinkReply {
    let now = gateway.now();
    let Some(published) = gateway.published() else {
        return LinkReply::Unable;
    };
    let batches = &mut gateway.state.borrow_mut().chunk_batches;
    if !batches.may_send(now) {
        return LinkReply::Busy;
    }
    let batch = batches.get(&wanted).or_else(|| {
        let batch = Bytes::from(published.chunks().batch(&wanted)?);
        batches.insert(wanted, batch.clone());
        Some(batch)
    });
    let Some(batch) = batch else {
        return LinkReply::Unable;
    };
    batches.record(now, &batch, gateway.settings().link);
    LinkReply::Chunks {
        batch: batch.to_vec(),
    }
}

/// Replies with the whole endpoint list.
fn endpoints<D: Dialect>(gateway: &Gateway<D>) -> LinkReply {
    let state = gateway.state.borrow();
    if !state.has_list {
        return LinkReply::Unable;
    }
    LinkReply::Endpoints(state.catalogue.list())
}

/// Replies with the changes after a revision, or with the whole list if these are no longer known.
fn changes<D: Dialect>(gateway: &Gateway<D>, revision: Revision) -> LinkReply {
    let changes = gateway.state.borrow().catalogue.changes_since(revision);
    match changes {
        Some(changes) => LinkReply::Changes(changes),
        None => endpoints(gateway),
    }
}

async fn run_job<D: Dialect>(gateway: &Gateway<D>, order: JobOrder) -> LinkReply {
    if gateway.phase() == Phase::Starting {
        return LinkReply::Unable;
    }
    let service = order.service.clone();
    let job = order.into_job(gateway.now());
    LinkReply::Job(gateway.run_locally(&service, job).await)
}
