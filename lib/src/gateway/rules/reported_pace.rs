//! How long does work take at an endpoint that says so itself?
//!
//! Inputs: the pace that an endpoint reported with its last reply, in hundredths of the usual time, and when.
//!
//! Rule: what it reported counts for `BELIEVED`, then work takes the usual time again.
//!
//! Reason: such an endpoint shares its host with others, whose load changes many times a second. A report that is
//! older says as little as none, and an endpoint that was slow would never be tried again.
//!
//! Tests: `lib/tests/test_reported_pace.rs`.

use crate::{
    gateway::dialect::{PaceReport, ReplyLoad},
    shared::units::{Millis, Time},
};

/// Time for which a reported pace is believed.
const BELIEVED: Millis = Millis(400);

/// Returns the time that work takes as a multiple of the usual one, by the last load that an endpoint reported.
pub fn factor(now: Time, last: Option<(Time, ReplyLoad)>) -> f64 {
    let recent = last.filter(|(at, _)| now.since(*at) <= BELIEVED.to_duration());
    match recent.map(|(_, load)| load.pace) {
        Some(PaceReport::Named(pace)) => pace.factor(),
        Some(PaceReport::None | PaceReport::Unclear) | None => 1.0,
    }
}
