//! Admits the stages of a request, or refuses it, and runs them.
//!
//! Turns the decision, and the end of the stages, into an answer for the caller. Relies on `region_choice` for where they
//! run, and on `stages::chain` to run them.

use {
    crate::{
        gateway::{
            dialect::Dialect,
            routing::{
                call::ForwardedCall,
                outbound::choose_endpoint_in,
                region_choice::{choose_region, needed_services, stages_in},
            },
            rules::{
                admission::AdmissionDecision,
                allowed_regions::RegionHash,
                request_region::RegionDecision,
                retry_after::{NO_ENDPOINT, STAGE_FAILED, after_cooldown, after_permits},
            },
            stages::{
                chain::{self, ChainError},
                stage_results::Results,
            },
            state::Gateway,
        },
        shared::problem::{Code, Problem},
    },
    std::rc::Rc,
};

/// Refuses a request at once whose stages can't end in time, or under which endpoints ended. Returns the other region
/// where its stages run; nothing for this daemon's own.
pub(crate) fn check_admission<D: Dialect>(
    gateway: &Gateway<D>,
    call: &ForwardedCall,
) -> Result<Option<RegionHash>, Problem> {
    gateway.check_quarantine(&call.digest)?;
    check_endpoints(gateway, call)?;
    if !call.has_stages() {
        return Ok(None);
    }
    check_permits(gateway, call)?;
    let RegionDecision { region, decision } = choose_region(gateway, call);
    match decision {
        AdmissionDecision::Admit { expected } => {
            log::info!(
                request = call.id(),
                expected_ms = expected.0,
                objective_ms = call.route.objective.0,
                elsewhere = region.is_some();
                "request.admitted"
            );
            if region.is_some() {
                gateway.metrics.elsewhere();
            }
            Ok(region)
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
    gateway.end_rests();
    let now = gateway.now();
    let endpoints = &gateway.state.borrow().endpoints;
    for service in needed_services(call) {
        if let Err(left_out) = endpoints.any_open(service, &call.places) {
            let detail = format!("no endpoint of {service} may get work; left out: {left_out}");
            let rested = endpoints.rest_end(service, &call.places);
            let wait = rested.map_or(NO_ENDPOINT, |rested| after_cooldown(now, rested));
            return Err(Problem::not_run(Code::NoEndpoint, detail).retry_after(wait));
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

/// Runs the stages before the request, if there are any, in another region or in this daemon's own.
pub(crate) async fn run_stages<D: Dialect>(
    gateway: &Rc<Gateway<D>>,
    call: &ForwardedCall,
    region: Option<RegionHash>,
) -> Result<Option<Results<D>>, Problem> {
    if !call.has_stages() {
        return Ok(None);
    }
    let request = stages_in(gateway, call, region);
    // Without an endpoint, the stages have no home; the request is refused later if there still is none.
    let probable = choose_endpoint_in(gateway, call, &request.places, &[], None).ok();
    let request = request.served_in(probable.map(|choice| choice.entry.data_centre.clone()));
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
