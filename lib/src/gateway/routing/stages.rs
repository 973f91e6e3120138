//! Admits the stages of a request, or refuses it, and runs them.
//!
//! Gathers what `rules::admission` decides on, and turns its decision, and the end of the stages,
//! into an answer for the caller. Relies on `stages::chain` to run them.

use {
    crate::{
        gateway::{
            dialect::Dialect,
            hashes::service_hash,
            routing::{call::ForwardedCall, outbound::choose_endpoint},
            rules::{
                admission::{
                    self, AdmissionDecision, AdmissionRequest, CountSources, PieceCount,
                    PlannedStage, StageService,
                },
                backlog::{Backlog, Band},
                call_timing::CallCost,
                eligibility::Places,
                piece_order::due,
                retry_after::{NO_ENDPOINT, STAGE_FAILED, after_permits},
            },
            stages::{
                chain::{self, ChainError},
                chain_request::ChainRequest,
                job::piece_count,
                stage_results::Results,
                workload::PieceRank,
            },
            state::{Gateway, GatewayState},
            table::{BatchLimits, RouteStage},
        },
        shared::{
            ids::ServiceId,
            problem::{Code, Problem},
            units::{ByteSize, Time, WorkMillis},
        },
    },
    std::rc::Rc,
};

/// Refuses a request at once whose stages can't end in time, or under which endpoints ended.
pub(crate) fn check_admission<D: Dialect>(
    gateway: &Gateway<D>,
    call: &ForwardedCall,
) -> Result<(), Problem> {
    gateway.check_quarantine(&call.digest)?;
    check_endpoints(gateway, call)?;
    if !call.has_stages() {
        return Ok(());
    }
    check_permits(gateway, call)?;
    match admit(gateway, &stages_of(call)) {
        AdmissionDecision::Admit { expected } => {
            log::info!(
                request = call.id(),
                expected_ms = expected.0,
                objective_ms = call.route.objective.0;
                "request.admitted"
            );
            Ok(())
        }
        AdmissionDecision::Refuse {
            expected,
            retry_after,
        } => {
            let (expected, objective) = (expected.0, call.route.objective);
            let detail =
                format!("it would take about {expected:.0} ms, its objective is {objective}");
            Err(Problem::not_run(Code::NoTime, detail).retry_after(retry_after))
        }
    }
}

/// Refuses a request at once while its service, or that of a stage that it needs, has no endpoint that may
/// get work.
fn check_endpoints<D: Dialect>(gateway: &Gateway<D>, call: &ForwardedCall) -> Result<(), Problem> {
    let state = gateway.state.borrow();
    let stages = call.route.stages.iter().enumerate();
    let needed = stages.filter(|(place, _)| piece_count(&call.inbound.pieces, *place) > 0);
    let services = needed.map(|(_, stage)| &stage.service);
    for service in services.chain([&call.service]) {
        if let Err(left_out) = state.endpoints.any_open(service, &call.places) {
            let detail = format!("no endpoint of {service} may get work; left out: {left_out}");
            return Err(Problem::not_run(Code::NoEndpoint, detail).retry_after(NO_ENDPOINT));
        }
    }
    Ok(())
}

/// Refuses a request at once whose stages would run for nothing: only endpoints are left that name a rate, and no permit
/// is to be expected within its objective.
fn check_permits<D: Dialect>(gateway: &Gateway<D>, call: &ForwardedCall) -> Result<(), Problem> {
    let now = gateway.now();
    let state = gateway.state.borrow();
    let endpoints = &state.endpoints;
    let wait = endpoints.only_permits(now, &call.service, &call.places, call.urgency);
    match wait {
        Some(wait) if wait > call.route.objective => {
            let detail = format!(
                "no permit for an endpoint of {} within {wait}",
                call.service
            );
            Err(Problem::not_run(Code::NoEndpoint, detail).retry_after(after_permits(wait)))
        }
        _ => Ok(()),
    }
}

/// Runs the stages before the request, if there are any.
pub(crate) async fn run_stages<D: Dialect>(
    gateway: &Rc<Gateway<D>>,
    call: &ForwardedCall,
) -> Result<Option<Results<D>>, Problem> {
    if !call.has_stages() {
        return Ok(None);
    }
    let request = stages_of(call);
    // Without an endpoint, the stages have no home; the request is refused later if there still is none.
    let probable = choose_endpoint(gateway, call, &[], None).ok();
    let request = request.near(probable.map(|choice| choice.entry.data_centre.clone()));
    match chain::run(gateway, &request).await {
        Ok(results) => Ok(Some(results)),
        Err(ChainError::Late) => {
            Err(Problem::not_run(Code::NoTime, "the stages take too long")
                .retry_after(STAGE_FAILED))
        }
        Err(ChainError::Failed) => {
            Err(Problem::not_run(Code::NoEndpoint, "a stage failed").retry_after(STAGE_FAILED))
        }
    }
}

/// Returns a request as its stages need to know it.
fn stages_of(call: &ForwardedCall) -> ChainRequest {
    ChainRequest::new(
        &call.inbound,
        &call.route,
        call.deadline.min(call.give_up()),
        call.arrived + call.route.objective,
        call.urgency,
    )
    .identified(call.digest)
    .within(call.places.clone())
}

/// Decides whether a request with stages is admitted.
pub fn admit<D: Dialect>(gateway: &Gateway<D>, request: &ChainRequest) -> AdmissionDecision {
    let route = &request.route;
    let stages = (0..route.stages.len()).map(|place| planned_stage(gateway, request, place));
    admission::decide(&AdmissionRequest {
        stages: stages.collect(),
        objective: route.objective,
        rank: route.rank,
        tokens: request.tokens,
    })
}

/// Gathers how the service of a stage stands, and what goes ahead of the stage's pieces there.
fn planned_stage<D: Dialect>(
    gateway: &Gateway<D>,
    request: &ChainRequest,
    place: usize,
) -> PlannedStage {
    let stage = &request.route.stages[place];
    let now = gateway.now();
    let backlog = backlog(&gateway.state.borrow(), now, &stage.service);
    let PieceRank { objective, rank } = request.piece_rank(place);
    let band = Band::of(now, due(now, objective, rank));
    PlannedStage {
        service: stage_service(gateway, request, stage, backlog.total()),
        ahead: PieceCount(f64::from(backlog.ahead(band))),
        pieces: request.count(place),
        after: stage.after.clone(),
    }
}

/// Gathers how the service of a stage stands.
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
        endpoints: endpoint_counts(&state, now, service, &request.places).believed(),
        batch: stated.batch,
        cost: stated.cost,
        room: stated.room,
        outstanding: PieceCount(f64::from(outstanding)),
    }
}

/// Limits of a stage's service as the table states them.
struct StatedLimits {
    batch: usize,
    cost: CallCost,
    /// Results of the stage that an endpoint has room for.
    room: PieceCount,
}

impl StatedLimits {
    /// A service that runs no pieces costs no time, so that no request is refused for its load: the
    /// stage itself will fail.
    const NONE: Self = Self {
        batch: 1,
        cost: CallCost {
            fixed: WorkMillis(0.0),
            piece: WorkMillis(0.0),
        },
        room: PieceCount(f64::MAX),
    };

    fn new(limits: &BatchLimits, result: ByteSize) -> Self {
        // A stage without a stated size of results counts as one of tiny results.
        let results = limits.room.0 as f64 / result.0.max(1) as f64;
        Self {
            batch: limits.pieces,
            cost: limits.call_cost(),
            room: PieceCount(results),
        }
    }
}

/// Gathers the endpoints of a service that get calls, from all who know something of it.
fn endpoint_counts(
    state: &GatewayState,
    now: Time,
    service: &ServiceId,
    places: &Places,
) -> CountSources {
    let open = state.endpoints.open(service);
    let listed = open.filter(|member| places.allow(&member.entry.data_centre));
    CountSources {
        own_queue: state.planning.available_endpoints(now, service),
        peers: state.peers.available_endpoints(service_hash(service)),
        listed: listed.count(),
    }
}

/// Adds up the outstanding pieces of a service: those of this daemon's requests, which it counts
/// itself, and those of all others, as they or the service's coordinator report them.
fn backlog(state: &GatewayState, now: Time, service: &ServiceId) -> Backlog {
    // Counted as ready: a daemon that would be the coordinator itself adds up the others' reports.
    let coordinator = state.peers.coordinator(now, service, true, &[]);
    let elsewhere = state.peers.backlog(service_hash(service), coordinator);
    state.workload.backlog(now, service).plus(&elsewhere)
}
