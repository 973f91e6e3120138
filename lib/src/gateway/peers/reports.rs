//! Sums of the loads and the outstanding work that other daemons report.
//!
//! Only heartbeats of daemons that are alive count.

use {
    crate::gateway::{
        hashes::{EndpointHash, ServiceHash},
        peers::membership::Peers,
        routing::endpoint_state::PeerLoad,
        rules::coordinator::Coordinator,
    },
    foldhash::HashMap,
};

impl Peers {
    /// Sums up what other daemons have in flight, by endpoint, as their heartbeats report it here.
    pub fn reported_loads(&self) -> HashMap<EndpointHash, PeerLoad> {
        let mut sums: HashMap<EndpointHash, PeerLoad> = HashMap::default();
        for load in self.heartbeats().flat_map(|heartbeat| &heartbeat.loads) {
            let sum = sums.entry(load.endpoint).or_default();
            sum.running += load.running;
            sum.prefill += f64::from(load.prefill);
        }
        sums
    }

    /// Returns the number of a service's endpoints that accept calls, as its coordinator reports;
    /// nothing if nobody reports it.
    pub fn available_endpoints(&self, service: ServiceHash) -> Option<usize> {
        let notes = self.heartbeats().flat_map(|heartbeat| &heartbeat.queues);
        notes
            .filter(|note| note.service == service)
            .map(|note| note.endpoints as usize)
            .max()
    }

    /// Returns whether any daemon reports that a service's endpoints are short of room for
    /// results.
    pub fn is_short_of_room(&self, service: ServiceHash) -> bool {
        let mut notes = self.heartbeats().flat_map(|heartbeat| &heartbeat.queues);
        notes.any(|note| note.service == service && note.short)
    }

    /// Returns the outstanding pieces of a service at other daemons, as their heartbeats report it
    /// here.
    pub fn reported_outstanding(&self, service: ServiceHash) -> u32 {
        let notes = self.heartbeats().flat_map(|heartbeat| &heartbeat.work);
        notes
            .filter(|note| note.service == service)
            .map(|note| note.pieces)
            .fold(0, u32::saturating_add)
    }

    /// Returns the outstanding pieces of a service at other daemons: as all of them report it in a
    /// small fleet, else as the service's coordinator sums it up.
    pub fn outstanding(&self, service: ServiceHash, coordinator: Coordinator) -> u32 {
        let reported = self.reported_outstanding(service);
        let Coordinator::Peer(address) = coordinator else {
            return reported;
        };
        let total = self
            .known
            .get(&address)
            .and_then(|peer| peer.last_heartbeat.as_ref())
            .and_then(|last| {
                last.heartbeat
                    .queues
                    .iter()
                    .find(|note| note.service == service)
            })
            .map(|note| note.outstanding);
        match total {
            // The coordinator's sum has this daemon's own pieces in it, as its last heartbeat
            // reported them.
            Some(total) if !self.is_small() => {
                let own = self
                    .reported_work
                    .iter()
                    .filter(|note| note.service == service);
                total.saturating_sub(own.map(|note| note.pieces).sum())
            }
            _ => reported,
        }
    }
}
