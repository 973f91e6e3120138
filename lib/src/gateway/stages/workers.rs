//! The endpoints of one stage service, and which of them can get the next call.
//!
//! Owns one worker for each incarnation of an endpoint. A worker whose endpoint left the directory or restarted is
//! kept until its calls have ended.

use {
    crate::{
        gateway::{
            directory::endpoint_entry::{EndpointEntry, EndpointIncarnation},
            rules::piece_order::DataCentreCounts,
            stages::{job::ResultHandle, worker::Worker},
        },
        shared::{ids::DataCentreId, units::Time},
    },
    foldhash::{HashMap, HashSet},
    std::sync::Arc,
};

/// An endpoint that can get a call now.
#[derive(Debug, Clone)]
pub(crate) struct FreeWorker {
    pub(crate) incarnation: EndpointIncarnation,
    pub(crate) data_centre: DataCentreId,
}

#[derive(Debug, Default)]
pub(crate) struct Workers(HashMap<EndpointIncarnation, Worker>);

impl Workers {
    /// Sets the endpoints that may get calls.
    pub(crate) fn set(&mut self, open: &[Arc<EndpointEntry>]) {
        let incarnations: HashSet<EndpointIncarnation> =
            open.iter().map(|entry| entry.incarnation()).collect();
        self.0
            .retain(|incarnation, worker| worker.calls() > 0 || incarnations.contains(incarnation));
        for (incarnation, worker) in &mut self.0 {
            worker.listed = incarnations.contains(incarnation);
        }
        for entry in open {
            self.0
                .entry(entry.incarnation())
                .or_insert_with(|| Worker::new(entry.clone()))
                .entry = entry.clone();
        }
    }

    /// Sets the number of calls that may be sent to each endpoint with an advertised rate limit; other endpoints
    /// have no such limit.
    pub(crate) fn set_allowed_calls(&mut self, calls: &HashMap<EndpointIncarnation, usize>) {
        for (incarnation, worker) in &mut self.0 {
            worker.set_allowed_calls(calls.get(incarnation).copied());
        }
    }

    pub(crate) fn get_mut(&mut self, endpoint: &EndpointIncarnation) -> Option<&mut Worker> {
        self.0.get_mut(endpoint)
    }

    /// Returns the number of endpoints that can get calls and aren't slow.
    pub(crate) fn available(&self, now: Time) -> usize {
        self.0
            .values()
            .filter(|worker| worker.is_ready(now) && !worker.slowdown(now).is_slow())
            .count()
    }

    /// Returns the number of endpoints in each data centre that may get calls, busy or not.
    pub(crate) fn counts(&self) -> DataCentreCounts {
        let open = self.0.values().filter(|worker| worker.listed);
        DataCentreCounts::new(open.map(|worker| &worker.entry.data_centre))
    }

    /// Returns the endpoints that can get a call now: those with an advertised rate limit first, then the fastest
    /// first. Each runs up to `slots` calls at a time. Slow endpoints are included only while all are slow.
    pub(crate) fn free(&self, now: Time, slots: usize) -> Vec<FreeWorker> {
        let any_available = self.available(now) > 0;
        let mut free: Vec<&Worker> = self
            .0
            .values()
            .filter(|worker| worker.calls() < slots)
            .filter(|worker| worker.is_ready(now))
            .filter(|worker| !any_available || !worker.slowdown(now).is_slow())
            .collect();
        // An unused permit expires, and using it shows whether the endpoint still advertises a rate limit.
        free.sort_by(|a, b| {
            let by_permit = b.is_limited().cmp(&a.is_limited());
            let by_slowdown = a.slowdown(now).0.total_cmp(&b.slowdown(now).0);
            by_permit
                .then(by_slowdown)
                .then_with(|| a.entry.id.cmp(&b.entry.id))
        });
        free.iter()
            .map(|worker| FreeWorker {
                incarnation: worker.entry.incarnation(),
                data_centre: worker.entry.data_centre.clone(),
            })
            .collect()
    }

    /// Records that endpoints dropped results, which frees result capacity.
    pub(crate) fn released(&mut self, handles: &[ResultHandle]) {
        for worker in self.0.values_mut() {
            for handle in handles {
                worker.released(handle);
            }
        }
    }
}
