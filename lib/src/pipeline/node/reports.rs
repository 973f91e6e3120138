//! Polling of the endpoints' load reports and the engines' cache events.
//!
//! Owns, for each engine, the number from which its cache events are read next. A report that can't be
//! read is skipped: the core keeps the last one until it is stale, and the next round tries again.

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
    futures_util::future::join_all,
    tokio::time::MissedTickBehavior,
};

/// Number before an engine's first cache event: reads all that the engine still knows.
const ALL_EVENTS: u64 = 0;

impl<T: Transport> Node<T> {
    /// Reads all endpoints' load reports, and engines' cache events, once every `interval` until the
    /// task that awaits this is dropped.
    pub async fn run_reports(self, interval: Millis) {
        let mut ticks = tokio::time::interval(interval.to_duration());
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut next_events: HashMap<EndpointId, u64> = HashMap::default();
        loop {
            ticks.tick().await;
            let tree = self.tree();
            let specs = tree.services.values().flat_map(|service| {
                let kind = &service.kind;
                service.endpoints.iter().map(move |spec| (spec, kind))
            });
            let reads = specs.map(|(spec, kind)| {
                let after = next_events.get(&spec.id).copied().unwrap_or(ALL_EVENTS);
                self.read_reports(spec, kind, after)
            });
            let read = join_all(reads).await;
            // Built anew, so that endpoints that have left the tree don't pile up.
            next_events = read.into_iter().flatten().collect();
        }
    }

    /// Reads one endpoint's reports; returns the number of its next cache event, if it is an engine.
    async fn read_reports(
        &self,
        spec: &EndpointSpec,
        kind: &ServiceKind,
        after: u64,
    ) -> Option<(EndpointId, u64)> {
        let transport = &self.inner.transport;
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
