//! Loads of all daemons together at endpoints: summed up by the coordinator of each service, and
//! used by everybody to choose among endpoints.
//!
//! In a small fleet every daemon receives every heartbeat and sums up by itself; in a larger one
//! coordinators send their sums in load digests.

use crate::{
    gateway::{
        hashes::endpoint_hash, peers::message::LoadNote, rules::coordinator::Coordinator,
        state::GatewayState,
    },
    shared::units::Time,
};

impl GatewayState {
    /// Returns what all daemons have in flight at the endpoints of the services that this daemon
    /// coordinates.
    pub fn coordinated_loads(&self, now: Time, ready: bool) -> Vec<LoadNote> {
        let Some(published) = &self.published else {
            return Vec::new();
        };
        let reported = self.peers.reported_loads();
        published
            .table
            .services()
            .filter(|service| {
                self.peers.coordinator(now, &service.id, ready, &[]) == Coordinator::Me
            })
            .flat_map(|service| self.endpoints.service(&service.id))
            .map(|member| {
                let endpoint = endpoint_hash(&member.entry.id);
                let others = reported.get(&endpoint).copied().unwrap_or_default();
                LoadNote {
                    endpoint,
                    running: member.running + others.running,
                    prefill: (member.prefill + others.prefill) as u32,
                }
            })
            .collect()
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
