//! Carries out the faults of an experiment when they are due.

use {
    crate::{
        fault_plan::{Fault, FaultKind},
        installation::Slot,
    },
    hazelyoke_testutils::config_service::ConfigService,
    std::{sync::Arc, time::Duration},
    tokio::time::{Instant, sleep_until},
};

/// Carries all faults out, each at its time.
pub async fn run(faults: &[Fault], slots: &[Arc<Slot>], config: &ConfigService, start: Instant) {
    let mut moments: Vec<(Duration, &Fault, bool)> = Vec::new();
    for fault in faults {
        moments.push((fault.from, fault, true));
        if let Some(until) = fault.until {
            moments.push((until, fault, false));
        }
    }
    moments.sort_by_key(|(at, ..)| *at);
    for (at, fault, begins) in moments {
        sleep_until(start + at).await;
        if let FaultKind::ConfigSilent = fault.kind {
            config.silence(begins);
        }
        for slot in targets(fault, slots) {
            set(slot, &fault.kind, begins).await;
        }
    }
}

fn targets<'s>(fault: &Fault, slots: &'s [Arc<Slot>]) -> Vec<&'s Arc<Slot>> {
    let fits = |slot: &&Arc<Slot>| match &fault.kind {
        FaultKind::DataCentre(name) => slot.spec.data_centre.as_str() == name,
        _ => fault.service.as_deref() == Some(slot.service.id.as_str()),
    };
    let count = match fault.kind {
        FaultKind::DataCentre(_) => usize::MAX,
        _ => fault.count,
    };
    slots.iter().filter(fits).take(count).collect()
}

async fn set(slot: &Slot, kind: &FaultKind, begins: bool) {
    let Some(endpoint) = slot.current() else {
        return;
    };
    let faults = &endpoint.faults;
    match kind {
        FaultKind::Slow(factor) => faults.slow_down(if begins { *factor } else { 1.0 }),
        FaultKind::Damage(damage, share) => {
            faults.damage(*damage, if begins { *share } else { 0.0 });
        }
        FaultKind::FrozenReports => faults.freeze_report(begins),
        FaultKind::Death | FaultKind::DataCentre(_) if begins => slot.kill(),
        FaultKind::Death | FaultKind::DataCentre(_) => {
            if let Err(error) = slot.start().await {
                log::error!("{error:#}");
            }
        }
        FaultKind::ConfigSilent => {}
    }
}
