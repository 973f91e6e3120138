//! The signals that endpoints sent in their replies: that they leave, or that they want no requests for a cooldown.
//!
//! Signals are kept for each incarnation of an endpoint, also while it has no entry in the list. `reply_signals`
//! records them.

use crate::{
    gateway::directory::endpoint_entry::EndpointIncarnation,
    shared::{fifo_map::FifoMap, units::Time},
};

/// Largest number of incarnations without an entry whose signals are kept.
const RETAINED_LIMIT: usize = 1_000;

/// The signals of one incarnation of an endpoint.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct EndpointSignals {
    /// Set if the endpoint leaves. This is final, whatever its entry states later.
    leaves: bool,
    /// End of the cooldown in which the endpoint wants no requests; absent without one.
    cooldown_end: Option<Time>,
    /// Set if a cooldown is over, and no reply has shown yet that the endpoint accepts requests again.
    is_probing: bool,
    /// Set if the endpoint sent a signal that can't be read.
    unclear: bool,
}

impl EndpointSignals {
    /// Returns whether the endpoint leaves.
    pub(crate) fn leaves(&self) -> bool {
        self.leaves
    }

    /// Returns the end of the endpoint's cooldown, if it has one.
    pub(crate) fn cooldown_end(&self) -> Option<Time> {
        self.cooldown_end
    }

    /// Returns whether a cooldown is over, and no reply has shown yet that the endpoint accepts requests again.
    pub(crate) fn is_probing(&self) -> bool {
        self.is_probing
    }

    /// Records a reply that asks for no cooldown.
    pub(crate) fn end_probing(&mut self) {
        self.is_probing = false;
    }

    /// Records that the endpoint leaves; returns whether that is new.
    pub(crate) fn record_leave(&mut self) -> bool {
        !std::mem::replace(&mut self.leaves, true)
    }

    /// Records that the endpoint wants no requests until a time; returns whether a cooldown begins with it. A later
    /// signal never shortens a cooldown.
    pub(crate) fn record_cooldown(&mut self, until: Time) -> bool {
        let known = self.cooldown_end;
        self.cooldown_end = known.max(Some(until));
        known.is_none()
    }

    /// Records that the endpoint sent a signal that can't be read; returns whether that is new.
    pub(crate) fn record_unclear(&mut self) -> bool {
        !std::mem::replace(&mut self.unclear, true)
    }

    /// Ends a cooldown whose time is over; returns whether there was one.
    pub(crate) fn end_cooldown(&mut self, now: Time) -> bool {
        let is_over = self.cooldown_end.is_some_and(|until| until <= now);
        if is_over {
            self.cooldown_end = None;
            self.is_probing = true;
        }
        is_over
    }
}

/// The signals of endpoints whose entries have vanished. An entry may lapse and come back while its endpoint keeps
/// running, and earlier signals remain valid then.
#[derive(Debug, Default)]
pub(crate) struct RetainedSignals {
    signals: FifoMap<EndpointIncarnation, EndpointSignals, RETAINED_LIMIT>,
}

impl RetainedSignals {
    /// Keeps the signals of an incarnation, if there are any.
    pub(crate) fn keep(&mut self, incarnation: EndpointIncarnation, signals: EndpointSignals) {
        if signals != EndpointSignals::default() {
            *self.entry(incarnation) = signals;
        }
    }

    /// Returns the signals of an incarnation without an entry, so that further ones can be recorded.
    pub(crate) fn entry(&mut self, incarnation: EndpointIncarnation) -> &mut EndpointSignals {
        self.signals.entry(incarnation)
    }

    /// Removes and returns the signals of an incarnation whose entry has come back.
    pub(crate) fn take(&mut self, incarnation: &EndpointIncarnation) -> EndpointSignals {
        self.signals.remove(incarnation).unwrap_or_default()
    }
}
