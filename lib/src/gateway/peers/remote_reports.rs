//! Reports about stage services in other regions.
//!
//! The coordinators of a service in different regions send each other their heartbeats, and each forwards the others'
//! reports within its own region. This way the traffic between regions doesn't grow with the number of daemons.

use crate::{
    gateway::{
        hashes::{ServiceHash, service_hash},
        peers::{
            membership::Peers,
            message::{Heartbeat, RemoteNote},
            record::ReceivedHeartbeat,
            remote_services::{RemoteService, is_recent},
        },
        rules::{allowed_regions::RegionHash, coordinator::Coordinator},
    },
    shared::{ids::ServiceId, units::Time},
};

impl Peers {
    /// Merges a report about other regions from a coordinator of this region.
    pub fn merge_remote_services(&mut self, now: Time, notes: &[RemoteNote]) {
        self.remote_services.merge(now, notes);
    }

    /// Returns the state of a service in another region; `None` if it is unknown or out of date.
    pub fn remote_service(
        &self,
        now: Time,
        service: &ServiceId,
        region: RegionHash,
    ) -> Option<RemoteService> {
        let forwarded = || self.remote_services.get(now, region, service_hash(service));
        self.received_service(now, service, region)
            .or_else(forwarded)
    }

    /// Returns the entries to report within this region: the state in other regions of the services that this daemon
    /// coordinates here. `ready` is whether it may coordinate.
    pub fn remote_notes(&self, now: Time, services: &[ServiceId], ready: bool) -> Vec<RemoteNote> {
        let is_mine =
            |service: &&ServiceId| self.coordinator(now, service, ready, &[]) == Coordinator::Local;
        let mut notes = Vec::new();
        for service in services.iter().filter(is_mine) {
            for region in self.remote_regions() {
                let received = self.received_service(now, service, region);
                notes.extend(received.map(|received| RemoteNote {
                    region,
                    service: service_hash(service),
                    endpoints: received.endpoints as u32,
                    backlog: received.backlog,
                }));
            }
        }
        notes
    }

    /// Returns the state of a service in another region, from the last heartbeat of its coordinator there.
    fn received_service(
        &self,
        now: Time,
        service: &ServiceId,
        region: RegionHash,
    ) -> Option<RemoteService> {
        let coordinator = self.remote_coordinator(now, service, region, &[])?;
        let last = self.known.get(&coordinator)?.last_heartbeat.as_ref()?;
        let ReceivedHeartbeat { at, heartbeat } = last;
        if !is_recent(now, *at) {
            return None;
        }
        reported_service(heartbeat, service_hash(service))
    }
}

/// Returns the state of a service that a heartbeat of its coordinator reports.
fn reported_service(heartbeat: &Heartbeat, service: ServiceHash) -> Option<RemoteService> {
    let mut queues = heartbeat.queues.iter();
    let queue = queues.find(|note| note.service == service)?;
    let mut backlogs = heartbeat.backlogs.iter();
    // Heartbeats omit backlogs of services without outstanding pieces.
    let backlog = backlogs.find(|note| note.service == service);
    Some(RemoteService {
        endpoints: queue.endpoints as usize,
        backlog: backlog.and_then(|note| note.all).unwrap_or_default(),
    })
}
