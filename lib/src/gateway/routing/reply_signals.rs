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
    pub(crate) fn record_signals(
        &self,
        endpoint: &EndpointEntry,
        status: StatusCode,
        facts: &ReplyFacts,
    ) {
        if facts.leave != LeaveSignal::None {
            self.record_leave(endpoint);
        }
        match requested_cooldown(status, facts.retry_after) {
            Some(cooldown) => self.record_cooldown(endpoint, cooldown),
            None => self.state.borrow_mut().endpoints.end_probing(endpoint),
        }
        if facts.leave == LeaveSignal::Invalid || facts.retry_after == RetryAfter::Invalid {
            self.record_unclear(endpoint);
        }
    }

    /// Admits new work again at endpoints whose cooldown is over.
    pub(crate) fn end_cooldowns(&self) {
        let now = self.now();
        if self.state.borrow_mut().endpoints.end_cooldowns(now) {
            self.invalidate_stage_queues();
        }
    }

    fn record_leave(&self, endpoint: &EndpointEntry) {
        let is_new = self.state.borrow_mut().endpoints.record_leave(endpoint);
        if is_new {
            log::info!(endpoint:% = endpoint.id; "endpoint.leaving");
            self.metrics.endpoints.count_leaving();
            self.invalidate_stage_queues();
        }
    }

    fn record_cooldown(&self, endpoint: &EndpointEntry, cooldown: Millis) {
        let until = self.now() + cooldown;
        let mut state = self.state.borrow_mut();
        let is_new = state.endpoints.record_cooldown(endpoint, until);
        drop(state);
        if is_new {
            log::info!(endpoint:% = endpoint.id, rest_ms = cooldown.0; "endpoint.resting");
            self.metrics.endpoints.count_cooldown();
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
