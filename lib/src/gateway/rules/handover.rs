//! Decides when an endpoint that has been silent for too long gives way to another one.
//!
//! Inputs: whether another endpoint is connected, and whether it has refused the request. Result: a time.
//!
//! Rule: a silent endpoint is kept, and what it sends is used, until another one is chosen and connected, and the retry
//! budget has paid for the attempt. From then on the other one takes over: the connection to the silent one is closed
//! after `HANDOVER_TIME`, unless the other one has proven by then that it did not run the request. If there is no other
//! endpoint, the silent one is kept until the deadline of the request.
//!
//! Reason: silence doesn't prove that an endpoint will send nothing more. An answer that is cut off for it is lost if
//! nothing can replace it. Two endpoints must not both work on a request for long.

use std::time::Duration;

/// Time for which a silent endpoint is kept after the request was sent to another one. It must be less than the 400 ms
/// after which both would count as working on the request.
pub const HANDOVER_TIME: Duration = Duration::from_millis(200);
