//! When may a caller whose request was refused or failed try again?
//!
//! Input: the earliest time, in milliseconds, in which one of some endpoints of the stage's pool would finish an
//! average call; none if no endpoint may get work. Output: a wait in whole milliseconds.
//!
//! Rule: the caller may try again when an average call would be finished, within [`MIN_WAIT`] and [`MAX_WAIT`]; after
//! [`DEFAULT_WAIT`] if nothing can be estimated.
//!
//! Reason: by then an endpoint has capacity, unless another call takes it. The bounds keep callers from retrying at
//! once, and from waiting too long because of one absurd estimate. Tests: `lib/tests/test_retry_after.rs`.

use crate::shared::units::{Millis, WorkMillis};

/// Shortest wait suggested to a caller.
pub const MIN_WAIT: Millis = Millis(50);

/// Longest wait suggested to a caller.
pub const MAX_WAIT: Millis = Millis(5_000);

/// Wait suggested if no endpoint of the pool may get work, or if the service has no pool.
pub const DEFAULT_WAIT: Millis = Millis(1_000);

/// Endpoints sampled for the earliest finish. Bounds the cost of the estimate.
pub const FINISH_SAMPLE: usize = 8;

/// Returns how long a caller should wait, given the earliest finish of an average call.
pub fn retry_after(earliest: Option<WorkMillis>) -> Millis {
    match earliest {
        Some(finish) => Millis((finish.0 as u64).clamp(MIN_WAIT.0, MAX_WAIT.0)),
        None => DEFAULT_WAIT,
    }
}
