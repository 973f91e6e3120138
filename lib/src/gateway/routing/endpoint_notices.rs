//! What one endpoint has told this daemon, in its replies, of the service that it will give.
//!
//! Owns the notices of one life of an endpoint. `reply_notices` records them.

use crate::shared::units::Time;

/// The notices of one life of an endpoint.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct EndpointNotices {
    /// It leaves. An endpoint that leaves doesn't stay after all, whatever its entry says.
    leaves: bool,
    /// End of the time in which it wants nothing.
    rest: Option<Time>,
    /// It said something that can't be read.
    unclear: bool,
}

impl EndpointNotices {
    /// Records that it leaves; returns whether that is new.
    pub(crate) fn record_leave(&mut self) -> bool {
        !std::mem::replace(&mut self.leaves, true)
    }

    /// Records that it wants nothing until a time; returns whether a rest begins with it. A later one that ends sooner
    /// doesn't take back what was asked for before.
    pub(crate) fn record_rest(&mut self, until: Time) -> bool {
        let known = self.rest;
        self.rest = known.max(Some(until));
        known.is_none()
    }

    /// Records that it said something that can't be read; returns whether that is new.
    pub(crate) fn record_unclear(&mut self) -> bool {
        !std::mem::replace(&mut self.unclear, true)
    }

    /// Ends a rest whose time is over; returns whether there was one.
    pub(crate) fn end_rest(&mut self, now: Time) -> bool {
        let is_over = self.rest.is_some_and(|until| until <= now);
        if is_over {
            self.rest = None;
        }
        is_over
    }
}
