//! Gives up results of stages that are no longer needed.

use crate::{
    gateway::{
        dialect::Dialect,
        peer_message::{Ask, Phase},
        peers::Planner,
        stage_job::Handle,
        state::Gateway,
    },
    ids::ServiceId,
};

/// Tells the planner of a service that results are no longer needed.
pub fn release<D: Dialect>(gateway: &Gateway<D>, service: &ServiceId, handles: Vec<Handle>) {
    if handles.is_empty() {
        return;
    }
    let ready = gateway.phase() == Phase::Ready;
    let planner = gateway.state.borrow().peers.planner(service, ready, &[]);
    match planner {
        Planner::Me => gateway
            .state
            .borrow_mut()
            .planning
            .release(service, handles),
        Planner::Peer(peer) => gateway
            .links
            .tell(peer, Ask::Release(service.clone(), handles)),
    }
}
