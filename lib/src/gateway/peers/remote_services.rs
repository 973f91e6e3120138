//! State of stage services in other regions, as coordinators of this region report it.
//!
//! Owns the last report about each service and region.

use {
    crate::{
        gateway::{
            hashes::ServiceHash,
            peers::message::RemoteNote,
            rules::{allowed_regions::RegionHash, backlog::Backlog},
        },
        shared::units::{Millis, Time},
    },
    foldhash::HashMap,
};

/// Age at which a report about another region is out of date: the time of three reports.
const STALE_AFTER: Millis = Millis(3_000);

/// State of a service in another region, as its coordinator there reports it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RemoteService {
    /// Number of endpoints that accept calls.
    pub endpoints: usize,
    /// Outstanding pieces of requests at the region's daemons.
    pub backlog: Backlog,
}

/// The last report about each service in each other region.
#[derive(Debug, Default)]
pub(crate) struct RemoteServices(HashMap<(RegionHash, ServiceHash), ReceivedService>);

/// The state of a service in a region, and when it was received.
#[derive(Debug)]
struct ReceivedService {
    at: Time,
    service: RemoteService,
}

impl RemoteServices {
    pub(super) fn merge(&mut self, now: Time, notes: &[RemoteNote]) {
        for note in notes {
            let service = RemoteService {
                endpoints: note.endpoints as usize,
                backlog: note.backlog,
            };
            let received = ReceivedService { at: now, service };
            self.0.insert((note.region, note.service), received);
        }
    }

    pub(super) fn get(
        &self,
        now: Time,
        region: RegionHash,
        service: ServiceHash,
    ) -> Option<RemoteService> {
        let received = self.0.get(&(region, service))?;
        is_recent(now, received.at).then_some(received.service)
    }
}

/// Returns whether a report received at `at` is still up to date.
pub(super) fn is_recent(now: Time, at: Time) -> bool {
    now.since(at) <= STALE_AFTER.to_duration()
}
