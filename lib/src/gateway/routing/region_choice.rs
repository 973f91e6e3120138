//! Decides in which region the stages of a request run.
//!
//! Gathers the inputs of [`rules::request_region`](crate::gateway::rules::request_region): for each region, whether the
//! request would be admitted there, which `stage_load` finds out from the load of the stages' services.

use crate::{
    gateway::{
        dialect::Dialect,
        routing::{call::ForwardedCall, engine_times::own_time, stage_load::admit},
        rules::{
            allowed_regions::RegionHash,
            eligibility::AllowedDataCentres,
            request_region::{self, RegionDecision},
        },
        stages::{chain_request::ChainRequest, job::piece_count, tight_request},
        state::Gateway,
        table::RouteStage,
    },
    shared::{ids::ServiceId, units::WorkMillis},
};

/// Decides whether a request is admitted, and in which region its stages run.
pub(crate) fn choose_region<D: Dialect>(
    gateway: &Gateway<D>,
    call: &ForwardedCall,
) -> RegionDecision {
    let local_region = gateway.state.borrow().endpoints.local_region();
    let others = gateway.settings().regions.others(local_region);
    let local = decide_in_region(gateway, call, None);
    let others = others
        .into_iter()
        .filter_map(|region| decide_in_region(gateway, call, Some(region)));
    request_region::choose(local, others).unwrap_or_else(|| RegionDecision {
        region: None,
        decision: admit(
            gateway,
            &expected_request(gateway, chain_request(call), call),
        ),
    })
}

/// Decides whether a request is admitted in another region, or in this daemon's own if `region` is absent. Returns
/// `None` if it can't run there.
fn decide_in_region<D: Dialect>(
    gateway: &Gateway<D>,
    call: &ForwardedCall,
    region: Option<RegionHash>,
) -> Option<RegionDecision> {
    let data_centres = data_centres_in(gateway, call, region)?;
    let request = chain_request(call)
        .within(data_centres)
        .coordinated_in(region);
    let request = expected_request(gateway, request, call);
    if let Some(region) = region {
        let now = gateway.now();
        let state = gateway.state.borrow();
        for stage in needed_stages(call) {
            state.peers.remote_service(now, &stage.service, region)?;
        }
    }
    let decision = admit(gateway, &request);
    Some(RegionDecision { region, decision })
}

/// Returns the data centres where a request may run in another region, or in this daemon's own if `region` is absent.
/// Returns `None` if a service that it needs has no open endpoint there.
fn data_centres_in<D: Dialect>(
    gateway: &Gateway<D>,
    call: &ForwardedCall,
    region: Option<RegionHash>,
) -> Option<AllowedDataCentres> {
    let state = gateway.state.borrow();
    let region = region.or(state.endpoints.local_region());
    let inside = gateway
        .settings()
        .regions
        .within(&call.data_centres, region);
    let has_all = |service| state.endpoints.any_open(service, &inside).is_ok();
    needed_services(call).all(has_all).then_some(inside)
}

/// Returns the data of a request for its stages if they run in another region, or in this daemon's own if `region` is
/// absent. If a needed service has no open endpoint in the region, the stages may run wherever the request may.
pub(crate) fn chain_request_in<D: Dialect>(
    gateway: &Gateway<D>,
    call: &ForwardedCall,
    region: Option<RegionHash>,
) -> ChainRequest {
    let request = chain_request(call).coordinated_in(region);
    let request = tight_request::prepare(gateway, request, call.customer.as_deref());
    let request = match data_centres_in(gateway, call, region) {
        Some(data_centres) => request.within(data_centres),
        None => request,
    };
    expected_request(gateway, request, call)
}

/// Returns the time that a request is expected to take after its stages in a region; `None` if its route isn't tight.
pub(crate) fn own_time_in<D: Dialect>(
    gateway: &Gateway<D>,
    call: &ForwardedCall,
    region: Option<RegionHash>,
) -> Option<WorkMillis> {
    let is_tight = gateway.published()?.tight().has_route(&call.route);
    is_tight.then(|| chain_request_in(gateway, call, region).own_time)?
}

/// Sets the time that a request of a tight service is expected to take in the data centres where it may run.
fn expected_request<D: Dialect>(
    gateway: &Gateway<D>,
    request: ChainRequest,
    call: &ForwardedCall,
) -> ChainRequest {
    let own_time = own_time(gateway, call, &request.allowed);
    request.expected_within(own_time)
}

/// Returns the stages for which a request has pieces.
pub(crate) fn needed_stages(call: &ForwardedCall) -> impl Iterator<Item = &RouteStage> {
    let stages = call.route.stages.iter().enumerate();
    let needed = stages.filter(|(index, _)| piece_count(&call.inbound.pieces, *index) > 0);
    needed.map(|(_, stage)| stage)
}

/// Returns the services that a request needs: those of its stages with pieces, and its own.
pub(crate) fn needed_services(call: &ForwardedCall) -> impl Iterator<Item = &ServiceId> {
    let stages = needed_stages(call).map(|stage| &stage.service);
    stages.chain([&call.service])
}

/// Returns the data of a request for its stages.
fn chain_request(call: &ForwardedCall) -> ChainRequest {
    ChainRequest::new(
        &call.inbound,
        &call.route,
        call.deadline.min(call.give_up_at()),
        call.arrived + call.time_allowed(),
        call.urgency,
    )
    .admitted_within(call.time_allowed())
    .identified(call.digest)
    .within(call.data_centres.clone())
}
