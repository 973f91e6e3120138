//! Gathers the load of the services of a request's stages, for the decision whether to admit the request.
//!
//! The inputs are the outstanding pieces of this daemon and its peers, and the endpoint list; the rule is
//! [`rules::admission`](crate::gateway::rules::admission).

use crate::{
    gateway::{
        dialect::Dialect,
        hashes::service_hash,
        rules::{
            admission::{
                self, AdmissionDecision, AdmissionRequest, EndpointCounts, PieceCount,
                PlannedStage, StageService,
            },
            allowed_regions::RegionHash,
            backlog::{Backlog, DeadlineBucket},
            call_timing::CallCost,
        },
        stages::{chain_request::ChainRequest, workload::PieceRank},
        state::{Gateway, GatewayState},
        table::{BatchLimits, RouteStage},
    },
    shared::{
        ids::ServiceId,
        units::{ByteSize, Time, WorkMillis},
    },
};

/// Decides whether a request with stages is admitted.
pub(crate) fn admit<D: Dialect>(gateway: &Gateway<D>, request: &ChainRequest) -> AdmissionDecision {
    let route = &request.route;
    let now = gateway.now();
    let round_trip = gateway
        .state
        .borrow()
        .endpoints
        .round_trip(now, request.region);
    let stages = (0..route.stages.len()).map(|index| planned_stage(gateway, request, index));
    admission::decide(&AdmissionRequest {
        stages: stages.collect(),
        objective: request.time_allowed,
        rank: route.rank,
        tokens: request.tokens,
        own_time: request.own_time,
        calibration: gateway.correction(route),
        round_trip: round_trip.unwrap_or(WorkMillis(0.0)),
    })
}

/// Returns the number of pieces of a stage that its service completes in a millisecond at full load.
pub(crate) fn stage_throughput<D: Dialect>(
    gateway: &Gateway<D>,
    request: &ChainRequest,
    index: usize,
) -> f64 {
    stage_service(gateway, request, &request.route.stages[index], 0).pieces_per_ms()
}

/// Gathers the load of a stage's service, and the number of outstanding pieces that are served before those of the
/// stage.
fn planned_stage<D: Dialect>(
    gateway: &Gateway<D>,
    request: &ChainRequest,
    index: usize,
) -> PlannedStage {
    let stage = &request.route.stages[index];
    let now = gateway.now();
    let state = gateway.state.borrow();
    let backlog = backlog(&state, now, &stage.service, request.region);
    let order = state.rank_order(&stage.service);
    drop(state);
    let PieceRank { objective, rank } = request.piece_rank(index);
    let bucket = DeadlineBucket::of_job(now, order, objective, rank);
    PlannedStage {
        service: stage_service(gateway, request, stage, backlog.total()),
        ahead: PieceCount(f64::from(backlog.ahead(bucket))),
        pieces: request.count(index),
        after: stage.after.clone(),
    }
}

/// Gathers the load and the limits of a stage's service.
fn stage_service<D: Dialect>(
    gateway: &Gateway<D>,
    request: &ChainRequest,
    stage: &RouteStage,
    outstanding: u32,
) -> StageService {
    let now = gateway.now();
    let service = &stage.service;
    let limits = gateway
        .published()
        .and_then(|published| published.table.service(service)?.batch);
    let stated = limits.map_or(StatedLimits::NONE, |limits| {
        StatedLimits::new(&limits, stage.result)
    });
    let state = gateway.state.borrow();
    StageService {
        endpoints: endpoint_counts(&state, now, service, request).usable(),
        batch: stated.batch,
        cost: stated.cost,
        result_capacity: stated.result_capacity,
        outstanding: PieceCount(f64::from(outstanding)),
    }
}

/// Limits of a stage's service as given in the table.
struct StatedLimits {
    batch: usize,
    cost: CallCost,
    /// Number of results of the stage that an endpoint has capacity for.
    result_capacity: PieceCount,
}

impl StatedLimits {
    /// Limits of a service that runs no pieces. Its calls cost no time, so that no request is refused because of its
    /// load; the stage fails when it runs.
    const NONE: Self = Self {
        batch: 1,
        cost: CallCost {
            fixed: WorkMillis(0.0),
            piece: WorkMillis(0.0),
        },
        result_capacity: PieceCount(f64::MAX),
    };

    fn new(limits: &BatchLimits, result: ByteSize) -> Self {
        // A stage without a stated result size counts as having results of one byte.
        let results = limits.capacity.0 as f64 / result.0.max(1) as f64;
        Self {
            batch: limits.pieces,
            cost: limits.call_cost(),
            result_capacity: PieceCount(results),
        }
    }
}

/// Gathers the number of endpoints of a service that get calls, from each source that counts them.
fn endpoint_counts(
    state: &GatewayState,
    now: Time,
    service: &ServiceId,
    request: &ChainRequest,
) -> EndpointCounts {
    let open = state.endpoints.open(service);
    let listed = open.filter(|member| request.allowed.allow(&member.entry.data_centre));
    if let Some(region) = request.region {
        let remote = state.peers.remote_service(now, service, region);
        return EndpointCounts {
            local_queue: None,
            peers: remote.map(|remote| remote.endpoints),
            listed: listed.count(),
        };
    }
    EndpointCounts {
        local_queue: state.stage_queues.available_endpoints(now, service),
        peers: state.peers.available_endpoints(service_hash(service)),
        listed: listed.count(),
    }
}

/// Adds up the outstanding pieces of a service. For this daemon's region these are the pieces of its own requests,
/// which it counts itself, and those of the other daemons, as reported by them or by the service's coordinator. For
/// another region they are those that its coordinator reports.
fn backlog(
    state: &GatewayState,
    now: Time,
    service: &ServiceId,
    region: Option<RegionHash>,
) -> Backlog {
    if let Some(region) = region {
        let remote = state.peers.remote_service(now, service, region);
        return remote.map(|remote| remote.backlog).unwrap_or_default();
    }
    // This daemon is taken as ready: if it would then be the coordinator, it adds up the others' reports itself.
    let coordinator = state.peers.coordinator(now, service, true, &[]);
    let elsewhere = state.peers.backlog(service_hash(service), coordinator);
    let own = state
        .workload
        .backlog(now, service, state.rank_order(service));
    own.plus(&elsewhere)
}
