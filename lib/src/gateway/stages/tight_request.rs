//! What the stages of a tight route need besides the values of other routes.
//!
//! Gathers the fixed time of calls of the later stages and the customer of a request for its jobs, and the order of
//! pieces by rank for the count of pieces ahead. `rules::stage_objective` and `rules::piece_order` decide by them.

use crate::{
    gateway::{
        rules::piece_order::RankOrder,
        stages::{chain_request::ChainRequest, job::CustomerHash},
        state::{Gateway, GatewayState, PublishedTable},
        table::CustomerEntry,
    },
    shared::{ids::ServiceId, units::WorkMillis},
};

impl GatewayState {
    /// Returns how the pieces of a service are ordered by rank. All daemons with the same table agree on it.
    pub(crate) fn rank_order(&self, service: &ServiceId) -> RankOrder {
        let published = self.published.as_ref();
        let is_tight = published.is_some_and(|published| published.tight().has_stage(service));
        RankOrder::of_service(is_tight)
    }
}

/// Adds to a request of a tight route the customer and the times of calls that its jobs need. Returns a request of
/// another route unchanged.
pub(crate) fn prepare<D>(
    gateway: &Gateway<D>,
    request: ChainRequest,
    customer: Option<&CustomerEntry>,
) -> ChainRequest {
    let state = gateway.state.borrow();
    match &state.published {
        Some(published) if published.tight().has_route(&request.route) => {
            let calls = fixed_times(published, &request);
            let customer = CustomerHash::of(customer.map(|customer| &customer.id));
            request.for_customer(customer).with_calls(calls)
        }
        _ => request,
    }
}

/// Returns the fixed time of a call of each stage's service; 0 for a service that runs no pieces.
fn fixed_times(published: &PublishedTable, request: &ChainRequest) -> Vec<WorkMillis> {
    let fixed = |service: &ServiceId| {
        let limits = published.table.service(service)?.batch?;
        Some(limits.call_cost().fixed)
    };
    let stages = request.route.stages.iter();
    stages
        .map(|stage| fixed(&stage.service).unwrap_or(WorkMillis(0.0)))
        .collect()
}
