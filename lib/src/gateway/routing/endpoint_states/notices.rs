//! What endpoints say of the service that they will give, and what follows for each: it leaves, it rests, it takes requests
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
    /// Returns whether the life that an entry is about may get work again: the list has it, and it hasn't said that it
    /// leaves.
    pub(crate) fn may_return(&self, entry: &EndpointEntry) -> bool {
        let member = self.life(entry);
        member.is_some_and(|member| !member.notices.leaves())
    }

    /// Returns the notices of the life that an entry is about, which the list may lack by now.
    fn notices(&mut self, entry: &EndpointEntry) -> &mut EndpointNotices {
        match self.members.get_mut(&entry.id) {
            Some(member) if member.entry.born == entry.born => &mut member.notices,
            _ => self.remembered.entry(entry.life()),
        }
    }

    /// Records that an endpoint says that it leaves; returns whether that is new.
    pub(crate) fn record_leave(&mut self, entry: &EndpointEntry) -> bool {
        self.notices(entry).record_leave()
    }

    /// Records that an endpoint wants nothing until a time; returns whether a rest begins with it.
    pub fn record_rest(&mut self, entry: &EndpointEntry, until: Time) -> bool {
        self.first_rest = self.first_rest.into_iter().chain([until]).min();
        self.notices(entry).record_rest(until)
    }

    /// Records that an endpoint answered without asking for rest.
    pub(crate) fn end_trial(&mut self, entry: &EndpointEntry) {
        if let Some(member) = self.of_life(entry) {
            member.notices.end_trial();
        }
    }

    /// Returns whether an endpoint wants nothing just now.
    pub(crate) fn is_resting(&self, entry: &EndpointEntry) -> bool {
        let member = self.life(entry);
        member.is_some_and(|member| member.standing().cooling_down)
    }

    /// Returns when the first endpoint of a service in `places` has rested; nothing where one takes requests now, or where
    /// none rests.
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

    /// Records that an endpoint says something that can't be read; returns whether that is new.
    pub(crate) fn record_unclear(&mut self, entry: &EndpointEntry) -> bool {
        self.notices(entry).record_unclear()
    }

    /// Ends the rests whose time is over; returns whether there were any.
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
