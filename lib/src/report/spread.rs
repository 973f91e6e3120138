//! The spread of times in bounded memory.

use serde::{Serialize, Serializer, ser::SerializeStruct};

/// Ratio of the bounds of a bucket. A quantile is right to 5 in 100.
const RATIO: f64 = 1.05;

/// Buckets: they reach 17 minutes.
const BUCKETS: usize = 285;

/// Times in milliseconds, counted by buckets that grow with the time.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Spread {
    counts: Vec<u64>,
    total: u64,
}

impl Spread {
    /// Counts a time in milliseconds.
    pub fn add(&mut self, ms: f64) {
        if self.counts.is_empty() {
            self.counts = vec![0; BUCKETS];
        }
        let bucket = ms.max(1.0).log(RATIO) as usize;
        self.counts[bucket.min(BUCKETS - 1)] += 1;
        self.total += 1;
    }

    /// Returns the number of times.
    pub fn total(&self) -> u64 {
        self.total
    }

    /// Returns the time below which a share of the times lies, in milliseconds; nothing without times.
    pub fn quantile(&self, share: f64) -> Option<f64> {
        let wanted = (self.total as f64 * share).ceil().max(1.0) as u64;
        let mut seen = 0;
        for (bucket, count) in self.counts.iter().enumerate() {
            seen += count;
            if seen >= wanted {
                return Some(RATIO.powf(bucket as f64 + 0.5));
            }
        }
        None
    }
}

/// Written as its number and three quantiles, in whole milliseconds.
impl Serialize for Spread {
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
