//! Counts the pieces of one request as outstanding until their stages are complete.
//!
//! Pieces of a request that runs in another region aren't counted, since they delay no piece in this region. Owns the
//! request's share of this daemon's workload and subtracts the remaining pieces when dropped.

use {
    crate::{
        gateway::{
            dialect::Dialect,
            stages::{chain_request::ChainRequest, workload::PieceRank},
            state::Gateway,
        },
        shared::ids::ServiceId,
    },
    std::rc::Rc,
};

/// The outstanding pieces of one request, as counted in the workload.
#[derive(Debug)]
pub(crate) struct WorkClaim<D: Dialect> {
    gateway: Rc<Gateway<D>>,
    stages: Vec<StageClaim>,
}

/// The outstanding pieces of one stage, as counted in the workload.
#[derive(Debug)]
struct StageClaim {
    service: ServiceId,
    rank: PieceRank,
    pieces: u32,
}

impl<D: Dialect> WorkClaim<D> {
    /// Counts all pieces of a request as outstanding.
    pub(crate) fn new(gateway: &Rc<Gateway<D>>, request: &ChainRequest) -> Self {
        let mut state = gateway.state.borrow_mut();
        let mut stages = Vec::with_capacity(request.route.stages.len());
        for (index, stage) in request.route.stages.iter().enumerate() {
            let claim = StageClaim {
                service: stage.service.clone(),
                rank: request.piece_rank(index),
                pieces: match request.region {
                    Some(_) => 0,
                    None => request.count(index),
                },
            };
            state.workload.add(&claim.service, claim.rank, claim.pieces);
            stages.push(claim);
        }
        drop(state);
        Self {
            gateway: gateway.clone(),
            stages,
        }
    }

    /// Stops counting the pieces of a stage as outstanding. Does nothing if this was done before.
    pub(crate) fn complete_stage(&mut self, stage: usize) {
        let claim = &mut self.stages[stage];
        let pieces = std::mem::take(&mut claim.pieces);
        let mut state = self.gateway.state.borrow_mut();
        state.workload.subtract(&claim.service, claim.rank, pieces);
    }
}

impl<D: Dialect> Drop for WorkClaim<D> {
    fn drop(&mut self) {
        for stage in 0..self.stages.len() {
            self.complete_stage(stage);
        }
    }
}
