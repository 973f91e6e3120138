//! Pieces that this daemon has taken on and that aren't made yet.

use {
    crate::{
        gateway::{hashes::service_hash, peers::message::WorkNote},
        shared::ids::ServiceId,
    },
    foldhash::HashMap,
};

/// What this daemon has taken on.
#[derive(Debug, Default)]
pub struct Workload {
    outstanding: HashMap<ServiceId, u32>,
}

impl Workload {
    /// Returns what is told to other daemons.
    pub fn notes(&self) -> Vec<WorkNote> {
        let some = self.outstanding.iter().filter(|(_, pieces)| **pieces > 0);
        some.map(|(service, pieces)| WorkNote {
            service: service_hash(service),
            pieces: *pieces,
        })
        .collect()
    }

    /// Returns the pieces taken on by this daemon.
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
