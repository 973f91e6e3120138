//! All pools of one daemon, by service and by endpoint.

use {
    crate::{
        pipeline::decision::{
            endpoint::LoadReport,
            pool::Pool,
            prefix::CacheEvent,
            request::{Attempt, EndedAttempt},
        },
        settings::tree::{ServiceKind, Tree},
        shared::{
            ids::{DataCentreId, EndpointId, MemberSerial, ServiceId},
            units::Time,
        },
    },
    foldhash::HashMap,
};

/// All pools of one daemon.
#[derive(Debug, Default)]
pub struct Pools {
    pools: HashMap<ServiceId, Pool>,
    /// Service that each endpoint belongs to.
    endpoint_services: HashMap<EndpointId, ServiceId>,
    /// Last serial given to a member; 0 before the first.
    last_serial: u64,
}

impl Pools {
    /// Returns a service's pool.
    pub fn pool(&self, service: &ServiceId) -> Option<&Pool> {
        self.pools.get(service)
    }

    /// Returns a service's pool for changes.
    pub fn pool_mut(&mut self, service: &ServiceId) -> Option<&mut Pool> {
        self.pools.get_mut(service)
    }

    /// Returns all pools, in no order.
    pub fn iter(&self) -> impl Iterator<Item = &Pool> {
        self.pools.values()
    }

    /// Returns the kind of a service's endpoints.
    pub fn kind(&self, service: &ServiceId) -> Option<&ServiceKind> {
        self.pools.get(service).map(|pool| &pool.service.kind)
    }

    /// Returns whether a service's endpoints are engines, which generate token by token.
    pub fn generates(&self, service: &ServiceId) -> bool {
        matches!(self.kind(service), Some(ServiceKind::Engine { .. }))
    }

    /// Rebuilds the pools for a new settings tree, and keeps what is known of endpoints that stay.
    pub fn adopt(&mut self, tree: &Tree, data_centre: &DataCentreId) {
        let mut old = std::mem::take(&mut self.pools);
        self.endpoint_services.clear();
        for service in tree.services.values() {
            for endpoint in &service.endpoints {
                self.endpoint_services
                    .insert(endpoint.id.clone(), service.id.clone());
            }
            let last_serial = &mut self.last_serial;
            let mut next_serial = || {
                *last_serial += 1;
                MemberSerial(*last_serial)
            };
            let kept = old.remove(&service.id);
            let pool = Pool::new(service.clone(), data_centre, kept, &mut next_serial);
            self.pools.insert(service.id.clone(), pool);
        }
    }

    /// Updates an endpoint's load estimate by its load report.
    pub fn record_load(&mut self, now: Time, endpoint: &EndpointId, report: LoadReport) {
        let pool = self.pool_of(endpoint);
        if let Some(member) = pool.and_then(|pool| pool.member_by_id(endpoint)) {
            member.leaving = report.leaving;
            member.load.report(now, report);
        }
    }

    /// Updates the assumed content of an engine's cache by its cache events.
    pub fn record_cache(&mut self, now: Time, endpoint: &EndpointId, events: &[CacheEvent]) {
        if let Some(pool) = self.pool_of(endpoint) {
            pool.learn_cache(now, endpoint, events);
        }
    }

    /// Returns the pool that an endpoint belongs to.
    fn pool_of(&mut self, endpoint: &EndpointId) -> Option<&mut Pool> {
        let service = self.endpoint_services.get(endpoint)?;
        self.pools.get_mut(service)
    }

    /// Learns from the end of an attempt; returns whether the endpoint was ejected because of it.
    pub fn ended(&mut self, now: Time, service: &ServiceId, ended: &EndedAttempt<'_>) -> bool {
        let pool = self.pools.get_mut(service);
        pool.is_some_and(|pool| pool.ended(now, ended))
    }

    /// Records that an attempt was cancelled.
    pub fn cancelled(&mut self, service: &ServiceId, attempt: &Attempt) {
        if let Some(pool) = self.pools.get_mut(service) {
            pool.cancelled(attempt);
        }
    }
}
