//! Decides how many of the outstanding pieces of a stage service are served before a given piece.
//!
//! Inputs: the times by which waiting pieces are ordered (`rules::piece_order`), as spans from now in milliseconds.
//!
//! Rule: pieces are counted in buckets by these spans. The width of a bucket grows with the span, with
//! `BUCKETS_PER_DOUBLING` buckets for each doubling, so that a few buckets separate near objectives and still cover
//! distant ones. A piece waits for those in lower buckets and in its own bucket, since pieces of one route are served
//! in order of arrival.
//!
//! Reason: daemons exchange these counts in their heartbeats, so that a request is admitted by the pieces that are
//! served before its own and not by all outstanding ones. Otherwise requests of an urgent route with a short objective
//! are refused because of work that would be served after them.

use {
    crate::shared::units::{Millis, Time},
    serde::{Deserialize, Serialize},
};

/// Number of buckets, part of the messages between daemons. They cover spans up to 6.2 s; beyond that, all pieces count
/// as equally late.
pub const BUCKETS: usize = 16;

/// Span from which the buckets begin to double, about the duration of the shortest call of a stage.
const FIRST_SPAN: Millis = Millis(200);

/// Number of buckets for each doubling of the span.
const BUCKETS_PER_DOUBLING: f64 = 3.0;

/// Bucket of the spans until pieces are due; pieces in lower buckets go first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct DeadlineBucket(usize);

impl DeadlineBucket {
    /// Returns the bucket of a piece that is due at `due`. An overdue piece is in the first bucket.
    pub fn of(now: Time, due: Time) -> Self {
        let span = due.millis_since(now);
        let doublings = (1.0 + span / FIRST_SPAN.0 as f64).log2();
        let bucket = (doublings * BUCKETS_PER_DOUBLING) as usize;
        Self(bucket.min(BUCKETS - 1))
    }
}

/// Number of pieces in each bucket.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Backlog([u32; BUCKETS]);

impl Backlog {
    /// Adds pieces to a bucket.
    pub fn add(&mut self, bucket: DeadlineBucket, pieces: u32) {
        let count = &mut self.0[bucket.0];
        *count = count.saturating_add(pieces);
    }

    /// Counts pieces with unknown due times in the first bucket, as if they were served first.
    pub fn unordered(pieces: u32) -> Self {
        let mut backlog = Self::default();
        backlog.add(DeadlineBucket(0), pieces);
        backlog
    }

    /// Returns the number of pieces that are served before one in `bucket`.
    pub fn ahead(&self, bucket: DeadlineBucket) -> u32 {
        let ahead = self.0[..=bucket.0].iter();
        ahead.copied().fold(0, u32::saturating_add)
    }

    /// Returns the number of pieces in all buckets.
    pub fn total(&self) -> u32 {
        self.ahead(DeadlineBucket(BUCKETS - 1))
    }

    /// Returns the sum of both counts, by bucket.
    #[must_use]
    pub fn plus(&self, other: &Self) -> Self {
        let mut sum = *self;
        for (count, more) in sum.0.iter_mut().zip(other.0) {
            *count = count.saturating_add(more);
        }
        sum
    }

    /// Returns these counts less those of `part`, by bucket.
    #[must_use]
    pub fn minus(&self, part: &Self) -> Self {
        let mut rest = *self;
        for (count, less) in rest.0.iter_mut().zip(part.0) {
            *count = count.saturating_sub(less);
        }
        rest
    }
}
