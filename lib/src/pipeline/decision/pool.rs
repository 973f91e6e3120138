//! The endpoints of one service as this daemon sees them.
//!
//! A [`Pool`] owns its [`PoolMember`]s, the costs learnt from the service's calls, the retry budget and the assumed
//! content of the engines' caches. It applies the rules: [`call_costs`] estimates the work of a call,
//! [`health`](crate::shared::health) decides on ejection, and [`retry_after`] gives waits.
//!
//! [`call_costs`]: super::call_costs

use {
    crate::{
        pipeline::decision::{
            call_costs::{CallCosts, CallEstimate, CallSize},
            endpoint::{AttemptEnd, Generation, NotRunCause},
            member::PoolMember,
            prefix::{CacheEvent, Prefix, PrefixIndex},
            request::{Attempt, EndedAttempt},
            retry::RetryBudget,
            retry_after,
        },
        settings::tree::{Service, ServiceKind},
        shared::{
            health::{HealthState, can_spare},
            ids::{AttemptId, DataCentreId, EndpointId, MemberSerial},
            units::{Millis, Time, WorkMillis},
        },
    },
    foldhash::HashMap,
    std::sync::Arc,
};

/// The endpoints of one service.
#[derive(Debug, Clone)]
pub struct Pool {
    /// Entry of the service in the settings tree.
    pub service: Arc<Service>,
    /// Endpoints of the service, in the tree's order.
    pub members: Vec<PoolMember>,
    /// Indexes of the endpoints by id, so that handling a reply costs the same in a pool of any size.
    by_id: HashMap<EndpointId, usize>,
    /// Indexes of the endpoints by serial.
    by_serial: HashMap<MemberSerial, usize>,
    /// Indexes of the endpoints in this daemon's data centre.
    pub local: Vec<usize>,
    /// Indexes of the endpoints in other data centres.
    pub remote: Vec<usize>,
    /// Budget of retries and hedges for the service.
    pub budget: RetryBudget,
    /// Costs learnt from the service's calls.
    costs: CallCosts,
    /// Assumed content of the engines' caches.
    prefixes: PrefixIndex,
    /// Number of endpoints that the naive policy has passed in turn; modulo the pool's size, the index of the next.
    pub cursor: usize,
}

impl Pool {
    /// Builds the pool of a service. Takes over what `old` has learnt, and its members that are still in the service.
    pub fn new(
        service: Arc<Service>,
        data_centre: &DataCentreId,
        old: Option<Pool>,
        next_serial: &mut impl FnMut() -> MemberSerial,
    ) -> Self {
        let mut pool = old.unwrap_or_else(|| Self::empty(service.clone()));
        let old_members = std::mem::take(&mut pool.members);
        pool.members = members(&service, old_members, next_serial);
        pool.service = service;
        pool.index_members(data_centre);
        pool
    }

    fn empty(service: Arc<Service>) -> Self {
        Self {
            members: Vec::new(),
            by_id: HashMap::default(),
            by_serial: HashMap::default(),
            local: Vec::new(),
            remote: Vec::new(),
            budget: RetryBudget::default(),
            costs: CallCosts::new(&service),
            prefixes: PrefixIndex::default(),
            cursor: 0,
            service,
        }
    }

    fn index_members(&mut self, data_centre: &DataCentreId) {
        let members = &self.members;
        let numbered = || members.iter().enumerate();
        self.by_id = numbered()
            .map(|(i, member)| (member.spec.id.clone(), i))
            .collect();
        self.by_serial = numbered().map(|(i, member)| (member.serial, i)).collect();
        let is_local = |i: &usize| members[*i].spec.data_centre == *data_centre;
        (self.local, self.remote) = (0..members.len()).partition(is_local);
    }

    /// Returns the index of the member with a serial, if it is still in the pool.
    pub fn index_of(&self, serial: MemberSerial) -> Option<usize> {
        self.by_serial.get(&serial).copied()
    }

    /// Returns an endpoint by its id.
    pub fn member_by_id(&mut self, endpoint: &EndpointId) -> Option<&mut PoolMember> {
        let index = self.by_id.get(endpoint)?;
        self.members.get_mut(*index)
    }

    /// Returns an endpoint by its id; `None` if it has left the pool, or has left it and come back under a new serial.
    pub fn member(
        &mut self,
        endpoint: &EndpointId,
        serial: MemberSerial,
    ) -> Option<&mut PoolMember> {
        self.member_by_id(endpoint)
            .filter(|member| member.serial == serial)
    }

    /// Estimates the work of a call, and finds the engines that probably have the start of its prompt in their cache.
    pub fn estimate_call(&self, now: Time, input: &[u8], tokens: u32) -> CallEstimate {
        let size = self.size(input, tokens);
        CallEstimate {
            work: self.costs.call_work(&self.service.kind, &size),
            block_saving: self.costs.block_work(),
            holders: self.prefixes.holders(now, &size.prefix),
            size,
        }
    }

    fn size(&self, input: &[u8], tokens: u32) -> CallSize {
        let is_engine = matches!(self.service.kind, ServiceKind::Engine { .. });
        let affinity = is_engine && self.service.settings.affinity.value;
        CallSize {
            bytes: input.len(),
            tokens,
            prefix: if affinity {
                Prefix::of(input)
            } else {
                Prefix::default()
            },
        }
    }

    /// Records that a call is sent to the endpoint at `index`, and returns the attempt.
    pub fn start_attempt(
        &mut self,
        now: Time,
        id: AttemptId,
        index: usize,
        estimate: CallEstimate,
    ) -> Attempt {
        let member = &mut self.members[index];
        let work = estimate.work_at(member.serial);
        let attempt = Attempt {
            id,
            endpoint: member.spec.id.clone(),
            serial: member.serial,
            sent: now,
            expected: member.load.sent(now, work),
            size: estimate.size,
        };
        self.record_prompt(now, attempt.serial, &attempt.size.prefix);
        attempt
    }

    /// Records that a prompt was sent to an engine, which will have its blocks in its cache.
    pub fn record_prompt(&mut self, now: Time, serial: MemberSerial, prefix: &Prefix) {
        self.prefixes.record_prompt(now, serial, prefix);
    }

    /// Learns from the end of an attempt; returns whether the endpoint was ejected because of it.
    pub fn ended(&mut self, now: Time, ended: &EndedAttempt<'_>) -> bool {
        let attempt = ended.attempt;
        let Some(member) = self.member(&attempt.endpoint, attempt.serial) else {
            return false;
        };
        member.load.ended(attempt.sent, attempt.expected);
        match ended.end {
            AttemptEnd::Answered(_) | AttemptEnd::StreamEnded { .. } => {
                member.health.succeeded();
                let took = WorkMillis(now.millis_since(attempt.sent));
                member.load.correct(now, attempt.expected, took);
                let generation = ended.end.generation();
                self.learn(&attempt.size, generation, ended.spent);
                false
            }
            AttemptEnd::NotRun(NotRunCause::Leaving) => {
                member.leaving = true;
                false
            }
            // A refusal because the endpoint is full doesn't affect its health.
            AttemptEnd::NotRun(NotRunCause::Busy) => false,
            AttemptEnd::NotRun(NotRunCause::Unreachable) | AttemptEnd::Failed(_) => {
                ended.may_eject && self.failed(now, &attempt.endpoint, attempt.serial)
            }
        }
    }

    /// Learns from a call of `size` that kept its endpoint busy for `served`.
    pub fn learn(&mut self, size: &CallSize, generation: Generation, served: WorkMillis) {
        self.costs.learn(size, generation, served);
    }

    /// Records that an attempt was cancelled, which counts neither as a success nor as a failure of its endpoint.
    pub fn cancelled(&mut self, attempt: &Attempt) {
        if let Some(member) = self.member(&attempt.endpoint, attempt.serial) {
            member.load.ended(attempt.sent, attempt.expected);
        }
    }

    /// Records a failure of an endpoint, and ejects it if its health requires that and the pool can spare it.
    ///
    /// Returns whether it was ejected now.
    pub fn failed(&mut self, now: Time, endpoint: &EndpointId, serial: MemberSerial) -> bool {
        let is_unavailable =
            |member: &&PoolMember| member.health.state(now) != HealthState::Healthy;
        let unavailable = self.members.iter().filter(is_unavailable).count();
        let may_eject = can_spare(unavailable, self.members.len());
        self.member(endpoint, serial)
            .is_some_and(|member| member.health.failed(now, may_eject))
    }

    /// Updates the assumed content of an engine's cache by its cache events.
    pub fn learn_cache(&mut self, now: Time, endpoint: &EndpointId, events: &[CacheEvent]) {
        if let Some(serial) = self.member_by_id(endpoint).map(|member| member.serial) {
            self.prefixes.apply_events(now, serial, events);
        }
    }

    /// Estimates the endpoint time of an average call.
    pub fn average_work(&self) -> WorkMillis {
        self.costs.average_work()
    }

    /// Estimates the earliest finish of a call of `work` over the first `sample` endpoints that may get it, those of
    /// the local data centre first; `None` if no endpoint may get it.
    pub fn earliest_finish(
        &self,
        now: Time,
        work: WorkMillis,
        sample: usize,
    ) -> Option<WorkMillis> {
        let nearest_first = self.local.iter().chain(&self.remote);
        nearest_first
            .map(|i| &self.members[*i])
            .filter(|member| member.is_open(now))
            .take(sample)
            .map(|member| member.load.time_to_finish(now, work))
            .min_by(|a, b| a.0.total_cmp(&b.0))
    }

    /// Returns how long a caller should wait before it tries again, by the earliest finish of an average call.
    pub fn retry_after(&self, now: Time) -> Millis {
        let earliest = self.earliest_finish(now, self.average_work(), retry_after::FINISH_SAMPLE);
        retry_after::retry_after(earliest)
    }
}

/// Builds the members of a service in its order: endpoints that stay keep what is known of them, the others are new.
fn members(
    service: &Service,
    mut old: Vec<PoolMember>,
    next_serial: &mut impl FnMut() -> MemberSerial,
) -> Vec<PoolMember> {
    let slots = service.settings.slots.value.0;
    let mut members = Vec::with_capacity(service.endpoints.len());
    for spec in &service.endpoints {
        let kept = old.iter().position(|member| member.is_same_endpoint(spec));
        members.push(match kept {
            Some(i) => PoolMember {
                spec: spec.clone(),
                ..old.swap_remove(i)
            },
            None => PoolMember::new(spec.clone(), next_serial(), slots),
        });
    }
    members
}
