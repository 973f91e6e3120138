//! The endpoints of one service as this daemon sees them.

use {
    crate::{
        pipeline::decision::{
            call_costs::{CallCosts, CallPlacement, CallSize},
            endpoint::Prefill,
            estimate::LoadEstimate,
            member::PoolMember,
            prefix::{BLOCK, CacheEvent, Prefix, PrefixIndex},
            retry::RetryBudget,
            retry_after,
        },
        settings::tree::{Service, ServiceKind},
        shared::{
            health::{Health, HealthState, can_spare},
            ids::{DataCentreId, EndpointId, MemberSerial},
            units::{Millis, Time, WorkMillis},
        },
    },
    foldhash::HashMap,
    std::sync::Arc,
};

/// The endpoints of one service.
#[derive(Debug, Clone)]
pub struct Pool {
    /// The service as the tree has it.
    pub service: Arc<Service>,
    /// Its endpoints, in the tree's order.
    pub members: Vec<PoolMember>,
    /// Indexes of the endpoints by name, so that a reply costs the same in a pool of any size.
    index: HashMap<EndpointId, usize>,
    /// Indexes of the endpoints in this daemon's data centre.
    pub local: Vec<usize>,
    /// Indexes of all others.
    pub remote: Vec<usize>,
    /// Retries that may still be made.
    pub budget: RetryBudget,
    /// Costs learnt from calls.
    costs: CallCosts,
    /// Who probably holds which beginnings of prompts.
    prefixes: PrefixIndex,
    /// Indexes of the endpoints by their stay.
    serials: HashMap<MemberSerial, usize>,
    /// Position of the next choice of the round-robin policy.
    pub cursor: usize,
}

impl Pool {
    /// Builds a pool, taking over what `old` knows of the endpoints that stay.
    pub fn new(
        service: Arc<Service>,
        data_centre: &DataCentreId,
        old: Option<Pool>,
        next_serial: &mut impl FnMut() -> MemberSerial,
    ) -> Self {
        let slots = service.settings.slots.value.0;
        let mut old = old;
        let mut old_members = old
            .as_mut()
            .map(|pool| std::mem::take(&mut pool.members))
            .unwrap_or_default();
        let mut members = Vec::with_capacity(service.endpoints.len());
        for spec in &service.endpoints {
            let stays = |member: &PoolMember| {
                member.spec.id == spec.id && member.spec.address == spec.address
            };
            let member = match old_members.iter().position(stays) {
                Some(i) => PoolMember {
                    spec: spec.clone(),
                    ..old_members.swap_remove(i)
                },
                None => PoolMember {
                    spec: spec.clone(),
                    serial: next_serial(),
                    load: LoadEstimate::new(slots),
                    health: Health::default(),
                    leaving: false,
                },
            };
            members.push(member);
        }
        let index = members
            .iter()
            .enumerate()
            .map(|(i, member)| (member.spec.id.clone(), i))
            .collect();
        let is_local = |i: &usize| members[*i].spec.data_centre == *data_centre;
        let (local, remote) = (0..members.len()).partition(is_local);
        let serials = members
            .iter()
            .enumerate()
            .map(|(i, member)| (member.serial, i))
            .collect();
        let (budget, costs, prefixes, cursor) = match old {
            Some(pool) => (pool.budget, pool.costs, pool.prefixes, pool.cursor),
            None => (
                RetryBudget::default(),
                CallCosts::new(&service),
                PrefixIndex::default(),
                0,
            ),
        };
        Self {
            service,
            members,
            index,
            local,
            remote,
            budget,
            costs,
            prefixes,
            serials,
            cursor,
        }
    }

    /// Measures a call.
    pub fn size(&self, input: &[u8], tokens: u32) -> CallSize {
        let prompts = matches!(self.service.kind, ServiceKind::Engine { .. });
        let affinity = prompts && self.service.settings.affinity.value;
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

    /// Prepares the placing of a call.
    pub fn placement(&self, now: Time, size: &CallSize) -> CallPlacement {
        let byte = self.costs.byte.get();
        let work = match self.service.kind {
            ServiceKind::Plain => self.costs.call.get(),
            ServiceKind::Engine { .. } => {
                self.costs.token.get() * f64::from(size.tokens) + byte * size.bytes as f64
            }
        };
        CallPlacement {
            work: WorkMillis(work),
            block_saving: WorkMillis(byte * BLOCK as f64),
            holders: self.prefixes.holders(now, &size.prefix),
        }
    }

    /// Estimates the endpoint time of a usual call.
    pub fn usual_work(&self) -> WorkMillis {
        WorkMillis(self.costs.call.get())
    }

    /// Learns from a call that kept its endpoint busy for `served`.
    pub fn learn(
        &mut self,
        size: &CallSize,
        tokens: u32,
        served: WorkMillis,
        prefill: Option<Prefill>,
    ) {
        self.costs.learn(size, tokens, served, prefill);
    }

    /// Notes that an endpoint was sent a prompt, whose beginning it will hold.
    pub fn note_prefix(&mut self, now: Time, serial: MemberSerial, prefix: &Prefix) {
        self.prefixes.sent(now, serial, prefix);
    }

    /// Takes in what an engine tells of its cache.
    pub fn learn_cache(&mut self, now: Time, endpoint: &EndpointId, events: &[CacheEvent]) {
        if let Some(serial) = self.member_named(endpoint).map(|member| member.serial) {
            self.prefixes.learn(now, serial, events);
        }
    }

    /// Returns the index of a stay, if it is still in the pool.
    pub fn index_of(&self, serial: MemberSerial) -> Option<usize> {
        self.serials.get(&serial).copied()
    }

    /// Returns an endpoint by its name.
    pub fn member_named(&mut self, endpoint: &EndpointId) -> Option<&mut PoolMember> {
        let index = self.index.get(endpoint)?;
        self.members.get_mut(*index)
    }

    /// Returns the member that an attempt was sent to, if it is still the same one.
    pub fn member(
        &mut self,
        endpoint: &EndpointId,
        serial: MemberSerial,
    ) -> Option<&mut PoolMember> {
        self.member_named(endpoint)
            .filter(|member| member.serial == serial)
    }

    /// Estimates the earliest finish of a usual call over some endpoints of the pool.
    pub fn best_finish(&self, now: Time, work: WorkMillis, sample: usize) -> Option<WorkMillis> {
        let near = self.local.iter().chain(&self.remote);
        near.map(|i| &self.members[*i])
            .filter(|member| member.is_open(now))
            .take(sample)
            .map(|member| member.load.finish(now, work))
            .min_by(|a, b| a.0.total_cmp(&b.0))
    }

    /// Notes that an endpoint failed, and ejects it when it is due and the pool can spare it.
    ///
    /// Returns whether it was ejected now.
    pub fn failed(&mut self, now: Time, endpoint: &EndpointId, serial: MemberSerial) -> bool {
        let out = |member: &&PoolMember| member.health.state(now) != HealthState::Healthy;
        let ejected = self.members.iter().filter(out).count();
        let may_eject = can_spare(ejected, self.members.len());
        match self.member(endpoint, serial) {
            Some(member) => member.health.failed(now, may_eject),
            None => false,
        }
    }

    /// Suggests how long a caller should wait before it tries a crowded pool again.
    pub fn retry_after(&self, now: Time) -> Millis {
        let earliest = self.best_finish(now, self.usual_work(), retry_after::SAMPLE);
        retry_after::retry_after(earliest)
    }
}
