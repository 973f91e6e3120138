//! All endpoints as this daemon knows them, by service.
//!
//! It owns the state of each endpoint while the endpoint's entry is in the list of the directory. Entries
//! come from `directory`, loads from `peers`, the rest from this daemon's own attempts.

use {
    crate::{
        gateway::{
            dialect::{Prompt, ReplyLoad},
            directory::catalogue::EndpointEntry,
            hashes::{EndpointHash, endpoint_hash},
            routing::endpoint_state::{EndpointState, PeerLoad},
            rules::{
                endpoint_choice::{self, EndpointCandidate, EndpointChoice, Placement},
                reply_proof::EndpointOutcome,
            },
        },
        shared::{
            health::can_spare,
            ids::{DataCentreId, EndpointId, ServiceId},
            units::{Time, WorkMillis},
        },
    },
    foldhash::HashMap,
    std::{net::SocketAddr, sync::Arc},
};

/// The endpoints of all services.
#[derive(Debug, Default)]
pub struct EndpointStates {
    members: HashMap<EndpointId, EndpointState>,
    services: HashMap<ServiceId, Vec<EndpointId>>,
}

impl EndpointStates {
    /// Adds an endpoint, or replaces its entry.
    pub fn upsert(&mut self, entry: Arc<EndpointEntry>) {
        let id = entry.id.clone();
        match self.members.get_mut(&id) {
            Some(member) => member.entry = entry,
            None => {
                let ids = self.services.entry(entry.service.clone()).or_default();
                ids.push(id.clone());
                self.members.insert(id, EndpointState::new(entry));
            }
        }
    }

    /// Removes an endpoint with all that is known of it.
    pub fn remove(&mut self, id: &EndpointId) {
        if let Some(member) = self.members.remove(id)
            && let Some(ids) = self.services.get_mut(&member.entry.service)
        {
            ids.retain(|other| other != id);
        }
    }

    /// Returns the endpoints of a service.
    pub fn service(&self, id: &ServiceId) -> impl Iterator<Item = &EndpointState> {
        let ids = self.services.get(id).into_iter().flatten();
        ids.filter_map(|id| self.members.get(id))
    }

    /// Returns all endpoints.
    pub fn members(&self) -> impl Iterator<Item = &EndpointState> {
        self.members.values()
    }

    /// Returns an endpoint.
    pub fn get(&self, id: &EndpointId) -> Option<&EndpointState> {
        self.members.get(id)
    }

    /// Returns the service of the endpoint at an address.
    pub fn service_at(&self, address: SocketAddr) -> Option<&ServiceId> {
        self.members
            .values()
            .find(|member| member.entry.address == address)
            .map(|member| &member.entry.service)
    }

    /// Chooses the endpoint of a service where a request is expected to begin first, seen from the data
    /// centre `here`.
    pub fn choose(
        &self,
        now: Time,
        here: &DataCentreId,
        service: &ServiceId,
        placement: &Placement<'_>,
    ) -> Option<EndpointChoice> {
        let candidates: Vec<EndpointCandidate<'_>> = self
            .service(service)
            .filter(|member| member.is_open() && member.running < placement.connection_limit)
            .filter(|member| !placement.tried.contains(&member.entry.id))
            .map(|member| member.candidate(now, placement.prompt, placement.affinity))
            .collect();
        endpoint_choice::choose(&candidates, here, placement)
    }

    /// Records that a request was sent to an endpoint.
    pub fn sent(&mut self, now: Time, id: &EndpointId, prompt: &Prompt, uncached: u32) {
        if let Some(member) = self.members.get_mut(id) {
            member.sent(now, prompt, uncached);
        }
    }

    /// Records the time to the first event of a generation.
    pub fn first_event(&mut self, now: Time, choice: &EndpointChoice, waited: WorkMillis) {
        if let Some(member) = self.members.get_mut(&choice.entry.id) {
            member.first_event(now, choice, waited);
        }
    }

    /// Records that an endpoint won't read a prompt any more.
    pub fn forget_prefill(&mut self, id: &EndpointId, uncached: u32) {
        if let Some(member) = self.members.get_mut(id) {
            member.prompt_read(uncached);
        }
    }

    /// Records how a request at an endpoint ended; returns whether the endpoint gets no work for a while
    /// because of it.
    pub fn ended(&mut self, now: Time, id: &EndpointId, outcome: EndpointOutcome) -> bool {
        let may_eject = self.may_eject(now, id);
        match self.members.get_mut(id) {
            Some(member) => member.ended(now, outcome, may_eject),
            None => false,
        }
    }

    /// Records the load that an endpoint reported with a reply.
    pub fn record_load(&mut self, now: Time, id: &EndpointId, load: ReplyLoad) {
        if let Some(member) = self.members.get_mut(id) {
            member.reported_load = Some((now, load));
        }
    }

    /// Sets the load that other daemons put on each endpoint; one that isn't named has none.
    pub fn set_peer_loads(&mut self, loads: &HashMap<EndpointHash, PeerLoad>) {
        for member in self.members.values_mut() {
            let key = endpoint_hash(&member.entry.id);
            member.peers = loads.get(&key).copied().unwrap_or_default();
        }
    }

    /// Sets the load that other daemons put on each endpoint, from the sums over all daemons: this
    /// daemon's own part is subtracted.
    pub fn set_total_loads(&mut self, loads: &HashMap<EndpointHash, PeerLoad>) {
        for member in self.members.values_mut() {
            let key = endpoint_hash(&member.entry.id);
            let total = loads.get(&key).copied().unwrap_or_default();
            member.peers = PeerLoad {
                running: total.running.saturating_sub(member.running),
                prefill: (total.prefill - member.prefill).max(0.0),
            };
        }
    }

    /// Opens endpoints again that answered as another one long enough ago; returns whether there were
    /// any.
    pub fn reopen_replaced(&mut self, now: Time) -> bool {
        let reopened = self.members.values_mut().filter_map(|member| {
            let reopened = member.reopen(now);
            reopened.then_some(())
        });
        reopened.count() > 0
    }

    fn may_eject(&self, now: Time, id: &EndpointId) -> bool {
        let Some(member) = self.members.get(id) else {
            return false;
        };
        let pool: Vec<&EndpointState> = self.service(&member.entry.service).collect();
        let out = pool.iter().filter(|other| !other.is_available(now)).count();
        can_spare(out, pool.len())
    }
}
