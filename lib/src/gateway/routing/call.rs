//! The data of one accepted request that stays the same during all its attempts.

use {
    crate::{
        gateway::{
            dialect::Inbound,
            quarantine::store::Trial,
            request_digest::RequestDigest,
            rules::{
                eligibility::AllowedDataCentres,
                stream_origin::StreamOrigin,
                time_limits::{first_event_time, taken_up_time},
            },
            table::{CustomerEntry, Route},
        },
        shared::{
            ids::ServiceId,
            units::{Millis, Time},
        },
    },
    bytes::Bytes,
    http::request::Parts,
    std::{
        cell::{Cell, RefCell},
        iter,
        sync::Arc,
    },
};

/// One accepted request.
pub(crate) struct ForwardedCall {
    pub(crate) inbound: Inbound,
    /// Digest of customer and content; equal if the same customer sends the same request again.
    pub(crate) digest: RequestDigest,
    /// Digests of the parts of its prompt that other requests may share.
    pub(crate) parts: Vec<RequestDigest>,
    /// The trial for which the request is let through although parts of its prompt are quarantined.
    pub(crate) trial: RefCell<Option<Trial>>,
    /// Time at which the request was last sent to an endpoint; absent before that.
    pub(crate) sent: Cell<Option<Time>>,
    pub(crate) route: Arc<Route>,
    /// Customer whose key the request carries, if any.
    pub(crate) customer: Option<Arc<CustomerEntry>>,
    /// Service of the route that serves this request.
    pub(crate) service: ServiceId,
    /// Origin of the stream that the request takes up; absent if it takes up none.
    pub(crate) origin: Option<StreamOrigin>,
    /// Data centres where the request may run.
    pub(crate) data_centres: AllowedDataCentres,
    /// Head as the caller sent it.
    pub(crate) head: Parts,
    /// Body; empty once the request won't be sent again.
    pub(crate) body: RefCell<Bytes>,
    pub(crate) arrived: Time,
    /// Time at which this daemon stops working on the request.
    pub(crate) deadline: Time,
    /// Rank among the requests for an endpoint; lower values are served first.
    pub(crate) urgency: u32,
}

impl ForwardedCall {
    /// Returns the id that the caller gave the request.
    pub(crate) fn id(&self) -> &str {
        &self.inbound.id
    }

    /// Returns what is held responsible if endpoints terminate under the request: the request itself, and the parts of its
    /// prompt.
    pub(crate) fn suspects(&self) -> impl Iterator<Item = RequestDigest> {
        iter::once(self.digest).chain(self.parts.iter().copied())
    }

    /// Returns whether the request is let through to try the quarantined parts of its prompt.
    pub(crate) fn is_trial(&self) -> bool {
        self.trial.borrow().is_some()
    }

    /// Returns whether any piece of a stage has to run before the request.
    pub(crate) fn has_stages(&self) -> bool {
        !self.route.stages.is_empty() && self.inbound.pieces.iter().any(|count| *count > 0)
    }

    /// Returns when the caller of a stream gives up unless an event has arrived; the deadline for other requests.
    pub(crate) fn give_up_at(&self) -> Time {
        match first_event_time(self.route.kind, self.route.objective) {
            Some(time) => self.arrived + time,
            None => self.deadline,
        }
    }

    /// Returns the time from the arrival within which an event or the answer should come.
    pub(crate) fn time_allowed(&self) -> Millis {
        let Route {
            kind, objective, ..
        } = *self.route;
        match self.origin {
            Some(_) => taken_up_time(kind, objective, self.remaining(self.arrived)),
            None => objective,
        }
    }

    /// Returns the body, which shares its memory.
    pub(crate) fn body(&self) -> Bytes {
        self.body.borrow().clone()
    }

    /// Frees the memory of the body once it was written, since the request won't be sent again.
    pub(crate) fn release_body(&self) {
        self.body.take();
    }

    /// Returns the time left until the deadline.
    pub(crate) fn remaining(&self, now: Time) -> Millis {
        Millis(self.deadline.since(now).as_millis() as u64)
    }
}
