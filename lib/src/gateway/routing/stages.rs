//! Takes a request's stages on, or refuses it, and runs them.

use {
    crate::{
        gateway::{
            dialect::{Dialect, Inbound},
            routing::{
                attempt::choose_endpoint, call::ForwardedCall, endpoint_state::service_hash,
            },
            rules::admission::{
                self, AdmissionDecision, AdmissionRequest, PlannedStage, StageService,
            },
            stages::{
                chain::{self, ChainError},
                chain_request::ChainRequest,
                stage_results::Results,
            },
            state::Gateway,
            table::Route,
        },
        shared::{
            ids::ServiceId,
            problem::{Code, Problem},
            units::{ByteSize, Millis},
        },
    },
    std::rc::Rc,
};

/// Wait that is suggested to a caller whose stages failed.
const RETRY: Millis = Millis(100);

/// Refuses a request at once whose stages can't be made in time.
pub(crate) fn check_admission<D: Dialect>(
    gateway: &Gateway<D>,
    call: &ForwardedCall,
) -> Result<(), Problem> {
    if !call.has_stages() {
        return Ok(());
    }
    match admit(gateway, &call.route, &call.inbound) {
        AdmissionDecision::Take(expected_ms) => {
            log::info!(request = call.id(), expected_ms, objective_ms = call.route.objective.0; "request.admitted");
            Ok(())
        }
        AdmissionDecision::Refuse {
            expected_ms,
            retry_after,
        } => {
            let objective = call.route.objective;
            let detail =
                format!("it would take about {expected_ms:.0} ms, its objective is {objective}");
            Err(Problem::not_run(Code::NoTime, detail).retry_after(retry_after))
        }
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
    let objective = call.arrived + call.route.objective;
    let request = ChainRequest::new(
        &call.inbound,
        &call.route,
        call.deadline.min(call.give_up()),
        objective,
        call.urgency,
    );
    let probable = choose_endpoint(gateway, call, &[], None);
    let request = request.near(probable.map(|choice| choice.entry.data_centre.clone()));
    match chain::run(gateway, &request).await {
        Ok(results) => Ok(Some(results)),
        Err(ChainError::Late) => {
            Err(Problem::not_run(Code::NoTime, "the stages take too long").retry_after(RETRY))
        }
        Err(ChainError::Failed) => {
            Err(Problem::not_run(Code::NoEndpoint, "a stage failed").retry_after(RETRY))
        }
    }
}

/// Decides whether a request with stages is taken.
pub fn admit<D: Dialect>(
    gateway: &Gateway<D>,
    route: &Route,
    inbound: &Inbound,
) -> AdmissionDecision {
    let stages = route
        .stages
        .iter()
        .enumerate()
        .map(|(i, stage)| PlannedStage {
            service: stage_service(gateway, &stage.service, stage.result),
            pieces: inbound.pieces.get(i).copied().unwrap_or(0),
            after: stage.after.clone(),
        })
        .collect();
    admission::decide(&AdmissionRequest {
        stages,
        objective: route.objective,
        rank: route.rank,
        tokens: inbound.prompt.tokens_in,
    })
}

fn stage_service<D: Dialect>(
    gateway: &Gateway<D>,
    service: &ServiceId,
    result: ByteSize,
) -> StageService {
    let now = gateway.now();
    let published = gateway.published();
    let limits = published
        .as_ref()
        .and_then(|published| published.table.service(service)?.batch);
    let state = gateway.state.borrow();
    let endpoints = state
        .endpoints
        .service(service)
        .filter(|member| member.is_open())
        .count();
    let hash = service_hash(service);
    let coordinator = state.peers.coordinator(now, service, true, &[]);
    let elsewhere = state.peers.outstanding(hash, coordinator);
    let ready = state.planning.available_endpoints(now, service);
    let reported = state.peers.available_endpoints(hash);
    let outstanding = f64::from(state.workload.outstanding(service)) + f64::from(elsewhere);
    let (batch, call_ms, piece_ms, room) = limits.map_or((1, 0.0, 0.0, f64::MAX), |limits| {
        let results = limits.room.0 as f64 / result.0.max(1) as f64;
        (limits.pieces, limits.call_ms, limits.piece_ms, results)
    });
    StageService {
        endpoints: ready.or(reported).unwrap_or(endpoints).min(endpoints),
        batch,
        call_ms,
        piece_ms,
        room,
        outstanding,
    }
}
