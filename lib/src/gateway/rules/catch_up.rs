//! Which daemon is asked for a newer table or a newer list of endpoints, and when?
//!
//! Inputs: versions of tables and revisions of lists as living daemons report them; the version or
//! revision known here; the time (microseconds of this daemon's clock) of the directory's last
//! answer; the longest time that the directory holds a call for changes.
//!
//! Rule: a newer table is fetched from the daemon that reports the newest. A newer list is fetched
//! the same way, but only by a daemon that has no list yet, that leaves reading the directory to
//! others, or that the directory hasn't answered for [`LIST_LAG`] longer than it holds a call; one
//! that has a list asks for its changes alone. A daemon that knows of something newer for more
//! than [`BEHIND`] without getting it reads the directory itself.
//!
//! Reason: tables are rare and whole, so that the fastest way wins; lists change all the time, and
//! the directory has them first for whoever reads it.
//!
//! Measured: calls of the store by few readers in `docs/MEASUREMENTS.md`, section "The second
//! milestone: the grown sites". The single figures are chosen, not measured.

use {
    crate::shared::units::{Millis, Time},
    std::{net::SocketAddr, time::Duration},
};

/// Time beyond the wait of a call for changes after which a silent directory counts as out of
/// reach, so that a peer is asked for the list. Chosen, not measured.
pub const LIST_LAG: Millis = Millis(500);

/// Time for which a peer may be known to have something newer before the directory is read.
/// Chosen, not measured: three heartbeats.
pub const BEHIND: Millis = Millis(600);

/// A table or a list that another daemon reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Offer {
    /// The daemon.
    pub address: SocketAddr,
    /// Version of its table, or revision of its list.
    pub revision: u64,
}

/// How this daemon stands with the directory.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DirectoryReading {
    /// Set while it leaves reading the directory to others.
    pub covered: bool,
    /// Last answer of the directory; the start of this daemon if there was none.
    pub answered: Time,
    /// Longest time that the directory holds a call for changes.
    pub wait: Duration,
}

/// A list of endpoints that is fetched from another daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListFetch {
    /// The whole list.
    Whole,
    /// The changes after a revision.
    Changes(u64),
}

/// Returns the daemon with the newest offer of those newer than `known`.
pub fn newest(offers: impl Iterator<Item = Offer>, known: u64) -> Option<SocketAddr> {
    offers
        .filter(|offer| offer.revision > known)
        .max_by_key(|offer| offer.revision)
        .map(|offer| offer.address)
}

/// Returns what this daemon would fetch of a newer list; nothing while the directory brings it.
/// `known` is the revision of its own list, if it has one.
pub fn list_fetch(now: Time, known: Option<u64>, reading: DirectoryReading) -> Option<ListFetch> {
    let Some(known) = known else {
        return Some(ListFetch::Whole);
    };
    let silence = now.since(reading.answered);
    let reads = !reading.covered && silence < reading.wait + LIST_LAG.to_duration();
    (!reads).then_some(ListFetch::Changes(known))
}

/// Returns since when a peer has something newer, from the same result a moment ago.
pub fn behind_since(now: Time, since: Option<Time>, newer: bool) -> Option<Time> {
    newer.then_some(since.unwrap_or(now))
}

/// Returns whether a peer has had something newer for too long.
pub fn is_behind(now: Time, since: Option<Time>) -> bool {
    since.is_some_and(|since| now.since(since) > BEHIND.to_duration())
}

impl ListFetch {
    /// Returns the revision that a list has to exceed to be worth fetching.
    pub fn known(self) -> u64 {
        match self {
            Self::Whole => 0,
            Self::Changes(known) => known,
        }
    }
}
