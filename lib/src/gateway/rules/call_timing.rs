//! Decides how long a call of pieces should take, when it is overdue, and for how long its answer is awaited.
//!
//! Inputs: the cost of a call of the service (`CallCost`, milliseconds), the number of its pieces, and the time for
//! which it has run (milliseconds).
//!
//! Rule: a call costs a fixed time and a time for each piece. It is overdue once it has run for `OVERDUE_FACTOR` times
//! its expected time plus `OVERDUE_FIXED_MS`. Its pieces are then also sent to another endpoint, and the first result
//! counts. The answer is awaited for much longer, `ANSWER_FACTOR` times the expected time plus `ANSWER_FIXED`, since a
//! late result still counts if the other endpoint is even later.
//!
//! Reason: a slow or unreachable endpoint would otherwise delay all requests with a piece in its call. The factors are
//! those of `docs/design/stages.md`. Tests: `overdue_call_retried` and `test_stage_rules`.

use {crate::shared::units::WorkMillis, std::time::Duration};

/// Multiple of the expected time in the bound for overdue calls (a factor).
const OVERDUE_FACTOR: f64 = 1.7;

/// Fixed part of the bound for overdue calls (milliseconds).
const OVERDUE_FIXED_MS: f64 = 120.0;

/// Fixed part of the time for which an answer is awaited.
const ANSWER_FIXED: Duration = Duration::from_millis(2_500);

/// Multiple of the expected time for which an answer is awaited (a factor).
const ANSWER_FACTOR: f64 = 6.0;

const MS_PER_SECOND: f64 = 1_000.0;

/// Cost of the calls of one service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct CallCost {
    /// Time of a call without its pieces.
    pub fixed: WorkMillis,
    /// Additional time for each piece.
    pub piece: WorkMillis,
}

impl CallCost {
    /// Returns the time that a call of `pieces` pieces should take. The number may be an average, so it needn't be
    /// whole.
    pub fn expected(&self, pieces: f64) -> WorkMillis {
        WorkMillis(self.fixed.0 + self.piece.0 * pieces)
    }
}

/// Returns whether a call that has run for `elapsed` is overdue.
pub fn is_overdue(elapsed: WorkMillis, expected: WorkMillis) -> bool {
    elapsed.0 >= expected.0 * OVERDUE_FACTOR + OVERDUE_FIXED_MS
}

/// Returns the longest time for which the answer to a call is awaited.
pub fn answer_limit(expected: WorkMillis) -> Duration {
    ANSWER_FIXED + Duration::from_secs_f64(expected.0 * ANSWER_FACTOR / MS_PER_SECOND)
}
