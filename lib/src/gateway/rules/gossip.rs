//! Which daemons get a heartbeat, and which daemons and loads does it name?
//!
//! Inputs: the number of other daemons known, their addresses, the coordinators of services, the
//! seeds that aren't alive, whether this daemon coordinates, the loads in flight (requests, prompt
//! tokens), and a generator of random numbers.
//!
//! Rule: in a fleet of at most [`SMALL_FLEET`] other daemons each heartbeat goes to everybody. In a
//! larger one a daemon that coordinates, or did so within its last [`LAST_BROADCASTS`] heartbeats,
//! sends to everybody; any other sends to the [`WATCHERS`] living daemons that come next in an order by
//! hash, to [`DRAWN`] daemons drawn anew each time, to the coordinators, to those that asked it for a
//! heartbeat or told it that it is suspect, to those that it asks itself, and to seeds that aren't
//! alive. Watchers and drawn daemons are of its own region, and everybody means all of it; of other regions, those that
//! coordinate there alone get the heartbeats of a coordinator, and with one in `FAR_EVERY` it tells its region what they
//! report. A heartbeat names [`NAMED`] daemons: suspects first, then living ones that others take for suspect, then other
//! living ones, drawn anew each time; and the [`LOADS`] largest loads.
//!
//! Reason: what one daemon sends and receives doesn't grow with the fleet, coordinators alone
//! receive everything, and gossip still reaches everybody within seconds. Each daemon is watched by some
//! that should receive all of its heartbeats, so that its silence means something. A heartbeat fits into
//! one datagram that no network splits.
//!
//! Tests: `received_heartbeats`, `heartbeat_size`.
//!
//! The only types from outside of the rules are a load and a daemon as heartbeats carry them, plain values.

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

/// Largest number of other daemons to which every heartbeat goes.
pub const SMALL_FLEET: usize = 12;

/// Daemons that receive each heartbeat of one of a larger fleet, and notice its silence.
pub const WATCHERS: usize = 3;

/// Daemons drawn for one heartbeat of a larger fleet.
pub const DRAWN: usize = 3;

/// Daemons that one heartbeat asks for theirs, bounded so that it fits into a datagram.
pub const ASKED: usize = 8;

/// Evacuated data centres that a heartbeat names at most, so that it fits into a datagram.
pub const EVACUATED: usize = 12;

/// Loads that a heartbeat leaves out for each evacuated data centre that it names: one takes up to 15 bytes, a
/// load 10 or more.
const LOADS_PER_EVACUATED: usize = 2;

/// Loads that a heartbeat leaves out where it names regions: those of its sender and of the daemons in it take up to 8
/// bytes each.
const LOADS_FOR_REGIONS: usize = 9;

/// Loads that give way to the eras of the directory.
const LOADS_FOR_ERAS: usize = 2;

/// With one heartbeat in so many a coordinator tells its region how its services stand in other ones. What daemons
/// decide by it may be a second old.
const FAR_EVERY: u64 = 5;

/// Services of other regions in one datagram.
pub const FAR_NOTES: usize = 12;

/// Daemons that a heartbeat asks in the room of one that it names.
const ASKED_PER_NAMED: usize = 2;

/// Suspects that one heartbeat names at most, so that other daemons are named too.
pub const SUSPECTS: usize = 5;

/// Heartbeats that go to everybody from the last one as a coordinator on, so that all learn that it stopped even if one
/// of the two that report it is lost.
pub const LAST_BROADCASTS: u32 = 3;

/// Daemons that one heartbeat names, bounded so that it fits into a datagram: test
/// `heartbeat_size`.
pub const NAMED: usize = 10;

/// Loads that one heartbeat carries, bounded so that it fits into a datagram: the same test.
pub const LOADS: usize = 24;

/// Loads in one datagram of a coordinator's digest.
pub const DIGEST_LOADS: usize = 80;

/// Loads of a service that a digest names, the largest: an engine with little to do is as good as one with nothing.
/// With the loads of 3,001 endpoints, each of 299 daemons would receive 38 datagrams with every heartbeat, 0.18 MB a
/// second (worked out).
pub const DIGEST_LARGEST: usize = 160;

/// Daemons in one datagram of a roster.
pub const ROSTER_PEERS: usize = 40;

/// Daemons of a roster at most. A fleet that starts at once asks everybody for rosters, its seeds most: 295 daemons
/// made one of them send 11,800 datagrams a second, and with this bound and [`ROSTER_PAUSE`] 1,180 (worked out). Who
/// has just started asks some ten daemons in each heartbeat, and knows 295 others after two of them.
pub const ROSTER: usize = 80;

/// Daemons of a roster that are chosen for their capacity.
const ROSTER_STRONGEST: usize = 20;

/// Least time between two rosters for the same daemon.
pub const ROSTER_PAUSE: Millis = Millis(500);

/// Returns whether every heartbeat goes to everybody, by the number of other daemons known.
pub fn is_small_fleet(others: usize) -> bool {
    others <= SMALL_FLEET
}

/// Returns how many heartbeats, the next one included, go to everybody.
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

/// A living daemon's place in the order in which daemons watch each other.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct WatchPlace {
    /// Hash of its address.
    pub hash: u64,
    /// Its address.
    pub address: SocketAddr,
}

impl WatchPlace {
    /// Returns the place of a daemon.
    pub fn new(address: SocketAddr) -> Self {
        let hash = xxh3_64(address.to_string().as_bytes());
        Self { hash, address }
    }
}

/// Returns the daemons that watch this one: the next living ones after it.
pub fn watchers(me: WatchPlace, living: &[WatchPlace]) -> Vec<SocketAddr> {
    nearest(living, |place| (*place < me, *place))
}

/// Returns the daemons that this one watches: the living ones just before it.
pub fn watched(me: WatchPlace, living: &[WatchPlace]) -> Vec<SocketAddr> {
    nearest(living, |place| (*place > me, Reverse(*place)))
}

/// Returns the daemons with the smallest keys.
fn nearest<K: Ord>(living: &[WatchPlace], key: impl Fn(&WatchPlace) -> K) -> Vec<SocketAddr> {
    let mut places: Vec<&WatchPlace> = living.iter().collect();
    if places.len() > WATCHERS {
        places.select_nth_unstable_by_key(WATCHERS, |place| key(place));
        places.truncate(WATCHERS);
    }
    places.iter().map(|place| place.address).collect()
}

/// Draws the daemons that get a heartbeat whatever their part: all `known` ones, in the order of
/// their addresses, or `watchers` and some others.
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
    let drawn = known.sample(rng, DRAWN).copied();
    watchers.iter().copied().chain(drawn).collect()
}

/// Adds daemons that have to get a heartbeat, coordinators and seeds that aren't alive, to those
/// that get it anyway.
pub fn add_targets(targets: &mut Vec<SocketAddr>, required: impl Iterator<Item = SocketAddr>) {
    for address in required {
        if !targets.contains(&address) {
            targets.push(address);
        }
    }
}

/// Draws the daemons that a roster names: those with the most capacity, since they coordinate, and some of
/// the others.
pub fn draw_roster(mut living: Vec<PeerNote>, rng: &mut impl Rng) -> Vec<PeerNote> {
    living.sort_by_key(|note| Reverse(note.capacity));
    let strongest = living.len().min(ROSTER_STRONGEST);
    let others = living.split_off(strongest);
    living.extend(others.sample(rng, ROSTER - ROSTER_STRONGEST).cloned());
    living
}

/// Returns whether a daemon that has just started is sent a roster now, by when it got the last one.
pub fn is_roster_due(now: Time, last: Option<Time>) -> bool {
    last.is_none_or(|last| now.since(last) >= ROSTER_PAUSE.to_duration())
}

/// Draws the daemons that a heartbeat asks for theirs, of those that are silent.
pub fn draw_asked(silent: &[SocketAddr], rng: &mut impl Rng) -> Vec<SocketAddr> {
    silent.sample(rng, ASKED).copied().collect()
}

/// Draws the daemons that a heartbeat names beside the suspects: of the living ones that others suspect, and
/// of the other living ones; fewer if it asks `asked` daemons for heartbeats, so that it fits into a datagram
/// all the same.
pub fn draw_named<T: Clone>(
    suspects: Vec<T>,
    asked: usize,
    refuted: &[T],
    living: &[T],
    rng: &mut impl Rng,
) -> Vec<T> {
    let mut named = suspects;
    for others in [refuted, living] {
        let room = NAMED - asked.div_ceil(ASKED_PER_NAMED) - named.len();
        named.extend(others.sample(rng, room).cloned());
    }
    named
}

/// Returns whether a heartbeat names so many evacuated data centres: all that are known, or none, since a
/// report that lacks some would take them back. A fleet with more than [`EVACUATED`] of them learns of them
/// from the directory alone.
pub fn reports_evacuations(evacuated: usize) -> bool {
    evacuated <= EVACUATED
}

/// Returns the loads of a service that a digest names: the largest ones that aren't 0, and what has become
/// of those that the one before named.
pub fn digest_loads(
    mut loads: Vec<LoadNote>,
    was_named: impl Fn(&LoadNote) -> bool,
) -> Vec<LoadNote> {
    loads.retain(|load| !load.is_zero() || was_named(load));
    loads.sort_unstable_by_key(|load| Reverse((load.prefill, load.running, load.endpoint)));
    let smaller = loads.split_off(loads.len().min(DIGEST_LARGEST));
    loads.extend(smaller.into_iter().filter(was_named));
    loads
}

/// What a heartbeat names that leaves less room for loads.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NamedBeside {
    /// Evacuated data centres.
    pub evacuated: usize,
    /// Set if it names regions.
    pub regions: bool,
    /// Set if it names eras of the directory.
    pub eras: bool,
}

/// Returns the loads that a heartbeat carries: those with the most prompt tokens, and of equal
/// ones those with the most requests; fewer beside what else it names.
pub fn largest_loads(mut loads: Vec<LoadNote>, beside: NamedBeside) -> Vec<LoadNote> {
    let regions = if beside.regions { LOADS_FOR_REGIONS } else { 0 };
    let eras = if beside.eras { LOADS_FOR_ERAS } else { 0 };
    let others = beside.evacuated * LOADS_PER_EVACUATED + regions + eras;
    loads.sort_unstable_by_key(|load| Reverse((load.prefill, load.running)));
    loads.truncate(LOADS.saturating_sub(others));
    loads
}

/// Returns whether other regions are told of with the heartbeat of a number.
pub fn is_far_due(sequence: u64) -> bool {
    sequence.is_multiple_of(FAR_EVERY)
}
