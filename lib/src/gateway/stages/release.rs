//! Gives up results of stages that are no longer needed.

use crate::{
    gateway::{
        dialect::Dialect, peers::message::LinkRequest, rules::coordinator::Coordinator,
        stages::job::ResultHandle, state::Gateway,
    },
    shared::ids::ServiceId,
};

/// Tells the planner of a service that results are no longer needed.
pub fn release<D: Dialect>(gateway: &Gateway<D>, service: &ServiceId, handles: Vec<ResultHandle>) {
    if handles.is_empty() {
        return;
    }
    let ready = gateway.may_coordinate();
    let now = gateway.now();
    let planner = gateway
        .state
        .borrow()
        .peers
        .coordinator(now, service, ready, &[]);
    match planner {
        Coordinator::Me => gateway
            .state
            .borrow_mut()
            .planning
            .release(service, handles),
        Coordinator::Peer(peer) => gateway
            .links
            .notify(peer, LinkRequest::Release(service.clone(), handles)),
    }
}
