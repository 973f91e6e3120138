//! Decides whether a request with stages is admitted, and runs its stages.
//!
//! A refusal, or a failure of the stages, becomes a problem for the caller. `region_choice` decides where the stages
//! run, and `stages::chain` runs them.

use {
    crate::{
        gateway::{
            dialect::Dialect,
            routing::{
                admission_sample::AdmissionSample,
                call::ForwardedCall,
                outbound::choose_endpoint_in,
                region_choice::{chain_request_in, choose_region, needed_services, own_time_in},
                reservations::{Admission, Refusal},
            },
            rules::{
                admission::AdmissionDecision,
                calibration::CorrectionFactor,
                request_region::RegionDecision,
                retry_after::{NO_ENDPOINT, STAGE_FAILED, after_cooldown, after_permits},
            },
            stages::{
                chain::{self, ChainError},
                stage_results::Results,
            },
            state::Gateway,
        },
        shared::{
            problem::{Code, Problem},
            units::WorkMillis,
        },
    },
    std::rc::Rc,
};

/// An admitted request.
pub(crate) struct Admitted<D: Dialect> {
    /// Where its stages run, and in which place.
    pub(crate) admission: Admission,
    /// Measures its time against the expected one; it doesn't count if the request had a reservation.
    pub(crate) sample: AdmissionSample<D>,
}

/// Checks before anything runs that a request isn't quarantined, that its services have endpoints, and that its stages
/// can end in time. A request of a tight route that would be refused waits a moment for the holders of its reservation.
///
/// # Errors
///
/// Returns the problem with which the request is refused.
pub(crate) async fn check_admission<D: Dialect>(
    gateway: &Rc<Gateway<D>>,
    call: &ForwardedCall,
) -> Result<Admitted<D>, Problem> {
    gateway.begin_trial(call);
    gateway.check_quarantine(call)?;
    gateway.log_suspected(call);
    check_endpoints(gateway, call)?;
    if !call.has_stages() {
        return Ok(Admitted {
            admission: Admission::default(),
            sample: AdmissionSample::default(),
        });
    }
    check_permits(gateway, call)?;
    let RegionDecision { region, decision } = choose_region(gateway, call);
    let factor = observed_factor(gateway, call);
    let is_tight = gateway.is_tight(&call.route);
    let (expected, lead) = match decision {
        AdmissionDecision::Admit { expected } => {
            if is_tight {
                gateway.end_reservation(call.digest);
            }
            (expected, None)
        }
        AdmissionDecision::Refuse {
            expected,
            allowed,
            retry_after,
        } => {
            let refusal = Refusal {
                expected,
                allowed,
                factor,
                retry_after,
            };
            // Only the daemons of this region hold reservations, for stages that run here.
            if !is_tight || region.is_some() {
                return Err(refusal.problem(&call.route));
            }
            let lead = gateway.claim_or_reserve(call, refusal).await?;
            (expected, Some(lead))
        }
    };
    let admission = Admission { region, lead };
    log_admitted(gateway, call, expected, factor, admission);
    if region.is_some() {
        gateway.metrics.count_remote_stages();
    }
    let sample = match lead {
        Some(_) => AdmissionSample::default(),
        None => AdmissionSample::new(gateway, call, expected, factor),
    };
    Ok(Admitted { admission, sample })
}

fn log_admitted<D: Dialect>(
    gateway: &Gateway<D>,
    call: &ForwardedCall,
    expected: WorkMillis,
    factor: CorrectionFactor,
    admission: Admission,
) {
    let own_time = own_time_in(gateway, call, admission.region);
    log::info!(
        request = call.id(),
        expected_ms = expected.0,
        objective_ms = call.route.objective.0,
        own_ms = own_time.map_or(0.0, |own_time| own_time.0),
        factor = factor.0,
        elsewhere = admission.region.is_some(),
        reserved = admission.lead.is_some();
        "request.admitted"
    );
}

/// Returns the factor for the expected time of a request, which is 1 if its route isn't tight.
fn observed_factor<D: Dialect>(gateway: &Gateway<D>, call: &ForwardedCall) -> CorrectionFactor {
    let factor = gateway.correction(&call.route);
    if let Some(factor) = factor {
        gateway.metrics.admission.observe_factor(factor);
    }
    factor.unwrap_or(CorrectionFactor::NONE)
}

/// Refuses a request if its service, or that of a stage with pieces, has no endpoint that may get work.
fn check_endpoints<D: Dialect>(gateway: &Gateway<D>, call: &ForwardedCall) -> Result<(), Problem> {
    gateway.end_cooldowns();
    let now = gateway.now();
    let endpoints = &gateway.state.borrow().endpoints;
    for service in needed_services(call) {
        let origin = call.origin.filter(|_| *service == call.service);
        if let Err(excluded) = endpoints.any_open_of(service, &call.data_centres, origin) {
            let detail = format!("no endpoint of {service} may get work; left out: {excluded}");
            let cooldown_end = endpoints.cooldown_end(service, &call.data_centres);
            let wait = cooldown_end.map_or(NO_ENDPOINT, |cooldown_end| {
                after_cooldown(now, cooldown_end)
            });
            return Err(Problem::not_run(Code::NoEndpoint, detail).retry_after(wait));
        }
    }
    Ok(())
}

/// Refuses a request whose stages would run in vain: all endpoints of its service lack a permit for their rate limit,
/// and none is expected within the objective of the request.
fn check_permits<D: Dialect>(gateway: &Gateway<D>, call: &ForwardedCall) -> Result<(), Problem> {
    let now = gateway.now();
    let state = gateway.state.borrow();
    let endpoints = &state.endpoints;
    let wait = endpoints.needed_permit_wait(now, &call.service, &call.data_centres, call.urgency);
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

/// Runs the stages of a request, if it has any, where it was admitted.
pub(crate) async fn run_stages<D: Dialect>(
    gateway: &Rc<Gateway<D>>,
    call: &ForwardedCall,
    admission: Admission,
) -> Result<Option<Results<D>>, Problem> {
    if !call.has_stages() {
        return Ok(None);
    }
    let mut request = chain_request_in(gateway, call, admission.region);
    request.objective = request.objective - admission.lead.unwrap_or_default();
    // If no endpoint may get the request now, the stages have no preferred data centre. The request is refused later if
    // that is still so.
    let probable = choose_endpoint_in(gateway, call, &request.allowed, &[], None, call.origin).ok();
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
