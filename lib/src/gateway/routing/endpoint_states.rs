//! The states of all endpoints that this daemon knows, by service.
//!
//! An endpoint has a state as long as its entry is in the endpoint list. Entries come from `directory`, loads from
//! `peers`, everything else from this daemon's own attempts.

use {
    crate::{
        gateway::{
            dialect::{Prompt, ReplyLoad},
            directory::endpoint_entry::{EndpointEntry, EndpointIncarnation},
            engines::service_model::ServiceModel,
            hashes::{DataCentreHash, EndpointHash, IncarnationHash, data_centre_hash},
            loans::store::ConnectionLoans,
            rates::store::EndpointRates,
            routing::{
                endpoint_signals::RetainedSignals,
                endpoint_state::{EndpointSign, EndpointState, PeerLoad},
            },
            rules::{
                allowed_regions::{RegionHash, Regions},
                connection_loan::Room,
                distance::{RegionRoundTrip, in_different_regions},
                eligibility::{AllowedDataCentres, Exclusion, ExclusionCounts},
                endpoint_choice::{self, EndpointChoice, EndpointRequest},
                reply_proof::EndpointOutcome,
                stream_origin::{StreamOrigin, may_continue},
            },
        },
        shared::{
            health::can_spare,
            ids::{DataCentreId, EndpointId, ServiceId},
            units::{Millis, Rate, Time, WorkMillis},
        },
    },
    foldhash::HashMap,
    std::{collections::BTreeSet, mem, net::SocketAddr, sync::Arc},
    xxhash_rust::xxh3::xxh3_64_with_seed,
};

mod signals;

/// The endpoints of all services.
#[derive(Debug, Default)]
pub struct EndpointStates {
    members: HashMap<EndpointId, EndpointState>,
    services: HashMap<ServiceId, Vec<EndpointId>>,
    /// The evacuated data centres; also applied to endpoints that are added later.
    evacuated: BTreeSet<DataCentreHash>,
    /// The rate limits that endpoints advertise.
    pub(crate) rates: EndpointRates,
    /// Connections that this daemon lent and borrowed.
    pub(crate) loans: ConnectionLoans,
    /// The signals of endpoints whose entries have vanished.
    retained: RetainedSignals,
    /// Earliest time at which a cooldown may end; absent if no endpoint has one.
    first_cooldown: Option<Time>,
    /// Assignment of data centres to regions.
    regions: Regions,
    /// The region of this daemon; absent if it isn't known or there is only one region.
    local_region: Option<RegionHash>,
    /// Round-trip times to other regions, as measured by connects.
    round_trips: HashMap<RegionHash, RegionRoundTrip>,
    /// Seed of this daemon's order of otherwise equal endpoints; without one, they keep the order of their entries.
    seed: Option<u64>,
}

impl EndpointStates {
    /// Adds an endpoint, or replaces its entry. A new incarnation starts with a fresh state.
    pub fn upsert(&mut self, now: Time, entry: Arc<EndpointEntry>) {
        match self.members.get_mut(&entry.id) {
            Some(member) if member.entry.started == entry.started => member.renew(now, entry),
            Some(_) => {
                self.remove(&entry.id);
                self.add(now, entry);
            }
            None => self.add(now, entry),
        }
    }

    /// Sets the seed of this daemon's order of otherwise equal endpoints. It applies to endpoints that are added later.
    pub fn set_seed(&mut self, seed: u64) {
        self.seed = Some(seed);
    }

    /// Sets the regions of data centres, and the data centre of this daemon.
    pub fn set_regions(&mut self, here: &DataCentreId, regions: &Regions) {
        self.local_region = regions.region(here);
        for member in self.members.values_mut() {
            member.region = regions.region(&member.entry.data_centre);
        }
        self.regions = regions.clone();
    }

    /// Returns the region of this daemon; `None` if it isn't known or there is only one region.
    pub fn local_region(&self) -> Option<RegionHash> {
        self.local_region
    }

    /// Returns the round-trip time to another region; `None` for this daemon's own region.
    pub fn round_trip(&self, now: Time, region: Option<RegionHash>) -> Option<WorkMillis> {
        let region = region.filter(|_| in_different_regions(self.local_region, region))?;
        let round_trip = self.round_trips.get(&region).copied().unwrap_or_default();
        Some(round_trip.time(now))
    }

    fn add(&mut self, now: Time, entry: Arc<EndpointEntry>) {
        let id = entry.id.clone();
        let ids = self.services.entry(entry.service.clone()).or_default();
        ids.push(id.clone());
        let data_centre = data_centre_hash(&entry.data_centre);
        let evacuated = self.evacuated.contains(&data_centre);
        let region = self.regions.region(&entry.data_centre);
        let signals = self.retained.take(&entry.incarnation());
        let mut member = EndpointState::new(now, entry, evacuated);
        member.region = region;
        member.signals = signals;
        self.first_cooldown = self
            .first_cooldown
            .into_iter()
            .chain(signals.cooldown_end())
            .min();
        if let Some(seed) = self.seed {
            member.order = xxh3_64_with_seed(id.as_str().as_bytes(), seed);
        }
        self.members.insert(id, member);
    }

    /// Sets which data centres are evacuated; returns the previous set.
    pub fn set_evacuated(
        &mut self,
        now: Time,
        data_centres: BTreeSet<DataCentreHash>,
    ) -> BTreeSet<DataCentreHash> {
        for member in self.members.values_mut() {
            let data_centre = data_centre_hash(&member.entry.data_centre);
            member.set_evacuated(now, data_centres.contains(&data_centre));
        }
        mem::replace(&mut self.evacuated, data_centres)
    }

    /// Removes an endpoint and its state; only its signals are kept.
    pub fn remove(&mut self, id: &EndpointId) {
        let Some(member) = self.members.remove(id) else {
            return;
        };
        self.rates.forget(member.incarnation);
        self.retained
            .keep(member.entry.incarnation(), member.signals);
        if let Some(ids) = self.services.get_mut(&member.entry.service) {
            ids.retain(|other| other != id);
        }
    }

    /// Removes the endpoints for which `is_kept` returns false.
    pub(crate) fn retain(&mut self, is_kept: impl Fn(&EndpointId) -> bool) {
        let ids = self.members.keys().filter(|id| !is_kept(id));
        let removed: Vec<EndpointId> = ids.cloned().collect();
        for id in removed {
            self.remove(&id);
        }
    }

    /// Returns the services that have or had endpoints.
    pub(crate) fn services(&self) -> impl Iterator<Item = &ServiceId> {
        self.services.keys()
    }

    /// Returns the endpoints of a service.
    pub fn service(&self, id: &ServiceId) -> impl Iterator<Item = &EndpointState> {
        let ids = self.services.get(id).into_iter().flatten();
        ids.filter_map(|id| self.members.get(id))
    }

    /// Returns the endpoints of a service that aren't excluded from new work.
    pub fn open(&self, id: &ServiceId) -> impl Iterator<Item = &EndpointState> {
        self.service(id).filter(|member| member.is_open())
    }

    /// Returns the open endpoints of a service whose calls this daemon may schedule: those in its region, or all if the
    /// region has none.
    pub fn schedulable(&self, id: &ServiceId) -> Vec<&EndpointState> {
        let is_local =
            |member: &&EndpointState| !in_different_regions(self.local_region, member.region);
        let schedulable: Vec<&EndpointState> = self.open(id).filter(is_local).collect();
        if schedulable.is_empty() {
            return self.open(id).collect();
        }
        schedulable
    }

    /// Returns the endpoint of a service at an address.
    fn at(&self, id: &ServiceId, address: SocketAddr) -> Option<&EndpointState> {
        let mut members = self.service(id);
        members.find(|member| member.entry.address == address)
    }

    /// Returns the region of the endpoint of a service at an address.
    pub fn region_at(&self, id: &ServiceId, address: SocketAddr) -> Option<RegionHash> {
        self.at(id, address)?.region
    }

    /// Returns the entry of the endpoint of a service at an address.
    pub(crate) fn entry_at(
        &self,
        id: &ServiceId,
        address: SocketAddr,
    ) -> Option<Arc<EndpointEntry>> {
        Some(self.at(id, address)?.entry.clone())
    }

    /// Checks that a service has an endpoint in `data_centres` that isn't excluded from new work.
    ///
    /// # Errors
    ///
    /// Returns the number of endpoints by the reason for which they are excluded if there is none.
    pub fn any_open(
        &self,
        id: &ServiceId,
        data_centres: &AllowedDataCentres,
    ) -> Result<(), ExclusionCounts> {
        self.any_open_of(id, data_centres, None)
    }

    /// Checks like [`any_open`](Self::any_open) that a service has an open endpoint, of the origin of the stream that a
    /// request continues if it continues one.
    ///
    /// # Errors
    ///
    /// Returns the number of endpoints by the reason for which they are excluded if there is none.
    pub(crate) fn any_open_of(
        &self,
        id: &ServiceId,
        data_centres: &AllowedDataCentres,
        origin: Option<StreamOrigin>,
    ) -> Result<(), ExclusionCounts> {
        let mut excluded = ExclusionCounts::default();
        for member in self.service(id) {
            let not_allowed = !data_centres.allow(&member.entry.data_centre);
            let not_allowed = not_allowed.then_some(Exclusion::NotAllowed);
            let other_version = !may_continue(origin, member.origin);
            let other_version = other_version.then_some(Exclusion::OtherVersion);
            let exclusion = member.restrictions().exclusion();
            match exclusion.or(not_allowed).or(other_version) {
                Some(reason) => excluded.count(reason),
                None => return Ok(()),
            }
        }
        Err(excluded)
    }

    /// Returns all endpoints.
    pub fn members(&self) -> impl Iterator<Item = &EndpointState> {
        self.members.values()
    }

    /// Returns the state of an endpoint.
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

    /// Chooses the endpoint of a service with the least expected time for a request from the data centre `here`.
    ///
    /// # Errors
    ///
    /// Returns the number of endpoints by the reason for which they are excluded if none may get the request. Endpoints
    /// that were already tried aren't counted.
    pub fn choose(
        &self,
        now: Time,
        here: &DataCentreId,
        service: &ServiceId,
        request: &EndpointRequest<'_>,
    ) -> Result<EndpointChoice, ExclusionCounts> {
        self.choose_by(now, here, service, request, None)
    }

    /// Chooses an endpoint like [`choose`](Self::choose), by the times that the service's model expects if there is
    /// one.
    ///
    /// # Errors
    ///
    /// Returns the number of endpoints by the reason for which they are excluded if none may get the request.
    pub fn choose_by(
        &self,
        now: Time,
        here: &DataCentreId,
        service: &ServiceId,
        request: &EndpointRequest<'_>,
        model: Option<&ServiceModel>,
    ) -> Result<EndpointChoice, ExclusionCounts> {
        let mut excluded = ExclusionCounts::default();
        let mut candidates = Vec::new();
        for member in self.service(service) {
            if request.tried.contains(&member.entry.id) {
                continue;
            }
            let limited = !self
                .rates
                .may_send(now, member.incarnation, request.urgency);
            let share = member.share(request.connection_limit);
            let most = self.loans.limit(now, member.incarnation, share);
            let restrictions = member.restrictions_for(now, request, limited, most);
            match restrictions.exclusion() {
                Some(reason) => excluded.count(reason),
                None => {
                    let limit = self.rates.limit(now, member.incarnation);
                    let round_trip = self.round_trip(now, member.region);
                    let mut candidate = member.candidate(now, request, limit, round_trip);
                    candidate.engine = model.map(|model| model.figures(now, member.incarnation));
                    candidates.push(candidate);
                }
            }
        }
        let choice = endpoint_choice::choose(&candidates, here, request);
        choice
            .map(|choice| EndpointChoice { excluded, ..choice })
            .ok_or(excluded)
    }

    /// Returns the open endpoints of a service that accept a limited number of connections, with this daemon's share of them,
    /// of `connections` each. What is lent or borrowed isn't included.
    pub(crate) fn shares(
        &self,
        service: &ServiceId,
        connections: u32,
    ) -> Vec<(IncarnationHash, Room)> {
        let shares = self.open(service).map(|member| {
            let room = Room {
                limit: member.share(connections),
                running: member.running,
            };
            (member.incarnation, room)
        });
        shares.filter(|(_, room)| room.limit < u32::MAX).collect()
    }

    /// Returns the state of the incarnation that an entry describes, or `None` if the endpoint has restarted since.
    fn incarnation_mut(&mut self, entry: &EndpointEntry) -> Option<&mut EndpointState> {
        let member = self.members.get_mut(&entry.id)?;
        (member.entry.started == entry.started).then_some(member)
    }

    /// Records that a request was sent to an endpoint.
    pub fn record_sent(
        &mut self,
        now: Time,
        entry: &EndpointEntry,
        prompt: &Prompt,
        uncached: u32,
    ) {
        if let Some(member) = self.incarnation_mut(entry) {
            member.record_sent(now, prompt, uncached);
        }
    }

    /// Uses up a permit for an endpoint that advertises a rate limit.
    pub(crate) fn use_permit(&mut self, now: Time, entry: &EndpointEntry, urgency: u32) {
        if let Some(incarnation) = self.incarnation_mut(entry).map(|member| member.incarnation) {
            self.rates.use_permit(now, incarnation, urgency);
        }
    }

    /// Returns the endpoint whose incarnation has this hash.
    pub(crate) fn by_incarnation(&self, incarnation: IncarnationHash) -> Option<&EndpointState> {
        self.members
            .values()
            .find(|member| member.incarnation == incarnation)
    }

    /// Returns the rate limits that endpoints advertise.
    pub fn rates(&self) -> &EndpointRates {
        &self.rates
    }

    /// Returns the open endpoints of a service that advertise a rate limit.
    fn limited(&self, service: &ServiceId) -> impl Iterator<Item = &EndpointState> {
        let limited = |member: &&EndpointState| self.rates.rate(member.incarnation).is_some();
        self.open(service).filter(limited)
    }

    /// Records that a request of a service needs permits for the endpoints for which this daemon has none. Returns
    /// whether a claim is to be sent to the coordinator at once.
    pub(crate) fn record_denied(&mut self, now: Time, service: &ServiceId, urgency: u32) -> bool {
        let limited = self.limited(service).map(|member| member.incarnation);
        let without =
            limited.filter(|incarnation| !self.rates.may_send(now, *incarnation, urgency));
        let without: Vec<IncarnationHash> = without.collect();
        let mut is_due = false;
        for incarnation in without {
            is_due |= self.rates.record_denied(now, incarnation, urgency);
        }
        is_due
    }

    /// Returns the sum of the rate limits that the endpoints of a service advertise.
    pub(crate) fn total_rate(&self, service: &ServiceId) -> Rate {
        let limited = self.limited(service);
        let rates = limited.filter_map(|member| self.rates.rate(member.incarnation));
        Rate(rates.map(|rate| rate.0).sum())
    }

    /// Returns the shortest expected time until a permit for an endpoint of a service; `None` if it isn't known.
    pub(crate) fn permit_wait(&self, now: Time, service: &ServiceId) -> Option<Millis> {
        let limited = self.limited(service);
        let waits = limited.filter_map(|member| self.rates.wait(now, member.incarnation));
        waits.min()
    }

    /// Returns the expected time until a permit if no open endpoint of a service in `data_centres` can get a request of
    /// that urgency now; `None` if one can, or if the time isn't known.
    pub(crate) fn needed_permit_wait(
        &self,
        now: Time,
        service: &ServiceId,
        data_centres: &AllowedDataCentres,
        urgency: u32,
    ) -> Option<Millis> {
        let mut open = self
            .open(service)
            .filter(|member| data_centres.allow(&member.entry.data_centre));
        if open.any(|member| self.rates.may_send(now, member.incarnation, urgency)) {
            return None;
        }
        self.permit_wait(now, service)
    }

    /// Returns the number of valid permits for each endpoint of a service that advertises a rate limit.
    pub(crate) fn permits(
        &self,
        now: Time,
        service: &ServiceId,
    ) -> impl Iterator<Item = (EndpointIncarnation, usize)> {
        self.limited(service).filter_map(move |member| {
            let permits = self.rates.permits(now, member.incarnation)?;
            Some((member.entry.incarnation(), permits))
        })
    }

    /// Records that the first event of a generation arrived after `waited`.
    pub fn record_first_event(&mut self, now: Time, choice: &EndpointChoice, waited: WorkMillis) {
        if let Some(member) = self.incarnation_mut(&choice.entry) {
            member.record_first_event(now, choice, waited);
        }
    }

    /// Removes `uncached` tokens from those that an endpoint hasn't read yet, because it will not read them any more.
    pub fn cancel_prefill(&mut self, entry: &EndpointEntry, uncached: u32) {
        if let Some(member) = self.incarnation_mut(entry) {
            member.prompt_read(uncached);
        }
    }

    /// Records how a request at an endpoint ended; returns whether the outcome excludes the endpoint for a time.
    pub fn record_ended(
        &mut self,
        now: Time,
        entry: &EndpointEntry,
        outcome: EndpointOutcome,
    ) -> bool {
        let may_eject = self.may_eject(now, &entry.id);
        match self.incarnation_mut(entry) {
            Some(member) => member.record_ended(now, outcome, may_eject),
            None => false,
        }
    }

    /// Records that an endpoint refused a connection; returns whether that is new.
    pub(crate) fn record_refused(&mut self, now: Time, entry: &EndpointEntry) -> bool {
        let member = self.incarnation_mut(entry);
        member.is_some_and(|member| member.record_refused(now))
    }

    /// Records the time that a connect to an endpoint took. For another region this is a sample of the round-trip time.
    pub fn record_connected(&mut self, now: Time, entry: &EndpointEntry, took: WorkMillis) {
        self.record_heard(now, entry);
        let region = self.incarnation_mut(entry).and_then(|member| member.region);
        if let Some(region) = region.filter(|_| in_different_regions(self.local_region, region)) {
            self.round_trips
                .entry(region)
                .or_default()
                .record(now, took);
        }
    }

    /// Records that an endpoint accepted a connection or replied.
    pub(crate) fn record_heard(&mut self, now: Time, entry: &EndpointEntry) {
        if let Some(member) = self.incarnation_mut(entry) {
            member.record_heard(now);
        }
    }

    /// Returns what has shown since a time whether an endpoint runs; `None` if nothing has.
    pub(crate) fn sign_since(&self, entry: &EndpointEntry, since: Time) -> Option<EndpointSign> {
        self.incarnation(entry)?.sign_since(since)
    }

    /// Records that an endpoint accepted a connection.
    pub(crate) fn record_accepted(&mut self, entry: &EndpointEntry) {
        if let Some(member) = self.incarnation_mut(entry) {
            member.record_accepted();
        }
    }

    /// Returns whether the endpoint list has the incarnation that an entry describes.
    pub(crate) fn has_incarnation(&self, entry: &EndpointEntry) -> bool {
        self.incarnation(entry).is_some()
    }

    fn incarnation(&self, entry: &EndpointEntry) -> Option<&EndpointState> {
        let member = self.members.get(&entry.id)?;
        (member.entry.started == entry.started).then_some(member)
    }

    /// Records the load that an endpoint reported with a reply. Returns whether the report is the first with a slowdown
    /// that can't be read.
    pub fn record_load(&mut self, now: Time, entry: &EndpointEntry, load: ReplyLoad) -> bool {
        let member = self.incarnation_mut(entry);
        member.is_some_and(|member| member.record_load(now, load))
    }

    /// Sets the load that other daemons put on each endpoint; endpoints that `loads` lacks get none.
    pub fn set_peer_loads(&mut self, loads: &HashMap<EndpointHash, PeerLoad>) {
        for member in self.members.values_mut() {
            member.peer_load = loads.get(&member.hash).copied().unwrap_or_default();
        }
    }

    /// Sets the load that other daemons put on each endpoint, from the sums over all daemons: this daemon's own share
    /// is subtracted.
    pub fn set_total_loads(&mut self, loads: &HashMap<EndpointHash, PeerLoad>) {
        for member in self.members.values_mut() {
            let total = loads.get(&member.hash).copied().unwrap_or_default();
            member.peer_load = PeerLoad {
                running: total.running.saturating_sub(member.running),
                prefill: (total.prefill - member.prefill).max(0.0),
            };
        }
    }

    /// Admits new work again at endpoints at whose address another one replied long enough ago; returns whether there
    /// were any.
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
        let pool = self.service(&member.entry.service);
        let pool: Vec<&EndpointState> = pool.filter(|other| !other.is_evacuated()).collect();
        let unavailable = pool.iter().filter(|other| !other.is_available(now)).count();
        can_spare(unavailable, pool.len())
    }
}
