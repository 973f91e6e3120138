//! Counts the pieces of one request as outstanding until their stages are complete. Those of a request that runs in
//! another region aren't ahead of anything in this one.
//!
//! Owns the request's part of this daemon's workload; what is left is subtracted when it is dropped.

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

/// The outstanding pieces of one request.
#[derive(Debug)]
pub(crate) struct WorkClaim<D: Dialect> {
    gateway: Rc<Gateway<D>>,
    stages: Vec<StageClaim>,
}

/// The outstanding pieces of one stage.
#[derive(Debug)]
struct StageClaim {
    service: ServiceId,
    rank: PieceRank,
    pieces: u32,
}

impl<D: Dialect> WorkClaim<D> {
    /// Counts all pieces of a request.
    pub(crate) fn new(gateway: &Rc<Gateway<D>>, request: &ChainRequest) -> Self {
        let mut state = gateway.state.borrow_mut();
        let mut stages = Vec::with_capacity(request.route.stages.len());
        for (place, stage) in request.route.stages.iter().enumerate() {
            let claim = StageClaim {
                service: stage.service.clone(),
                rank: request.piece_rank(place),
                pieces: match request.region {
                    Some(_) => 0,
                    None => request.count(place),
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

    /// Stops counting the pieces of a stage; a stage that was settled stays so.
    pub(crate) fn settle(&mut self, stage: usize) {
        let claim = &mut self.stages[stage];
        let pieces = std::mem::take(&mut claim.pieces);
        let mut state = self.gateway.state.borrow_mut();
        state.workload.subtract(&claim.service, claim.rank, pieces);
    }
}

impl<D: Dialect> Drop for WorkClaim<D> {
    fn drop(&mut self) {
        for stage in 0..self.stages.len() {
            self.settle(stage);
        }
    }
}
