//! Estimates how slow an endpoint is from what it reports itself.
//!
//! Inputs: the slowdown that an endpoint reported with its last reply (in hundredths of the usual time), and when it
//! did.
//!
//! Rule: a report is used for `REPORT_LIFETIME`; after that, work is assumed to take the usual time again.
//!
//! Reason: such an endpoint shares its host with others whose load changes many times a second. An older report says
//! nothing about the present, and an endpoint that was slow would never be used again.
//!
//! Tests: `lib/tests/test_reported_pace.rs`.

use crate::{
    gateway::dialect::{ReplyLoad, SlowdownReport},
    shared::units::{Millis, Time},
};

/// Time for which a reported slowdown is used.
const REPORT_LIFETIME: Millis = Millis(400);

/// Returns the time of work as a multiple of the usual one, from the last load that an endpoint reported.
pub fn factor(now: Time, last: Option<(Time, ReplyLoad)>) -> f64 {
    let recent = last.filter(|(at, _)| now.since(*at) <= REPORT_LIFETIME.to_duration());
    match recent.map(|(_, load)| load.slowdown) {
        Some(SlowdownReport::Valid(slowdown)) => slowdown.factor(),
        Some(SlowdownReport::None | SlowdownReport::Invalid) | None => 1.0,
    }
}
