//! Loads of all daemons together at endpoints: summed up by the coordinator of each service, and
//! used by everybody to choose among endpoints.
//!
//! In a small fleet every daemon receives every heartbeat and sums up by itself; in a larger one
//! coordinators send their sums in load digests.

use {
    crate::{
        gateway::{
            hashes::EndpointHash,
            peers::message::LoadNote,
            routing::endpoint_state::{EndpointState, PeerLoad},
            rules::{coordinator::Coordinator, gossip},
            state::GatewayState,
        },
        shared::units::Time,
    },
    foldhash::HashMap,
};

impl GatewayState {
    /// Returns the next digest: what all daemons have in flight at the endpoints of the services that this
    /// daemon coordinates, as far as [`gossip::digest_loads`] names it.
    pub fn next_digest(&mut self, now: Time, ready: bool) -> Vec<LoadNote> {
        let Some(published) = &self.published else {
            return Vec::new();
        };
        let reported = self.peers.reported_loads();
        let was_named = |load: &LoadNote| self.reported_busy.contains(&load.endpoint);
        let services = published.table.services();
        let mine = services.filter(|service| {
            self.peers.coordinator(now, &service.id, ready, &[]) == Coordinator::Me
        });
        let digests = mine.map(|service| {
            let members = self.endpoints.service(&service.id);
            let loads = members.map(|member| whole_load(member, &reported));
            gossip::digest_loads(loads.collect(), was_named)
        });
        let digest: Vec<LoadNote> = digests.flatten().collect();
        let named = digest.iter().filter(|load| !load.is_zero());
        self.reported_busy = named.map(|load| load.endpoint).collect();
        digest
    }

    /// Updates what other daemons have in flight at each endpoint: as each of them reports it, or
    /// as coordinators sum it up, this daemon's own part left out.
    pub fn update_peer_loads(&mut self, now: Time) {
        if self.peers.is_small() {
            let loads = self.peers.reported_loads();
            self.endpoints.set_peer_loads(&loads);
            return;
        }
        self.load_sums.expire(now);
        self.endpoints
            .set_total_loads(&self.load_sums.by_endpoint());
    }
}

/// Returns what all daemons have in flight at an endpoint; `reported` is what the others report.
fn whole_load(member: &EndpointState, reported: &HashMap<EndpointHash, PeerLoad>) -> LoadNote {
    let others = reported.get(&member.hash).copied().unwrap_or_default();
    LoadNote {
        endpoint: member.hash,
        running: member.running + others.running,
        prefill: (member.prefill + others.prefill) as u32,
    }
}
