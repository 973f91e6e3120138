//! Permits to send requests to endpoints that advertise a rate limit, and connections that other daemons lend: claims them,
//! waits for them and uses them up.
//!
//! [`rules::endpoint_rate`](crate::gateway::rules::endpoint_rate) decides how long a request waits, and
//! `peers::rate_reports` sends the claims to the coordinators. `peers::loan_reports` asks other daemons for connections.

use {
    crate::{
        gateway::{
            dialect::Dialect,
            directory::endpoint_entry::{EndpointEntry, EndpointIncarnation},
            rates::note::PermitNote,
            routing::{call::ForwardedCall, outbound::choose_endpoint},
            rules::{
                connection_loan::ANSWER_TIME,
                eligibility::{Exclusion, ExclusionCounts},
                endpoint_choice::EndpointChoice,
                endpoint_rate::{CLAIM_RENEWAL_INTERVAL, longest_wait, may_wait},
                stream_origin::StreamOrigin,
            },
            stages::stage_results::Results,
            state::Gateway,
        },
        shared::{
            ids::{EndpointId, ServiceId},
            units::{Millis, Time},
        },
    },
    foldhash::HashMap,
};

/// Urgency of calls of pieces, the highest: the stages of a request run before the request, whatever its own urgency.
const PIECES_URGENCY: u32 = 0;

impl<D: Dialect> Gateway<D> {
    /// Chooses an endpoint for a request, other than those in `tried`, and of `origin` if it continues a stream. If all
    /// eligible ones lack a permit for their rate limit, or this daemon uses all connections that it may, waits for a permit
    /// or for connections that others lend, unless none is expected in time.
    ///
    /// # Errors
    ///
    /// Returns the number of the other endpoints by the reason for which they are excluded if none may get it.
    pub(crate) async fn choose_permitted(
        &self,
        call: &ForwardedCall,
        tried: &[EndpointId],
        results: Option<&Results<D>>,
        origin: Option<StreamOrigin>,
    ) -> Result<EndpointChoice, ExclusionCounts> {
        let longest = longest_wait(call.route.objective);
        let end = call.deadline.min(self.now() + longest);
        let mut waiting = None;
        loop {
            // Created before the choice, so that a permit that arrives after it ends the wait.
            let permits = self.permits.notified();
            self.end_cooldowns();
            let choice = choose_endpoint(self, call, tried, results, origin);
            let excluded = match &choice {
                Ok(choice) => choice.excluded,
                Err(excluded) => *excluded,
            };
            let is_lent = excluded.used_up() > 0 && self.borrow_connections(&call.service);
            if choice.is_err() && is_lent && self.now() < end {
                let end = end.min(self.now() + ANSWER_TIME);
                // The next choice shows whether it was an answer or the end of the time for it.
                let _ = self.timeout_at(end, permits).await;
                continue;
            }
            if excluded.of(Exclusion::Limited) == 0 {
                return choice;
            }
            self.claim_permits(&call.service, call.urgency);
            if choice.is_ok() || !self.may_expect_permit(call, end) {
                return choice;
            }
            let waiting =
                waiting.get_or_insert_with(|| self.permit_queue.join(&call.service, call.urgency));
            let rate = self.state.borrow().endpoints.total_rate(&call.service);
            if !may_wait(waiting.ahead(), rate, longest) {
                return choice;
            }
            // A claim expires unless it is renewed.
            let renewal = self.now() + CLAIM_RENEWAL_INTERVAL;
            let is_over = self.timeout_at(end.min(renewal), permits).await.is_none();
            if is_over && self.now() >= end {
                return Err(excluded);
            }
        }
    }

    /// Claims permits for the endpoints of a service that got no request for lack of one.
    fn claim_permits(&self, service: &ServiceId, urgency: u32) {
        let now = self.now();
        let is_due = self
            .state
            .borrow_mut()
            .endpoints
            .record_denied(now, service, urgency);
        if is_due {
            self.rate_reports.notify_one();
        }
    }

    /// Returns whether a permit may arrive before `end`; true if the time isn't known.
    fn may_expect_permit(&self, call: &ForwardedCall, end: Time) -> bool {
        let now = self.now();
        let wait = self.permit_wait(&call.service);
        now < end && wait.is_none_or(|wait| now + wait < end)
    }

    /// Returns the shortest expected time until a permit for an endpoint of a service; `None` if it isn't known, or if
    /// no permit is needed.
    pub(crate) fn permit_wait(&self, service: &ServiceId) -> Option<Millis> {
        let now = self.now();
        self.state.borrow().endpoints.permit_wait(now, service)
    }

    /// Records permits that coordinators granted, and wakes what waits for them.
    pub(crate) fn take_permits(&self, notes: &[PermitNote]) {
        if notes.is_empty() {
            return;
        }
        let now = self.now();
        let mut state = self.state.borrow_mut();
        for note in notes {
            state.endpoints.rates.record_granted(now, note);
        }
        drop(state);
        self.permits.notify_waiters();
        self.stage_work.notify_one();
    }

    /// Returns the number of calls of pieces that each endpoint with a rate limit may get now, and claims permits for
    /// those that may get none.
    pub(crate) fn allowed_calls(&self) -> HashMap<EndpointIncarnation, usize> {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        if state.endpoints.rates.limited() == 0 {
            return HashMap::default();
        }
        let services: Vec<ServiceId> = state.stage_queues.busy_services().cloned().collect();
        let mut allowed = HashMap::default();
        let mut is_due = false;
        for service in &services {
            is_due |= state.endpoints.record_denied(now, service, PIECES_URGENCY);
            allowed.extend(state.endpoints.permits(now, service));
        }
        drop(state);
        if is_due {
            self.rate_reports.notify_one();
        }
        allowed
    }

    /// Uses up a permit for a call of pieces that was sent.
    pub(crate) fn call_sent(&self, endpoint: &EndpointEntry) {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        state.endpoints.use_permit(now, endpoint, PIECES_URGENCY);
    }
}
