//! Measures how far the expected time of an admitted request was from the true one.
//!
//! The rule [`calibration`](crate::gateway::rules::calibration) decides what an end shows, and
//! [`Calibration`](crate::gateway::calibration::store::Calibration) keeps the samples.

use {
    crate::{
        gateway::{
            calibration::store::CalibrationState,
            dialect::Dialect,
            hashes::route_hash,
            routing::call::ForwardedCall,
            rules::calibration::{
                AdmittedEnd, AdmittedRequest, CorrectionFactor, EndedRequest, Outcome,
            },
            state::Gateway,
            table::Route,
        },
        shared::units::{Time, WorkMillis},
    },
    std::{rc::Rc, sync::Arc},
};

/// Records the end of one admitted request, once. If it is dropped before, the caller has left. Without effect for a
/// request whose route isn't tight or for which no time was expected.
pub(crate) struct AdmissionSample<D: Dialect>(Option<PendingSample<D>>);

/// A request that was admitted and hasn't ended.
struct PendingSample<D: Dialect> {
    gateway: Rc<Gateway<D>>,
    route: Arc<Route>,
    arrived: Time,
    request: AdmittedRequest,
}

impl<D: Dialect> Default for AdmissionSample<D> {
    fn default() -> Self {
        Self(None)
    }
}

impl<D: Dialect> AdmissionSample<D> {
    /// Creates the sample of an admitted request.
    pub(crate) fn new(
        gateway: &Rc<Gateway<D>>,
        call: &ForwardedCall,
        expected: WorkMillis,
        factor: CorrectionFactor,
    ) -> Self {
        let pending = gateway.is_tight(&call.route).then(|| PendingSample {
            gateway: gateway.clone(),
            route: call.route.clone(),
            arrived: call.arrived,
            request: AdmittedRequest {
                expected,
                factor,
                objective: call.route.objective,
            },
        });
        Self(pending)
    }

    /// Records the end of the request, unless one was recorded before.
    pub(crate) fn end(&mut self, end: AdmittedEnd) {
        if let Some(pending) = self.0.take() {
            pending.record(end);
        }
    }
}

impl<D: Dialect> Drop for AdmissionSample<D> {
    fn drop(&mut self) {
        let pending = self.0.as_ref();
        // A daemon that stops drops the requests in flight.
        let is_stopping = pending.is_some_and(|pending| pending.gateway.is_stopping());
        self.end(if is_stopping {
            AdmittedEnd::Failed
        } else {
            AdmittedEnd::CallerLeft
        });
    }
}

impl<D: Dialect> PendingSample<D> {
    fn record(&self, end: AdmittedEnd) {
        let now = self.gateway.now();
        let ended = EndedRequest {
            end,
            took: WorkMillis(now.millis_since(self.arrived)),
            objective: self.route.objective,
            was_stalled: self.gateway.was_stalled(self.arrived, now),
        };
        self.gateway
            .record_admitted(now, &self.route, &self.request, ended.outcome());
    }
}

impl<D: Dialect> Gateway<D> {
    /// Returns whether a route is tight by the table in force.
    pub(crate) fn is_tight(&self, route: &Route) -> bool {
        let published = self.published();
        published.is_some_and(|published| published.tight().has_route(route))
    }

    /// Returns the factor for the expected times of a route; `None` if it isn't tight.
    pub(crate) fn correction(&self, route: &Route) -> Option<CorrectionFactor> {
        let now = self.now();
        let route = self.is_tight(route).then(|| route_hash(&route.name))?;
        let factor = self.state.borrow_mut().calibration.factor(now, route);
        Some(CorrectionFactor(factor))
    }

    /// Returns whether this process was suspended or stalled at any time since `since`.
    fn was_stalled(&self, since: Time, now: Time) -> bool {
        let peers = &self.state.borrow().peers;
        !peers.stalls.stalled_since(since, now).is_zero() || peers.resumed_since(since)
    }

    fn record_admitted(
        &self,
        now: Time,
        route: &Route,
        request: &AdmittedRequest,
        outcome: Outcome,
    ) {
        let hash = route_hash(&route.name);
        let mut state = self.state.borrow_mut();
        let due = state.calibration.record(now, hash, request, outcome);
        drop(state);
        if let Some(CalibrationState { factor, samples }) = due {
            log::info!(route = &*route.name, factor = factor.0, samples; "admission.calibrated");
        }
    }
}
