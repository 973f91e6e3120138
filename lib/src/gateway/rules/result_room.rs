//! How much room for results does an endpoint have, and when may a call's inputs be released early?
//!
//! Inputs: the room that the table states for an endpoint, what is believed to be kept there and
//! what is reserved for calls in flight (bytes), and when the last pieces of a job, or a request, were
//! sent.
//!
//! `ROOM_USED` of the stated room is filled. An endpoint is short of room for `SHORTAGE` after a
//! call was kept small for lack of it. The inputs of a job may be released `FETCH` after its last
//! piece was sent, since endpoints fetch inputs when they begin a call; this is done only where the
//! endpoints that keep them are short of room, because a piece that has to run again then finds its
//! inputs gone, and the stages of its request start over. The inputs of a request itself are released
//! in the same way, `REQUEST_FETCH` after it was sent to an endpoint that has a free slot.
//!
//! Where results are large, room bounds the calls of a stage: with 11 results to an endpoint and the
//! request's inputs kept until its first event, calls held 6.3 of 8 pieces while 35 waited.
//!
//! Sizes of results are known only about, so that an endpoint that is filled to the brim refuses results.
//! `result_room`, `early_input_release` and `test_stage_rules` pin the rule.

use crate::shared::units::{ByteSize, Millis, Time};

/// Part of an endpoint's room that is filled (a share; "count surplus results, fill room to 92 in
/// 100": 0.079 -> 0.112).
const ROOM_USED: f64 = 0.92;

/// Time for which a lack of room counts after it was last met.
const SHORTAGE: Millis = Millis(1_000);

/// Time within which an endpoint has fetched the inputs of a call ("give inputs up 100 ms after the
/// call that takes them": 0.317 -> 0.594).
const FETCH: Millis = Millis(100);

/// Time within which the endpoint of a request has fetched its inputs: it does so before it reads the
/// prompt, as soon as it takes the request. Giving its inputs up then instead of at its first event
/// raised the mean worth of days with trouble from 0.576 to 0.605 where room is short (two and three scores
/// of five days); 20 ms in place of 50 changed nothing.
pub const REQUEST_FETCH: Millis = Millis(50);

/// Returns the room that is left where `stated` is all that an endpoint has, and `taken` is kept
/// there or reserved.
pub fn free_room(stated: ByteSize, taken: ByteSize) -> ByteSize {
    let usable = (stated.0 as f64 * ROOM_USED) as u64;
    ByteSize(usable.saturating_sub(taken.0))
}

/// Returns whether a lack of room that was met at `met` still counts.
pub fn is_shortage(now: Time, met: Time) -> bool {
    now.since(met) < SHORTAGE.to_duration()
}

/// Returns whether endpoints have fetched the inputs of calls, the last of which was sent at `sent`.
pub fn are_inputs_fetched(now: Time, sent: Time) -> bool {
    now.since(sent) >= FETCH.to_duration()
}
