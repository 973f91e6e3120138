//! Decides how many requests this daemon may have in flight at one endpoint.
//!
//! Inputs: the number of connections that one endpoint accepts from all callers together (from the table; `None` if it
//! isn't limited), and the number of daemons alive, including this one.
//!
//! Rule: the daemons share an endpoint's connections evenly, and each has at least one. Each request uses a connection
//! of its own, so the number of connections and the number of requests are the same.
//!
//! Reason: the daemons stay within the endpoint's limit without coordination. A daemon without a connection couldn't
//! serve any request.
//!
//! Tests: `lib/tests/test_connections.rs`.

/// Minimum number of requests that a daemon may have in flight at an endpoint, whatever the number of daemons.
const MIN_SHARE: usize = 1;

/// Returns the number of requests that one daemon may have in flight at an endpoint that accepts `accepted`
/// connections; `u32::MAX` if it has no limit.
pub fn in_flight_limit(accepted: Option<usize>, daemons: usize) -> u32 {
    let accepted = accepted.unwrap_or(usize::MAX);
    let share = (accepted / daemons.max(1)).max(MIN_SHARE);
    u32::try_from(share).unwrap_or(u32::MAX)
}
