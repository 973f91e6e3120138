//! Records where streams begin, and finds where a stream began that a caller takes up.
//!
//! [`rules::stream_origin`](crate::gateway::rules::stream_origin) decides who remembers it, and `peers::origin_reports`
//! sends the messages to other daemons.

use {
    crate::{
        gateway::{
            dialect::{Dialect, Inbound},
            directory::endpoint_entry::EndpointEntry,
            peers::{origin_reports::OriginReports, request_reports::send_now},
            request_digest::RequestDigest,
            routing::call::ForwardedCall,
            rules::{
                resume::is_resumable,
                retry_after::NO_ENDPOINT,
                stream_origin::{
                    LOOKUP_REPEAT, LOOKUP_WAIT, StreamOrigin, lookup_targets, origin_holders,
                },
            },
            serving::origin_metrics::OriginSource,
            state::{Gateway, GatewayState},
            stream_origins::store::LookupStart,
            table::Route,
        },
        shared::{
            ids::CustomerId,
            problem::{Code, Problem},
        },
    },
    std::rc::Rc,
};

/// Problem detail: a caller takes up a stream whose origin no daemon knows.
const UNKNOWN_DETAIL: &str = "the software version at which the stream began isn't known";

/// A lookup that waits for answers. Dropping it ends the lookup, also if the caller has left.
struct WaitingLookup<'a, D> {
    gateway: &'a Gateway<D>,
    digest: RequestDigest,
}

impl<D> Drop for WaitingLookup<'_, D> {
    fn drop(&mut self) {
        let mut state = self.gateway.state.borrow_mut();
        state.origins.end_lookup(&self.digest);
    }
}

/// Keeps a stream among those whose origin is told to new holders. Dropping it ends that.
pub(crate) struct OpenOrigin<D> {
    gateway: Rc<Gateway<D>>,
    digest: RequestDigest,
}

impl<D> Drop for OpenOrigin<D> {
    fn drop(&mut self) {
        self.gateway.state.borrow_mut().origins.end(&self.digest);
    }
}

impl<D: Dialect> Gateway<D> {
    /// Returns the origin of the stream that a request takes up; `None` if it takes up none.
    ///
    /// # Errors
    ///
    /// Returns a problem if no daemon knows the origin.
    pub(crate) async fn resumed_origin(
        self: &Rc<Self>,
        inbound: &Inbound,
        route: &Route,
        customer: Option<&CustomerId>,
    ) -> Result<Option<StreamOrigin>, Problem> {
        let has_events = inbound.last_event.is_some_and(|last| last > 0);
        if !is_resumable(route.kind) || !(has_events || inbound.resumes.is_some()) {
            return Ok(None);
        }
        let found = match &inbound.resumes {
            Some(first) => {
                self.find_origin(RequestDigest::of_id(customer, first))
                    .await
            }
            None => None,
        };
        let (found, source) = match found {
            Some(origin) => (Some(origin), OriginSource::Daemon),
            None => (
                self.proven_origin(inbound, route).await,
                OriginSource::Engine,
            ),
        };
        self.metrics.origins.count_taken_up(found.map(|_| source));
        let Some(origin) = found else {
            let problem = Problem::not_run(Code::NoEndpoint, UNKNOWN_DETAIL);
            return Err(problem.retry_after(NO_ENDPOINT));
        };
        Ok(Some(origin))
    }

    async fn find_origin(&self, digest: RequestDigest) -> Option<StreamOrigin> {
        let now = self.now();
        let start = {
            let mut state = self.state.borrow_mut();
            let (local, is_small) = (state.peers.local_address(), state.peers.is_small());
            let living = state.peers.living_daemons();
            let targets = lookup_targets(digest.as_bytes(), living, local, is_small);
            state.origins.begin_lookup(now, digest, targets)
        };
        let lookup = match start {
            LookupStart::Decided(origin) => return origin,
            LookupStart::Asked => Some(WaitingLookup {
                gateway: self,
                digest,
            }),
            LookupStart::Duplicate => None,
        };
        send_now::<OriginReports, D>(self);
        let answers = &self.origin_answers;
        let is_decided = |state: &GatewayState| state.origins.is_decided(&digest);
        let repeat = now + LOOKUP_REPEAT;
        if !self.wait_for_peers(answers, repeat, is_decided).await {
            if lookup.is_some() {
                self.state.borrow_mut().origins.ask_missing(&digest);
                send_now::<OriginReports, D>(self);
            }
            let end = now + LOOKUP_WAIT;
            self.wait_for_peers(answers, end, is_decided).await;
        }
        self.state.borrow().origins.known(self.now(), &digest)
    }

    /// Records the origin of a stream whose first event has come, and tells its holders at once: this daemon may be killed
    /// as soon as the caller has the event.
    pub(crate) fn record_origin(
        self: &Rc<Self>,
        call: &ForwardedCall,
        origin: StreamOrigin,
    ) -> OpenOrigin<D> {
        let customer = call.customer.as_ref().map(|customer| &customer.id);
        let first = call.inbound.resumes.as_deref().unwrap_or(call.id());
        let digest = RequestDigest::of_id(customer, first);
        let now = self.now();
        let mut state = self.state.borrow_mut();
        let local = state.peers.local_address();
        let holders = origin_holders(digest.as_bytes(), state.peers.living_daemons(), local);
        state.origins.begin(now, digest, origin, holders);
        drop(state);
        send_now::<OriginReports, D>(self);
        OpenOrigin {
            gateway: self.clone(),
            digest,
        }
    }

    /// Returns the origin that an endpoint gives to a stream whose events it sends; `None` if its version isn't known, or
    /// if its entry has changed since it was chosen, so that another version may have answered under the same id.
    pub(crate) fn origin_at(&self, chosen: &EndpointEntry) -> Option<StreamOrigin> {
        let state = self.state.borrow();
        let current = state.endpoints.get(&chosen.id).map(|member| &member.entry);
        let is_same = |current: &EndpointEntry| {
            current.started == chosen.started && current.version == chosen.version
        };
        if current.is_some_and(|current| !is_same(current)) {
            return None;
        }
        StreamOrigin::of(chosen)
    }
}
