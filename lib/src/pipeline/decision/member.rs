//! One endpoint of a pool.

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
    /// This stay in the pool.
    pub serial: MemberSerial,
    /// What is known of its load.
    pub load: LoadEstimate,
    /// What is known of its health.
    pub health: Health,
    /// Whether the endpoint itself said that it is leaving.
    pub leaving: bool,
}

impl PoolMember {
    /// Returns whether new work may be sent to the endpoint.
    pub fn is_open(&self, now: Time) -> bool {
        if self.leaving || self.spec.leaving {
            return false;
        }
        match self.health.state(now) {
            HealthState::Healthy => true,
            HealthState::Ejected => false,
            HealthState::Probing => self.load.in_flight() == 0,
        }
    }
}
