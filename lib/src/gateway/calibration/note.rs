//! Entries of messages between daemons about the calibration of a route.
//!
//! Entries are serialized as arrays without field names; `lib/tests/test_message_bytes.rs` checks the bytes.

use {
    crate::gateway::{
        hashes::RouteHash,
        rules::{
            calibration::CorrectionFactor,
            ratio_sketch::{MAX_REPORTED, RatioBucket, RatioCounts},
        },
    },
    serde::{Deserialize, Serialize},
    thiserror::Error,
};

/// Wire units in a factor of 1: factors are sent in thousandths.
const FACTOR_WIRE_SCALE: f64 = 1e3;

/// A daemon's entry about a route, as received. [`CheckedNote`] is the form that can be used.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(into = "NoteFields", from = "NoteFields")]
pub struct CalibrationNote {
    /// The route.
    pub route: RouteHash,
    /// Number of samples in each bucket of ratios that has any, by its index.
    pub counts: Vec<(u8, u16)>,
    /// The sender's factor in thousandths, if the entry has all its evidence, for a daemon that has just started;
    /// `None` if it has the sender's own samples since its last report.
    pub factor_milli: Option<u16>,
}

/// Serialized form of [`CalibrationNote`]: route, counts, factor.
type NoteFields = (RouteHash, Vec<(u8, u16)>, Option<u16>);

impl From<CalibrationNote> for NoteFields {
    fn from(note: CalibrationNote) -> Self {
        (note.route, note.counts, note.factor_milli)
    }
}

impl From<NoteFields> for CalibrationNote {
    fn from((route, counts, factor_milli): NoteFields) -> Self {
        Self {
            route,
            counts,
            factor_milli,
        }
    }
}

impl CalibrationNote {
    /// Creates the entry with a daemon's own samples since its last report.
    pub fn of_samples(route: RouteHash, samples: &RatioCounts) -> Self {
        Self {
            route,
            counts: counts_to_wire(samples),
            factor_milli: None,
        }
    }

    /// Creates the entry with all evidence of a daemon and its factor.
    pub fn of_state(route: RouteHash, evidence: &RatioCounts, factor: CorrectionFactor) -> Self {
        Self {
            route,
            counts: counts_to_wire(evidence),
            factor_milli: Some((factor.0 * FACTOR_WIRE_SCALE).round() as u16),
        }
    }
}

fn counts_to_wire(counts: &RatioCounts) -> Vec<(u8, u16)> {
    // Reported counts are at most `MAX_REPORTED`, and indices less than the number of buckets.
    let reported = counts.reported();
    let occupied = reported.occupied();
    occupied
        .map(|(index, samples)| (index as u8, samples as u16))
        .collect()
}

/// Reports that an entry can't be used.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum NoteError {
    /// A bucket that doesn't exist.
    #[error("there is no bucket {0}")]
    Bucket(u8),
    /// More samples than a daemon reports at once.
    #[error("{0} samples in one report")]
    Samples(u32),
    /// A factor outside of its bounds, in thousandths.
    #[error("a factor of {0} thousandths")]
    Factor(u16),
}

/// A valid entry about a route.
#[derive(Debug, Clone, PartialEq)]
pub struct CheckedNote {
    /// The route.
    pub route: RouteHash,
    /// Samples of the sender, or all its evidence.
    pub counts: RatioCounts,
    /// The sender's factor, if the entry has all its evidence.
    pub factor: Option<CorrectionFactor>,
}

impl TryFrom<&CalibrationNote> for CheckedNote {
    type Error = NoteError;

    fn try_from(note: &CalibrationNote) -> Result<Self, NoteError> {
        let mut counts = RatioCounts::default();
        for (index, samples) in &note.counts {
            let bucket = RatioBucket::at(usize::from(*index)).ok_or(NoteError::Bucket(*index))?;
            counts.add(bucket, u32::from(*samples));
        }
        if counts.total() > MAX_REPORTED {
            return Err(NoteError::Samples(counts.total()));
        }
        let read = |milli| {
            let factor = CorrectionFactor::checked(f64::from(milli) / FACTOR_WIRE_SCALE);
            factor.ok_or(NoteError::Factor(milli))
        };
        Ok(Self {
            route: note.route,
            counts,
            factor: note.factor_milli.map(read).transpose()?,
        })
    }
}
