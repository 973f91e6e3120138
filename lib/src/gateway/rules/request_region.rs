//! Chooses the region in which the stages of a request run.
//!
//! Inputs: the admission decision for the local region (that of the request's daemon), and for each remote region the
//! decision with the round-trip time added to each stage and to the request itself. Regions where a service that the
//! request needs has no endpoint are excluded.
//!
//! Rule: the local region if the request is admitted there; otherwise the region that admits it with the shortest
//! expected time; otherwise the request is refused with the decision of the first region, the local one if it has
//! endpoints.
//!
//! Reason: all stages of a request run in one region, so that no results are sent between regions. A remote region
//! costs each stage a round trip, so it is worth it only if the local region is too slow.
//!
//! Tests: `lib/tests/test_request_region.rs`.

use crate::gateway::rules::{admission::AdmissionDecision, allowed_regions::RegionHash};

/// The admission decision for one region.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RegionDecision {
    /// The region; `None` in an installation with one region only.
    pub region: Option<RegionHash>,
    /// The decision if the request ran in this region.
    pub decision: AdmissionDecision,
}

impl RegionDecision {
    /// Returns the expected time of an admitted request, in milliseconds; `None` if it is refused.
    fn admitted_ms(&self) -> Option<f64> {
        match self.decision {
            AdmissionDecision::Admit { expected } => Some(expected.0),
            AdmissionDecision::Refuse { .. } => None,
        }
    }
}

/// Returns the region where a request runs, with the decision there. `local` is the decision for the local region.
/// Returns `None` if no region has all endpoints that the request needs.
pub fn choose(
    local: Option<RegionDecision>,
    others: impl Iterator<Item = RegionDecision>,
) -> Option<RegionDecision> {
    if local.is_some_and(|local| local.admitted_ms().is_some()) {
        return local;
    }
    let others: Vec<RegionDecision> = others.collect();
    let admitting = others
        .iter()
        .filter_map(|other| Some((other.admitted_ms()?, other)));
    let soonest = admitting.min_by(|(one, _), (other, _)| one.total_cmp(other));
    let soonest = soonest.map(|(_, other)| *other);
    soonest.or(local).or(others.first().copied())
}
