//! Which daemons get a heartbeat, and which daemons and loads does it name?
//!
//! Inputs: the number of other daemons known, their addresses, the coordinators of services, the
//! seeds that aren't alive, whether this daemon coordinates, the loads in flight (requests, prompt
//! tokens), and a generator of random numbers.
//!
//! Rule: in a fleet of at most [`SMALL_FLEET`] other daemons each heartbeat goes to everybody. In
//! a larger one a daemon that coordinates, or did so within its last [`LAST_BROADCASTS`]
//! heartbeats, sends to everybody; any other sends to [`DRAWN`] daemons drawn anew each time, to
//! the coordinators, and to seeds that aren't alive. A heartbeat names [`NAMED`] living daemons
//! drawn anew each time and the [`LOADS`] largest loads.
//!
//! Reason: what one daemon sends and receives doesn't grow with the fleet, coordinators alone
//! receive everything, and gossip still reaches everybody within seconds. A heartbeat fits into
//! one datagram that no network splits.
//!
//! Measured: heartbeats to all 80 daemons against coordinators in `docs/MEASUREMENTS.md`, section
//! "The second milestone: the grown sites"; tests `received_heartbeats` and
//! `heartbeat_size`.
//!
//! The only type from outside of the rules is the load as heartbeats carry it, a plain value.

use {
    crate::{gateway::peers::message::LoadNote, shared::units::Millis},
    rand::{Rng, seq::IndexedRandom},
    std::{cmp::Reverse, net::SocketAddr},
};

/// Time between two heartbeats. Chosen, not measured against other values.
pub const HEARTBEAT: Millis = Millis(200);

/// Largest number of other daemons to which every heartbeat goes. Chosen, not measured.
pub const SMALL_FLEET: usize = 12;

/// Daemons drawn for one heartbeat of a larger fleet. Chosen, not measured against other values.
pub const DRAWN: usize = 6;

/// Heartbeats that go to everybody from the last one as a coordinator on, so that all learn that
/// it stopped even if one of the two that report it is lost. Chosen, not measured.
pub const LAST_BROADCASTS: u32 = 3;

/// Daemons that one heartbeat names, bounded so that it fits into a datagram: test
/// `heartbeat_size`.
pub const NAMED: usize = 10;

/// Loads that one heartbeat carries, bounded so that it fits into a datagram: the same test.
pub const LOADS: usize = 24;

/// Loads in one datagram of a coordinator's digest. Chosen, not measured.
pub const DIGEST_LOADS: usize = 80;

/// Daemons in one datagram of a roster. Chosen, not measured.
pub const ROSTER_PEERS: usize = 40;

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

/// Draws the daemons that get a heartbeat whatever their part: all `known` ones, in the order of
/// their addresses, or some of them.
pub fn draw_targets(
    mut known: Vec<SocketAddr>,
    broadcasts_left: u32,
    rng: &mut impl Rng,
) -> Vec<SocketAddr> {
    known.sort_unstable();
    if is_small_fleet(known.len()) || broadcasts_left > 0 {
        known
    } else {
        known.sample(rng, DRAWN).copied().collect()
    }
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

/// Draws the living daemons that a heartbeat names.
pub fn draw_named<T: Clone>(living: &[T], rng: &mut impl Rng) -> Vec<T> {
    living.sample(rng, NAMED).cloned().collect()
}

/// Returns the loads that a heartbeat carries: those with the most prompt tokens, and of equal
/// ones those with the most requests.
pub fn largest_loads(mut loads: Vec<LoadNote>) -> Vec<LoadNote> {
    loads.sort_unstable_by_key(|load| Reverse((load.prefill, load.running)));
    loads.truncate(LOADS);
    loads
}
