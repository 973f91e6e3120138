//! Limits of a service that this daemon keeps: its budget of retries, and its share of the
//! connections that an endpoint accepts.
//!
//! Relies on the rules [`retry_budget`](crate::gateway::rules::retry_budget) and
//! [`connections`](crate::gateway::rules::connections); the budgets are part of the daemon's state.

use crate::{
    gateway::{
        dialect::Dialect,
        rules::{connections::in_flight_limit, retry_budget::WindowBudget},
        state::Gateway,
    },
    shared::{ids::ServiceId, units::Time},
};

impl<D: Dialect> Gateway<D> {
    /// Counts a request for a service in its budget.
    pub fn deposit(&self, service: &ServiceId) {
        let now = self.now();
        self.with_budget(service, |budget| budget.deposit(now));
    }

    /// Spends one retry of a service's budget; returns whether the budget had it.
    pub fn withdraw(&self, service: &ServiceId) -> bool {
        let now = self.now();
        let daemons = self.state.borrow().peers.daemons();
        self.with_budget(service, |budget| budget.withdraw(now, daemons))
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

    /// Returns the requests that this daemon may have in flight at one endpoint of a service.
    pub fn connections_each(&self, service: &ServiceId) -> u32 {
        let published = self.published();
        let accepted = published
            .as_ref()
            .and_then(|published| published.table.service(service))
            .map(|entry| entry.connections);
        in_flight_limit(accepted, self.state.borrow().peers.daemons())
    }
}
