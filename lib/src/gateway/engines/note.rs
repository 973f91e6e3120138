//! Entries of messages between daemons about the first events that they observed at engines.
//!
//! Entries are serialized as arrays without field names, and sums as whole numbers; `lib/tests/test_message_bytes.rs`
//! checks the bytes. Weights are as of the moment of sending, since daemons have no common clock.

use {
    crate::gateway::{
        hashes::{IncarnationHash, ServiceHash},
        rules::{engine_model::FigureSums, engine_speed::SpeedSums},
    },
    serde::{Deserialize, Serialize},
    thiserror::Error,
};

/// Wire units in one unit of the sums: weights and squares are sent in hundredths, products in tenths of a millisecond,
/// logarithms in thousandths.
const SQUARE_SCALE: f64 = 1e2;
const PRODUCT_SCALE: f64 = 1e1;
const LOG_SCALE: f64 = 1e3;

/// Number of the squares and of the products among the sums of a service, which follow the number of samples.
const SQUARES: usize = 6;
const PRODUCTS: usize = 3;

/// Number of values in the entry of a service.
const SUMS: usize = 1 + SQUARES + PRODUCTS;

/// Reports values that can't be sums of samples.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("sums that no samples can have")]
pub struct ImpossibleSums;

/// A daemon's own samples of the engines of one service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(into = "EngineFields", from = "EngineFields")]
pub struct EngineNote {
    /// Service of the engines.
    pub service: ServiceHash,
    /// Number of samples, squares and products of [`FigureSums`].
    pub sums: [u32; SUMS],
    /// Samples of some of the endpoints.
    pub speeds: Vec<SpeedNote>,
}

/// Serialized form of [`EngineNote`]: service, sums, endpoints.
type EngineFields = (ServiceHash, [u32; SUMS], Vec<SpeedNote>);

impl From<EngineNote> for EngineFields {
    fn from(note: EngineNote) -> Self {
        (note.service, note.sums, note.speeds)
    }
}

impl From<EngineFields> for EngineNote {
    fn from((service, sums, speeds): EngineFields) -> Self {
        Self {
            service,
            sums,
            speeds,
        }
    }
}

impl EngineNote {
    /// Creates an entry.
    pub fn new(service: ServiceHash, sums: &FigureSums, speeds: Vec<SpeedNote>) -> Self {
        let mut wire = [0; SUMS];
        let squares = [sums.samples].into_iter().chain(sums.squares);
        let scaled = squares.map(|sum| sum * SQUARE_SCALE);
        let scaled = scaled.chain(sums.products.map(|sum| sum * PRODUCT_SCALE));
        for (field, sum) in wire.iter_mut().zip(scaled) {
            // A conversion from a float saturates.
            *field = sum.round() as u32;
        }
        Self {
            service,
            sums: wire,
            speeds,
        }
    }

    /// Returns the sums of the samples of the service.
    ///
    /// # Errors
    ///
    /// Returns an error if no samples can have these sums.
    pub fn figure_sums(&self) -> Result<FigureSums, ImpossibleSums> {
        let sum = |index: usize, scale: f64| f64::from(self.sums[index]) / scale;
        let mut sums = FigureSums {
            samples: sum(0, SQUARE_SCALE),
            ..FigureSums::default()
        };
        for (i, square) in sums.squares.iter_mut().enumerate() {
            *square = sum(1 + i, SQUARE_SCALE);
        }
        for (i, product) in sums.products.iter_mut().enumerate() {
            *product = sum(1 + SQUARES + i, PRODUCT_SCALE);
        }
        sums.are_possible().then_some(sums).ok_or(ImpossibleSums)
    }
}

/// A daemon's own samples of one endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(
    into = "(IncarnationHash, u16, i32)",
    from = "(IncarnationHash, u16, i32)"
)]
pub struct SpeedNote {
    /// Incarnation of the endpoint.
    pub endpoint: IncarnationHash,
    /// Weight of the samples, in hundredths of a sample.
    pub weight: u16,
    /// Sum of the logarithms of observed over expected times, in thousandths.
    pub logs: i32,
}

impl From<SpeedNote> for (IncarnationHash, u16, i32) {
    fn from(note: SpeedNote) -> Self {
        (note.endpoint, note.weight, note.logs)
    }
}

impl From<(IncarnationHash, u16, i32)> for SpeedNote {
    fn from((endpoint, weight, logs): (IncarnationHash, u16, i32)) -> Self {
        Self {
            endpoint,
            weight,
            logs,
        }
    }
}

impl SpeedNote {
    /// Creates an entry.
    pub fn new(endpoint: IncarnationHash, sums: SpeedSums) -> Self {
        Self {
            endpoint,
            weight: (sums.weight * SQUARE_SCALE).round() as u16,
            logs: (sums.logs * LOG_SCALE).round() as i32,
        }
    }

    /// Returns the sums of the samples.
    ///
    /// # Errors
    ///
    /// Returns an error if no samples can have these sums.
    pub fn speed_sums(&self) -> Result<SpeedSums, ImpossibleSums> {
        let sums = SpeedSums {
            weight: f64::from(self.weight) / SQUARE_SCALE,
            logs: f64::from(self.logs) / LOG_SCALE,
        };
        sums.are_possible().then_some(sums).ok_or(ImpossibleSums)
    }
}
