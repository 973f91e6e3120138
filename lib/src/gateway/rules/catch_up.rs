//! Decides which daemon is asked for a newer table or a newer list of endpoints, and when.
//!
//! Inputs: versions of tables and revisions of lists as living daemons report them; the version or revision known here;
//! the time (microseconds of this daemon's clock) of the directory's last answer; the longest time for which the
//! directory holds a call for changes; a random fraction.
//!
//! Rule: a newer table is fetched at once, except that a daemon that reads the directory itself waits for
//! [`DIRECTORY_HEAD_START`]. The source is drawn at random among the daemons that report the newest table; after one
//! that was busy or failed, another one is drawn. A newer list is fetched only by a daemon that has no list yet, that
//! leaves reading the directory to others, or that the directory hasn't answered for [`DIRECTORY_TIMEOUT`] longer than
//! it holds a call. Its source is drawn from the newer half of the daemons with a newer list; a daemon that has a list
//! asks only for the changes. The rule [`fetch_turn`] decides when it asks. A daemon that has known of something newer
//! for more than [`BEHIND_LIMIT`] (longer in a large fleet) without receiving any of it reads the directory itself.
//!
//! Reason: tables are rare and may be large, so each daemon that has one passes it on. Lists change all the time, and
//! the directory delivers them first to daemons that read it. As long as chunks of a table arrive, a second copy of it
//! from the directory would only compete for the link.

use {
    crate::{
        gateway::{revision::Revision, rules::fetch_turn, table::Version},
        shared::units::{Millis, Time},
    },
    std::{cmp::Reverse, net::SocketAddr, time::Duration},
};

/// Time beyond the wait of a call for changes after which a silent directory counts as unreachable, so that a peer is
/// asked for the list.
pub const DIRECTORY_TIMEOUT: Millis = Millis(500);

/// Time for which a peer may have something newer while none of it arrives before the directory is read. Three
/// heartbeats.
pub const BEHIND_LIMIT: Millis = Millis(600);

/// Time for which a daemon that reads the directory itself waits for a newer table from there before it asks another
/// daemon. One heartbeat.
pub const DIRECTORY_HEAD_START: Millis = Millis(200);

/// Longest pause after a daemon was busy; a random fraction of it is waited. The batches that a busy daemon still has
/// to send take most of this time.
const BUSY_PAUSE: Millis = Millis(200);

/// A list of endpoints that another daemon reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ListOffer {
    /// Address of the daemon.
    pub address: SocketAddr,
    /// Revision of the daemon's list.
    pub revision: Revision,
}

/// A table that another daemon reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TableOffer {
    /// Address of the daemon.
    pub address: SocketAddr,
    /// Version of the daemon's table.
    pub version: Version,
    /// Fingerprint of the daemon's table.
    pub fingerprint: u64,
    /// Set if the daemon sends its table in chunks.
    pub in_chunks: bool,
}

/// Times since which other daemons are known to have something newer than this one.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct BehindSince {
    /// Time since which a newer table is known of which nothing has arrived; absent if none is.
    pub table: Option<Time>,
    /// Time since which a newer list of endpoints is known of which nothing has arrived; absent if none is.
    pub list: Option<Time>,
}

/// State of this daemon's reads of the directory.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DirectoryReading {
    /// Set if the daemon leaves reading the directory to others.
    pub covered: bool,
    /// Time at which the directory last answered; the start of this daemon if it never did.
    pub answered: Time,
    /// Longest time for which the directory holds a call for changes.
    pub wait: Duration,
}

/// A list of endpoints that is fetched from another daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListFetch {
    /// The whole list.
    Whole,
    /// Only the changes after a revision.
    Changes(Revision),
}

impl ListFetch {
    /// Returns the revision that a list has to exceed to be worth fetching.
    pub fn known(self) -> Revision {
        match self {
            Self::Whole => Revision::default(),
            Self::Changes(known) => known,
        }
    }
}

/// Returns a daemon to ask for a list newer than `known`: one of the newer half of the daemons with such a list, drawn
/// by a random fraction so that a whole fleet doesn't ask the same one.
pub fn list_source(
    offers: impl Iterator<Item = ListOffer>,
    known: Revision,
    fraction: f64,
) -> Option<SocketAddr> {
    let mut offers: Vec<ListOffer> = offers.filter(|offer| offer.revision > known).collect();
    offers.sort_unstable_by_key(|offer| Reverse(offer.revision));
    let newer = &offers[..offers.len().div_ceil(2)];
    Some(draw(newer, fraction)?.address)
}

/// Returns a daemon to ask for the newest table, if that is newer than `known`. It is drawn by a random fraction from
/// the daemons with this table, preferably from those that send it in chunks. `avoid` is asked only if there is no
/// other.
pub fn table_source(
    offers: &[TableOffer],
    known: Version,
    avoid: Option<SocketAddr>,
    fraction: f64,
) -> Option<TableOffer> {
    let newest = offers.iter().map(|offer| offer.version).max()?;
    if newest <= known {
        return None;
    }
    let newest = offers.iter().filter(|offer| offer.version == newest);
    let in_chunks = newest.clone().any(|offer| offer.in_chunks);
    let sources: Vec<TableOffer> = newest
        .filter(|offer| offer.in_chunks == in_chunks)
        .copied()
        .collect();
    let others: Vec<TableOffer> = sources
        .iter()
        .filter(|offer| Some(offer.address) != avoid)
        .copied()
        .collect();
    let candidates = if others.is_empty() { &sources } else { &others };
    draw(candidates, fraction).copied()
}

/// Returns the element at a fraction of a list, from 0 up to 1.
fn draw<T>(list: &[T], fraction: f64) -> Option<&T> {
    let last = list.len().checked_sub(1)?;
    list.get(((list.len() as f64 * fraction) as usize).min(last))
}

/// Returns whether a newer table, known since `since`, is fetched from another daemon now. `reads` is set for a daemon
/// that has a table and reads the directory itself.
pub fn is_fetch_due(now: Time, since: Option<Time>, reads: bool) -> bool {
    since.is_some_and(|since| !reads || now.since(since) >= DIRECTORY_HEAD_START.to_duration())
}

/// Returns the pause after a daemon was busy before another one is asked; `fraction` is random.
pub fn busy_pause(fraction: f64) -> Duration {
    BUSY_PAUSE.to_duration().mul_f64(fraction)
}

/// Returns what this daemon would fetch of a newer list, or `None` while it gets the list from the directory. `known`
/// is the revision of its own list, if it has one.
pub fn list_fetch(
    now: Time,
    known: Option<Revision>,
    reading: DirectoryReading,
) -> Option<ListFetch> {
    let Some(known) = known else {
        return Some(ListFetch::Whole);
    };
    let silence = now.since(reading.answered);
    let reads = !reading.covered && silence < reading.wait + DIRECTORY_TIMEOUT.to_duration();
    (!reads).then_some(ListFetch::Changes(known))
}

/// Returns since when a peer has something newer; `since` is the result of the check before, `newer` is set if a peer
/// has something newer now.
pub fn behind_since(now: Time, since: Option<Time>, newer: bool) -> Option<Time> {
    newer.then_some(since.unwrap_or(now))
}

/// Returns whether a peer has had something newer since `since` for too long, in a fleet of `daemons`.
pub fn is_behind(now: Time, since: Option<Time>, daemons: usize) -> bool {
    let limit = Millis(BEHIND_LIMIT.0 + fetch_turn::spread_time(daemons).0);
    since.is_some_and(|since| now.since(since) > limit.to_duration())
}

impl BehindSince {
    /// Returns whether a peer has had something newer for too long, in a fleet of `daemons`.
    pub fn is_behind(self, now: Time, daemons: usize) -> bool {
        is_behind(now, self.table, daemons) || is_behind(now, self.list, daemons)
    }

    /// Returns the state with each time converted by `to`.
    #[must_use]
    pub fn map_times(self, to: impl Fn(Time) -> Time) -> Self {
        Self {
            table: self.table.map(&to),
            list: self.list.map(&to),
        }
    }

    /// Returns whether a peer is known to have something newer.
    pub fn knows_newer(self) -> bool {
        self.table.is_some() || self.list.is_some()
    }

    /// Returns the state after changes of a list have arrived. Newer ones may exist all the time, so only the time
    /// without any arrival counts.
    #[must_use]
    pub fn after_changes(self, now: Time) -> Self {
        Self {
            list: self.list.map(|_| now),
            ..self
        }
    }

    /// Returns the state after a chunk of a newer table has arrived.
    #[must_use]
    pub fn after_chunk(self, now: Time) -> Self {
        Self {
            table: self.table.map(|_| now),
            ..self
        }
    }
}
