//! All pools of one daemon.

use {
    crate::{
        pipeline::decision::{
            counters::Counters,
            endpoint::{AttemptEnd, LoadReport, NotRunCause},
            pool::Pool,
            prefix::CacheEvent,
            request::Attempt,
        },
        settings::tree::{ServiceKind, Tree},
        shared::{
            ids::{DataCentreId, EndpointId, MemberSerial, ServiceId},
            units::{Time, WorkMillis},
        },
    },
    foldhash::HashMap,
};

/// All pools of one daemon.
#[derive(Debug, Default)]
pub struct Pools {
    pools: HashMap<ServiceId, Pool>,
    homes: HashMap<EndpointId, ServiceId>,
    last_serial: u64,
}

impl Pools {
    /// Returns a service's pool.
    pub fn pool(&self, service: &ServiceId) -> Option<&Pool> {
        self.pools.get(service)
    }

    /// Returns a service's pool, to choose from.
    pub fn pool_mut(&mut self, service: &ServiceId) -> Option<&mut Pool> {
        self.pools.get_mut(service)
    }

    /// Returns all pools, in no order.
    pub fn iter(&self) -> impl Iterator<Item = &Pool> {
        self.pools.values()
    }

    /// Returns what a service's endpoints are.
    pub fn kind(&self, service: &ServiceId) -> Option<&ServiceKind> {
        self.pools.get(service).map(|pool| &pool.service.kind)
    }

    /// Rebuilds the pools for a new tree and keeps what is known of endpoints that stay.
    pub fn adopt(&mut self, tree: &Tree, data_centre: &DataCentreId) {
        let mut old = std::mem::take(&mut self.pools);
        self.homes.clear();
        for service in tree.services.values() {
            for endpoint in &service.endpoints {
                self.homes.insert(endpoint.id.clone(), service.id.clone());
            }
            let last_serial = &mut self.last_serial;
            let mut serials = || {
                *last_serial += 1;
                MemberSerial(*last_serial)
            };
            let kept = old.remove(&service.id);
            let pool = Pool::new(service.clone(), data_centre, kept, &mut serials);
            self.pools.insert(service.id.clone(), pool);
        }
    }

    /// Takes in an endpoint's load report.
    pub fn load(&mut self, now: Time, endpoint: &EndpointId, report: LoadReport) {
        let pool = self.home(endpoint);
        if let Some(member) = pool.and_then(|pool| pool.member_named(endpoint)) {
            member.leaving = report.leaving;
            member.load.take_report(now, report);
        }
    }

    /// Takes in what an engine tells of its cache.
    pub fn cache(&mut self, now: Time, endpoint: &EndpointId, events: &[CacheEvent]) {
        if let Some(pool) = self.home(endpoint) {
            pool.learn_cache(now, endpoint, events);
        }
    }

    /// Returns the pool that an endpoint belongs to.
    fn home(&mut self, endpoint: &EndpointId) -> Option<&mut Pool> {
        let service = self.homes.get(endpoint)?;
        self.pools.get_mut(service)
    }

    /// Learns from the end of an attempt that kept its endpoint busy for `spent`.
    #[allow(clippy::too_many_arguments)]
    pub fn ended(
        &mut self,
        now: Time,
        service: &ServiceId,
        attempt: &Attempt,
        end: &AttemptEnd,
        spent: WorkMillis,
        ejects: bool,
        counters: &mut Counters,
    ) {
        let Some(pool) = self.pools.get_mut(service) else {
            return;
        };
        let Some(member) = pool.member(&attempt.endpoint, attempt.serial) else {
            return;
        };
        member.load.ended(attempt.sent, attempt.expected);
        let took = WorkMillis(now.millis_since(attempt.sent));
        let worked = match end {
            AttemptEnd::Answered(_) | AttemptEnd::StreamEnded { .. } => true,
            AttemptEnd::NotRun(NotRunCause::Leaving) => {
                member.leaving = true;
                return;
            }
            AttemptEnd::NotRun(NotRunCause::Busy) => return,
            AttemptEnd::NotRun(NotRunCause::Unreachable) | AttemptEnd::Failed(_) => false,
        };
        if worked {
            member.health.succeeded();
            member.load.correct(now, attempt.expected, took);
            let (tokens, prefill) = match end {
                AttemptEnd::StreamEnded {
                    tokens, prefill, ..
                } => (*tokens, *prefill),
                _ => (0, None),
            };
            pool.learn(&attempt.size, tokens, spent, prefill);
        } else if ejects && pool.failed(now, &attempt.endpoint, attempt.serial) {
            counters.ejections += 1;
        }
    }

    /// Notes that an attempt was given up. It counts neither for nor against its endpoint.
    pub fn cancelled(&mut self, service: &ServiceId, attempt: &Attempt) {
        let member = self
            .pools
            .get_mut(service)
            .and_then(|pool| pool.member(&attempt.endpoint, attempt.serial));
        if let Some(member) = member {
            member.load.ended(attempt.sent, attempt.expected);
        }
    }
}
