//! What other daemons tell of load and of work taken on, summed up.

use {
    crate::gateway::{
        peers::{
            membership::{Coordinator, Peers},
            message::LoadNote,
        },
        routing::endpoint_state::PeerLoad,
    },
    foldhash::HashMap,
};

impl Peers {
    /// Sums up what other daemons have in flight, by endpoint, as they told it here.
    pub fn loads(&self) -> HashMap<u32, PeerLoad> {
        let mut sums: HashMap<u32, PeerLoad> = HashMap::default();
        for LoadNote(endpoint, running, prefill) in self.alive().flat_map(|h| &h.loads) {
            let sum = sums.entry(*endpoint).or_default();
            sum.running += *running;
            sum.prefill += f64::from(*prefill);
        }
        sums
    }

    /// Returns the endpoints of a service that take calls, as the daemon says that plans for it.
    pub fn available_endpoints(&self, service: u32) -> Option<usize> {
        let notes = self.alive().flat_map(|heartbeat| &heartbeat.queues);
        notes
            .filter(|note| note.0 == service)
            .map(|note| note.1 as usize)
            .max()
    }

    /// Returns whether the endpoints of a service are short of room for results, as others say.
    pub fn is_short_of_room(&self, service: u32) -> bool {
        let mut notes = self.alive().flat_map(|heartbeat| &heartbeat.queues);
        notes.any(|note| note.0 == service && note.2)
    }

    /// Returns the pieces of a service that other daemons have taken on, as they told it here.
    pub fn told_outstanding(&self, service: u32) -> u32 {
        let notes = self.alive().flat_map(|heartbeat| &heartbeat.work);
        notes
            .filter(|note| note.0 == service)
            .map(|note| note.1)
            .fold(0, u32::saturating_add)
    }

    /// Returns the pieces of a service that other daemons have taken on: as they told it where all
    /// of them tell, else as the service's coordinator sums it up.
    pub fn outstanding(&self, service: u32, coordinator: Coordinator) -> u32 {
        let told = self.told_outstanding(service);
        let Coordinator::Peer(address) = coordinator else {
            return told;
        };
        let total = self
            .known
            .get(&address)
            .and_then(|peer| peer.heard.as_ref())
            .and_then(|(_, heartbeat)| heartbeat.queues.iter().find(|note| note.0 == service))
            .map(|note| note.3);
        match total {
            Some(total) if !self.is_small() => {
                let notes = self.told_work.iter().filter(|note| note.0 == service);
                total.saturating_sub(notes.map(|note| note.1).sum())
            }
            _ => told,
        }
    }
}
