//! Decides whether a piece may be sent again, and when a whole job is given up.
//!
//! Inputs: how often the piece was sent, whether the endpoint may have run the lost send, the clock and the job's
//! deadline, and the fixed time of a call (milliseconds).
//!
//! Rule: a piece is sent at most `MAX_PIECE_SENDS` times. A send that certainly wasn't run doesn't count. A job with
//! waiting pieces is given up when its deadline comes before even an empty call could end. Each send after the first
//! also needs a unit of the service's retry budget (`rules::retry_budget`); without one, the piece waits until the
//! budget has a unit.
//!
//! Reason: pieces may run any number of times, so only their cost limits retries. A retry waits for the budget instead
//! of failing its job. Tests: `jobs_end_once` and `test_stage_rules`.

use crate::shared::units::{Millis, Time, WorkMillis};

/// Largest number of sends of one piece.
const MAX_PIECE_SENDS: u32 = 3;

/// A send of a piece without a result, by whether the piece may have run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LostSend {
    /// The endpoint certainly didn't run the piece.
    NotRun,
    /// The endpoint failed to run it, or may have run it.
    MaybeRun,
}

/// The decision about a piece whose send was lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PieceRetry {
    /// The piece waits for another call.
    Requeue {
        /// Number of sends that count.
        tries: u32,
    },
    /// The piece was sent as often as allowed; its job fails.
    GiveUp,
}

/// Decides about a piece that was sent `tries` times, the last of which was lost.
pub fn after_loss(tries: u32, loss: LostSend) -> PieceRetry {
    let tries = match loss {
        LostSend::NotRun => tries.saturating_sub(1),
        LostSend::MaybeRun => tries,
    };
    if may_resend(tries) {
        PieceRetry::Requeue { tries }
    } else {
        PieceRetry::GiveUp
    }
}

/// Returns whether a piece that was sent `tries` times may be sent once more.
pub fn may_resend(tries: u32) -> bool {
    tries < MAX_PIECE_SENDS
}

/// Returns whether the next send of a piece that was sent `tries` times is a retry, which needs a unit of the retry
/// budget.
pub fn is_retry(tries: u32) -> bool {
    tries > 0
}

/// Returns whether a call that begins now can't end before `deadline`; `call` is the time of a call without its pieces.
pub fn misses_deadline(now: Time, deadline: Time, call: WorkMillis) -> bool {
    now + Millis(call.0 as u64) > deadline
}
