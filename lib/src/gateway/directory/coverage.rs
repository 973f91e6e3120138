//! Finds out whether peers read the directory for this daemon, and waits while they do.
//!
//! Relies on the rule [`directory_reads`](crate::gateway::rules::directory_reads) and on what peers
//! report of their reads; owns nothing.

use crate::gateway::{
    dialect::Dialect,
    directory::source::Topic,
    peers::message::Phase,
    rules::directory_reads::{COVER_CHECK, PeerKnowledge, Reader, is_covered},
    state::{Gateway, GatewayState},
};

impl GatewayState {
    /// Returns this daemon as a reader of the directory.
    pub(crate) fn reader(&self) -> Reader {
        Reader {
            small_fleet: self.peers.is_small(),
            coordinates: self.peers.coordinates(),
        }
    }
}

impl<D: Dialect> Gateway<D> {
    /// Returns whether peers read the directory for this daemon just now.
    pub fn is_covered(&self) -> bool {
        let wait = self.settings().bounds.directory_wait();
        let now = self.now();
        if self.phase() != Phase::Ready {
            return false;
        }
        let state = self.state.borrow();
        let peers = PeerKnowledge {
            lags: state.lags(now),
            read_age: state.peers.read_age(now),
        };
        is_covered(state.reader(), peers, wait)
    }
}

/// Waits until peers no longer read the directory for this daemon.
pub(crate) async fn wait_uncovered<D: Dialect>(gateway: &Gateway<D>, topic: Topic) {
    log::info!(topic:? = topic, read_ms = read_ms(gateway); "directory.covered");
    while gateway.is_covered() {
        tokio::time::sleep(COVER_CHECK.to_duration()).await;
    }
    let state = gateway.state.borrow();
    log::info!(
        topic:? = topic,
        read_ms = read_ms(gateway),
        coordinates = state.peers.coordinates(),
        behind = state.behind_since.knows_newer(),
        peers = state.peers.daemons() - 1;
        "directory.uncovered"
    );
}

/// Returns the milliseconds since the directory answered a peer that reports its reads; the largest
/// number if there is no such peer.
fn read_ms<D: Dialect>(gateway: &Gateway<D>) -> u64 {
    let age = gateway.state.borrow().peers.read_age(gateway.now());
    age.map_or(u64::MAX, |age| age.0)
}
