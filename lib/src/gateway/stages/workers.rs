//! The endpoints of one stage, and which of them may get the next call.
//!
//! Owns the state of each life of an endpoint. One that left the directory, or whose endpoint has started
//! again, stays here until its calls have ended.

use {
    crate::{
        gateway::{
            directory::endpoint_entry::{EndpointEntry, EndpointLife},
            rules::piece_order::DataCentreCounts,
            stages::{job::ResultHandle, worker::Worker},
        },
        shared::{ids::DataCentreId, units::Time},
    },
    foldhash::{HashMap, HashSet},
    std::sync::Arc,
};

/// An endpoint that may get a call.
#[derive(Debug, Clone)]
pub(crate) struct FreeWorker {
    pub(crate) life: EndpointLife,
    pub(crate) data_centre: DataCentreId,
}

#[derive(Debug, Default)]
pub(crate) struct Workers(HashMap<EndpointLife, Worker>);

impl Workers {
    /// Sets which endpoints may be called.
    pub(crate) fn set(&mut self, open: &[Arc<EndpointEntry>]) {
        let lives: HashSet<EndpointLife> = open.iter().map(|entry| entry.life()).collect();
        self.0
            .retain(|life, worker| worker.calls() > 0 || lives.contains(life));
        for (life, worker) in &mut self.0 {
            worker.open = lives.contains(life);
        }
        for entry in open {
            self.0
                .entry(entry.life())
                .or_insert_with(|| Worker::new(entry.clone()))
                .entry = entry.clone();
        }
    }

    /// Sets the calls that endpoints may get that name the rate that they take; others may get any.
    pub(crate) fn allow(&mut self, calls: &HashMap<EndpointLife, usize>) {
        for (life, worker) in &mut self.0 {
            worker.allow(calls.get(life).copied());
        }
    }

    pub(crate) fn get_mut(&mut self, endpoint: &EndpointLife) -> Option<&mut Worker> {
        self.0.get_mut(endpoint)
    }

    /// Returns the number of endpoints that may get calls and aren't slow.
    pub(crate) fn available(&self, now: Time) -> usize {
        self.0
            .values()
            .filter(|worker| worker.is_ready(now) && !worker.pace(now).is_slow())
            .count()
    }

    /// Counts the endpoints that may be called at all, by their data centres.
    pub(crate) fn counts(&self) -> DataCentreCounts {
        let open = self.0.values().filter(|worker| worker.open);
        DataCentreCounts::new(open.map(|worker| &worker.entry.data_centre))
    }

    /// Returns the endpoints that may get a call now, the fastest first; each runs `slots` calls at
    /// a time. Slow ones are among them only while all are slow.
    pub(crate) fn free(&self, now: Time, slots: usize) -> Vec<FreeWorker> {
        let any_available = self.available(now) > 0;
        let mut free: Vec<&Worker> = self
            .0
            .values()
            .filter(|worker| worker.calls() < slots)
            .filter(|worker| worker.is_ready(now))
            .filter(|worker| !any_available || !worker.pace(now).is_slow())
            .collect();
        // A permit that isn't used is lost, and its use shows whether the endpoint still names a rate.
        free.sort_by(|a, b| {
            let by_permit = b.is_limited().cmp(&a.is_limited());
            let by_pace = a.pace(now).0.total_cmp(&b.pace(now).0);
            by_permit
                .then(by_pace)
                .then_with(|| a.entry.id.cmp(&b.entry.id))
        });
        free.iter()
            .map(|worker| FreeWorker {
                life: worker.entry.life(),
                data_centre: worker.entry.data_centre.clone(),
            })
            .collect()
    }

    /// Records that endpoints dropped results, so that they have room again.
    pub(crate) fn released(&mut self, handles: &[ResultHandle]) {
        for worker in self.0.values_mut() {
            for handle in handles {
                worker.released(handle);
            }
        }
    }
}
