//! Talks to other daemons: heartbeats in datagrams, and answers to what they ask on links.

use {
    crate::{
        gateway::{
            dialect::Dialect,
            peers::{
                links::{FETCH_LIMIT, LINK_LIMIT, QUEUE, config, read, send},
                membership::{HEARTBEAT, PeerChange},
                message::{
                    Datagram, Frame, Heartbeat, JobOrder, LinkReply, LinkRequest, LoadDigest,
                    PROTOCOL, Phase, Roster, decode, encode,
                },
                pause::PauseDetector,
            },
            stages::job::{JobEnd, StageJob},
            state::Gateway,
            wire::listen::accept_each,
        },
        shared::{
            ids::ServiceId,
            units::{ByteSize, Millis},
        },
    },
    bytes::Bytes,
    foldhash::HashMap,
    futures_util::StreamExt,
    std::{io, net::SocketAddr, rc::Rc},
    tokio::{
        net::{TcpListener, TcpStream, UdpSocket},
        sync::mpsc,
        task::AbortHandle,
    },
    tokio_tungstenite::accept_async_with_config,
};

/// Ports that are tried where the system chooses one.
const PORT_TRIES: u32 = 16;

/// Largest datagram accepted.
const DATAGRAM: usize = 16 * 1024;

/// Loads in one datagram.
const DIGEST_LOADS: usize = 80;

/// Daemons in one part of a roster.
const ROSTER_PEERS: usize = 40;

/// Heartbeats heard without a directory before a list is asked of a peer.
const LIST_LAG: Millis = Millis(500);

/// Accepts links from other daemons for good.
pub async fn serve_links<D: Dialect>(gateway: Rc<Gateway<D>>, listener: TcpListener) {
    accept_each(listener, "link.accept_failed", |stream, from| {
        let gateway = gateway.clone();
        tokio::task::spawn_local(async move {
            if let Err(error) = serve_link(gateway, stream).await {
                log::info!(from:% = from, error; "link.ended");
            }
        });
    })
    .await;
}

async fn serve_link<D: Dialect>(gateway: Rc<Gateway<D>>, stream: TcpStream) -> Result<(), String> {
    stream
        .set_nodelay(true)
        .map_err(|error| error.to_string())?;
    let upgrade = accept_async_with_config(stream, Some(config()));
    let mut socket = tokio::time::timeout(LINK_LIMIT, upgrade)
        .await
        .map_err(|_| "no upgrade in time".to_owned())?
        .map_err(|error| error.to_string())?;
    let (replies, mut done) = mpsc::channel::<Frame<LinkReply>>(QUEUE);
    let mut jobs = tokio::task::JoinSet::new();
    let mut tasks: HashMap<u64, AbortHandle> = HashMap::default();
    loop {
        tokio::select! {
            Some(frame) = done.recv() => {
                tasks.remove(&frame.number);
                send(&mut socket, encode(&frame)).await?;
            }
            Some(_) = jobs.join_next() => {}
            message = socket.next() => {
                let Some(bytes) = read(message)? else { continue };
                let frame: Frame<LinkRequest> = decode(&bytes).map_err(|error| error.to_string())?;
                if let LinkRequest::Cancel(job) = frame.content {
                    if let Some(task) = tasks.remove(&job) {
                        task.abort();
                    }
                    continue;
                }
                let gateway = gateway.clone();
                let replies = replies.clone();
                let task = jobs.spawn_local(async move {
                    let content = answer(&gateway, frame.content).await;
                    // The link may have ended meanwhile.
                    let _ = replies.send(Frame { number: frame.number, content }).await;
                });
                tasks.insert(frame.number, task);
            }
        }
    }
}

async fn answer<D: Dialect>(gateway: &Gateway<D>, ask: LinkRequest) -> LinkReply {
    match ask {
        LinkRequest::Table => match gateway.published() {
            Some(published) => LinkReply::Table {
                bytes: published.bytes.to_vec(),
            },
            None => LinkReply::Unable,
        },
        LinkRequest::Endpoints => endpoints(gateway),
        LinkRequest::Changes(revision) => {
            let changes = gateway.state.borrow().catalogue.changes_since(revision);
            match changes {
                Some(changes) => LinkReply::Changes(changes),
                None => endpoints(gateway),
            }
        }
        LinkRequest::Job(order) => {
            if gateway.phase() == Phase::Starting {
                return LinkReply::Unable;
            }
            let service = order.service.clone();
            let job = job_of(gateway, order);
            LinkReply::Job(gateway.run_locally(&service, job).await)
        }
        LinkRequest::Release(service, handles) => {
            gateway
                .state
                .borrow_mut()
                .planning
                .release(&service, handles);
            gateway.work.notify_one();
            LinkReply::Done
        }
        LinkRequest::Cancel(_) => LinkReply::Done,
    }
}

/// Tells the whole list of endpoints.
fn endpoints<D: Dialect>(gateway: &Gateway<D>) -> LinkReply {
    let state = gateway.state.borrow();
    if !state.listed {
        return LinkReply::Unable;
    }
    let entries = state.catalogue.entries();
    LinkReply::Endpoints {
        revision: state.catalogue.revision(),
        entries: entries.map(|entry| (**entry).clone()).collect(),
    }
}

fn job_of<D: Dialect>(gateway: &Gateway<D>, order: JobOrder) -> StageJob {
    let now = gateway.now();
    let objective = if order.objective_ms >= 0 {
        now + Millis(order.objective_ms as u64)
    } else {
        crate::shared::units::Time(
            now.0
                .saturating_sub(order.objective_ms.unsigned_abs() * 1000),
        )
    };
    StageJob {
        request: order.request,
        stage: order.stage,
        pieces: order.pieces,
        input: order.input,
        deadline: now + Millis(order.remaining_ms),
        objective,
        rank: order.rank,
        result: ByteSize(order.result),
        home: order.home,
        moved: ByteSize(order.moved),
    }
}

/// Turns a job into an order for another daemon; times become relative.
pub fn order_of<D: Dialect>(gateway: &Gateway<D>, service: &ServiceId, job: &StageJob) -> JobOrder {
    let now = gateway.now();
    let objective_us = job.objective.0 as i64 - now.0 as i64;
    JobOrder {
        service: service.clone(),
        request: job.request.clone(),
        stage: job.stage,
        pieces: job.pieces,
        input: job.input.clone(),
        remaining_ms: job.deadline.since(now).as_millis() as u64,
        objective_ms: objective_us / 1000,
        rank: job.rank,
        result: job.result.0,
        home: job.home.clone(),
        moved: job.moved.0,
    }
}

/// Reads how a job ended at another daemon; nothing if that daemon can't tell.
pub fn job_end(reply: Option<LinkReply>) -> Option<JobEnd> {
    match reply {
        Some(LinkReply::Job(end)) => Some(end),
        _ => None,
    }
}

/// Sends heartbeats, and asks peers for what is newer there.
pub async fn run_heartbeats<D: Dialect>(gateway: Rc<Gateway<D>>, socket: Rc<UdpSocket>) {
    let mut ticks = tokio::time::interval(HEARTBEAT.to_duration());
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut pauses = PauseDetector::default();
    loop {
        ticks.tick().await;
        let now = gateway.now();
        if let Some(gap) = pauses.look(now) {
            log::warn!(gap_ms = gap.as_millis() as u64; "pause.noticed");
            gateway.state.borrow_mut().peers.resumed(now);
        }
        let beliefs = gateway.beliefs();
        let changes = gateway.state.borrow_mut().peers.tick(now);
        note_changes(&gateway, &changes);
        let (heartbeat, targets) = gateway.state.borrow_mut().peers.heartbeat(now, beliefs);
        send_to(
            &socket,
            &Datagram::Heartbeat(heartbeat),
            targets.into_iter(),
        );
        tell_loads(&gateway, &socket);
        gateway.state.borrow_mut().update_peer_loads(now);
        gateway.settle_doubts();
    }
}

fn send_to(socket: &UdpSocket, datagram: &Datagram, targets: impl Iterator<Item = SocketAddr>) {
    let bytes = encode(datagram);
    for target in targets {
        // A datagram may be lost in any case.
        let _ = socket.try_send_to(&bytes, target);
    }
}

/// Tells everybody what is in flight at the endpoints that this daemon coordinates, where not every
/// daemon hears every other one.
fn tell_loads<D: Dialect>(gateway: &Gateway<D>, socket: &UdpSocket) {
    let now = gateway.now();
    let ready = gateway.may_coordinate();
    let state = gateway.state.borrow();
    if state.peers.is_small() || !ready {
        return;
    }
    let sums = state.coordinated_loads(now, ready);
    let everybody: Vec<SocketAddr> = state.peers.addresses().collect();
    drop(state);
    for loads in sums.chunks(DIGEST_LOADS) {
        gateway.state.borrow_mut().sums.take(now, loads);
        let digest = LoadDigest {
            protocol: PROTOCOL,
            loads: loads.to_vec(),
        };
        send_to(socket, &Datagram::Loads(digest), everybody.iter().copied());
    }
}

/// Takes in heartbeats for good.
pub async fn hear_heartbeats<D: Dialect>(gateway: Rc<Gateway<D>>, socket: Rc<UdpSocket>) {
    let mut buffer = vec![0; DATAGRAM];
    loop {
        match socket.recv_from(&mut buffer).await {
            Ok((length, from)) => take_datagram(&gateway, &socket, &buffer[..length], from),
            Err(error) => {
                log::warn!(error:%; "heartbeat.receive_failed");
                tokio::time::sleep(HEARTBEAT.to_duration()).await;
            }
        }
    }
}

fn take_datagram<D: Dialect>(
    gateway: &Gateway<D>,
    socket: &UdpSocket,
    bytes: &[u8],
    from: SocketAddr,
) {
    let datagram: Datagram = match decode(bytes) {
        Ok(datagram) => datagram,
        Err(error) => {
            log::debug!(from:% = from, error:%; "heartbeat.refused");
            return;
        }
    };
    let protocol = datagram.protocol();
    if protocol != PROTOCOL {
        log::warn!(from:% = from, protocol; "heartbeat.refused");
        return;
    }
    match datagram {
        Datagram::Heartbeat(heartbeat) => take_heartbeat(gateway, socket, heartbeat, from),
        Datagram::Loads(digest) => {
            let now = gateway.now();
            gateway.state.borrow_mut().sums.take(now, &digest.loads);
        }
        Datagram::Roster(roster) => {
            let now = gateway.now();
            let mut state = gateway.state.borrow_mut();
            let changes = state.peers.take_roster(now, &roster.peers);
            drop(state);
            note_changes(gateway, &changes);
        }
    }
}

fn take_heartbeat<D: Dialect>(
    gateway: &Gateway<D>,
    socket: &UdpSocket,
    heartbeat: Heartbeat,
    from: SocketAddr,
) {
    // A daemon speaks for itself alone.
    if heartbeat.address.ip() != from.ip() {
        log::warn!(from:% = from, protocol = heartbeat.protocol; "heartbeat.refused");
        return;
    }
    let now = gateway.now();
    let (joining, newcomer) = (heartbeat.joining, heartbeat.address);
    let changes = gateway.state.borrow_mut().peers.heard(now, heartbeat);
    note_changes(gateway, &changes);
    if joining {
        tell_roster(gateway, socket, newcomer);
    }
}

/// Tells a daemon that has just started who is alive.
fn tell_roster<D: Dialect>(gateway: &Gateway<D>, socket: &UdpSocket, newcomer: SocketAddr) {
    let living = gateway.state.borrow().peers.roster(gateway.now());
    for part in living.chunks(ROSTER_PEERS) {
        let roster = Roster {
            protocol: PROTOCOL,
            peers: part.to_vec(),
        };
        send_to(socket, &Datagram::Roster(roster), std::iter::once(newcomer));
    }
}

fn note_changes<D: Dialect>(gateway: &Gateway<D>, changes: &[PeerChange]) {
    for change in changes {
        note_change(gateway, change);
    }
}

fn note_change<D: Dialect>(gateway: &Gateway<D>, change: &PeerChange) {
    let (event, address, host) = match change {
        PeerChange::Met(address, host) => ("peer.met", address, host),
        PeerChange::Restarted(address, host) => ("peer.restarted", address, host),
        PeerChange::Lost(address, host) => ("peer.lost", address, host),
    };
    let host = host.as_ref().map_or("", |host| host.as_str());
    log::info!(peer:% = address, host; "{event}");
    if !matches!(change, PeerChange::Met(..)) {
        gateway.links.close(*address);
    }
}

/// Asks peers for a newer table, and for a newer list while the directory is out of reach.
pub async fn run_catch_up<D: Dialect>(gateway: Rc<Gateway<D>>) {
    let mut ticks = tokio::time::interval(HEARTBEAT.to_duration());
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        note_behind(&gateway);
        catch_up_table(&gateway).await;
        catch_up_endpoints(&gateway).await;
        note_behind(&gateway);
    }
}

/// Notes since when a peer has something newer than this daemon.
fn note_behind<D: Dialect>(gateway: &Gateway<D>) {
    let now = gateway.now();
    let version = gateway.published().map_or(0, |p| p.table.version);
    let mut state = gateway.state.borrow_mut();
    let changed = state.catalogue.changed();
    let is_behind = state.peers.newer_table(version).is_some()
        || state.peers.newer_catalogue(changed).is_some();
    state.behind = is_behind.then_some(state.behind.unwrap_or(now));
}

async fn catch_up_table<D: Dialect>(gateway: &Gateway<D>) {
    let version = gateway.published().map_or(0, |p| p.table.version);
    let newer = gateway.state.borrow().peers.newer_table(version);
    let Some((peer, _)) = newer else { return };
    let asked =
        tokio::time::timeout(FETCH_LIMIT, gateway.links.ask(peer, LinkRequest::Table)).await;
    if let Ok(Some(LinkReply::Table { bytes })) = asked {
        let source = format!("peer {peer}");
        gateway.adopt_table(&Bytes::from(bytes), &source);
    }
}

async fn catch_up_endpoints<D: Dialect>(gateway: &Gateway<D>) {
    let now = gateway.now();
    let wait = gateway.settings.bounds.directory_wait();
    let covered = gateway.is_covered();
    let newer = {
        let state = gateway.state.borrow();
        let heard = state.contact.heard.unwrap_or_default();
        let reads = !covered && now.since(heard) < wait + LIST_LAG.to_duration();
        if reads && state.listed {
            return;
        }
        let known = if state.listed {
            state.catalogue.changed()
        } else {
            0
        };
        let newer = state.peers.newer_catalogue(known);
        newer.map(|(peer, _)| (peer, state.listed.then_some(known)))
    };
    let Some((peer, known)) = newer else { return };
    let ask = known.map_or(LinkRequest::Endpoints, LinkRequest::Changes);
    let asked = tokio::time::timeout(FETCH_LIMIT, gateway.links.ask(peer, ask)).await;
    let source = format!("peer {peer}");
    match asked {
        Ok(Some(LinkReply::Endpoints { revision, entries })) => {
            gateway.replace_endpoints(revision, entries, &source);
        }
        Ok(Some(LinkReply::Changes(changes))) => gateway.apply_changes(changes, &source),
        _ => {}
    }
}

/// Opens the sockets for other daemons.
///
/// # Errors
///
/// Returns an error when the address can't be had.
pub async fn bind(address: SocketAddr) -> io::Result<(TcpListener, UdpSocket)> {
    let mut tries = 0;
    loop {
        let listener = TcpListener::bind(address).await?;
        match UdpSocket::bind(listener.local_addr()?).await {
            Ok(socket) => return Ok((listener, socket)),
            // A port that the system chose for one protocol may be taken in the other.
            Err(_) if address.port() == 0 && tries < PORT_TRIES => tries += 1,
            Err(error) => return Err(error),
        }
    }
}
