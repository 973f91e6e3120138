//! The state of one endpoint of a stage service as the coordinator knows it: calls, slowdown and stored results.
//!
//! Owns the number of calls and the reserved result capacity. Relies on `rules::worker_slowdown` and
//! `rules::result_capacity` for the decisions based on them.

use {
    crate::{
        gateway::{
            directory::endpoint_entry::EndpointEntry,
            rules::{
                result_capacity,
                worker_slowdown::{LearntSlowdown, Slowdown, WorkerExclusion},
            },
            stages::job::ResultHandle,
        },
        shared::units::{ByteSize, Time},
    },
    foldhash::HashMap,
    std::sync::Arc,
};

/// A result that an endpoint stores, as recorded by the coordinator.
#[derive(Debug, Clone, Copy)]
struct StoredResult {
    size: ByteSize,
    /// Time at which the endpoint drops the result even if it isn't released.
    until: Time,
}

#[derive(Debug)]
pub(crate) struct Worker {
    pub(crate) entry: Arc<EndpointEntry>,
    /// Set if the endpoint may get calls at all; not set for an endpoint that left, restarted or was replaced, until
    /// its calls have ended.
    pub(crate) listed: bool,
    calls: usize,
    slowdown: LearntSlowdown,
    excluded_until: Time,
    /// Number of calls that may still be sent under the endpoint's advertised rate limit; `None` without one.
    allowed_calls: Option<usize>,
    stored: HashMap<ResultHandle, StoredResult>,
    /// Capacity reserved for the results of calls in flight.
    reserved: ByteSize,
}

impl Worker {
    pub(crate) fn new(entry: Arc<EndpointEntry>) -> Self {
        Self {
            entry,
            listed: true,
            calls: 0,
            slowdown: LearntSlowdown::default(),
            excluded_until: Time::default(),
            allowed_calls: None,
            stored: HashMap::default(),
            reserved: ByteSize(0),
        }
    }

    /// Returns the number of calls in flight.
    pub(crate) fn calls(&self) -> usize {
        self.calls
    }

    pub(crate) fn slowdown(&self, now: Time) -> Slowdown {
        self.slowdown.at(now)
    }

    /// Returns whether the endpoint can get a call, regardless of its calls in flight.
    pub(crate) fn is_ready(&self, now: Time) -> bool {
        self.listed && self.excluded_until <= now && self.allowed_calls != Some(0)
    }

    /// Sets the number of calls that may be sent under the endpoint's advertised rate limit; `None` without one.
    pub(crate) fn set_allowed_calls(&mut self, calls: Option<usize>) {
        self.allowed_calls = calls;
    }

    /// Returns whether the endpoint advertises a rate limit.
    pub(crate) fn is_limited(&self) -> bool {
        self.allowed_calls.is_some()
    }

    /// Returns the free result capacity of the endpoint, given its total capacity. Removes results that the endpoint
    /// has dropped after their timeout.
    pub(crate) fn free_capacity(&mut self, now: Time, total: ByteSize) -> ByteSize {
        self.stored.retain(|_, result| result.until > now);
        let stored: u64 = self.stored.values().map(|result| result.size.0).sum();
        result_capacity::free_capacity(total, ByteSize(stored + self.reserved.0))
    }

    pub(crate) fn call_sent(&mut self, reserved: ByteSize) {
        self.calls += 1;
        self.allowed_calls = self.allowed_calls.map(|calls| calls.saturating_sub(1));
        self.reserved.0 += reserved.0;
    }

    pub(crate) fn call_ended(&mut self, reserved: ByteSize) {
        self.calls = self.calls.saturating_sub(1);
        self.reserved.0 = self.reserved.0.saturating_sub(reserved.0);
    }

    pub(crate) fn call_answered(&mut self, now: Time, observed: Slowdown) {
        self.slowdown = self.slowdown.after_answer(now, observed);
    }

    pub(crate) fn call_overdue(&mut self, now: Time, so_far: Slowdown) {
        self.slowdown = self.slowdown.after_overdue(now, so_far);
    }

    pub(crate) fn exclude(&mut self, now: Time, why: WorkerExclusion) {
        self.excluded_until = why.until(now);
    }

    /// Records a result that the endpoint stores until it is released, at the latest until `until`.
    pub(crate) fn record_result(&mut self, handle: ResultHandle, size: ByteSize, until: Time) {
        self.stored.insert(handle, StoredResult { size, until });
    }

    pub(crate) fn released(&mut self, handle: &ResultHandle) {
        self.stored.remove(handle);
    }
}
