//! Sums of all daemons' loads on endpoints, which every daemon uses to choose among endpoints.
//!
//! In a small fleet every daemon receives every heartbeat and computes the sums itself. In a larger one
//! the coordinator of each service sends its sums in load digests.

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
    /// Returns the next digest: the loads of all daemons on the endpoints of the services that this
    /// daemon coordinates, as chosen by [`gossip::digest_loads`].
    pub fn next_digest(&mut self, now: Time, ready: bool) -> Vec<LoadNote> {
        let Some(published) = &self.published else {
            return Vec::new();
        };
        let reported = self.peers.reported_loads();
        let was_named = |load: &LoadNote| self.reported_busy.contains(&load.endpoint);
        let services = published.table.services();
        let mine = services.filter(|service| {
            self.peers.coordinator(now, &service.id, ready, &[]) == Coordinator::Local
        });
        let digests = mine.map(|service| {
            let members = self.endpoints.service(&service.id);
            let loads = members.map(|member| total_load(member, &reported));
            gossip::digest_loads(loads.collect(), was_named)
        });
        let digest: Vec<LoadNote> = digests.flatten().collect();
        let named = digest.iter().filter(|load| !load.is_zero());
        self.reported_busy = named.map(|load| load.endpoint).collect();
        digest
    }

    /// Updates the loads of other daemons on each endpoint: from their heartbeats in a small fleet, else
    /// from the coordinators' sums without this daemon's own load.
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

/// Returns the load of all daemons on an endpoint; `reported` has the loads that the others report.
fn total_load(member: &EndpointState, reported: &HashMap<EndpointHash, PeerLoad>) -> LoadNote {
    let others = reported.get(&member.hash).copied().unwrap_or_default();
    LoadNote {
        endpoint: member.hash,
        running: member.running + others.running,
        prefill: (member.prefill + others.prefill) as u32,
    }
}
