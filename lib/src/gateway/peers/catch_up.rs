//! Fetches a newer endpoint list from daemons that report one.
//!
//! The rule is [`rules::catch_up`](crate::gateway::rules::catch_up); this module checks once per heartbeat interval
//! whether a fetch is due, and sends the request. It runs as a separate task from `table_fetch`, so that a large table
//! transfer doesn't delay changes of endpoints.

use {
    crate::gateway::{
        dialect::Dialect,
        directory::source::Topic,
        peers::{
            link_socket::FETCH_TIMEOUT,
            message::{LinkReply, LinkRequest},
        },
        rules::{
            catch_up::{self, DirectoryReading, ListFetch},
            directory_reads::ReadDuty,
            fetch_turn,
            gossip::HEARTBEAT,
        },
        state::Gateway,
    },
    std::{net::SocketAddr, rc::Rc},
    tokio::time::{MissedTickBehavior, interval, timeout},
};

/// A newer endpoint list that another daemon has, and what to fetch of it.
struct NewerList {
    peer: SocketAddr,
    fetch: ListFetch,
}

/// Fetches newer endpoint lists until the process ends.
pub async fn run_list_fetch<D: Dialect>(gateway: Rc<Gateway<D>>) {
    let mut ticks = interval(HEARTBEAT.to_duration());
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        record_behind(&gateway);
        catch_up_endpoints(&gateway).await;
        record_behind(&gateway);
    }
}

/// Records since when any peer has had a newer list than this daemon.
fn record_behind<D: Dialect>(gateway: &Gateway<D>) {
    let now = gateway.now();
    let mut state = gateway.state.borrow_mut();
    let known = state.catalogue.revision();
    let newer = state.peers.has_newer_catalogue(known);
    state.behind_since.list = catch_up::behind_since(now, state.behind_since.list, newer);
}

async fn catch_up_endpoints<D: Dialect>(gateway: &Gateway<D>) {
    let Some(newer) = newer_list(gateway) else {
        return;
    };
    let request = match newer.fetch {
        ListFetch::Whole => LinkRequest::Endpoints,
        ListFetch::Changes(known) => LinkRequest::changes(known),
    };
    let source = format!("peer {}", newer.peer);
    record_asked(gateway);
    match fetch(gateway, newer.peer, request).await {
        Some(LinkReply::Endpoints(list)) => gateway.replace_endpoints(list, &source),
        Some(LinkReply::Changes(changes)) => gateway.apply_changes(changes, &source),
        // The next tick asks this peer again, or another one.
        _ => return,
    }
    let now = gateway.now();
    let mut state = gateway.state.borrow_mut();
    if state.catalogue.revision() > newer.fetch.known() {
        state.behind_since = state.behind_since.after_changes(now);
    }
}

/// Records that a daemon is asked. In a large fleet its answer may take long, so the time for which this daemon has
/// been behind starts again: a daemon that leaves the reads of the directory to peers shouldn't start to read before the
/// request has timed out.
fn record_asked<D: Dialect>(gateway: &Gateway<D>) {
    let now = gateway.now();
    let mut state = gateway.state.borrow_mut();
    if fetch_turn::is_spread(state.peers.daemons()) {
        state.behind_since = state.behind_since.after_changes(now);
    }
}

/// Returns the newer endpoint list to fetch now, if there is one.
fn newer_list<D: Dialect>(gateway: &Gateway<D>) -> Option<NewerList> {
    let now = gateway.now();
    let covered = gateway.read_duty() != ReadDuty::Read;
    let state = gateway.state.borrow();
    // The directory is already sending the whole list.
    if !state.has_list && state.contact.is_receiving(Topic::Endpoints) {
        return None;
    }
    let reading = DirectoryReading {
        covered,
        answered: state.contact.reads.answered.unwrap_or_default(),
        wait: gateway.settings().bounds.directory_wait(),
    };
    let known = state.has_list.then(|| state.catalogue.revision());
    let fetch = catch_up::list_fetch(now, known, reading)?;
    let holders = state.peers.catalogue_holders(now, fetch.known());
    let daemons = state.peers.daemons();
    if !fetch_turn::is_turn(holders, daemons, rand::random()) {
        return None;
    }
    let sources = fetch_turn::sources(holders, daemons, rand::random());
    let peer = state
        .peers
        .newer_catalogue(fetch.known(), sources, rand::random())?;
    Some(NewerList { peer, fetch })
}

/// Sends a peer a request; returns `None` if it doesn't reply within [`FETCH_TIMEOUT`].
async fn fetch<D: Dialect>(
    gateway: &Gateway<D>,
    peer: SocketAddr,
    request: LinkRequest,
) -> Option<LinkReply> {
    timeout(FETCH_TIMEOUT, gateway.links.request(peer, request))
        .await
        .ok()?
}
