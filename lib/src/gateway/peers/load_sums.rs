//! Sums of the loads of all daemons, as coordinators send them in load digests.

use {
    crate::{
        gateway::{
            hashes::EndpointHash, peers::message::LoadNote, routing::endpoint_state::PeerLoad,
        },
        shared::units::{Millis, Time},
    },
    foldhash::HashMap,
};

/// Time after which a sum is stale; a coordinator sends one with every heartbeat.
const STALE: Millis = Millis(1_500);

/// Sums of loads by endpoint, as coordinators sent them.
#[derive(Debug, Default)]
pub struct LoadSums {
    sums: HashMap<EndpointHash, LoadSum>,
}

/// The sum at one endpoint, and when it was received.
#[derive(Debug, Clone, Copy)]
struct LoadSum {
    at: Time,
    load: PeerLoad,
}

impl LoadSums {
    /// Merges sums; an endpoint that isn't named keeps its last one.
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
            .retain(|_, sum| now.since(sum.at) < STALE.to_duration());
    }

    /// Returns the sums by endpoint, this daemon's own part included.
    pub fn by_endpoint(&self) -> HashMap<EndpointHash, PeerLoad> {
        let loads = self.sums.iter();
        loads.map(|(endpoint, sum)| (*endpoint, sum.load)).collect()
    }
}
