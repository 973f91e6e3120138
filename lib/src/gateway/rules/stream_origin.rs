//! Decides which endpoints may continue a stream, and which daemons know where it began.
//!
//! Inputs: the origin of the stream (service and software version of the endpoint that sent its first event), that of an
//! endpoint, and the digest of the request that brought the first event, with the addresses of the living daemons.
//!
//! Rule: a stream continues only at an endpoint of its origin. If the origin isn't known, it doesn't continue. The daemon
//! that relays a first event tells [`ORIGIN_HOLDERS`] others before it passes the event on. A daemon at which a caller takes
//! a stream up asks the first [`LOOKUP_TARGETS`] daemons in the same order, in a small fleet all, for at most
//! [`LOOKUP_WAIT`].
//!
//! Reason: what two versions write doesn't fit together, and endpoints don't check it. The first daemon may be gone when
//! its caller returns.
//!
//! See `docs/design/stream-origins.md`.

use {
    crate::{
        gateway::{
            directory::endpoint_entry::{EndpointEntry, SoftwareVersion},
            rules::holders::holders,
        },
        shared::{ids::ServiceId, units::Millis},
    },
    serde::{Deserialize, Serialize},
    std::{fmt, net::SocketAddr},
    xxhash_rust::xxh3::xxh3_64,
};

/// Where a stream began: hash of the service and the software version of the endpoint that sent its first event.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct StreamOrigin(pub u64);

impl StreamOrigin {
    /// Returns the origin of streams that begin at a version of a service.
    pub fn new(service: &ServiceId, version: &SoftwareVersion) -> Self {
        let mut bytes = service.as_str().as_bytes().to_vec();
        // Neither name contains a zero byte, so no two pairs give the same bytes.
        bytes.push(0);
        bytes.extend_from_slice(version.as_str().as_bytes());
        Self(xxh3_64(&bytes))
    }

    /// Returns the origin of streams that begin at an endpoint; `None` if its version isn't known.
    pub fn of(entry: &EndpointEntry) -> Option<Self> {
        let version = entry.version.as_ref()?;
        Some(Self::new(&entry.service, version))
    }
}

/// Writes the hash in hexadecimal.
impl fmt::Display for StreamOrigin {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// Returns whether an endpoint of `origin` may get a request; `wanted` is the origin of the stream that it continues,
/// absent if it continues none.
pub fn may_continue(wanted: Option<StreamOrigin>, origin: Option<StreamOrigin>) -> bool {
    wanted.is_none() || wanted == origin
}

/// Number of other daemons that are told the origin of a stream.
pub const ORIGIN_HOLDERS: usize = 3;

/// Number of daemons that are asked for an origin in a large fleet: more than there are holders, since daemons that were
/// lost or have started a moment ago are not yet known to all.
pub const LOOKUP_TARGETS: usize = 5;

/// Longest time for which a request waits for the origin of its stream. It covers two round trips between regions, and
/// is a small part of the shortest objectives of streams.
pub const LOOKUP_WAIT: Millis = Millis(250);

/// Time after which daemons that haven't answered are asked again.
pub const LOOKUP_REPEAT: Millis = Millis(60);

/// Time for which an origin is remembered: longer than callers wait for a stream and its repetitions.
pub const ORIGIN_LIFETIME: Millis = Millis(60_000);

/// Maximum number of origins that a daemon remembers. They take half a megabyte.
pub const MAX_ORIGINS: usize = 8_192;

/// Returns the daemons that are told the origin of a stream by the daemon `local`.
pub fn origin_holders(
    digest: &[u8],
    daemons: impl Iterator<Item = SocketAddr>,
    local: SocketAddr,
) -> Vec<SocketAddr> {
    let others = daemons.filter(|daemon| *daemon != local);
    holders(digest, others, ORIGIN_HOLDERS)
}

/// Returns the daemons that are asked for the origin of a stream by the daemon `local`.
pub fn lookup_targets(
    digest: &[u8],
    daemons: impl Iterator<Item = SocketAddr>,
    local: SocketAddr,
    is_small_fleet: bool,
) -> Vec<SocketAddr> {
    let others = daemons.filter(|daemon| *daemon != local);
    if is_small_fleet {
        return others.collect();
    }
    holders(digest, others, LOOKUP_TARGETS)
}
