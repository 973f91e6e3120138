//! Decides how many pieces may share a call after an endpoint terminated while it ran them.
//!
//! Inputs: the number of pieces of the call during which the endpoint terminated.
//!
//! Rule: each of them is sent again in calls of at most an eighth as many pieces, and at least one. The pieces of a
//! full call are thus alone at their third send, the last that [`piece_retry`](crate::gateway::rules::piece_retry)
//! allows.
//!
//! Reason: a piece that terminates each endpoint that runs it fails all pieces that share its calls. If they were sent
//! again together, up to 49 others would be lost with it each time, until all have been sent as often as allowed (test
//! `harmful_piece`: of 50 pieces all 50 fail without this rule, 1 with it). With halves instead of eighths, a piece of
//! 50 is alone only after six endpoints have terminated, more sends than it has. Sending each piece alone at once
//! terminates one endpoint less, but needs 50 calls instead of 14.

/// Divisor of the number of pieces of the call.
const GROUP_DIVISOR: usize = 8;

/// Returns the largest number of pieces of a call that contains any piece of a call of `pieces` during which an
/// endpoint terminated.
pub fn max_pieces_after_termination(pieces: usize) -> usize {
    (pieces / GROUP_DIVISOR).max(1)
}
