//! The signals of endpoints, and their effect on the state of each: it leaves, it is in a cooldown, it accepts requests
//! again.

use {
    super::EndpointStates,
    crate::{
        gateway::{
            directory::endpoint_entry::EndpointEntry,
            routing::{endpoint_notices::EndpointNotices, endpoint_state::EndpointState},
            rules::eligibility::{AllowedDataCentres, Exclusion},
        },
        shared::{ids::ServiceId, units::Time},
    },
};

impl EndpointStates {
    /// Returns whether the incarnation that an entry describes may get work again: the endpoint list has it, and it
    /// hasn't signalled that it leaves.
    pub(crate) fn may_return(&self, entry: &EndpointEntry) -> bool {
        let member = self.life(entry);
        member.is_some_and(|member| !member.notices.leaves())
    }

    /// Returns the signals of the incarnation that an entry describes, also if the endpoint list lacks it by now.
    fn notices(&mut self, entry: &EndpointEntry) -> &mut EndpointNotices {
        match self.members.get_mut(&entry.id) {
            Some(member) if member.entry.born == entry.born => &mut member.notices,
            _ => self.remembered.entry(entry.life()),
        }
    }

    /// Records that an endpoint leaves; returns whether that is new.
    pub(crate) fn record_leave(&mut self, entry: &EndpointEntry) -> bool {
        self.notices(entry).record_leave()
    }

    /// Records that an endpoint wants no requests until a time; returns whether a cooldown begins with it.
    pub fn record_rest(&mut self, entry: &EndpointEntry, until: Time) -> bool {
        self.first_rest = self.first_rest.into_iter().chain([until]).min();
        self.notices(entry).record_rest(until)
    }

    /// Records that an endpoint replied without asking for a cooldown.
    pub(crate) fn end_trial(&mut self, entry: &EndpointEntry) {
        if let Some(member) = self.of_life(entry) {
            member.notices.end_trial();
        }
    }

    /// Returns whether an endpoint is in a cooldown.
    pub(crate) fn is_resting(&self, entry: &EndpointEntry) -> bool {
        let member = self.life(entry);
        member.is_some_and(|member| member.standing().cooling_down)
    }

    /// Returns the end of the first cooldown of a service's endpoints in `places`; `None` if one of them is open, or if
    /// none is in a cooldown.
    pub fn rest_end(&self, id: &ServiceId, places: &AllowedDataCentres) -> Option<Time> {
        let near = |member: &&EndpointState| places.allow(&member.entry.data_centre);
        if self.open(id).any(|member| near(&member)) {
            return None;
        }
        let members = self.service(id).filter(near);
        let resting =
            members.filter(|member| member.standing().exclusion() == Some(Exclusion::CoolingDown));
        resting.filter_map(|member| member.notices.rest()).min()
    }

    /// Records that an endpoint sent a signal that can't be read; returns whether that is new.
    pub(crate) fn record_unclear(&mut self, entry: &EndpointEntry) -> bool {
        self.notices(entry).record_unclear()
    }

    /// Ends the cooldowns whose time is over; returns whether there were any.
    pub fn end_rests(&mut self, now: Time) -> bool {
        if self.first_rest.is_none_or(|first| now < first) {
            return false;
        }
        let mut ended = false;
        for member in self.members.values_mut() {
            ended |= member.notices.end_rest(now);
        }
        let rests = self
            .members
            .values()
            .filter_map(|member| member.notices.rest());
        self.first_rest = rests.min();
        ended
    }
}
