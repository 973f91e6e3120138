//! Sums of all daemons' loads, received from coordinators in load digests.

use {
    crate::{
        gateway::{
            hashes::EndpointHash, peers::message::LoadNote, routing::endpoint_state::PeerLoad,
        },
        shared::units::{Millis, Time},
    },
    foldhash::HashMap,
};

/// Age at which a sum is dropped. Coordinators send their sums with every heartbeat.
const STALE_AFTER: Millis = Millis(1_500);

/// The last received sum of loads for each endpoint.
#[derive(Debug, Default)]
pub struct LoadSums {
    sums: HashMap<EndpointHash, LoadSum>,
}

/// The sum of loads on one endpoint, and when it was received.
#[derive(Debug, Clone, Copy)]
struct LoadSum {
    at: Time,
    load: PeerLoad,
}

impl LoadSums {
    /// Replaces the sums of the listed endpoints; other endpoints keep theirs.
    pub fn merge(&mut self, now: Time, loads: &[LoadNote]) {
        for note in loads {
            let load = PeerLoad {
                running: note.running,
                prefill: f64::from(note.prefill),
            };
            self.sums.insert(note.endpoint, LoadSum { at: now, load });
        }
    }

    /// Drops stale sums.
    pub fn expire(&mut self, now: Time) {
        self.sums
            .retain(|_, sum| now.since(sum.at) < STALE_AFTER.to_duration());
    }

    /// Returns the sums by endpoint, which include this daemon's own load.
    pub fn by_endpoint(&self) -> HashMap<EndpointHash, PeerLoad> {
        let loads = self.sums.iter();
        loads.map(|(endpoint, sum)| (*endpoint, sum.load)).collect()
    }
}
