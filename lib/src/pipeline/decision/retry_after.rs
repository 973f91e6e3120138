//! When may a caller come back that was refused, or whose request failed?
//!
//! Input: the earliest finish, in milliseconds, of a usual call over some endpoints of the pool
//! that was short; none if no endpoint may get work. Output: a wait in whole milliseconds.
//!
//! The rule: the caller may come back when a usual call would be finished, within [`SHORTEST`] and
//! [`LONGEST`]; after [`UNKNOWN`] if nothing can be estimated.
//!
//! The reason: by then an endpoint has room, if nobody else takes it; the bounds keep callers from coming back at
//! once, and from staying away because of one absurd estimate. Tests: `lib/tests/test_retry_after.rs`.

use crate::shared::units::{Millis, WorkMillis};

/// Shortest wait.
pub const SHORTEST: Millis = Millis(50);

/// Longest wait.
pub const LONGEST: Millis = Millis(5_000);

/// Wait for a pool without an endpoint that may get work, or without any.
pub const UNKNOWN: Millis = Millis(1_000);

/// Endpoints looked at for the earliest finish. A bound on the cost.
pub const SAMPLE: usize = 8;

/// Returns how long a caller should wait, by the earliest finish of a usual call.
pub fn retry_after(earliest: Option<WorkMillis>) -> Millis {
    match earliest {
        Some(finish) => Millis((finish.0 as u64).clamp(SHORTEST.0, LONGEST.0)),
        None => UNKNOWN,
    }
}
