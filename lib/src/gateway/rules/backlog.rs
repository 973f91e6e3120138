//! Decides how many of the outstanding pieces of a stage service are served before a given piece.
//!
//! Inputs: the times by which waiting pieces are ordered (`rules::piece_order`), as spans from now in milliseconds.
//!
//! Rule: pieces are counted in buckets by these spans. The width of a bucket grows with the span, with
//! `BUCKETS_PER_DOUBLING` buckets for each doubling, so that a few buckets separate near objectives and still cover
//! distant ones. A piece waits for those in lower buckets and in its own bucket, since pieces of one route are served
//! in order of arrival.
//!
//! A tight service runs pieces strictly by rank where its capacity is short, and late ones last
//! ([`RankOrder::Strict`]). Its buckets are divided among the ranks (`FIRST_BUCKETS`), and within a rank there is one
//! for each doubling of the span until the objective. The last bucket has the late pieces. Without a shortage, fewer
//! pieces wait than the endpoints take in one call each, so the count makes little difference.
//!
//! Reason: daemons exchange these counts in their heartbeats, so that a request is admitted by the pieces that are
//! served before its own and not by all outstanding ones. Otherwise requests of an urgent route with a short objective
//! are refused because of work that would be served after them.

use {
    crate::{
        gateway::rules::piece_order::{RankOrder, due_time},
        shared::units::{Millis, Time},
    },
    serde::{Deserialize, Serialize},
};

/// Number of buckets, part of the messages between daemons. They cover spans up to 6.2 s; beyond that, all pieces count
/// as equally late.
pub const BUCKETS: usize = 16;

/// Span from which the buckets begin to double, about the duration of the shortest call of a stage.
const FIRST_SPAN: Millis = Millis(200);

/// Number of buckets for each doubling of the span.
const BUCKETS_PER_DOUBLING: f64 = 3.0;

/// First bucket of each rank in strict order. The first ranks have the most pieces that others wait for, so they have
/// more buckets; ranks from 5 on share one.
const FIRST_BUCKETS: [usize; 6] = [0, 4, 8, 11, 13, 14];

/// Bucket of the late pieces in strict order.
const LATE_BUCKET: usize = BUCKETS - 1;

/// Bucket of the spans until pieces are due; pieces in lower buckets go first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct DeadlineBucket(usize);

impl DeadlineBucket {
    /// Returns the bucket of a piece that is due at `due`. An overdue piece is in the first bucket.
    pub fn of(now: Time, due: Time) -> Self {
        let bucket = (doublings(now, due) * BUCKETS_PER_DOUBLING) as usize;
        Self(bucket.min(BUCKETS - 1))
    }

    /// Returns the bucket of the pieces of a job with this objective and rank, in the order of their service. The queue
    /// of the service and the count of pieces ahead agree by this function.
    pub fn of_job(now: Time, order: RankOrder, objective: Time, rank: u32) -> Self {
        match order {
            RankOrder::Stepped => Self::of(now, due_time(now, objective, rank)),
            RankOrder::Strict if now > objective => Self(LATE_BUCKET),
            RankOrder::Strict => {
                let rank = (rank as usize).min(FIRST_BUCKETS.len() - 1);
                let next = FIRST_BUCKETS.get(rank + 1).copied();
                let last = next.unwrap_or(LATE_BUCKET) - 1;
                let bucket = FIRST_BUCKETS[rank] + doublings(now, objective) as usize;
                Self(bucket.min(last))
            }
        }
    }
}

/// Returns how often the span until `due` has doubled, from [`FIRST_SPAN`] on.
fn doublings(now: Time, due: Time) -> f64 {
    (1.0 + due.millis_since(now) / FIRST_SPAN.0 as f64).log2()
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
