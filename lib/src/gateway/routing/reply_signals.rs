//! Records the signals in endpoints' replies (that they leave, want a cooldown or are brittle), and logs new ones.

use {
    crate::{
        gateway::{
            dialect::{Dialect, LeaveSignal, ReplyFacts, RetryAfter},
            directory::endpoint_entry::EndpointEntry,
            rules::{
                brittle_endpoint::{in_flight_limit, refusal_pause},
                endpoint_cooldown::{is_refusal, requested_cooldown},
            },
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
        self.record_brittle(endpoint, facts);
        let asked = requested_cooldown(status, facts.retry_after);
        let brittle = facts.brittle.filter(|_| is_refusal(status));
        let pause = brittle.map(|limit| refusal_pause(limit, self.state.borrow().peers.daemons()));
        match asked.max(pause) {
            Some(cooldown) => self.record_cooldown(endpoint, cooldown),
            None => self.state.borrow_mut().endpoints.end_probing(endpoint),
        }
        if facts.leave == LeaveSignal::Invalid || facts.retry_after == RetryAfter::Invalid {
            self.record_unclear(endpoint);
        }
    }

    /// Records whether an endpoint is brittle. Only a reply that the endpoint made itself proves that it isn't.
    fn record_brittle(&self, endpoint: &EndpointEntry, facts: &ReplyFacts) {
        if facts.brittle.is_none() && !facts.signed && !facts.not_run {
            return;
        }
        let mut state = self.state.borrow_mut();
        let limit = facts
            .brittle
            .map(|_| in_flight_limit(endpoint.slots, state.peers.daemons()));
        let changed = state.endpoints.set_brittle(endpoint, limit);
        drop(state);
        match facts.brittle {
            Some(refusals) if changed => {
                log::info!(endpoint:% = endpoint.id, refusals:% = refusals; "endpoint.brittle");
            }
            None if changed => log::info!(endpoint:% = endpoint.id; "endpoint.sound"),
            _ => {}
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
