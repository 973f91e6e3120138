//! Loads of all daemons together at endpoints: summed up by the coordinator of each service, and
//! used by everybody to choose among endpoints.
//!
//! In a small fleet every daemon receives every heartbeat and sums up by itself; in a larger one
//! coordinators send their sums in load digests.

use {
    crate::{
        gateway::{
            hashes::{EndpointHash, endpoint_hash},
            peers::{membership::Coordinator, message::LoadNote},
            routing::endpoint_state::PeerLoad,
            state::GatewayState,
        },
        shared::units::{Millis, Time},
    },
    foldhash::HashMap,
};

/// Time after which a sum is stale; a coordinator sends one with every heartbeat. Chosen, not
/// measured.
const STALE: Millis = Millis(1_500);

/// Sums of loads by endpoint, as coordinators sent them.
#[derive(Debug, Default)]
pub struct LoadSums {
    sums: HashMap<EndpointHash, LoadSum>,
}

/// The sum at one endpoint, and when it was received.
#[derive(Debug, Clone, Copy)]
struct LoadSum {
    at: Time,
    load: PeerLoad,
}

impl LoadSums {
    /// Merges sums; an endpoint that isn't named keeps its last one.
    pub fn merge(&mut self, now: Time, loads: &[LoadNote]) {
        for note in loads {
            let load = PeerLoad {
                running: note.running,
                prefill: f64::from(note.prefill),
            };
            self.sums.insert(note.endpoint, LoadSum { at: now, load });
        }
    }

    /// Drops stale sums.
    pub fn expire(&mut self, now: Time) {
        self.sums
            .retain(|_, sum| now.since(sum.at) < STALE.to_duration());
    }

    /// Returns the sums by endpoint, this daemon's own part included.
    pub fn by_endpoint(&self) -> HashMap<EndpointHash, PeerLoad> {
        let loads = self.sums.iter();
        loads.map(|(endpoint, sum)| (*endpoint, sum.load)).collect()
    }
}

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
        self.sums.expire(now);
        self.endpoints.set_total_loads(&self.sums.by_endpoint());
    }
}
