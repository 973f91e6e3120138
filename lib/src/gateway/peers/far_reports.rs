//! What coordinators of different regions know of each other's services.
//!
//! The coordinators of a service in two regions send each other their heartbeats, and each tells its own region what
//! the others report, so that what crosses between regions doesn't grow with the fleet.

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
    /// Merges what a coordinator of this region tells of other ones.
    pub fn merge_far_services(&mut self, now: Time, notes: &[FarNote]) {
        self.far_services.merge(now, notes);
    }

    /// Returns how a service stands in another region; nothing if that isn't known.
    pub fn far_service(
        &self,
        now: Time,
        service: &ServiceId,
        region: RegionHash,
    ) -> Option<FarService> {
        let told = || self.far_services.get(now, region, service_hash(service));
        self.heard_service(now, service, region).or_else(told)
    }

    /// Returns what this daemon tells its region of the services that it coordinates in other ones; `ready` is set if
    /// it may coordinate.
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

    /// Returns how a service stands in another region, by the heartbeats of its coordinator there.
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

/// Returns how a service stands by the heartbeat of its coordinator.
fn reported_service(heartbeat: &Heartbeat, service: ServiceHash) -> Option<FarService> {
    let mut queues = heartbeat.queues.iter();
    let queue = queues.find(|note| note.service == service)?;
    let mut backlogs = heartbeat.backlogs.iter();
    // Services without outstanding pieces are left out there.
    let backlog = backlogs.find(|note| note.service == service);
    Some(FarService {
        endpoints: queue.endpoints as usize,
        backlog: backlog.and_then(|note| note.all).unwrap_or_default(),
    })
}
