//! What all daemons together have in flight at endpoints, as coordinators sum it up.

use {
    crate::{
        gateway::{peers::message::LoadNote, routing::endpoint_state::PeerLoad},
        shared::units::{Millis, Time},
    },
    foldhash::HashMap,
};

/// Time for which a sum is believed.
const KEPT: Millis = Millis(1_500);

/// Sums of loads, by the short names of endpoints.
#[derive(Debug, Default)]
pub struct LoadSums {
    sums: HashMap<u32, (Time, PeerLoad)>,
}

impl LoadSums {
    /// Takes in sums; an endpoint that isn't named keeps what was told of it.
    pub fn take(&mut self, now: Time, loads: &[LoadNote]) {
        for LoadNote(endpoint, running, prefill) in loads {
            let load = PeerLoad {
                running: *running,
                prefill: f64::from(*prefill),
            };
            self.sums.insert(*endpoint, (now, load));
        }
    }

    /// Drops what is too old.
    pub fn expire(&mut self, now: Time) {
        self.sums
            .retain(|_, (told, _)| now.since(*told) < KEPT.to_duration());
    }

    /// Returns the sums, this daemon's own part included.
    pub fn all(&self) -> impl Iterator<Item = (u32, PeerLoad)> {
        self.sums
            .iter()
            .map(|(endpoint, (_, load))| (*endpoint, *load))
    }
}
