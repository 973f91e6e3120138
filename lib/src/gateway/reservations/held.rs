//! The reservations that this daemon holds for others, and those that were granted lately.

use {
    crate::{
        gateway::{
            request_digest::RequestDigest,
            reservations::note::Verdict,
            rules::reservation::{GRANT_MEMORY, ReservedTime},
        },
        shared::units::{Millis, Time},
    },
    foldhash::HashMap,
    std::net::SocketAddr,
};

/// Maximum number of reservations that a daemon holds or remembers as granted. They take a quarter of a megabyte. In a
/// fleet in which each daemon has made as many as it may, a daemon holds half of this.
const HELD_LIMIT: usize = 2_048;

/// A reservation, as its holder knows it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum HeldReservation {
    /// Waits to be claimed.
    Waiting {
        time: ReservedTime,
        maker: SocketAddr,
    },
    /// Was granted; remembered until this time.
    Spent { until: Time },
}

impl HeldReservation {
    fn is_over(&self, now: Time) -> bool {
        match self {
            Self::Waiting { time, .. } => time.is_expired(now),
            Self::Spent { until } => now >= *until,
        }
    }
}

/// The reservations that this daemon holds, by the digests of their requests.
#[derive(Debug, Default)]
pub struct HeldReservations(HashMap<RequestDigest, HeldReservation>);

impl HeldReservations {
    /// Returns whether nothing is held or remembered.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Holds a reservation, unless another daemon's reservation of the same request is held or too many are. Returns
    /// whether the request was granted lately, so that the maker should end the new one.
    pub fn hold(
        &mut self,
        now: Time,
        digest: RequestDigest,
        time: ReservedTime,
        maker: SocketAddr,
    ) -> bool {
        let known = self.0.get(&digest).filter(|known| !known.is_over(now));
        match known {
            Some(HeldReservation::Spent { .. }) => return true,
            Some(HeldReservation::Waiting { maker: first, .. }) if *first != maker => return false,
            Some(HeldReservation::Waiting { .. }) | None => {}
        }
        if known.is_some() || self.0.len() < HELD_LIMIT {
            let held = HeldReservation::Waiting { time, maker };
            self.0.insert(digest, held);
        }
        false
    }

    /// Answers a claim. A reservation is granted once.
    pub fn claim(&mut self, now: Time, digest: RequestDigest) -> Verdict {
        let known = self.0.get(&digest).filter(|known| !known.is_over(now));
        match known.copied() {
            None => Verdict::Unknown,
            Some(HeldReservation::Spent { .. }) => Verdict::Spent,
            Some(HeldReservation::Waiting { time, .. }) if !time.is_claimable(now) => {
                let left = time.due.since(now).as_millis() as u64;
                Verdict::Early { left: Millis(left) }
            }
            Some(HeldReservation::Waiting { time, maker }) => {
                self.mark_spent(now, digest);
                let waited = Millis(now.since(time.made).as_millis() as u64);
                Verdict::Granted { waited, maker }
            }
        }
    }

    /// Records that a reservation was granted, here or by another holder. A grant that this daemon can't remember for
    /// lack of room isn't an error: the other holder remembers it too.
    pub fn mark_spent(&mut self, now: Time, digest: RequestDigest) {
        if self.0.contains_key(&digest) || self.0.len() < HELD_LIMIT {
            let until = now + GRANT_MEMORY;
            self.0.insert(digest, HeldReservation::Spent { until });
        }
    }

    /// Ends a reservation that waits, and returns its maker; `None` if there is none.
    pub fn end(&mut self, now: Time, digest: RequestDigest) -> Option<SocketAddr> {
        match self.0.get(&digest).copied()? {
            HeldReservation::Spent { .. } => None,
            HeldReservation::Waiting { maker, .. } => {
                self.mark_spent(now, digest);
                Some(maker)
            }
        }
    }

    /// Returns whether a reservation of the request was granted lately.
    pub fn is_spent(&self, now: Time, digest: &RequestDigest) -> bool {
        let known = self.0.get(digest).filter(|known| !known.is_over(now));
        matches!(known, Some(HeldReservation::Spent { .. }))
    }

    /// Removes what has expired.
    pub fn expire(&mut self, now: Time) {
        self.0.retain(|_, held| !held.is_over(now));
    }
}
