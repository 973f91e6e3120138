//! Starts and ends the faults of an experiment at their times.
//!
//! This module orders the starts and ends of faults. The stand-ins for endpoints and for the configuration service
//! implement the faults.

use {
    crate::{
        fault_plan::{EndpointFault, Fault, FaultKind},
        installation::Installation,
        replica::Replica,
    },
    anyhow::Result,
    hazelyoke_lib::shared::units::Share,
    std::time::Duration,
    tokio::time::{Instant, sleep_until},
};

/// Factor of the service time of an endpoint that isn't slowed down.
const USUAL_SPEED: f64 = 1.0;

/// Share of damaged replies at an endpoint without this fault.
const NO_DAMAGE: Share = Share(0.0);

/// The start or the end of a fault; `at` is the time since the start of the run.
struct Moment<'f> {
    at: Duration,
    kind: &'f FaultKind,
    begins: bool,
}

/// Starts and ends all faults, each at its time after `start`.
///
/// # Errors
///
/// Returns an error if an endpoint that was stopped can't be started again.
pub async fn run(faults: &[Fault], installation: &Installation, start: Instant) -> Result<()> {
    for Moment { at, kind, begins } in moments(faults) {
        sleep_until(start + at).await;
        if let FaultKind::ConfigSilent = kind {
            installation.config.set_silent(begins);
        }
        for replica in targets(kind, installation) {
            set(replica, kind, begins).await?;
        }
    }
    Ok(())
}

/// Returns the starts and ends of all faults, ordered by time.
fn moments(faults: &[Fault]) -> Vec<Moment<'_>> {
    let mut moments = Vec::new();
    for Fault { kind, from, until } in faults {
        let moment = |at, begins| Moment { at, kind, begins };
        moments.push(moment(*from, true));
        moments.extend(until.map(|until| moment(until, false)));
    }
    moments.sort_by_key(|moment| moment.at);
    moments
}

/// Returns the replicas that a kind of fault hits.
fn targets<'i>(kind: &FaultKind, installation: &'i Installation) -> Vec<&'i Replica> {
    let replicas = installation.replicas.iter();
    match kind {
        FaultKind::Endpoints { service, count, .. } => replicas
            .filter(|replica| replica.service.id == *service)
            .take(count.0 as usize)
            .collect(),
        FaultKind::DataCentre(centre) => replicas
            .filter(|replica| replica.spec.data_centre == *centre)
            .collect(),
        FaultKind::ConfigSilent => Vec::new(),
    }
}

/// Starts or ends a fault at one replica.
async fn set(replica: &Replica, kind: &FaultKind, begins: bool) -> Result<()> {
    let fault = match kind {
        FaultKind::Endpoints { fault, .. } => *fault,
        FaultKind::DataCentre(_) => EndpointFault::Death,
        FaultKind::ConfigSilent => return Ok(()),
    };
    let endpoint = replica.current();
    let faults = &endpoint.faults;
    match fault {
        EndpointFault::Slow(factor) => faults.slow_down(if begins { factor } else { USUAL_SPEED }),
        EndpointFault::Damage(damage, share) => {
            let share = if begins { share } else { NO_DAMAGE };
            faults.damage(damage, share.0);
        }
        EndpointFault::FrozenReports => faults.freeze_report(begins),
        EndpointFault::Death if begins => replica.kill(),
        EndpointFault::Death => replica.start().await?,
    }
    Ok(())
}
