//! The pieces that requests of this daemon need and that aren't completed yet, by service.
//!
//! Heartbeats carry them, so that every daemon can admit requests by the load of all
//! (`rules::admission`).

use {
    crate::{
        gateway::{hashes::service_hash, peers::message::WorkNote},
        shared::ids::ServiceId,
    },
    foldhash::HashMap,
};

/// The outstanding pieces of this daemon's requests.
#[derive(Debug, Default)]
pub struct Workload {
    outstanding: HashMap<ServiceId, u32>,
}

impl Workload {
    /// Returns what heartbeats carry: services without outstanding pieces are left out.
    pub fn notes(&self) -> Vec<WorkNote> {
        let some = self.outstanding.iter().filter(|(_, pieces)| **pieces > 0);
        some.map(|(service, pieces)| WorkNote {
            service: service_hash(service),
            pieces: *pieces,
        })
        .collect()
    }

    /// Returns the outstanding pieces of a service; none if no request needed it yet.
    pub fn outstanding(&self, service: &ServiceId) -> u32 {
        self.outstanding.get(service).copied().unwrap_or(0)
    }

    pub(crate) fn add(&mut self, service: &ServiceId, pieces: u32) {
        *self.outstanding.entry(service.clone()).or_default() += pieces;
    }

    pub(crate) fn subtract(&mut self, service: &ServiceId, pieces: u32) {
        if let Some(outstanding) = self.outstanding.get_mut(service) {
            *outstanding = outstanding.saturating_sub(pieces);
        }
    }
}
