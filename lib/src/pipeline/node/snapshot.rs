//! A daemon's state at one moment, for status and metrics.

use {
    crate::{
        pipeline::{
            decision::{
                counters::Counters,
                endpoint::Transport,
                member::PoolMember,
                pool::Pool,
                stage_costs::StageCost,
            },
            node::Node,
        },
        settings::tree::Tree,
        shared::ids::{PipelineId, StageId},
    },
    std::sync::Arc,
};

/// A daemon's state for reports, taken at one moment.
#[derive(Debug, Clone)]
pub struct Snapshot {
    /// The tree in force.
    pub tree: Arc<Tree>,
    /// Requests without a final answer.
    pub in_flight: usize,
    /// Counts since the start.
    pub counters: Counters,
    /// Cost of each stage since the start.
    pub costs: Vec<(PipelineId, StageId, StageCost)>,
    /// Endpoints as this daemon sees them.
    pub endpoints: Vec<EndpointView>,
}

/// One endpoint for reports.
#[derive(Debug, Clone)]
pub struct EndpointView {
    /// Its service.
    pub service: String,
    /// Its name.
    pub endpoint: String,
    /// Whether it may get new work.
    pub open: bool,
    /// Own calls in flight.
    pub in_flight: u32,
}

impl<T: Transport> Node<T> {
    /// Takes a view of the state for reports.
    pub fn snapshot(&self) -> Snapshot {
        let now = self.now();
        let state = self.lock();
        let core = &state.core;
        let costs = core
            .costs()
            .stages()
            .map(|(pipeline, stage, cost)| (pipeline.clone(), stage.clone(), cost))
            .collect();
        let view = |pool: &Pool, member: &PoolMember| EndpointView {
            service: pool.service.id.to_string(),
            endpoint: member.spec.id.to_string(),
            open: member.is_open(now),
            in_flight: member.load.in_flight(),
        };
        let mut endpoints: Vec<_> = core
            .pools()
            .iter()
            .flat_map(|pool| pool.members.iter().map(move |member| view(pool, member)))
            .collect();
        endpoints.sort_by(|a, b| (&a.service, &a.endpoint).cmp(&(&b.service, &b.endpoint)));
        Snapshot {
            tree: core.tree().clone(),
            in_flight: core.in_flight(),
            counters: core.counters().clone(),
            costs,
            endpoints,
        }
    }
}
