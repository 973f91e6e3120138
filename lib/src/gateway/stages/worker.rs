//! The state of one endpoint of a stage as its coordinator knows it: calls, pace and results kept.
//!
//! Owns the counts of calls and of room reserved. Relies on `rules::worker_pace` and
//! `rules::result_room` for what follows from them.

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

/// A result that an endpoint is believed to keep.
#[derive(Debug, Clone, Copy)]
struct KeptResult {
    size: ByteSize,
    /// When the endpoint drops it by itself.
    until: Time,
}

#[derive(Debug)]
pub(crate) struct Worker {
    pub(crate) entry: Arc<EndpointEntry>,
    /// Set while it may get calls at all.
    pub(crate) open: bool,
    calls: usize,
    pace: LearntSlowdown,
    avoid_until: Time,
    /// Calls that it may get, where it names the rate that it takes.
    allowed: Option<usize>,
    kept: HashMap<ResultHandle, KeptResult>,
    /// Room reserved for the results of calls in flight.
    reserved: ByteSize,
}

impl Worker {
    pub(crate) fn new(entry: Arc<EndpointEntry>) -> Self {
        Self {
            entry,
            open: true,
            calls: 0,
            pace: LearntSlowdown::default(),
            avoid_until: Time::default(),
            allowed: None,
            kept: HashMap::default(),
            reserved: ByteSize(0),
        }
    }

    /// Returns the number of its calls in flight.
    pub(crate) fn calls(&self) -> usize {
        self.calls
    }

    pub(crate) fn pace(&self, now: Time) -> Slowdown {
        self.pace.at(now)
    }

    /// Returns whether a call may be planned for it, apart from its calls in flight.
    pub(crate) fn is_ready(&self, now: Time) -> bool {
        self.open && self.avoid_until <= now && self.allowed != Some(0)
    }

    /// Sets the calls that it may get, where it names the rate that it takes.
    pub(crate) fn allow(&mut self, calls: Option<usize>) {
        self.allowed = calls;
    }

    /// Returns whether it names the rate that it takes.
    pub(crate) fn is_limited(&self) -> bool {
        self.allowed.is_some()
    }

    /// Returns the room for more results where `stated` is all the room that it has; drops results
    /// that the endpoint has dropped by itself.
    pub(crate) fn free_room(&mut self, now: Time, stated: ByteSize) -> ByteSize {
        self.kept.retain(|_, result| result.until > now);
        let kept: u64 = self.kept.values().map(|result| result.size.0).sum();
        result_capacity::free_capacity(stated, ByteSize(kept + self.reserved.0))
    }

    pub(crate) fn call_sent(&mut self, reserved: ByteSize) {
        self.calls += 1;
        self.allowed = self.allowed.map(|calls| calls.saturating_sub(1));
        self.reserved.0 += reserved.0;
    }

    pub(crate) fn call_ended(&mut self, reserved: ByteSize) {
        self.calls = self.calls.saturating_sub(1);
        self.reserved.0 = self.reserved.0.saturating_sub(reserved.0);
    }

    pub(crate) fn call_answered(&mut self, now: Time, observed: Slowdown) {
        self.pace = self.pace.after_answer(now, observed);
    }

    pub(crate) fn call_overdue(&mut self, now: Time, so_far: Slowdown) {
        self.pace = self.pace.after_overdue(now, so_far);
    }

    pub(crate) fn pass_over(&mut self, now: Time, why: WorkerExclusion) {
        self.avoid_until = why.until(now);
    }

    /// Records a result that the endpoint keeps until it is released, or drops by itself at `until`.
    pub(crate) fn keep(&mut self, handle: ResultHandle, size: ByteSize, until: Time) {
        self.kept.insert(handle, KeptResult { size, until });
    }

    pub(crate) fn released(&mut self, handle: &ResultHandle) {
        self.kept.remove(handle);
    }
}
