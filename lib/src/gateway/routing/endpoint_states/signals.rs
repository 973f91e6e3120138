//! The signals of endpoints, and their effect on the state of each: it leaves, it is in a cooldown, it accepts requests
//! again.

use {
    super::EndpointStates,
    crate::{
        gateway::{
            directory::endpoint_entry::EndpointEntry,
            routing::{endpoint_signals::EndpointSignals, endpoint_state::EndpointState},
            rules::eligibility::{AllowedDataCentres, Exclusion},
        },
        shared::{ids::ServiceId, units::Time},
    },
};

impl EndpointStates {
    /// Returns whether the incarnation that an entry describes may get work again: the endpoint list has it, and it
    /// hasn't signalled that it leaves.
    pub(crate) fn may_return(&self, entry: &EndpointEntry) -> bool {
        let member = self.incarnation(entry);
        member.is_some_and(|member| !member.signals.leaves())
    }

    /// Returns the signals of the incarnation that an entry describes, also if the endpoint list lacks it by now.
    fn signals(&mut self, entry: &EndpointEntry) -> &mut EndpointSignals {
        match self.members.get_mut(&entry.id) {
            Some(member) if member.entry.started == entry.started => &mut member.signals,
            _ => self.retained.entry(entry.incarnation()),
        }
    }

    /// Records that an endpoint leaves; returns whether that is new.
    pub(crate) fn record_leave(&mut self, entry: &EndpointEntry) -> bool {
        self.signals(entry).record_leave()
    }

    /// Records that an endpoint wants no requests until a time; returns whether a cooldown begins with it.
    pub fn record_cooldown(&mut self, entry: &EndpointEntry, until: Time) -> bool {
        self.first_cooldown = self.first_cooldown.into_iter().chain([until]).min();
        self.signals(entry).record_cooldown(until)
    }

    /// Sets whether an endpoint is brittle, as given by the maximum number of requests in flight from this daemon; returns
    /// whether that is a change.
    pub(crate) fn set_brittle(&mut self, entry: &EndpointEntry, limit: Option<u32>) -> bool {
        let member = self.incarnation_mut(entry);
        member.is_some_and(|member| member.set_brittle(limit))
    }

    /// Records that an endpoint replied without asking for a cooldown.
    pub(crate) fn end_probing(&mut self, entry: &EndpointEntry) {
        if let Some(member) = self.incarnation_mut(entry) {
            member.signals.end_probing();
        }
    }

    /// Returns whether an endpoint is in a cooldown.
    pub(crate) fn in_cooldown(&self, entry: &EndpointEntry) -> bool {
        let member = self.incarnation(entry);
        member.is_some_and(|member| member.restrictions().cooling_down)
    }

    /// Returns the end of the first cooldown of a service's endpoints in `data_centres`; `None` if one of them is open,
    /// or if none is in a cooldown.
    pub fn cooldown_end(&self, id: &ServiceId, data_centres: &AllowedDataCentres) -> Option<Time> {
        let is_allowed = |member: &&EndpointState| data_centres.allow(&member.entry.data_centre);
        if self.open(id).any(|member| is_allowed(&member)) {
            return None;
        }
        let members = self.service(id).filter(is_allowed);
        let in_cooldown = members
            .filter(|member| member.restrictions().exclusion() == Some(Exclusion::CoolingDown));
        in_cooldown
            .filter_map(|member| member.signals.cooldown_end())
            .min()
    }

    /// Records that an endpoint sent a signal that can't be read; returns whether that is new.
    pub(crate) fn record_unclear(&mut self, entry: &EndpointEntry) -> bool {
        self.signals(entry).record_unclear()
    }

    /// Ends the cooldowns whose time is over; returns whether there were any.
    pub fn end_cooldowns(&mut self, now: Time) -> bool {
        if self.first_cooldown.is_none_or(|first| now < first) {
            return false;
        }
        let mut ended = false;
        for member in self.members.values_mut() {
            ended |= member.signals.end_cooldown(now);
        }
        let cooldowns = self
            .members
            .values()
            .filter_map(|member| member.signals.cooldown_end());
        self.first_cooldown = cooldowns.min();
        ended
    }
}
