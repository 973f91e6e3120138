//! Sums of the loads and the outstanding work that other daemons report.
//!
//! Only heartbeats of daemons count that are alive, and of this region: each region has coordinators of its own.

use {
    crate::gateway::{
        hashes::{EndpointHash, ServiceHash},
        peers::{membership::Peers, message::Heartbeat},
        routing::endpoint_state::PeerLoad,
        rules::{backlog::Backlog, coordinator::Coordinator},
    },
    foldhash::HashMap,
    std::net::SocketAddr,
};

impl Peers {
    /// Sums up what other daemons have in flight, by endpoint, as their heartbeats report it here.
    pub fn reported_loads(&self) -> HashMap<EndpointHash, PeerLoad> {
        let mut sums: HashMap<EndpointHash, PeerLoad> = HashMap::default();
        for load in self
            .near_heartbeats()
            .flat_map(|heartbeat| &heartbeat.loads)
        {
            let sum = sums.entry(load.endpoint).or_default();
            sum.running += load.running;
            sum.prefill += f64::from(load.prefill);
        }
        sums
    }

    /// Returns the number of a service's endpoints that accept calls, as its coordinator reports;
    /// nothing if nobody reports it.
    pub fn available_endpoints(&self, service: ServiceHash) -> Option<usize> {
        let notes = self
            .near_heartbeats()
            .flat_map(|heartbeat| &heartbeat.queues);
        notes
            .filter(|note| note.service == service)
            .map(|note| note.endpoints as usize)
            .max()
    }

    /// Returns whether any daemon reports that a service's endpoints are short of room for
    /// results.
    pub fn is_short_of_room(&self, service: ServiceHash) -> bool {
        let mut notes = self
            .near_heartbeats()
            .flat_map(|heartbeat| &heartbeat.queues);
        notes.any(|note| note.service == service && note.short)
    }

    /// Returns the outstanding pieces of a service at other daemons, as their heartbeats report it
    /// here.
    pub fn reported_backlog(&self, service: ServiceHash) -> Backlog {
        let reports = self.near_heartbeats();
        reports.fold(Backlog::default(), |sum, heartbeat| {
            sum.plus(&own_backlog(heartbeat, service))
        })
    }

    /// Returns the outstanding pieces of a service at other daemons: as all of them report it in a
    /// small fleet, else as the service's coordinator sums it up.
    pub fn backlog(&self, service: ServiceHash, coordinator: Coordinator) -> Backlog {
        let summed = match coordinator {
            Coordinator::Peer(address) if !self.is_small() => self.summed_backlog(service, address),
            Coordinator::Peer(_) | Coordinator::Me => None,
        };
        summed.unwrap_or_else(|| self.reported_backlog(service))
    }

    /// Returns the outstanding pieces of a service at other daemons by the sum of its coordinator. This
    /// daemon's own pieces are in that sum as its last heartbeat reported them, and are left out.
    fn summed_backlog(&self, service: ServiceHash, coordinator: SocketAddr) -> Option<Backlog> {
        let own = self.reported_backlogs.iter();
        let own = own.filter(|note| note.service == service);
        let own = own.map(|note| note.own).next().unwrap_or_default();
        let last = self.known.get(&coordinator)?.last_heartbeat.as_ref()?;
        let notes = last.heartbeat.backlogs.iter();
        let mut notes = notes.filter(|note| note.service == service);
        if let Some(all) = notes.find_map(|note| note.all) {
            return Some(all.minus(&own));
        }
        // A coordinator of an earlier release reports a number alone.
        let mut queues = last.heartbeat.queues.iter();
        let queue = queues.find(|note| note.service == service)?;
        let others = queue.outstanding.saturating_sub(own.total());
        Some(Backlog::unordered(others))
    }
}

/// Returns the outstanding pieces of a service that a daemon reports of its own requests.
fn own_backlog(heartbeat: &Heartbeat, service: ServiceHash) -> Backlog {
    let mut notes = heartbeat.backlogs.iter();
    if let Some(note) = notes.find(|note| note.service == service) {
        return note.own;
    }
    let mut work = heartbeat.work.iter();
    let note = work.find(|note| note.service == service);
    note.map_or(Backlog::default(), |note| Backlog::unordered(note.pieces))
}
