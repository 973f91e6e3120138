//! One accepted request, as far as it doesn't change while attempts are made.

use {
    crate::{
        gateway::{
            dialect::Inbound,
            rules::time_limits::first_event_time,
            table::{CustomerEntry, Route},
        },
        shared::{
            ids::ServiceId,
            units::{Millis, Time},
        },
    },
    bytes::Bytes,
    http::request::Parts,
    std::sync::Arc,
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
