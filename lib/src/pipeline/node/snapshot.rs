//! Snapshots of a daemon's state, for the status report and the metrics.
//!
//! A snapshot is a copy that is taken under the node's lock and read without it.

use {
    crate::{
        pipeline::{
            decision::{
                core::Core, counters::Counters, endpoint::Transport, member::PoolMember,
                pool::Pool, stage_costs::StageCost,
            },
            node::Node,
        },
        settings::tree::Tree,
        shared::{
            ids::{PipelineId, StageId},
            units::Time,
        },
    },
    std::sync::Arc,
};

/// A copy of a daemon's state at one moment.
#[derive(Debug, Clone)]
pub struct Snapshot {
    /// Current settings tree.
    pub tree: Arc<Tree>,
    /// Number of requests without a final answer.
    pub in_flight: usize,
    /// Counters since the daemon's start.
    pub counters: Counters,
    /// Cost of each stage since the daemon's start, in order of pipeline and stage.
    pub stage_costs: Vec<StageCostView>,
    /// State of each endpoint as this daemon sees it, ordered by service and name.
    pub endpoints: Vec<EndpointView>,
}

/// Endpoint time spent on one stage.
#[derive(Debug, Clone)]
pub struct StageCostView {
    /// Pipeline that the stage belongs to.
    pub pipeline: PipelineId,
    /// Name of the stage.
    pub stage: StageId,
    /// Useful and wasted endpoint time since the daemon's start.
    pub cost: StageCost,
}

/// State of one endpoint.
#[derive(Debug, Clone)]
pub struct EndpointView {
    /// Name of the service that it belongs to.
    pub service: String,
    /// Name of the endpoint.
    pub endpoint: String,
    /// Set if it may be sent new calls.
    pub open: bool,
    /// Number of calls in flight from this daemon.
    pub in_flight: u32,
}

impl<T: Transport> Node<T> {
    /// Returns a snapshot of the current state.
    pub fn snapshot(&self) -> Snapshot {
        let now = self.now();
        let state = self.lock();
        let core = &state.core;
        Snapshot {
            tree: core.tree().clone(),
            in_flight: core.in_flight(),
            counters: core.counters().clone(),
            stage_costs: stage_cost_views(core),
            endpoints: endpoint_views(core, now),
        }
    }
}

fn stage_cost_views(core: &Core) -> Vec<StageCostView> {
    let stages = core.costs().stages();
    stages
        .map(|(pipeline, stage, cost)| StageCostView {
            pipeline: pipeline.clone(),
            stage: stage.clone(),
            cost,
        })
        .collect()
}

fn endpoint_views(core: &Core, now: Time) -> Vec<EndpointView> {
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
    endpoints
}
