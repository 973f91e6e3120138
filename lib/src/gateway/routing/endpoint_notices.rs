//! What endpoints have told this daemon, in their replies, of the service that they will give.
//!
//! Owns the notices of each life of an endpoint, also while it has no entry in the list. `reply_notices` records them.

use crate::{
    gateway::directory::endpoint_entry::EndpointLife,
    shared::{recent_map::RecentMap, units::Time},
};

/// Most lives without an entry whose notices are remembered.
const REMEMBERED: usize = 1_000;

/// The notices of one life of an endpoint.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct EndpointNotices {
    /// It leaves. An endpoint that leaves doesn't stay after all, whatever its entry says.
    leaves: bool,
    /// End of the time in which it wants nothing.
    rest: Option<Time>,
    /// Its rest is over, and no reply has shown yet that it takes requests again.
    is_trial: bool,
    /// It said something that can't be read.
    unclear: bool,
}

impl EndpointNotices {
    /// Returns whether it said that it leaves.
    pub(crate) fn leaves(&self) -> bool {
        self.leaves
    }

    /// Returns the end of the time in which it wants nothing.
    pub(crate) fn rest(&self) -> Option<Time> {
        self.rest
    }

    /// Returns whether its rest is over, and it hasn't been seen to take requests again.
    pub(crate) fn is_trial(&self) -> bool {
        self.is_trial
    }

    /// Records a reply that asks for no rest.
    pub(crate) fn end_trial(&mut self) {
        self.is_trial = false;
    }

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
            self.is_trial = true;
        }
        is_over
    }
}

/// Notices of endpoints whose entries have vanished. An entry may lapse and come back while its endpoint lives, and what
/// the endpoint said before stands.
#[derive(Debug, Default)]
pub(crate) struct RememberedNotices {
    notices: RecentMap<EndpointLife, EndpointNotices, REMEMBERED>,
}

impl RememberedNotices {
    /// Remembers the notices of a life, if there are any.
    pub(crate) fn keep(&mut self, life: EndpointLife, notices: EndpointNotices) {
        if notices != EndpointNotices::default() {
            *self.entry(life) = notices;
        }
    }

    /// Returns the notices of a life without an entry, for more to be recorded.
    pub(crate) fn entry(&mut self, life: EndpointLife) -> &mut EndpointNotices {
        self.notices.entry(life)
    }

    /// Returns the notices of a life whose entry has come back, and forgets them here.
    pub(crate) fn take(&mut self, life: &EndpointLife) -> EndpointNotices {
        self.notices.remove(life).unwrap_or_default()
    }
}
