//! Sums of the loads and outstanding pieces that other daemons report.
//!
//! Only heartbeats of living daemons in this region count: each region has its own coordinators.

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
    /// Returns the sums of other daemons' loads by endpoint, from their heartbeats received here.
    pub fn reported_loads(&self) -> HashMap<EndpointHash, PeerLoad> {
        let mut sums: HashMap<EndpointHash, PeerLoad> = HashMap::default();
        for load in self
            .region_heartbeats()
            .flat_map(|heartbeat| &heartbeat.loads)
        {
            let sum = sums.entry(load.endpoint).or_default();
            sum.running += load.running;
            sum.prefill += f64::from(load.prefill);
        }
        sums
    }

    /// Returns the number of a service's endpoints that accept calls, as its coordinator reports it;
    /// `None` if no daemon reports it.
    pub fn available_endpoints(&self, service: ServiceHash) -> Option<usize> {
        let notes = self
            .region_heartbeats()
            .flat_map(|heartbeat| &heartbeat.queues);
        notes
            .filter(|note| note.service == service)
            .map(|note| note.endpoints as usize)
            .max()
    }

    /// Returns whether any daemon reports that a service's endpoints are short of capacity for
    /// results.
    pub fn is_short_of_capacity(&self, service: ServiceHash) -> bool {
        let mut notes = self
            .region_heartbeats()
            .flat_map(|heartbeat| &heartbeat.queues);
        notes.any(|note| note.service == service && note.short)
    }

    /// Returns the outstanding pieces of a service at other daemons, from their heartbeats received
    /// here.
    pub fn reported_backlog(&self, service: ServiceHash) -> Backlog {
        let reports = self.region_heartbeats();
        reports.fold(Backlog::default(), |sum, heartbeat| {
            sum.plus(&sender_backlog(heartbeat, service))
        })
    }

    /// Returns the outstanding pieces of a service at other daemons. In a small fleet, or if this daemon is the
    /// service's coordinator, they are summed here; otherwise the coordinator's sum is used, if it sent one.
    pub fn backlog(&self, service: ServiceHash, coordinator: Coordinator) -> Backlog {
        let summed = match coordinator {
            Coordinator::Peer(address) if !self.is_small() => self.summed_backlog(service, address),
            Coordinator::Peer(_) | Coordinator::Local => None,
        };
        summed.unwrap_or_else(|| self.reported_backlog(service))
    }

    /// Returns the outstanding pieces of a service at other daemons, from the sum of its coordinator. That sum includes
    /// this daemon's pieces as its last heartbeat reported them; they are subtracted.
    fn summed_backlog(&self, service: ServiceHash, coordinator: SocketAddr) -> Option<Backlog> {
        let local = self.reported_backlogs.iter();
        let local = local.filter(|note| note.service == service);
        let local = local.map(|note| note.own).next().unwrap_or_default();
        let last = self.known.get(&coordinator)?.last_heartbeat.as_ref()?;
        let notes = last.heartbeat.backlogs.iter();
        let mut notes = notes.filter(|note| note.service == service);
        if let Some(all) = notes.find_map(|note| note.all) {
            return Some(all.minus(&local));
        }
        // A coordinator of an older release reports only a total.
        let mut queues = last.heartbeat.queues.iter();
        let queue = queues.find(|note| note.service == service)?;
        let others = queue.outstanding.saturating_sub(local.total());
        Some(Backlog::unordered(others))
    }
}

/// Returns the outstanding pieces of a service that a heartbeat reports for its sender's requests.
fn sender_backlog(heartbeat: &Heartbeat, service: ServiceHash) -> Backlog {
    let mut notes = heartbeat.backlogs.iter();
    if let Some(note) = notes.find(|note| note.service == service) {
        return note.own;
    }
    let mut work = heartbeat.work.iter();
    let note = work.find(|note| note.service == service);
    note.map_or(Backlog::default(), |note| Backlog::unordered(note.pieces))
}
