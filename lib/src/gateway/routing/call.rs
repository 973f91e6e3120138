//! One request in this daemon: what doesn't change of it, and what is counted while it lasts.

use {
    crate::{
        gateway::{
            dialect::{Dialect, Inbound},
            routing::endpoint_state::EndpointOutcome,
            rules::{endpoint_choice::EndpointChoice, time_limits::first_event_time},
            state::Gateway,
            table::{CustomerEntry, Route},
        },
        shared::{
            ids::ServiceId,
            units::{Millis, Time},
        },
    },
    bytes::Bytes,
    http::request::Parts,
    std::{rc::Rc, sync::Arc},
};

/// One request, as far as it doesn't change.
pub(crate) struct ForwardedCall {
    pub(crate) inbound: Inbound,
    pub(crate) route: Arc<Route>,
    pub(crate) customer: Option<Arc<CustomerEntry>>,
    pub(crate) service: ServiceId,
    pub(crate) head: Parts,
    pub(crate) body: Bytes,
    pub(crate) arrived: Time,
    pub(crate) deadline: Time,
    pub(crate) urgency: u32,
}

impl ForwardedCall {
    pub(crate) fn id(&self) -> &str {
        &self.inbound.id
    }

    /// Returns whether any piece of a stage has to be made before the request can run.
    pub(crate) fn has_stages(&self) -> bool {
        !self.route.stages.is_empty() && self.inbound.pieces.iter().any(|count| *count > 0)
    }

    /// Returns when a caller of a stream gives up before its first event.
    pub(crate) fn give_up(&self) -> Time {
        match first_event_time(self.route.kind, self.route.objective) {
            Some(time) => self.arrived + time,
            None => self.deadline,
        }
    }

    pub(crate) fn remaining(&self, now: Time) -> Millis {
        Millis(self.deadline.since(now).as_millis() as u64)
    }
}

/// Counts a request in flight at an endpoint until it is told how that ended.
pub(crate) struct AttemptGuard<D: Dialect> {
    gateway: Rc<Gateway<D>>,
    pub(crate) choice: EndpointChoice,
    sent: Time,
    prefill: bool,
    ended: bool,
}

impl<D: Dialect> AttemptGuard<D> {
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
            .sent(now, &choice.entry.id, prompt, choice.uncached);
        drop(state);
        Self {
            gateway: gateway.clone(),
            choice,
            sent: now,
            prefill: true,
            ended: false,
        }
    }

    pub(crate) fn first_event(&mut self) {
        if std::mem::take(&mut self.prefill) {
            let now = self.gateway.now();
            let waited = now.millis_since(self.sent);
            let mut state = self.gateway.state.borrow_mut();
            state.endpoints.first_event(now, &self.choice, waited);
        }
    }

    pub(crate) fn end(mut self, ending: EndpointOutcome) {
        self.settle(ending);
    }

    pub(crate) fn took_ms(&self) -> f64 {
        self.gateway.now().millis_since(self.sent)
    }

    fn settle(&mut self, ending: EndpointOutcome) {
        if std::mem::replace(&mut self.ended, true) {
            return;
        }
        let now = self.gateway.now();
        let id = &self.choice.entry.id;
        let mut state = self.gateway.state.borrow_mut();
        if self.prefill {
            state.endpoints.forget_prefill(id, self.choice.uncached);
        }
        let set_aside = state.endpoints.ended(now, id, ending);
        drop(state);
        if set_aside {
            log::info!(endpoint:% = id, ending:? = ending; "endpoint.set_aside");
        }
    }
}

impl<D: Dialect> Drop for AttemptGuard<D> {
    fn drop(&mut self) {
        self.settle(EndpointOutcome::Neutral);
    }
}

/// Counts a request of this daemon until its answer is whole.
pub(crate) struct RequestGuard<D: Dialect> {
    gateway: Rc<Gateway<D>>,
}

impl<D: Dialect> RequestGuard<D> {
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

/// Notes a caller that left: the request's future is dropped before its end.
pub(crate) struct CallerLeftGuard<'a, D: Dialect> {
    gateway: &'a Gateway<D>,
    call: &'a ForwardedCall,
    armed: bool,
}

impl<'a, D: Dialect> CallerLeftGuard<'a, D> {
    pub(crate) fn new(gateway: &'a Gateway<D>, call: &'a ForwardedCall) -> Self {
        Self {
            gateway,
            call,
            armed: true,
        }
    }

    pub(crate) fn defuse(mut self) {
        self.armed = false;
    }
}

impl<D: Dialect> Drop for CallerLeftGuard<'_, D> {
    fn drop(&mut self) {
        if self.armed {
            let took = self.gateway.now().since(self.call.arrived);
            self.gateway.metrics.caller_left();
            log::info!(request = self.call.id(), took_ms = took.as_millis() as u64; "request.caller_left");
        }
    }
}
