//! Polling of the endpoints' load reports and cache events.

use {
    crate::{
        pipeline::{
            decision::{core::Event, endpoint::Transport},
            node::Node,
        },
        settings::tree::{EndpointSpec, ServiceKind},
        shared::{ids::EndpointId, units::Millis},
    },
    foldhash::HashMap,
};

impl<T: Transport> Node<T> {
    /// Reads all endpoints' load reports, and engines' cache events, again and again.
    pub async fn run_reports(self, interval: Millis) {
        let mut ticks = tokio::time::interval(interval.to_duration());
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let mut seen: HashMap<EndpointId, u64> = HashMap::default();
        loop {
            ticks.tick().await;
            let tree = self.tree();
            let specs = tree.services.values().flat_map(|service| {
                let kind = &service.kind;
                service.endpoints.iter().map(move |spec| (spec, kind))
            });
            let reads = specs.map(|(spec, kind)| {
                let after = seen.get(&spec.id).copied().unwrap_or(0);
                self.read_reports(spec, kind, after)
            });
            let read = futures_util::future::join_all(reads).await;
            seen = read.into_iter().flatten().collect();
        }
    }

    /// Reads one endpoint's reports; returns from which number on its cache events come next.
    async fn read_reports(
        &self,
        spec: &EndpointSpec,
        kind: &ServiceKind,
        after: u64,
    ) -> Option<(EndpointId, u64)> {
        let transport = &self.shared.transport;
        if let Some(report) = transport.load(spec.address, kind).await {
            let endpoint = spec.id.clone();
            self.apply(Event::Load { endpoint, report });
        }
        if *kind == ServiceKind::Plain {
            return None;
        }
        let Some(changes) = transport.cache_events(spec.address, after).await else {
            return Some((spec.id.clone(), after));
        };
        let endpoint = spec.id.clone();
        let events = changes.events;
        self.apply(Event::Cache { endpoint, events });
        Some((spec.id.clone(), changes.next))
    }
}
