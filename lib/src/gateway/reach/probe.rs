//! Probes endpoints with connections that carry no request: whether a direct path is back, and whether an endpoint's
//! process has terminated.

use {
    crate::gateway::{
        dialect::Dialect,
        directory::endpoint_entry::{EndpointEntry, EndpointIncarnation},
        reach::connect::{ANSWERS_ALONE, RelayFailure},
        rules::endpoint_reach::{OTHER_PROBES, PROBE_INTERVAL, probe_count},
        state::Gateway,
        wire::endpoint_check::{EndpointCheck, check},
    },
    futures_util::future::join_all,
    std::{rc::Rc, sync::Arc},
};

impl<D: Dialect> Gateway<D> {
    /// Checks whether an endpoint's process has terminated. If its host refuses the connection, or isn't reached from
    /// here in general, another daemon is asked, because a partition can look the same.
    pub(crate) async fn check(self: &Rc<Self>, entry: &EndpointEntry) -> EndpointCheck {
        let direct = check(entry.address).await;
        let incarnation = entry.incarnation();
        let is_relayed = self.state.borrow().reach.is_relayed(&incarnation);
        match direct {
            EndpointCheck::Alive => {
                self.record_direct(entry);
                return direct;
            }
            EndpointCheck::Silent if !is_relayed => return direct,
            EndpointCheck::Silent | EndpointCheck::Terminated => {}
        }
        match self.connect_relayed(entry, ANSWERS_ALONE).await {
            Ok(_) => {
                self.record_relayed(entry);
                EndpointCheck::Alive
            }
            Err(RelayFailure::Terminated) => EndpointCheck::Terminated,
            Err(RelayFailure::Silent) => EndpointCheck::Silent,
            Err(RelayFailure::NoRelay) if self.state.borrow().reach.is_isolated() => {
                EndpointCheck::Silent
            }
            Err(RelayFailure::NoRelay) => direct,
        }
    }

    /// Returns whether this host reaches other endpoints than the one of `entry`, so that the failure of a connection
    /// there is due to that endpoint.
    pub(super) async fn reaches_others(&self, entry: &EndpointEntry) -> bool {
        let now = self.now();
        let others: Vec<_> = {
            let state = self.state.borrow();
            if state.reach.reached_lately(now) {
                return true;
            }
            let others = state.endpoints.members().map(|member| &member.entry);
            let others = others.filter(|other| other.id != entry.id);
            others
                .take(OTHER_PROBES)
                .map(|other| other.incarnation())
                .collect()
        };
        let probes = others.iter().map(|other| self.probe_direct(other));
        join_all(probes).await.contains(&true)
    }

    /// Probes the endpoints that are reached through other daemons, until there is a direct path to each.
    pub(super) fn probe_direct_paths(self: &Rc<Self>) {
        let gateway = self.clone();
        self.spawn_restarted("direct_paths", move || {
            let gateway = gateway.clone();
            async move { gateway.run_direct_probes().await }
        });
    }

    async fn run_direct_probes(&self) {
        let mut count = probe_count(0, 0);
        loop {
            tokio::time::sleep(PROBE_INTERVAL).await;
            let due = self.state.borrow_mut().reach.next_probes(count);
            if due.is_empty() {
                return;
            }
            let probes = due.iter().map(|endpoint| self.probe_direct(endpoint));
            let reached = join_all(probes).await;
            let succeeded = reached.iter().filter(|reached| **reached).count();
            count = probe_count(due.len(), succeeded);
        }
    }

    /// Returns whether an endpoint can be reached directly. Endpoints that are gone aren't probed again.
    async fn probe_direct(&self, endpoint: &EndpointIncarnation) -> bool {
        let Some(entry) = self.listed(endpoint) else {
            let mut state = self.state.borrow_mut();
            state.reach.forget(endpoint);
            self.metrics.relays.set_endpoints(state.reach.relayed());
            return false;
        };
        if self.state.borrow().endpoints.in_cooldown(&entry) {
            return false;
        }
        let is_reached = check(entry.address).await == EndpointCheck::Alive;
        if is_reached {
            self.record_direct(&entry);
        }
        is_reached
    }

    fn listed(&self, endpoint: &EndpointIncarnation) -> Option<Arc<EndpointEntry>> {
        let state = self.state.borrow();
        let entry = &state.endpoints.get(&endpoint.id)?.entry;
        (entry.started == endpoint.started).then(|| entry.clone())
    }
}
