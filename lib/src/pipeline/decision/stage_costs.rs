//! Endpoint time by pipeline and stage, useful and wasted, for reports and metrics.

use {
    crate::{
        pipeline::decision::request::Request,
        shared::{
            ids::{PipelineId, StageId},
            units::WorkMillis,
        },
    },
    std::collections::BTreeMap,
};

/// Endpoint time of one stage.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct StageCost {
    /// Time spent for requests that were answered in time.
    pub useful: WorkMillis,
    /// Time spent on attempts that failed, were cancelled or lost to a hedge, and on requests that weren't answered in
    /// time.
    pub wasted: WorkMillis,
}

/// Endpoint time by pipeline and stage.
#[derive(Debug, Default)]
pub struct StageCosts {
    stages: BTreeMap<(PipelineId, StageId), StageCost>,
}

impl StageCosts {
    /// Adds the endpoint time of one request; `useful` is true if it was answered in time.
    pub fn add(&mut self, request: &Request, useful: bool) {
        for (i, stage) in request.pipeline.stages.iter().enumerate() {
            let key = (request.pipeline.id.clone(), stage.id.clone());
            let cost = self.stages.entry(key).or_default();
            cost.wasted.0 += request.wasted[i].0;
            let won = if useful {
                &mut cost.useful
            } else {
                &mut cost.wasted
            };
            won.0 += request.spent[i].0;
        }
    }

    /// Returns the cost of each stage, in order of pipeline and stage.
    pub fn stages(&self) -> impl Iterator<Item = (&PipelineId, &StageId, StageCost)> {
        self.stages
            .iter()
            .map(|((pipeline, stage), cost)| (pipeline, stage, *cost))
    }
}
