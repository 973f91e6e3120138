//! May a piece be sent again, and when is a whole job given up?
//!
//! Inputs: how often the piece was sent, what is known of the send that was lost, the clock and the
//! job's deadline, and the fixed time of a call (milliseconds).
//!
//! A piece is sent `PIECE_TRIES` times at most. A send that certainly wasn't run doesn't count. A
//! job whose deadline comes before even an empty call could end is hopeless as long as any of its
//! pieces waits. Each send after the first one also needs a unit of the service's budget
//! (`rules::retry_budget`); without it the piece waits until the budget has one.
//!
//! Pieces may run any number of times, so that only cost bounds their retries: a retry waits for the budget instead
//! of failing its job. `jobs_end_once` and `test_stage_rules` pin the rule.

use crate::shared::units::{Millis, Time, WorkMillis};

/// Sends of one piece (a count).
const PIECE_TRIES: u32 = 3;

/// A send of a piece that brought no result, by what is known of it.
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
    /// It waits for the next call; `tries` of its sends count.
    Requeue {
        /// Sends that count.
        tries: u32,
    },
    /// It was sent as often as it may be; its job fails.
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
    tries < PIECE_TRIES
}

/// Returns whether the next send of a piece that was sent `tries` times is a retry, which needs a
/// unit of the budget.
pub fn is_retry(tries: u32) -> bool {
    tries > 0
}

/// Returns whether no call that begins now could end before `deadline`; `call` is the time of a
/// call apart from its pieces.
pub fn is_hopeless(now: Time, deadline: Time, call: WorkMillis) -> bool {
    now + Millis(call.0 as u64) > deadline
}
