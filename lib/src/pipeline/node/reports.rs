//! Polling of the endpoints' load reports and of the engines' cache events.
//!
//! Keeps the number of the last cache event read from each engine. A report that can't be read is skipped: the core
//! uses the previous one until that is stale, and the next round reads again.

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

/// Number below that of an engine's first cache event. Reading from here returns all events that the engine still has.
const BEFORE_FIRST_EVENT: u64 = 0;

impl<T: Transport> Node<T> {
    /// Reads the load reports of all endpoints and the cache events of all engines, once every `interval`. Runs until
    /// the task that awaits this is dropped.
    pub async fn poll_reports(self, interval: Millis) {
        let mut ticks = tokio::time::interval(interval.to_duration());
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut last_events: HashMap<EndpointId, u64> = HashMap::default();
        loop {
            ticks.tick().await;
            let tree = self.tree();
            let specs = tree.services.values().flat_map(|service| {
                let kind = &service.kind;
                service.endpoints.iter().map(move |spec| (spec, kind))
            });
            let reads = specs.map(|(spec, kind)| {
                let after = last_events
                    .get(&spec.id)
                    .copied()
                    .unwrap_or(BEFORE_FIRST_EVENT);
                self.read_reports(spec, kind, after)
            });
            let read = join_all(reads).await;
            // Replaced as a whole, so that entries of endpoints that have left the tree are dropped.
            last_events = read.into_iter().flatten().collect();
        }
    }

    /// Reads the reports of one endpoint and applies them to the core. For an engine, returns the number after which
    /// its cache events are to be read next time.
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
