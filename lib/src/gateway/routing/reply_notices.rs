//! Records the signals in endpoints' replies (that they leave, or want a cooldown), and logs new ones.

use {
    crate::{
        gateway::{
            dialect::{Dialect, LeaveSignal, ReplyFacts, RetryAfter},
            directory::endpoint_entry::EndpointEntry,
            rules::endpoint_cooldown::requested_cooldown,
            state::Gateway,
        },
        shared::units::Millis,
    },
    http::StatusCode,
};

impl<D: Dialect> Gateway<D> {
    /// Records the signals in a reply: whether its endpoint leaves, and whether it asks for a cooldown.
    pub(crate) fn record_notices(
        &self,
        endpoint: &EndpointEntry,
        status: StatusCode,
        facts: &ReplyFacts,
    ) {
        if facts.leave != LeaveSignal::None {
            self.record_leave(endpoint);
        }
        match requested_cooldown(status, facts.retry_after) {
            Some(rest) => self.record_rest(endpoint, rest),
            None => self.state.borrow_mut().endpoints.end_trial(endpoint),
        }
        if facts.leave == LeaveSignal::Invalid || facts.retry_after == RetryAfter::Invalid {
            self.record_unclear(endpoint);
        }
    }

    /// Admits new work again at endpoints whose cooldown is over.
    pub(crate) fn end_rests(&self) {
        let now = self.now();
        if self.state.borrow_mut().endpoints.end_rests(now) {
            self.invalidate_stage_queues();
        }
    }

    fn record_leave(&self, endpoint: &EndpointEntry) {
        let is_new = self.state.borrow_mut().endpoints.record_leave(endpoint);
        if is_new {
            log::info!(endpoint:% = endpoint.id; "endpoint.leaving");
            self.metrics.endpoints.leaving();
            self.invalidate_stage_queues();
        }
    }

    fn record_rest(&self, endpoint: &EndpointEntry, rest: Millis) {
        let until = self.now() + rest;
        let mut state = self.state.borrow_mut();
        let is_new = state.endpoints.record_rest(endpoint, until);
        drop(state);
        if is_new {
            log::info!(endpoint:% = endpoint.id, rest_ms = rest.0; "endpoint.resting");
            self.metrics.endpoints.resting();
            self.invalidate_stage_queues();
        }
    }

    fn record_unclear(&self, endpoint: &EndpointEntry) {
        let is_new = self.state.borrow_mut().endpoints.record_unclear(endpoint);
        if is_new {
            log::warn!(endpoint:% = endpoint.id; "endpoint.notice_unclear");
        }
    }
}
