//! Guards that keep counts for as long as they exist: of a request in this daemon, of an attempt at an endpoint, of a
//! caller that still waits. The counts stay right wherever a future is dropped.

use {
    crate::{
        gateway::{
            dialect::Dialect,
            routing::call::ForwardedCall,
            rules::{endpoint_choice::EndpointChoice, reply_proof::EndpointOutcome},
            state::Gateway,
        },
        shared::units::{Time, WorkMillis},
    },
    std::rc::Rc,
};

/// Counts an attempt in flight at an endpoint until its outcome is known. If it is dropped before, the attempt doesn't
/// affect the endpoint's health.
pub(crate) struct AttemptGuard<D: Dialect> {
    gateway: Rc<Gateway<D>>,
    pub(crate) choice: EndpointChoice,
    sent_at: Time,
    /// True until the endpoint has read the prompt.
    prefill_pending: bool,
    /// The request once it was sent, until it is known how the endpoint ended it.
    unresolved: Option<Rc<ForwardedCall>>,
    ended: bool,
}

impl<D: Dialect> AttemptGuard<D> {
    /// Creates the guard of an attempt at the chosen endpoint.
    pub(crate) fn new(
        gateway: &Rc<Gateway<D>>,
        call: &ForwardedCall,
        choice: EndpointChoice,
    ) -> Self {
        let now = gateway.now();
        let mut state = gateway.state.borrow_mut();
        let prompt = &call.inbound.prompt;
        state
            .endpoints
            .record_sent(now, &choice.entry, prompt, choice.uncached);
        state.endpoints.use_permit(now, &choice.entry, call.urgency);
        drop(state);
        Self {
            gateway: gateway.clone(),
            choice,
            sent_at: now,
            prefill_pending: true,
            unresolved: None,
            ended: false,
        }
    }

    /// Records that the request is sent to the endpoint.
    pub(crate) fn record_request_sent(&mut self, call: &Rc<ForwardedCall>) {
        call.sent.set(Some(self.gateway.now()));
        self.unresolved = Some(call.clone());
    }

    /// Returns the time at which the attempt began.
    pub(crate) fn sent_at(&self) -> Time {
        self.sent_at
    }

    /// Records that the endpoint has read the prompt; later calls have no effect.
    pub(crate) fn record_first_event(&mut self) {
        if std::mem::take(&mut self.prefill_pending) {
            let now = self.gateway.now();
            let waited = WorkMillis(now.millis_since(self.sent_at));
            let mut state = self.gateway.state.borrow_mut();
            state
                .endpoints
                .record_first_event(now, &self.choice, waited);
            drop(state);
            self.gateway.record_engine_time(&self.choice, self.sent_at);
        }
    }

    /// Records that the connection of the attempt was established.
    pub(crate) fn record_connected(&self) {
        let now = self.gateway.now();
        let mut state = self.gateway.state.borrow_mut();
        let took = self.took();
        state
            .endpoints
            .record_connected(now, &self.choice.entry, took);
    }

    /// Ends the attempt and records its outcome for the endpoint.
    pub(crate) fn end(mut self, outcome: EndpointOutcome) {
        self.unresolved = None;
        self.settle(outcome);
    }

    /// Ends the attempt before the endpoint has, and records the outcome for the endpoint. The endpoint is watched for a
    /// while: it may terminate under the request all the same.
    pub(crate) fn give_up(mut self, outcome: EndpointOutcome) {
        self.settle(outcome);
    }

    /// Returns the time since the attempt began.
    pub(crate) fn took(&self) -> WorkMillis {
        WorkMillis(self.gateway.now().millis_since(self.sent_at))
    }

    fn settle(&mut self, outcome: EndpointOutcome) {
        if std::mem::replace(&mut self.ended, true) {
            return;
        }
        let now = self.gateway.now();
        let entry = &self.choice.entry;
        let mut state = self.gateway.state.borrow_mut();
        if self.prefill_pending {
            state.endpoints.cancel_prefill(entry, self.choice.uncached);
        }
        let excluded = state.endpoints.record_ended(now, entry, outcome);
        drop(state);
        if excluded {
            // The key of `EndpointOutcome` in this event is `ending`.
            log::info!(endpoint:% = entry.id, ending:? = outcome; "endpoint.set_aside");
        }
        if excluded && outcome == EndpointOutcome::Ended {
            self.gateway.watch_terminated(entry.clone());
        }
        if let Some(call) = self.unresolved.take() {
            self.gateway
                .watch_given_up(&call, self.choice.entry.clone(), self.sent_at);
        }
    }
}

impl<D: Dialect> Drop for AttemptGuard<D> {
    fn drop(&mut self) {
        self.settle(EndpointOutcome::Neutral);
    }
}

/// Counts a request as in flight in this daemon until its answer is complete.
pub(crate) struct RequestGuard<D: Dialect> {
    gateway: Rc<Gateway<D>>,
}

impl<D: Dialect> RequestGuard<D> {
    /// Creates the guard of a request.
    pub(crate) fn new(gateway: &Rc<Gateway<D>>) -> Self {
        gateway.in_flight.set(gateway.in_flight.get() + 1);
        Self {
            gateway: gateway.clone(),
        }
    }
}

impl<D: Dialect> Drop for RequestGuard<D> {
    fn drop(&mut self) {
        let left = self.gateway.in_flight.get().saturating_sub(1);
        self.gateway.in_flight.set(left);
    }
}

/// Counts and logs that a caller left, which drops the future of the request before its end.
pub(crate) struct CallerLeftGuard<'a, D: Dialect> {
    gateway: &'a Gateway<D>,
    call: &'a ForwardedCall,
    armed: bool,
}

impl<'a, D: Dialect> CallerLeftGuard<'a, D> {
    /// Creates the guard of the caller of `call`.
    pub(crate) fn new(gateway: &'a Gateway<D>, call: &'a ForwardedCall) -> Self {
        Self {
            gateway,
            call,
            armed: true,
        }
    }

    /// Records that the request has ended before the caller left.
    pub(crate) fn disarm(mut self) {
        self.armed = false;
    }
}

impl<D: Dialect> Drop for CallerLeftGuard<'_, D> {
    fn drop(&mut self) {
        if self.armed {
            let took = self.gateway.now().since(self.call.arrived);
            self.gateway.metrics.count_caller_left();
            log::info!(request = self.call.id(), took_ms = took.as_millis() as u64; "request.caller_left");
        }
    }
}
