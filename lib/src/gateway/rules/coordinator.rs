//! Decides which daemon coordinates a service, that is, schedules its calls and sums up its load.
//!
//! Inputs: the service's name, the address and capacity (thousandths of a core) of this daemon and of each other one,
//! what is known of the others' state, the time (microseconds of this daemon's clock), and the daemons that already
//! failed for the job at hand.
//!
//! Rule: rendezvous hashing among the daemons with the most capacity. Each candidate ranks by its capacity first, and
//! then by a hash of service and address; the one with the highest rank coordinates. A daemon is a candidate if it is
//! alive and ready, didn't fail for this job, and wasn't excluded in the last [`FAILURE_EXCLUSION`]. This daemon is a
//! candidate once it is ready and [`SETTLE_TIME`] has passed since its start, or [`YIELD_TIME`] if it knows a living
//! daemon with more capacity. Without any candidate, it coordinates for itself.
//!
//! Reason: all daemons that know the same others agree without a message, a lost coordinator moves only its own
//! services, and the load of coordinating goes to hosts with enough processor capacity.

use {
    crate::shared::{
        ids::ServiceId,
        units::{Capacity, Millis, Time},
    },
    std::net::{IpAddr, SocketAddr},
    xxhash_rust::xxh3::xxh3_64_with_seed,
};

/// Time for which a daemon that failed to accept a job is excluded. Longer than it takes to notice that a coordinator
/// is silent.
pub const FAILURE_EXCLUSION: Millis = Millis(1_500);

/// Time after its start within which a daemon receives heartbeats of the others. Three heartbeats.
pub const SETTLE_TIME: Millis = Millis(600);

/// Time after its start for which a daemon leaves coordinating to one with more capacity that has just started too.
/// Without it, dozens of daemons of a fleet that starts at once would schedule the calls of the same service. Daemons
/// that start together are ready within a second of each other.
pub const YIELD_TIME: Millis = Millis(2_000);

/// Size of an address in the hash: an IP number of either kind, and a port (bytes).
const IP_SIZE: usize = size_of::<u128>();
const ADDRESS_SIZE: usize = IP_SIZE + size_of::<u16>();

/// The daemon that coordinates a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Coordinator {
    /// This daemon.
    Local,
    /// Another daemon.
    Peer(SocketAddr),
}

/// A daemon that may coordinate.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DaemonCandidate {
    /// Address at which other daemons reach it.
    pub address: SocketAddr,
    /// Processor capacity that it may use.
    pub capacity: Capacity,
}

/// State of another daemon that might coordinate.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PeerState {
    /// Address and capacity of the daemon.
    pub candidate: DaemonCandidate,
    /// Set if the daemon is alive.
    pub alive: bool,
    /// Set if the daemon reports that it serves requests.
    pub ready: bool,
    /// End of the time for which the daemon is excluded.
    pub excluded_until: Time,
}

/// Rank of a candidate for one service; the highest coordinates.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
    capacity: Capacity,
    hash: u64,
}

/// Returns the coordinator of a service. `ready` is set if this daemon, `me`, may coordinate; daemons in `failed`
/// already failed for the job at hand.
pub fn coordinator(
    now: Time,
    service: &ServiceId,
    me: DaemonCandidate,
    ready: bool,
    peers: impl Iterator<Item = PeerState>,
    failed: &[SocketAddr],
) -> Coordinator {
    let seed = xxh3_64_with_seed(service.as_str().as_bytes(), 0);
    let best = peers
        .filter(|peer| peer.is_eligible(now) && !failed.contains(&peer.candidate.address))
        .map(|peer| (rank(seed, peer.candidate), peer.candidate.address))
        .max();
    match best {
        Some((best, address)) if !ready || best > rank(seed, me) => Coordinator::Peer(address),
        _ => Coordinator::Local,
    }
}

/// Returns whether a daemon has run long enough to know the others; times count from its start.
pub fn is_settled(now: Time) -> bool {
    now >= Time::default() + SETTLE_TIME
}

/// Returns whether a daemon has run long enough to coordinate; times count from its start. `stronger` is set if it
/// knows a living daemon with more capacity that isn't stopping.
pub fn may_coordinate(now: Time, stronger: bool) -> bool {
    let wait = if stronger { YIELD_TIME } else { SETTLE_TIME };
    now >= Time::default() + wait
}

/// Returns whether a daemon that has coordinated since `since` reads the directory as the coordinator of a service.
/// `others` are the living daemons that aren't stopping, ready or not: daemons that start together become ready one
/// after the other, and each would otherwise read for a moment until the proper coordinator is ready.
pub fn reads_directory(
    now: Time,
    since: Time,
    service: &ServiceId,
    me: DaemonCandidate,
    others: impl Iterator<Item = DaemonCandidate>,
) -> bool {
    let ready = others.map(|candidate| PeerState {
        candidate,
        alive: true,
        ready: true,
        excluded_until: Time::default(),
    });
    let has_waited = now >= since + YIELD_TIME;
    has_waited || coordinator(now, service, me, true, ready, &[]) == Coordinator::Local
}

/// Returns until when a daemon that failed to accept a job at `now` is excluded.
pub fn excluded_until(now: Time) -> Time {
    now + FAILURE_EXCLUSION
}

impl PeerState {
    fn is_eligible(&self, now: Time) -> bool {
        self.alive && self.ready && self.excluded_until <= now
    }
}

fn rank(service_seed: u64, candidate: DaemonCandidate) -> Rank {
    let ip = match candidate.address.ip() {
        IpAddr::V4(ip) => u128::from(ip.to_bits()),
        IpAddr::V6(ip) => ip.to_bits(),
    };
    let mut bytes = [0; ADDRESS_SIZE];
    bytes[..IP_SIZE].copy_from_slice(&ip.to_be_bytes());
    bytes[IP_SIZE..].copy_from_slice(&candidate.address.port().to_be_bytes());
    Rank {
        capacity: candidate.capacity,
        hash: xxh3_64_with_seed(&bytes, service_seed),
    }
}
