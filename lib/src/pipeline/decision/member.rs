//! One endpoint of a pool: its entry in the tree, and what this daemon knows of its load and
//! health.
//!
//! The rule of [`PoolMember::is_open`] stands here: an endpoint gets new work unless it is leaving
//! or ejected; while it is probed ([`HealthState::Probing`]), one call at a time.

use {
    crate::{
        pipeline::decision::estimate::LoadEstimate,
        settings::tree::EndpointSpec,
        shared::{
            health::{Health, HealthState},
            ids::MemberSerial,
            units::Time,
        },
    },
    std::sync::Arc,
};

/// One endpoint of a pool.
#[derive(Debug, Clone)]
pub struct PoolMember {
    /// The endpoint as the tree has it.
    pub spec: Arc<EndpointSpec>,
    /// Its stay in the pool; an endpoint that comes back, or moves to another address, gets a new
    /// one.
    pub serial: MemberSerial,
    /// Estimate of its load.
    pub load: LoadEstimate,
    /// Its health, by the ends of its calls.
    pub health: Health,
    /// True if the endpoint itself reports that it is leaving.
    pub leaving: bool,
}

impl PoolMember {
    /// Starts a stay; `slots` is the number of calls it works on at once, until it reports its own.
    pub fn new(spec: Arc<EndpointSpec>, serial: MemberSerial, slots: u32) -> Self {
        Self {
            spec,
            serial,
            load: LoadEstimate::new(slots),
            health: Health::default(),
            leaving: false,
        }
    }

    /// Returns whether an entry is that of this endpoint, so that its stay goes on.
    pub fn stays(&self, spec: &EndpointSpec) -> bool {
        self.spec.id == spec.id && self.spec.address == spec.address
    }

    /// Returns whether operators, or the endpoint itself, take it out of service.
    pub fn is_leaving(&self) -> bool {
        self.leaving || self.spec.leaving
    }

    /// Returns whether new work may be sent to the endpoint.
    pub fn is_open(&self, now: Time) -> bool {
        if self.is_leaving() {
            return false;
        }
        match self.health.state(now) {
            HealthState::Healthy => true,
            HealthState::Ejected => false,
            HealthState::Probing => self.load.in_flight() == 0,
        }
    }
}
