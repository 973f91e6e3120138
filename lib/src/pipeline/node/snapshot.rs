//! A daemon's state at one moment, for status and metrics.
//!
//! Snapshots are values: they are taken under the node's lock and read without it.

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

/// A daemon's state for reports, taken at one moment.
#[derive(Debug, Clone)]
pub struct Snapshot {
    /// The tree in force.
    pub tree: Arc<Tree>,
    /// Requests without a final answer.
    pub in_flight: usize,
    /// Counts since the start.
    pub counters: Counters,
    /// Cost of each stage since the start, in no order.
    pub costs: Vec<StageCostView>,
    /// Endpoints as this daemon sees them, by service and name.
    pub endpoints: Vec<EndpointView>,
}

/// Endpoint time that one stage has used.
#[derive(Debug, Clone)]
pub struct StageCostView {
    /// Pipeline that the stage belongs to.
    pub pipeline: PipelineId,
    /// The stage.
    pub stage: StageId,
    /// Its cost since the start.
    pub cost: StageCost,
}

/// One endpoint in a snapshot.
#[derive(Debug, Clone)]
pub struct EndpointView {
    /// Its service.
    pub service: String,
    /// Its name.
    pub endpoint: String,
    /// True if it may get new work.
    pub open: bool,
    /// This daemon's calls in flight.
    pub in_flight: u32,
}

impl<T: Transport> Node<T> {
    /// Takes a snapshot of the state.
    pub fn snapshot(&self) -> Snapshot {
        let now = self.now();
        let state = self.lock();
        let core = &state.core;
        Snapshot {
            tree: core.tree().clone(),
            in_flight: core.in_flight(),
            counters: core.counters().clone(),
            costs: cost_views(core),
            endpoints: endpoint_views(core, now),
        }
    }
}

fn cost_views(core: &Core) -> Vec<StageCostView> {
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
