//! Limits that this daemon applies to a service: the retry budget, its share of the connections that an endpoint
//! accepts, and its share of the requests that a cold endpoint can serve.
//!
//! The rules are [`retry_budget`](crate::gateway::rules::retry_budget),
//! [`connections`](crate::gateway::rules::connections) and [`cold_share`](crate::gateway::rules::cold_share). The
//! budgets are part of the daemon's state.

use {
    crate::{
        gateway::{
            dialect::Dialect,
            rules::{
                cold_share::ColdShare, connections::in_flight_limit, retry_budget::WindowBudget,
            },
            state::Gateway,
            table::ServiceEntry,
        },
        shared::{
            ids::ServiceId,
            units::{Millis, Time},
        },
    },
    std::sync::Arc,
};

impl<D: Dialect> Gateway<D> {
    /// Counts a request for a service, which adds to its retry budget.
    pub fn deposit(&self, service: &ServiceId) {
        let now = self.now();
        self.with_budget(service, |budget| budget.deposit(now));
    }

    /// Withdraws one retry from a service's budget; returns whether the budget allows it.
    pub fn withdraw(&self, service: &ServiceId) -> bool {
        let now = self.now();
        let daemons = self.state.borrow().peers.daemons();
        self.with_budget(service, |budget| budget.withdraw(now, daemons))
    }

    /// Returns whether a service's budget allows one more retry, without withdrawing it.
    pub(crate) fn may_withdraw(&self, service: &ServiceId) -> bool {
        let now = self.now();
        let daemons = self.state.borrow().peers.daemons();
        self.with_budget(service, |budget| budget.may_withdraw(now, daemons))
    }

    fn with_budget<R>(&self, service: &ServiceId, act: impl FnOnce(&mut WindowBudget) -> R) -> R {
        let limits = self.settings().budget;
        let mut state = self.state.borrow_mut();
        let budget = state
            .budgets
            .entry(service.clone())
            .or_insert_with(|| WindowBudget::new(limits, Time::default()));
        budget.set_limits(limits);
        act(budget)
    }

    /// Returns the largest number of requests that this daemon may have in flight at one endpoint of a service.
    pub fn connections_each(&self, service: &ServiceId) -> u32 {
        let accepted = self.service_entry(service).map(|entry| entry.connections);
        in_flight_limit(accepted, self.state.borrow().peers.daemons())
    }

    /// Returns how many requests this daemon may send to each cold endpoint of a service: none until it knows the other
    /// daemons, with which it shares the limit.
    pub(crate) fn cold_share(&self, service: &ServiceId) -> ColdShare {
        let rate = self
            .service_entry(service)
            .and_then(|entry| entry.cold_rate);
        let endpoint_limit = rate.map(|rate| self.settings().bounds.cold.max_requests(rate));
        if endpoint_limit.is_some() && !self.is_settled() {
            return ColdShare::Nothing;
        }
        ColdShare::new(endpoint_limit, self.state.borrow().peers.known_daemons())
    }

    /// Returns the time for which an endpoint of a service is usually cold after its start; 0 if the table doesn't
    /// state it.
    pub(crate) fn cold_start(&self, service: &ServiceId) -> Millis {
        let entry = self.service_entry(service);
        entry.map_or(Millis(0), |entry| entry.cold_start)
    }

    fn service_entry(&self, service: &ServiceId) -> Option<Arc<ServiceEntry>> {
        let published = self.published()?;
        published.table.service(service).cloned()
    }
}
