//! State of stage services in other regions, as coordinators of this region report it.
//!
//! Owns the last report about each service and region.

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

/// Age at which a report about another region is out of date: the time of three reports.
const STALE: Millis = Millis(3_000);

/// State of a service in another region, as its coordinator there reports it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FarService {
    /// Number of endpoints that accept calls.
    pub endpoints: usize,
    /// Outstanding pieces of requests at the region's daemons.
    pub backlog: Backlog,
}

/// The last report about each service in each other region.
#[derive(Debug, Default)]
pub(crate) struct FarServices(HashMap<(RegionHash, ServiceHash), ToldService>);

/// The state of a service in a region, and when it was received.
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

/// Returns whether a report received at `at` is still up to date.
pub(super) fn is_recent(now: Time, at: Time) -> bool {
    now.since(at) <= STALE.to_duration()
}
