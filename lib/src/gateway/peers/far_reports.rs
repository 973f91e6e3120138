//! Reports about stage services in other regions.
//!
//! The coordinators of a service in different regions send each other their heartbeats, and each forwards the others'
//! reports within its own region. This way the traffic between regions doesn't grow with the number of daemons.

use crate::{
    gateway::{
        hashes::{ServiceHash, service_hash},
        peers::{
            far_services::{FarService, is_recent},
            membership::Peers,
            message::{FarNote, Heartbeat},
            record::ReceivedHeartbeat,
        },
        rules::{allowed_regions::RegionHash, coordinator::Coordinator},
    },
    shared::{ids::ServiceId, units::Time},
};

impl Peers {
    /// Merges a report about other regions from a coordinator of this region.
    pub fn merge_far_services(&mut self, now: Time, notes: &[FarNote]) {
        self.far_services.merge(now, notes);
    }

    /// Returns the state of a service in another region; `None` if it is unknown or out of date.
    pub fn far_service(
        &self,
        now: Time,
        service: &ServiceId,
        region: RegionHash,
    ) -> Option<FarService> {
        let told = || self.far_services.get(now, region, service_hash(service));
        self.heard_service(now, service, region).or_else(told)
    }

    /// Returns the entries to report within this region: the state in other regions of the services that this daemon
    /// coordinates here. `ready` is whether it may coordinate.
    pub fn far_notes(&self, now: Time, services: &[ServiceId], ready: bool) -> Vec<FarNote> {
        let is_mine =
            |service: &&ServiceId| self.coordinator(now, service, ready, &[]) == Coordinator::Me;
        let mut notes = Vec::new();
        for service in services.iter().filter(is_mine) {
            for region in self.far_regions() {
                let heard = self.heard_service(now, service, region);
                notes.extend(heard.map(|heard| FarNote {
                    region,
                    service: service_hash(service),
                    endpoints: heard.endpoints as u32,
                    backlog: heard.backlog,
                }));
            }
        }
        notes
    }

    /// Returns the state of a service in another region, from the last heartbeat of its coordinator there.
    fn heard_service(
        &self,
        now: Time,
        service: &ServiceId,
        region: RegionHash,
    ) -> Option<FarService> {
        let coordinator = self.far_coordinator(now, service, region, &[])?;
        let last = self.known.get(&coordinator)?.last_heartbeat.as_ref()?;
        let ReceivedHeartbeat { at, heartbeat } = last;
        if !is_recent(now, *at) {
            return None;
        }
        reported_service(heartbeat, service_hash(service))
    }
}

/// Returns the state of a service that a heartbeat of its coordinator reports.
fn reported_service(heartbeat: &Heartbeat, service: ServiceHash) -> Option<FarService> {
    let mut queues = heartbeat.queues.iter();
    let queue = queues.find(|note| note.service == service)?;
    let mut backlogs = heartbeat.backlogs.iter();
    // Heartbeats omit backlogs of services without outstanding pieces.
    let backlog = backlogs.find(|note| note.service == service);
    Some(FarService {
        endpoints: queue.endpoints as usize,
        backlog: backlog.and_then(|note| note.all).unwrap_or_default(),
    })
}
