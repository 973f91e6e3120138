//! Counts the pieces of one request as taken on until they are made.

use {
    crate::{
        gateway::{dialect::Dialect, state::Gateway, table::Route},
        shared::ids::ServiceId,
    },
    std::rc::Rc,
};

/// Pieces of one request that aren't made yet; those left are given back when it is dropped.
#[derive(Debug)]
pub struct WorkClaim<D: Dialect> {
    gateway: Rc<Gateway<D>>,
    stages: Vec<(ServiceId, u32)>,
}

impl<D: Dialect> WorkClaim<D> {
    /// Takes on the pieces of a request.
    pub fn new(gateway: &Rc<Gateway<D>>, route: &Route, pieces: &[u32]) -> Self {
        let mut state = gateway.state.borrow_mut();
        let mut stages = Vec::with_capacity(route.stages.len());
        for (i, stage) in route.stages.iter().enumerate() {
            let count = pieces.get(i).copied().unwrap_or(0);
            state.workload.add(&stage.service, count);
            stages.push((stage.service.clone(), count));
        }
        drop(state);
        Self {
            gateway: gateway.clone(),
            stages,
        }
    }

    /// Notes that a stage is over.
    pub fn settle(&mut self, stage: usize) {
        let (service, count) = &mut self.stages[stage];
        let pieces = std::mem::take(count);
        let mut state = self.gateway.state.borrow_mut();
        state.workload.subtract(service, pieces);
    }
}

impl<D: Dialect> Drop for WorkClaim<D> {
    fn drop(&mut self) {
        for stage in 0..self.stages.len() {
            self.settle(stage);
        }
    }
}
