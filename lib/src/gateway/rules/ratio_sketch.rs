//! Decides which ratio a given share of samples doesn't exceed, from samples counted in buckets.
//!
//! Inputs: ratios of true to expected times (no unit), as counts by bucket.
//!
//! Rule: buckets are evenly spaced on a logarithmic scale, `BUCKETS_PER_DOUBLING` for each doubling from
//! `LOWEST_RATIO` to 8. A ratio counts in the nearest bucket, beyond the ends in the first or last one. A quantile takes
//! the samples of a bucket as spread evenly over it, and adds a prior of `PRIOR_WEIGHT` samples at exactly ratio 1. The
//! total weight of samples is at most `MAX_WEIGHT`; further samples displace older ones in proportion.
//!
//! Reason: the sketch has a fixed size, its counts can be added in any order, and a ratio is exact to 7 in 100, less than
//! what estimates differ by from request to request. The bound lets a change of the load show within about a hundred
//! samples.
//!
//! Tests: `lib/tests/test_calibration.rs`.

/// Number of buckets, part of the messages between daemons.
pub const BUCKETS: usize = 26;

/// Ratio at the centre of the first bucket.
const LOWEST_RATIO: f64 = 0.25;

/// Number of buckets for each doubling of the ratio.
const BUCKETS_PER_DOUBLING: f64 = 5.0;

/// Position of ratio 1 on the scale of buckets: two doublings above the first bucket.
const PRIOR_POSITION: f64 = 2.0 * BUCKETS_PER_DOUBLING;

/// Number of samples that the prior counts as: enough that a few samples don't move a quantile.
const PRIOR_WEIGHT: f64 = 20.0;

/// Largest total weight of samples.
const MAX_WEIGHT: f64 = 160.0;

/// Largest number of samples in one report, which bounds the influence of a daemon that reports wrong figures. Larger
/// numbers are reported in proportion.
pub const MAX_REPORTED: u32 = 250;

/// A bucket of ratios.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct RatioBucket(usize);

impl RatioBucket {
    /// Bucket of the slowest requests, and of those that took too long to have a ratio.
    pub const SLOWEST: Self = Self(BUCKETS - 1);

    /// Returns the bucket of a ratio; `None` if it isn't a positive number.
    pub fn of(ratio: f64) -> Option<Self> {
        if !ratio.is_finite() || ratio <= 0.0 {
            return None;
        }
        let position = (ratio / LOWEST_RATIO).log2() * BUCKETS_PER_DOUBLING;
        let last = (BUCKETS - 1) as f64;
        Some(Self(position.round().clamp(0.0, last) as usize))
    }

    /// Returns the bucket with this index; `None` if there is none.
    pub fn at(index: usize) -> Option<Self> {
        (index < BUCKETS).then_some(Self(index))
    }
}

/// Numbers of samples by bucket.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RatioCounts([u32; BUCKETS]);

impl RatioCounts {
    /// Returns the counts with one sample.
    pub fn one(bucket: RatioBucket) -> Self {
        let mut counts = Self::default();
        counts.add(bucket, 1);
        counts
    }

    /// Adds samples to a bucket.
    pub fn add(&mut self, bucket: RatioBucket, samples: u32) {
        let count = &mut self.0[bucket.0];
        *count = count.saturating_add(samples);
    }

    /// Returns the number of samples in all buckets.
    pub fn total(&self) -> u32 {
        self.0.iter().copied().fold(0, u32::saturating_add)
    }

    /// Returns the buckets that have samples, by index, with their numbers.
    pub fn occupied(&self) -> impl Iterator<Item = (usize, u32)> {
        let counts = self.0.into_iter().enumerate();
        counts.filter(|(_, samples)| *samples > 0)
    }

    /// Returns the counts to report: at most [`MAX_REPORTED`] samples, with the same shares of the buckets.
    #[must_use]
    pub fn reported(&self) -> Self {
        let total = u64::from(self.total()).max(u64::from(MAX_REPORTED));
        let share = |samples: u32| u64::from(samples) * u64::from(MAX_REPORTED) / total;
        Self(self.0.map(|samples| share(samples) as u32))
    }
}

/// Weights of samples by bucket.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct RatioSketch([f64; BUCKETS]);

impl RatioSketch {
    /// Adds samples with a weight of 1 each.
    pub fn add(&mut self, counts: &RatioCounts) {
        for (weight, samples) in self.0.iter_mut().zip(counts.0) {
            *weight += f64::from(samples);
        }
        let total = self.weight();
        if total > MAX_WEIGHT {
            self.scale(MAX_WEIGHT / total);
        }
    }

    /// Multiplies all weights by a factor.
    pub fn scale(&mut self, factor: f64) {
        for weight in &mut self.0 {
            *weight *= factor;
        }
    }

    /// Returns the weights, rounded to whole samples.
    pub fn counts(&self) -> RatioCounts {
        RatioCounts(self.0.map(|weight| weight.round() as u32))
    }

    /// Returns the ratio that `share` of the samples and the prior don't exceed.
    pub fn quantile(&self, share: f64) -> f64 {
        let mut remaining = share * (self.weight() + PRIOR_WEIGHT);
        let mut position = 0.0;
        for part in self.parts() {
            position = part.to;
            if part.weight >= remaining && part.weight > 0.0 {
                position = part.from + (part.to - part.from) * remaining / part.weight;
                break;
            }
            remaining -= part.weight;
        }
        LOWEST_RATIO * (position / BUCKETS_PER_DOUBLING).exp2()
    }

    fn weight(&self) -> f64 {
        self.0.iter().sum()
    }

    /// Returns the weights with their places on the scale, in order. The bucket of the prior is split around it.
    fn parts(&self) -> impl Iterator<Item = SketchPart> {
        let centred = |(index, weight): (usize, f64)| {
            let centre = index as f64;
            let part = |from, to, weight| SketchPart { from, to, weight };
            if centre == PRIOR_POSITION {
                [
                    part(centre - 0.5, centre, weight / 2.0),
                    part(centre, centre, PRIOR_WEIGHT),
                    part(centre, centre + 0.5, weight / 2.0),
                ]
            } else {
                let whole = part(centre - 0.5, centre + 0.5, weight);
                let none = part(centre + 0.5, centre + 0.5, 0.0);
                [whole, none, none]
            }
        };
        self.0.into_iter().enumerate().flat_map(centred)
    }
}

/// Weight that is spread evenly over a range of positions.
#[derive(Debug, Clone, Copy)]
struct SketchPart {
    from: f64,
    to: f64,
    weight: f64,
}
