//! How stage services stand in other regions, as coordinators of this one tell it.
//!
//! Owns what was told, until it is out of date.

use {
    crate::{
        gateway::{
            hashes::ServiceHash,
            peers::message::FarNote,
            rules::{allowed_regions::RegionHash, backlog::Backlog},
        },
        shared::units::{Millis, Time},
    },
    foldhash::HashMap,
};

/// Time for which a report of another region is believed. Three reports.
const STALE: Millis = Millis(3_000);

/// How a service stands in another region, as its coordinator there reports it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FarService {
    /// Endpoints that accept calls.
    pub endpoints: usize,
    /// Outstanding pieces of the region's daemons.
    pub backlog: Backlog,
}

/// What coordinators of this region told of other ones.
#[derive(Debug, Default)]
pub(crate) struct FarServices(HashMap<(RegionHash, ServiceHash), ToldService>);

/// What was told of a service in a region, and when.
#[derive(Debug)]
struct ToldService {
    at: Time,
    service: FarService,
}

impl FarServices {
    pub(super) fn merge(&mut self, now: Time, notes: &[FarNote]) {
        for note in notes {
            let service = FarService {
                endpoints: note.endpoints as usize,
                backlog: note.backlog,
            };
            let told = ToldService { at: now, service };
            self.0.insert((note.region, note.service), told);
        }
    }

    pub(super) fn get(
        &self,
        now: Time,
        region: RegionHash,
        service: ServiceHash,
    ) -> Option<FarService> {
        let told = self.0.get(&(region, service))?;
        is_recent(now, told.at).then_some(told.service)
    }
}

/// Returns whether a report of that time is believed.
pub(super) fn is_recent(now: Time, at: Time) -> bool {
    now.since(at) <= STALE.to_duration()
}
