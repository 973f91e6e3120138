//! Is a request refused because endpoints ended under it, and who remembers that?
//!
//! Inputs: when endpoints ended while they ran the request (each life of an endpoint once), when the request was last
//! served to a good end, and the daemons that are alive.
//!
//! Rule: an endpoint that ended speaks against the request for [`MEMORY`], unless the request was served after it or
//! less than [`SERVED_GRACE`] before it. A request that [`ENDED_LIMIT`] endpoints speak against is refused, whoever
//! sends it to whichever daemon, until one of them doesn't any more. What daemons see is kept by [`KEEPERS`] living
//! daemons, the same ones for the same request, until the limit is reached; then all daemons are told.
//!
//! Reason: a request that ends each endpoint that runs it takes down whatever else runs there, as often as it is
//! sent: with nothing remembered, 16 repetitions ended 16 of 8 endpoints that come back, and with this rule 3 (test
//! `ends_few_whole`). Many callers that ask for the same thing while endpoints end for other reasons aren't refused:
//! a request that does no harm is served all the time, and one that does harm never.
//!
//! See `docs/design/quarantine.md`.

use {
    crate::shared::units::{Millis, Time},
    std::net::SocketAddr,
    xxhash_rust::xxh3::xxh3_64,
};

/// Endpoints that speak against a request before it is refused (a count). With 2, requests that happened to run
/// beside a harmful one are refused after two such meetings.
pub const ENDED_LIMIT: usize = 3;

/// Time for which an endpoint that ended speaks against a request: at worst, a harmful request that is repeated for
/// good costs three endpoints in this time.
pub const MEMORY: Millis = Millis(600_000);

/// Time after a good end for which endpoints that end don't speak against the request: longer than a request runs, so
/// that whatever ran when endpoints ended together is excused by what was served just before.
pub const SERVED_GRACE: Millis = Millis(10_000);

/// Daemons that keep what was seen of a request (a count): two of them may be lost at once.
pub const KEEPERS: usize = 3;

/// Times that a keeper is told of an endpoint that ended (a count), since datagrams get lost.
pub const TELLINGS: u32 = 3;

/// Returns whether an endpoint that ended at `ended` speaks against a request that was last served at `served`.
pub fn speaks_against(now: Time, ended: Time, served: Option<Time>) -> bool {
    let is_excused = served.is_some_and(|served| ended <= served + SERVED_GRACE);
    !is_excused && now < remembered_until(ended)
}

/// Returns whether a request is refused that so many endpoints speak against.
pub fn is_quarantined(against: usize) -> bool {
    against >= ENDED_LIMIT
}

/// Returns until when an endpoint that ended speaks against a request.
pub fn remembered_until(ended: Time) -> Time {
    ended + MEMORY
}

/// Returns the daemons that keep what is seen of a request, of those in `daemons`; all of them if there are few.
pub fn keepers(digest: &[u8], daemons: impl Iterator<Item = SocketAddr>) -> Vec<SocketAddr> {
    let weight = |daemon: &SocketAddr| {
        let mut bytes = digest.to_vec();
        bytes.extend_from_slice(daemon.to_string().as_bytes());
        xxh3_64(&bytes)
    };
    let mut daemons: Vec<SocketAddr> = daemons.collect();
    daemons.sort_by_cached_key(|daemon| (weight(daemon), *daemon));
    daemons.truncate(KEEPERS);
    daemons
}
