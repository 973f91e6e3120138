//! The requests of this daemon that wait for permits, with their urgencies.
//!
//! [`rules::endpoint_rate`](crate::gateway::rules::endpoint_rate) decides how many may wait.

use {crate::shared::ids::ServiceId, foldhash::HashMap, std::cell::RefCell};

/// The requests of this daemon that wait for permits: their urgencies by service, unordered.
#[derive(Debug, Default)]
pub(crate) struct PermitQueue(RefCell<HashMap<ServiceId, Vec<u32>>>);

impl PermitQueue {
    /// Adds a request, which is removed when the returned value is dropped.
    pub(crate) fn join(&self, service: &ServiceId, urgency: u32) -> WaitingRequest<'_> {
        let mut waiting = self.0.borrow_mut();
        let urgencies = waiting.entry(service.clone()).or_default();
        urgencies.push(urgency);
        WaitingRequest {
            queue: self,
            service: service.clone(),
            urgency,
        }
    }
}

/// A request that waits for a permit. Dropping it removes the request from the queue.
#[derive(Debug)]
pub(crate) struct WaitingRequest<'a> {
    queue: &'a PermitQueue,
    service: ServiceId,
    urgency: u32,
}

impl WaitingRequest<'_> {
    /// Returns the number of waiting requests that are at least as urgent, including this one.
    pub(crate) fn ahead(&self) -> usize {
        let waiting = self.queue.0.borrow();
        let urgencies = waiting.get(&self.service).into_iter().flatten();
        urgencies
            .filter(|urgency| **urgency <= self.urgency)
            .count()
    }
}

impl Drop for WaitingRequest<'_> {
    fn drop(&mut self) {
        let mut waiting = self.queue.0.borrow_mut();
        let Some(urgencies) = waiting.get_mut(&self.service) else {
            return;
        };
        if let Some(position) = urgencies
            .iter()
            .position(|urgency| *urgency == self.urgency)
        {
            urgencies.swap_remove(position);
        }
        if urgencies.is_empty() {
            waiting.remove(&self.service);
        }
    }
}
