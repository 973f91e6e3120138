//! Decides which daemons get a heartbeat, and which daemons and loads it names.
//!
//! Inputs: the number of other daemons known, their addresses, the coordinators of services, the seeds that aren't
//! alive, whether this daemon coordinates, the loads in flight (requests, prompt tokens), and a generator of random
//! numbers.
//!
//! Rule: in a fleet of at most [`MAX_SMALL_FLEET`] other daemons, each heartbeat goes to everybody. In a larger one, a
//! daemon that coordinates, or did so within its last [`LAST_BROADCASTS`] heartbeats, sends to everybody. Any other
//! daemon sends to the [`WATCHERS`] living daemons that come next in an order by hash, to [`RANDOM_TARGETS`] daemons
//! drawn at random for each heartbeat, to the coordinators, to daemons that asked it for a heartbeat or reported it as
//! suspect, to daemons that it asks itself, and to seeds that aren't alive.
//!
//! Watchers and drawn daemons are in the sender's own region, and "everybody" means all daemons of this region. In
//! other regions, only coordinators get the heartbeats of a coordinator, and with one heartbeat in `REMOTE_EVERY` it
//! reports to its region what they sent. A heartbeat names [`MAX_NAMED`] daemons: suspects first, then living ones that
//! others suspect, then other living ones drawn at random; and the [`MAX_LOADS`] largest loads.
//!
//! Reason: what one daemon sends and receives doesn't grow with the fleet, only coordinators receive everything, and
//! gossip still reaches everybody within seconds. Each daemon is watched by some that should receive all of its
//! heartbeats, so that its silence means something. A heartbeat fits into one datagram that no network splits.
//!
//! Tests: `received_heartbeats`, `heartbeat_size`.
//!
//! The only types from outside of the rules are a load and a daemon as heartbeats carry them, which are plain values.

use {
    crate::{
        gateway::peers::message::{LoadNote, PeerNote},
        shared::units::{Millis, Time},
    },
    rand::{Rng, seq::IndexedRandom},
    std::{cmp::Reverse, net::SocketAddr},
    xxhash_rust::xxh3::xxh3_64,
};

/// Time between two heartbeats.
pub const HEARTBEAT: Millis = Millis(200);

/// Largest number of other daemons at which every heartbeat goes to everybody.
pub const MAX_SMALL_FLEET: usize = 12;

/// Number of daemons that receive each heartbeat of a daemon in a larger fleet, and notice its silence.
pub const WATCHERS: usize = 3;

/// Number of daemons drawn at random for one heartbeat in a larger fleet.
pub const RANDOM_TARGETS: usize = 3;

/// Largest number of daemons that one heartbeat asks for theirs, so that it fits into a datagram.
pub const MAX_ASKED: usize = 8;

/// Largest number of evacuated data centres that a heartbeat names, so that it fits into a datagram.
pub const MAX_EVACUATED: usize = 12;

/// Number of loads that a heartbeat omits for each evacuated data centre that it names. A data centre takes up to 15
/// bytes, a load 10 or more.
const LOADS_PER_EVACUATED: usize = 2;

/// Number of loads that a heartbeat omits if it names regions. The regions of its sender and of the daemons that it
/// names take up to 8 bytes each.
const LOADS_FOR_REGIONS: usize = 9;

/// Number of loads that a heartbeat omits if it names eras of the directory.
const LOADS_FOR_ERAS: usize = 2;

/// Number of loads that a heartbeat omits if it says that its sender's processor is used up.
const LOADS_FOR_EXHAUSTED: usize = 1;

/// Number of heartbeats of a coordinator for each of its reports to its own region about services in other regions.
/// Daemons may decide by reports that are up to a second old.
const REMOTE_EVERY: u64 = 5;

/// Largest number of services of other regions in one datagram.
pub const MAX_REMOTE_NOTES: usize = 12;

/// Number of daemons that a heartbeat asks in the space of one that it names.
const ASKED_PER_NAMED: usize = 2;

/// Largest number of suspects that one heartbeat names, so that other daemons are named too.
pub const MAX_SUSPECTS: usize = 5;

/// Number of heartbeats that go to everybody from the last one as a coordinator on. Two of them report that the daemon
/// stopped coordinating, so that all learn of it even if one is lost.
pub const LAST_BROADCASTS: u32 = 3;

/// Largest number of daemons that one heartbeat names, so that it fits into a datagram (test `heartbeat_size`).
pub const MAX_NAMED: usize = 10;

/// Largest number of loads that one heartbeat carries, so that it fits into a datagram (test `heartbeat_size`).
pub const MAX_LOADS: usize = 24;

/// Largest number of loads in one datagram of a coordinator's digest.
pub const DATAGRAM_LOADS: usize = 80;

/// Largest number of loads of a service in a digest; it names the largest ones, since an engine with little to do is as
/// good as an idle one. With the loads of 3,001 endpoints, each of 299 daemons would receive 38 datagrams with every
/// heartbeat, 0.18 MB a second.
pub const MAX_DIGEST_LOADS: usize = 160;

/// Largest number of daemons in one datagram of a roster.
pub const ROSTER_PEERS: usize = 40;

/// Largest number of daemons in a roster. In a fleet that starts at once, each daemon asks others for rosters, mostly
/// the seeds. With 295 daemons, one seed would send 11,800 datagrams a second without a bound, and sends 1,180 with
/// this one and [`ROSTER_INTERVAL`]. A daemon that has just started asks about ten others in each heartbeat, and knows
/// 295 others after two heartbeats.
pub const MAX_ROSTER: usize = 80;

/// Number of daemons in a roster that are chosen for their capacity.
const ROSTER_STRONGEST: usize = 20;

/// Shortest time between two rosters for the same daemon.
pub const ROSTER_INTERVAL: Millis = Millis(500);

/// Returns whether every heartbeat goes to everybody, by the number of other daemons known.
pub fn is_small_fleet(others: usize) -> bool {
    others <= MAX_SMALL_FLEET
}

/// Returns how many heartbeats, including the next one, go to everybody.
pub fn broadcasts_left(coordinates: bool, left: u32) -> u32 {
    if coordinates {
        LAST_BROADCASTS
    } else {
        left.saturating_sub(1)
    }
}

/// Returns whether a daemon coordinated a service when it built its last heartbeat.
pub fn did_coordinate(broadcasts_left: u32) -> bool {
    broadcasts_left == LAST_BROADCASTS
}

/// Position of a living daemon on the hash ring on which daemons watch their neighbours.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct RingPosition {
    /// Hash of the daemon's address, by which the ring is ordered.
    pub hash: u64,
    /// Address of the daemon.
    pub address: SocketAddr,
}

impl RingPosition {
    /// Returns the position of the daemon with this address.
    pub fn new(address: SocketAddr) -> Self {
        let hash = xxh3_64(address.to_string().as_bytes());
        Self { hash, address }
    }
}

/// Returns the daemons that watch this one: the living ones that follow it on the ring.
pub fn watchers(me: RingPosition, living: &[RingPosition]) -> Vec<SocketAddr> {
    nearest(living, |position| (*position < me, *position))
}

/// Returns the daemons that this one watches: the living ones just before it on the ring.
pub fn watched(me: RingPosition, living: &[RingPosition]) -> Vec<SocketAddr> {
    nearest(living, |position| (*position > me, Reverse(*position)))
}

/// Returns the [`WATCHERS`] daemons with the smallest keys.
fn nearest<K: Ord>(living: &[RingPosition], key: impl Fn(&RingPosition) -> K) -> Vec<SocketAddr> {
    let mut positions: Vec<&RingPosition> = living.iter().collect();
    if positions.len() > WATCHERS {
        positions.select_nth_unstable_by_key(WATCHERS, |position| key(position));
        positions.truncate(WATCHERS);
    }
    positions.iter().map(|position| position.address).collect()
}

/// Draws the daemons that get a heartbeat whatever their role: all `known` ones in the order of their addresses, or
/// `watchers` and some others.
pub fn draw_targets(
    mut known: Vec<SocketAddr>,
    watchers: Vec<SocketAddr>,
    broadcasts_left: u32,
    rng: &mut impl Rng,
) -> Vec<SocketAddr> {
    known.sort_unstable();
    if is_small_fleet(known.len()) || broadcasts_left > 0 {
        return known;
    }
    known.retain(|address| !watchers.contains(address));
    let drawn = known.sample(rng, RANDOM_TARGETS).copied();
    watchers.iter().copied().chain(drawn).collect()
}

/// Adds required receivers of a heartbeat, coordinators and seeds that aren't alive, unless they are among the targets
/// already.
pub fn add_targets(targets: &mut Vec<SocketAddr>, required: impl Iterator<Item = SocketAddr>) {
    for address in required {
        if !targets.contains(&address) {
            targets.push(address);
        }
    }
}

/// Draws the daemons that a roster names: those with the most capacity, since they coordinate, and some of the others.
pub fn draw_roster(mut living: Vec<PeerNote>, rng: &mut impl Rng) -> Vec<PeerNote> {
    living.sort_by_key(|note| Reverse(note.capacity));
    let strongest = living.len().min(ROSTER_STRONGEST);
    let others = living.split_off(strongest);
    living.extend(others.sample(rng, MAX_ROSTER - ROSTER_STRONGEST).cloned());
    living
}

/// Returns whether a daemon that has just started is sent a roster now; `last` is when it was last sent one.
pub fn is_roster_due(now: Time, last: Option<Time>) -> bool {
    last.is_none_or(|last| now.since(last) >= ROSTER_INTERVAL.to_duration())
}

/// Draws the daemons that a heartbeat asks for theirs, from those that are silent.
pub fn draw_asked(silent: &[SocketAddr], rng: &mut impl Rng) -> Vec<SocketAddr> {
    silent.sample(rng, MAX_ASKED).copied().collect()
}

/// Draws the daemons that a heartbeat names: the suspects, then living ones that others suspect (`refuted`), then other
/// living ones. It names fewer if it asks `asked` daemons for heartbeats, so that it still fits into a datagram.
pub fn draw_named<T: Clone>(
    suspects: Vec<T>,
    asked: usize,
    refuted: &[T],
    living: &[T],
    rng: &mut impl Rng,
) -> Vec<T> {
    let mut named = suspects;
    for others in [refuted, living] {
        let space = MAX_NAMED - asked.div_ceil(ASKED_PER_NAMED) - named.len();
        named.extend(others.sample(rng, space).cloned());
    }
    named
}

/// Returns whether a heartbeat names this number of evacuated data centres. It names either all that are known or none,
/// since a report without some of them would end their evacuation. A fleet with more than [`MAX_EVACUATED`] of them
/// learns of them only from the directory.
pub fn reports_evacuations(evacuated: usize) -> bool {
    evacuated <= MAX_EVACUATED
}

/// Returns the loads of a service that a digest names: the largest ones that aren't 0, and the present state of those
/// that the digest before named.
pub fn digest_loads(
    mut loads: Vec<LoadNote>,
    was_named: impl Fn(&LoadNote) -> bool,
) -> Vec<LoadNote> {
    loads.retain(|load| !load.is_zero() || was_named(load));
    loads.sort_unstable_by_key(|load| Reverse((load.prefill, load.running, load.endpoint)));
    let smaller = loads.split_off(loads.len().min(MAX_DIGEST_LOADS));
    loads.extend(smaller.into_iter().filter(was_named));
    loads
}

/// Other content of a heartbeat that leaves less space for loads.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HeartbeatExtras {
    /// Number of evacuated data centres that it names.
    pub evacuated: usize,
    /// Set if it names regions.
    pub regions: bool,
    /// Set if it names eras of the directory.
    pub eras: bool,
    /// Set if it says that its sender's processor is used up.
    pub exhausted: bool,
}

/// Returns the loads that a heartbeat carries: those with the most prompt tokens, and of equal ones those with the most
/// requests. There are fewer if it has other content.
pub fn largest_loads(mut loads: Vec<LoadNote>, extras: HeartbeatExtras) -> Vec<LoadNote> {
    let regions = if extras.regions { LOADS_FOR_REGIONS } else { 0 };
    let eras = if extras.eras { LOADS_FOR_ERAS } else { 0 };
    let exhausted = if extras.exhausted {
        LOADS_FOR_EXHAUSTED
    } else {
        0
    };
    let others = extras.evacuated * LOADS_PER_EVACUATED + regions + eras + exhausted;
    loads.sort_unstable_by_key(|load| Reverse((load.prefill, load.running)));
    loads.truncate(MAX_LOADS.saturating_sub(others));
    loads
}

/// Returns whether the heartbeat with this number is followed by reports on other regions.
pub fn is_remote_due(sequence: u64) -> bool {
    sequence.is_multiple_of(REMOTE_EVERY)
}
