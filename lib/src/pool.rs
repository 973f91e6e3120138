//! The endpoints of one service as this daemon sees them.

use {
    crate::{
        estimate::{Average, LoadEstimate},
        health::{Health, State},
        ids::{DataCentreId, EndpointId},
        retry::RetryBudget,
        tree::{EndpointSpec, Service, ServiceKind},
        units::{Millis, Share, Time, WorkMillis},
    },
    foldhash::HashMap,
    std::sync::Arc,
};

/// Largest share of a pool that may be ejected at the same time.
const MAX_EJECTED: Share = Share(0.5);

/// First guess of a unit's time, until calls have been observed.
const UNIT_GUESS: WorkMillis = WorkMillis(5.0);

/// Bytes of a prompt that weigh as much as one generated token.
const BYTES_PER_UNIT: f64 = 80.0;

/// Tells one stay of an endpoint in a pool from another one under the same name.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct MemberSerial(pub u64);

/// One endpoint of a pool.
#[derive(Debug, Clone)]
pub struct Member {
    /// The endpoint as the tree has it.
    pub spec: Arc<EndpointSpec>,
    /// This stay in the pool.
    pub serial: MemberSerial,
    /// What is known of its load.
    pub load: LoadEstimate,
    /// What is known of its health.
    pub health: Health,
    /// Whether the endpoint itself said that it is leaving.
    pub leaving: bool,
}

impl Member {
    /// Returns whether new work may be sent to the endpoint.
    pub fn is_open(&self, now: Time) -> bool {
        if self.leaving || self.spec.leaving {
            return false;
        }
        match self.health.state(now) {
            State::Healthy => true,
            State::Ejected => false,
            State::Probing => self.load.in_flight() == 0,
        }
    }
}

/// The endpoints of one service.
#[derive(Debug, Clone)]
pub struct Pool {
    /// The service as the tree has it.
    pub service: Arc<Service>,
    /// Its endpoints, in the tree's order.
    pub members: Vec<Member>,
    /// Indexes of the endpoints by name, so that a reply costs the same in a pool of any size.
    index: HashMap<EndpointId, usize>,
    /// Indexes of the endpoints in this daemon's data centre.
    pub local: Vec<usize>,
    /// Indexes of all others.
    pub remote: Vec<usize>,
    /// Retries that may still be made.
    pub budget: RetryBudget,
    /// Time of one unit of work.
    unit_cost: Average,
    /// Units of a usual call.
    call_units: Average,
    /// Position of the next choice of the round-robin policy.
    pub cursor: usize,
}

impl Pool {
    /// Builds a pool, taking over what `old` knows of the endpoints that stay.
    pub fn new(
        service: Arc<Service>,
        data_centre: &DataCentreId,
        old: Option<Pool>,
        serials: &mut impl FnMut() -> MemberSerial,
    ) -> Self {
        let slots = service.settings.slots.value.0;
        let mut old_members = old
            .as_ref()
            .map(|pool| pool.members.clone())
            .unwrap_or_default();
        let mut members = Vec::with_capacity(service.endpoints.len());
        for spec in &service.endpoints {
            let stays =
                |member: &Member| member.spec.id == spec.id && member.spec.address == spec.address;
            let member = match old_members.iter().position(stays) {
                Some(i) => Member {
                    spec: spec.clone(),
                    ..old_members.swap_remove(i)
                },
                None => Member {
                    spec: spec.clone(),
                    serial: serials(),
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
        let floor = service.settings.floor.value.0 as f64;
        let guess = match service.kind {
            ServiceKind::Plain => floor.max(UNIT_GUESS.0),
            ServiceKind::Engine { .. } => UNIT_GUESS.0,
        };
        let (budget, unit_cost, call_units, cursor) = match old {
            Some(pool) => (pool.budget, pool.unit_cost, pool.call_units, pool.cursor),
            None => (
                RetryBudget::default(),
                Average::new(guess),
                Average::new(1.0),
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
            unit_cost,
            call_units,
            cursor,
        }
    }

    /// Returns the units of a call: one for a plain service, tokens and prompt for an engine.
    pub fn units(&self, input_bytes: usize, max_tokens: u32) -> f64 {
        match self.service.kind {
            ServiceKind::Plain => 1.0,
            ServiceKind::Engine { .. } => {
                f64::from(max_tokens) + input_bytes as f64 / BYTES_PER_UNIT
            }
        }
    }

    /// Estimates the endpoint time of a call of so many units.
    pub fn work(&self, units: f64) -> WorkMillis {
        WorkMillis(self.unit_cost.get() * units)
    }

    /// Estimates the endpoint time of a usual call.
    pub fn usual_work(&self) -> WorkMillis {
        self.work(self.call_units.get())
    }

    /// Learns from a call of `units` that kept its endpoint busy for `served`.
    pub fn learn(&mut self, units: f64, served: WorkMillis) {
        self.unit_cost
            .observe_bounded(served.0 / units.max(f64::EPSILON));
        self.call_units.observe(units);
    }

    /// Returns an endpoint by its name.
    pub fn member_named(&mut self, endpoint: &EndpointId) -> Option<&mut Member> {
        let index = self.index.get(endpoint)?;
        self.members.get_mut(*index)
    }

    /// Returns the member that an attempt was sent to, if it is still the same one.
    pub fn member(&mut self, endpoint: &EndpointId, serial: MemberSerial) -> Option<&mut Member> {
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
        let out = |member: &&Member| member.health.state(now) != State::Healthy;
        let ejected = self.members.iter().filter(out).count() as f64;
        let may_eject = ejected + 1.0 <= self.members.len() as f64 * MAX_EJECTED.0;
        match self.member(endpoint, serial) {
            Some(member) => member.health.failed(now, may_eject),
            None => false,
        }
    }

    /// Suggests how long a caller should wait before it tries a crowded pool again.
    pub fn retry_after(&self, now: Time) -> Millis {
        const SHORTEST: u64 = 50;
        const LONGEST: u64 = 5_000;
        const SAMPLE: usize = 8;
        let work = self.usual_work();
        let wait = self
            .best_finish(now, work, SAMPLE)
            .unwrap_or(WorkMillis(1_000.0));
        Millis((wait.0 as u64).clamp(SHORTEST, LONGEST))
    }
}
