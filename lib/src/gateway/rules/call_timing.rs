//! How long should a call of pieces take, when is it overdue, and when is its answer given up?
//!
//! Inputs: the cost of a call of the service (`CallCost`, milliseconds), the number of its pieces,
//! and the time for which it has run (milliseconds).
//!
//! A call costs a fixed time and a little for each piece. It is overdue once it has run for
//! `OVERDUE_FACTOR` times its expected time and `OVERDUE_MS`: its pieces are then sent to another
//! endpoint as well, and the first result counts. The answer itself is awaited for much longer, for
//! `CALL_FACTOR` times the expected time and `CALL_LIMIT`, since a late result still counts if the
//! other endpoint is later.
//!
//! An endpoint that is slow or cut off would otherwise hold all requests with a piece in its call. The factors are
//! those of `docs/design/stages.md`. `overdue_call_retried` and `test_stage_rules` pin them.

use {crate::shared::units::WorkMillis, std::time::Duration};

/// Part of the bound that grows with the expected time (a factor).
const OVERDUE_FACTOR: f64 = 1.7;

/// Part of the bound that doesn't (milliseconds).
const OVERDUE_MS: f64 = 120.0;

/// Time for which an answer is awaited beside a multiple of the expected time.
const CALL_LIMIT: Duration = Duration::from_millis(2_500);

/// The multiple of the expected time (a factor).
const CALL_FACTOR: f64 = 6.0;

const MS_PER_SECOND: f64 = 1_000.0;

/// Cost of the calls of one service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct CallCost {
    /// Time of a call apart from its pieces.
    pub fixed: WorkMillis,
    /// Time of one piece.
    pub piece: WorkMillis,
}

impl CallCost {
    /// Returns the time that a call of so many pieces should take; averages are no whole number.
    pub fn expected(&self, pieces: f64) -> WorkMillis {
        WorkMillis(self.fixed.0 + self.piece.0 * pieces)
    }
}

/// Returns whether a call that has run for `elapsed` is overdue.
pub fn is_overdue(elapsed: WorkMillis, expected: WorkMillis) -> bool {
    elapsed.0 >= expected.0 * OVERDUE_FACTOR + OVERDUE_MS
}

/// Returns the longest time for which the answer to a call is awaited.
pub fn answer_limit(expected: WorkMillis) -> Duration {
    CALL_LIMIT + Duration::from_secs_f64(expected.0 * CALL_FACTOR / MS_PER_SECOND)
}
