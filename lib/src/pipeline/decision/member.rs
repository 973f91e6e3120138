//! One endpoint of a pool: its entry in the settings tree, and what this daemon knows of its load and health.
//!
//! Rule of [`PoolMember::is_open`]: an endpoint gets new work unless it is leaving or ejected. While it is probed
//! ([`HealthState::Probing`]), it gets one call at a time.

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
    /// Entry of the endpoint in the settings tree.
    pub spec: Arc<EndpointSpec>,
    /// Number of this membership in the pool. An endpoint that comes back after it was removed, or that gets another
    /// address, gets a new one.
    pub serial: MemberSerial,
    /// Estimate of its load.
    pub load: LoadEstimate,
    /// Health of the endpoint, judged by how its calls ended.
    pub health: Health,
    /// Set if the endpoint itself reports that it is leaving.
    pub leaving: bool,
}

impl PoolMember {
    /// Creates a member. `slots` is the number of calls that the endpoint is assumed to run at once until it reports
    /// it.
    pub fn new(spec: Arc<EndpointSpec>, serial: MemberSerial, slots: u32) -> Self {
        Self {
            spec,
            serial,
            load: LoadEstimate::new(slots),
            health: Health::default(),
            leaving: false,
        }
    }

    /// Returns whether an entry of the tree is that of this member, with the same id and address, so that the member is
    /// kept.
    pub fn is_same_endpoint(&self, spec: &EndpointSpec) -> bool {
        self.spec.id == spec.id && self.spec.address == spec.address
    }

    /// Returns whether the endpoint is leaving service, by the settings tree or by its own report.
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
