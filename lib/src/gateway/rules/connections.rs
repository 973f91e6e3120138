//! How many requests may this daemon have in flight at one endpoint?
//!
//! Inputs: the connections that one endpoint accepts from all callers together (a count, from the
//! table; nothing where the table doesn't say) and the number of daemons alive, this one included.
//!
//! Rule: the daemons share an endpoint's connections evenly, and each has at least one. A request
//! takes a connection of its own, so that connections and requests are the same count.
//!
//! Reason: daemons needn't agree on anything to stay within the endpoint's limit, and a daemon that
//! had none could serve nobody.
//!
//! There is no constant to measure; tests: `lib/tests/test_connections.rs`.

/// Fewest requests that a daemon may have in flight at an endpoint, however many daemons there are.
const LEAST_SHARE: usize = 1;

/// Returns the requests that one daemon may have in flight at an endpoint that accepts `accepted`
/// connections; without a limit, as many as a count holds.
pub fn in_flight_limit(accepted: Option<usize>, daemons: usize) -> u32 {
    let accepted = accepted.unwrap_or(usize::MAX);
    let share = (accepted / daemons.max(1)).max(LEAST_SHARE);
    u32::try_from(share).unwrap_or(u32::MAX)
}
