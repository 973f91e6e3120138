//! Decides which daemons hold what a fleet remembers of a request.
//!
//! Inputs: the digest of the request, the addresses of the living daemons, and the number of holders. Result: the
//! addresses of the holders, the first one first.
//!
//! Rule: rendezvous hashing. Each daemon has a weight for the digest, and those with the least weights hold the record.
//!
//! Reason: daemons share no state, so each has to find the holders by itself. When a daemon is lost or joins, at most
//! one holder of each request changes, and daemons whose views differ by a few others still have holders in common.

use {std::net::SocketAddr, xxhash_rust::xxh3::xxh3_64};

/// Returns the `count` daemons that hold the record of a request, or all of them if there are no more.
pub fn holders(
    digest: &[u8],
    daemons: impl Iterator<Item = SocketAddr>,
    count: usize,
) -> Vec<SocketAddr> {
    let weight = |daemon: &SocketAddr| {
        let mut bytes = digest.to_vec();
        bytes.extend_from_slice(daemon.to_string().as_bytes());
        xxh3_64(&bytes)
    };
    let mut daemons: Vec<SocketAddr> = daemons.collect();
    daemons.sort_by_cached_key(|daemon| (weight(daemon), *daemon));
    daemons.truncate(count);
    daemons
}
