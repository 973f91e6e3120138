//! Decides how much result capacity an endpoint has, and when the inputs of a call may be released early.
//!
//! Inputs: the result capacity that the table states for an endpoint, the estimated size of the results kept there and
//! the size reserved for calls in flight (bytes), and when the last pieces of a job, or a request, were sent.
//!
//! Rule: `USABLE_FRACTION` of the stated capacity is filled. An endpoint counts as short of capacity for
//! `SHORTAGE_VALIDITY` after a call was kept small for lack of it. The inputs of a job may be released
//! `CALL_FETCH_TIME` after its last piece was sent, since endpoints fetch inputs when they begin a call. This is done
//! only where the endpoints that keep the inputs are short of capacity, because a piece that has to run again then
//! finds its inputs gone, and the stages of its request start over. The inputs of a request itself are released in the
//! same way, `REQUEST_FETCH_TIME` after it was sent to an endpoint with a free slot.
//!
//! Reason: where results are large, capacity limits the calls of a stage. With 11 results to an endpoint and the
//! request's inputs kept until its first event, calls held 6.3 of 8 pieces on average while 35 waited. Sizes of results
//! are only estimates, so an endpoint that is filled completely refuses results. Tests: `result_room`,
//! `early_input_release` and `test_stage_rules`.

use crate::shared::units::{ByteSize, Millis, Time};

/// Fraction of an endpoint's stated result capacity that is filled.
const USABLE_FRACTION: f64 = 0.92;

/// Time for which an endpoint counts as short of capacity after a call was last kept small for lack of it.
const SHORTAGE_VALIDITY: Millis = Millis(1_000);

/// Time within which an endpoint has fetched the inputs of a call.
const CALL_FETCH_TIME: Millis = Millis(100);

/// Time within which the endpoint of a request has fetched its inputs: it does so as soon as it takes the request,
/// before it reads the prompt. Releasing them then instead of at the first event frees capacity where it is short; a
/// shorter time, such as 20 ms, frees no more.
pub const REQUEST_FETCH_TIME: Millis = Millis(50);

/// Returns the capacity that is left of `stated`, where `taken` is kept at the endpoint or reserved.
pub fn free_capacity(stated: ByteSize, taken: ByteSize) -> ByteSize {
    let usable = (stated.0 as f64 * USABLE_FRACTION) as u64;
    ByteSize(usable.saturating_sub(taken.0))
}

/// Returns whether a shortage of capacity at `shortage` still counts.
pub fn is_shortage(now: Time, shortage: Time) -> bool {
    now.since(shortage) < SHORTAGE_VALIDITY.to_duration()
}

/// Returns whether endpoints have fetched the inputs of calls, the last of which was sent at `sent`.
pub fn are_inputs_fetched(now: Time, sent: Time) -> bool {
    now.since(sent) >= CALL_FETCH_TIME.to_duration()
}
