//! A histogram of times, in bounded memory.

use serde::{Serialize, Serializer, ser::SerializeStruct};

/// Ratio of the upper to the lower bound of a bucket. Quantiles are accurate to 5 %.
const BUCKET_RATIO: f64 = 1.05;

/// Number of buckets. The last one begins at about 17 minutes and includes all longer times.
const BUCKET_COUNT: usize = 285;

/// A histogram of times in milliseconds, with exponential buckets.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Histogram {
    counts: Vec<u64>,
    total: u64,
}

impl Histogram {
    /// Adds a time in milliseconds.
    pub fn add(&mut self, ms: f64) {
        if self.counts.is_empty() {
            self.counts = vec![0; BUCKET_COUNT];
        }
        let bucket = ms.max(1.0).log(BUCKET_RATIO) as usize;
        self.counts[bucket.min(BUCKET_COUNT - 1)] += 1;
        self.total += 1;
    }

    /// Returns the number of times added.
    pub fn total(&self) -> u64 {
        self.total
    }

    /// Returns the quantile `share` (0 to 1) of the times, in milliseconds; `None` if there are no times.
    pub fn quantile(&self, share: f64) -> Option<f64> {
        let wanted = (self.total as f64 * share).ceil().max(1.0) as u64;
        let mut seen = 0;
        for (bucket, count) in self.counts.iter().enumerate() {
            seen += count;
            if seen >= wanted {
                return Some(BUCKET_RATIO.powf(bucket as f64 + 0.5));
            }
        }
        None
    }
}

/// Serialised as the number of times and three quantiles, in whole milliseconds.
impl Serialize for Histogram {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let quantile = |share| self.quantile(share).map(f64::round);
        let mut fields = serializer.serialize_struct("Spread", 4)?;
        fields.serialize_field("total", &self.total)?;
        fields.serialize_field("p10", &quantile(0.1))?;
        fields.serialize_field("p50", &quantile(0.5))?;
        fields.serialize_field("p90", &quantile(0.9))?;
        fields.end()
    }
}
