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
const NORMAL_SLOWDOWN: f64 = 1.0;

/// Share of damaged replies at an endpoint without this fault.
const NO_DAMAGE: Share = Share(0.0);

/// The start or the end of a fault; `at` is the time since the start of the run.
struct FaultChange<'f> {
    at: Duration,
    kind: &'f FaultKind,
    starts: bool,
}

/// Starts and ends all faults, each at its time after `start`.
///
/// # Errors
///
/// Returns an error if an endpoint that was stopped can't be started again.
pub async fn run(faults: &[Fault], installation: &Installation, start: Instant) -> Result<()> {
    for FaultChange { at, kind, starts } in fault_changes(faults) {
        sleep_until(start + at).await;
        if let FaultKind::ConfigSilent = kind {
            installation.config.set_silent(starts);
        }
        for replica in target_replicas(kind, installation) {
            set_fault(replica, kind, starts).await?;
        }
    }
    Ok(())
}

/// Returns the starts and ends of all faults, ordered by time.
fn fault_changes(faults: &[Fault]) -> Vec<FaultChange<'_>> {
    let mut changes = Vec::new();
    for Fault { kind, from, until } in faults {
        let change = |at, starts| FaultChange { at, kind, starts };
        changes.push(change(*from, true));
        changes.extend(until.map(|until| change(until, false)));
    }
    changes.sort_by_key(|change| change.at);
    changes
}

/// Returns the replicas that a kind of fault hits.
fn target_replicas<'i>(kind: &FaultKind, installation: &'i Installation) -> Vec<&'i Replica> {
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
async fn set_fault(replica: &Replica, kind: &FaultKind, starts: bool) -> Result<()> {
    let fault = match kind {
        FaultKind::Endpoints { fault, .. } => *fault,
        FaultKind::DataCentre(_) => EndpointFault::Death,
        FaultKind::ConfigSilent => return Ok(()),
    };
    let endpoint = replica.current();
    let faults = &endpoint.faults;
    match fault {
        EndpointFault::Slow(factor) => {
            faults.slow_down(if starts { factor } else { NORMAL_SLOWDOWN })
        }
        EndpointFault::Damage(damage, share) => {
            let share = if starts { share } else { NO_DAMAGE };
            faults.damage(damage, share.0);
        }
        EndpointFault::FrozenReports => faults.freeze_report(starts),
        EndpointFault::Death if starts => replica.kill(),
        EndpointFault::Death => replica.start().await?,
    }
    Ok(())
}
