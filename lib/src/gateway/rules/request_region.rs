//! In which region do the stages of a request run?
//!
//! Inputs: what admission decides for the region of the request's daemon, and for each other one with the way there
//! and back added to each stage and to the request itself; regions where a service that it needs has no endpoint are
//! left out.
//!
//! Rule: in the own region if the request is admitted there; else in the one where it is admitted and should end
//! first; else it is refused as by the first of them, the own one if it has endpoints.
//!
//! Reason: all stages of a request run in one region, so that no results cross between regions. The way there costs
//! each stage its time, so that another region is worth it only where the own one is too late.
//!
//! It has no constants. Tests: `lib/tests/test_request_region.rs`.

use crate::gateway::rules::{admission::AdmissionDecision, homes::RegionHash};

/// What admission decides for one region; the region is nothing in an installation with one region alone.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RegionDecision {
    /// The region.
    pub region: Option<RegionHash>,
    /// The decision.
    pub decision: AdmissionDecision,
}

impl RegionDecision {
    /// Returns the time that an admitted request should take, in milliseconds.
    fn admitted_ms(&self) -> Option<f64> {
        match self.decision {
            AdmissionDecision::Admit { expected } => Some(expected.0),
            AdmissionDecision::Refuse { .. } => None,
        }
    }
}

/// Returns the region where a request runs, with the decision there; `own` is that of its daemon. Nothing if no region
/// has all endpoints that it needs.
pub fn choose(
    own: Option<RegionDecision>,
    others: impl Iterator<Item = RegionDecision>,
) -> Option<RegionDecision> {
    if own.is_some_and(|own| own.admitted_ms().is_some()) {
        return own;
    }
    let others: Vec<RegionDecision> = others.collect();
    let admitting = others
        .iter()
        .filter_map(|other| Some((other.admitted_ms()?, other)));
    let soonest = admitting.min_by(|(one, _), (other, _)| one.total_cmp(other));
    let soonest = soonest.map(|(_, other)| *other);
    soonest.or(own).or(others.first().copied())
}
