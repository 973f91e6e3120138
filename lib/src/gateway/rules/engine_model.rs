//! Estimates the time to the first event at an engine of a tight service, from the times that were observed.
//!
//! Inputs: of each first event the prompt tokens to be read at the engine and its generations in flight when the
//! request was sent, the slowdown that the engine reported (a multiple of the usual time), and the time from sending
//! the request (milliseconds). Sums of such samples from other daemons.
//!
//! Rule: the time is a fixed time, a time for each token and a time for each generation, multiplied by the factor of
//! the endpoint ([`engine_speed`](crate::gateway::rules::engine_speed)) and by the reported slowdown. The three figures
//! are those with the least squared error over the samples and a prior, within bounds. An observed time counts as at
//! most `CLIP_FRACTION` of the expected time away from it; a sample far from the others in load counts less; the weight
//! of a sample halves every [`HALF_LIFE`].
//!
//! Reason: engines differ from each other and from the rate that the older rules assume. What an engine has to read may
//! differ from the estimate in both directions, since its cache holds more or less than expected, so a single
//! observation is weak evidence. Sums can be added, so the samples of many daemons give one fit.
//!
//! Tests: `lib/tests/test_engine_model.rs`.

use {
    crate::{
        gateway::rules::prefill_rate::TOKENS_PER_MS,
        shared::units::{Millis, WorkMillis},
    },
    std::ops::RangeInclusive,
    thiserror::Error,
};

/// Time after which a sample has half of its weight. A tenth is left after ten seconds, so that an engine that recovers
/// is used again.
pub const HALF_LIFE: Millis = Millis(3_000);

/// Fixed time before the first sample, in milliseconds: the overhead that admission assumes elsewhere.
const PRIOR_FIXED_MS: f64 = 80.0;

/// Time for each generation in flight before the first sample, in milliseconds, as `endpoint_choice` assumes it.
const PRIOR_GENERATION_MS: f64 = 1.0;

/// Weight of the prior, in samples. A few samples don't outweigh it, those of a second do.
const PRIOR_WEIGHT: f64 = 4.0;

/// Largest weight of one daemon's samples of a service, so that a faulty daemon can't outweigh all others.
pub const MAX_WEIGHT: f64 = 64.0;

/// Bounds on the reading rate, in tokens per millisecond: a tenth of the assumed rate, and more than any engine reads.
const MIN_TOKENS_PER_MS: f64 = 5.0;
const MAX_TOKENS_PER_MS: f64 = 2_000.0;

/// Upper bound on the fixed time, in milliseconds: the longest objective of a tight route.
const MAX_FIXED_MS: f64 = 1_000.0;

/// Bounds on the time for each generation in flight, in milliseconds. With a lower bound of 0, all daemons would fill
/// one of several equal idle engines before the next.
const MIN_GENERATION_MS: f64 = 0.25;
const MAX_GENERATION_MS: f64 = 50.0;

/// Largest difference of an observed time from the expected one that counts, as a fraction of the expected time.
const CLIP_FRACTION: f64 = 0.3;

/// Smallest bound on that difference, in milliseconds: the variation of the network and of a step of the engine.
const MIN_CLIP_MS: f64 = 30.0;

/// Number of tokens and of generations that are one unit of the fit, so that usual loads are about 1.
const TOKENS_UNIT: f64 = 2_000.0;
const GENERATIONS_UNIT: f64 = 10.0;

/// Largest influence of a sample on the fit, as the squared length of its load in units of the fit. A single prompt of
/// 100,000 tokens would otherwise outweigh 2,500 usual ones.
const MAX_LEVERAGE: f64 = 4.0;

/// Rounds of the fit. Each solves for one figure after the other; from the last solution, a few are enough.
const FIT_ROUNDS: u32 = 30;

/// Largest values of a sample that count as valid: tokens, milliseconds, and the slowdown that engines can report.
const MAX_TOKENS: f64 = 1e7;
const MAX_WAIT_MS: f64 = 6e5;
const SLOWDOWNS: RangeInclusive<f64> = 0.01..=100.0;

/// Returns the weight that is left of a sample after a time.
pub fn decay(age_ms: f64) -> f64 {
    (-age_ms / HALF_LIFE.0 as f64).exp2()
}

/// Load of an engine when a request is sent to it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EngineLoad {
    /// Prompt tokens that the engine reads before the first event: those waiting and the request's uncached ones.
    pub tokens: f64,
    /// Generations in flight at the engine.
    pub in_flight: u32,
    /// Slowdown that the engine reports, as a multiple of the usual time.
    pub slowdown: f64,
}

impl EngineLoad {
    /// Returns the load in units of the fit.
    fn units(&self) -> [f64; 3] {
        let generations = f64::from(self.in_flight) / GENERATIONS_UNIT;
        [1.0, self.tokens / TOKENS_UNIT, generations]
    }
}

/// An observed first event.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EngineSample {
    /// Load when the request was sent, with the slowdown that the reply reported.
    pub load: EngineLoad,
    /// Time from sending the request to its first event.
    pub waited: WorkMillis,
}

/// Reports a sample whose values are no loads or times.
#[derive(Debug, Clone, Copy, PartialEq, Error)]
#[error("{0:?} is not a valid sample of a first event")]
pub struct SampleError(pub EngineSample);

/// A sample with valid values.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ValidSample(EngineSample);

impl TryFrom<EngineSample> for ValidSample {
    type Error = SampleError;

    fn try_from(sample: EngineSample) -> Result<Self, SampleError> {
        let EngineLoad {
            tokens, slowdown, ..
        } = sample.load;
        let is_valid = (0.0..=MAX_TOKENS).contains(&tokens)
            && SLOWDOWNS.contains(&slowdown)
            && (0.0..=MAX_WAIT_MS).contains(&sample.waited.0);
        is_valid.then_some(Self(sample)).ok_or(SampleError(sample))
    }
}

impl ValidSample {
    /// Returns the load.
    pub fn load(&self) -> EngineLoad {
        self.0.load
    }

    /// Returns the time without the reported slowdown.
    pub fn usual_time(&self) -> WorkMillis {
        WorkMillis(self.0.waited.0 / self.0.load.slowdown)
    }
}

/// Figures of a service: the time to the first event at an endpoint of factor 1.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ServiceFigures {
    /// The three times, in units of the fit.
    times: [f64; 3],
}

/// Bounds on the three times, in units of the fit.
const BOUNDS: [(f64, f64); 3] = [
    (0.0, MAX_FIXED_MS),
    (
        TOKENS_UNIT / MAX_TOKENS_PER_MS,
        TOKENS_UNIT / MIN_TOKENS_PER_MS,
    ),
    (
        MIN_GENERATION_MS * GENERATIONS_UNIT,
        MAX_GENERATION_MS * GENERATIONS_UNIT,
    ),
];

impl Default for ServiceFigures {
    /// Returns the prior.
    fn default() -> Self {
        Self {
            times: [
                PRIOR_FIXED_MS,
                TOKENS_UNIT / TOKENS_PER_MS,
                PRIOR_GENERATION_MS * GENERATIONS_UNIT,
            ],
        }
    }
}

impl ServiceFigures {
    /// Returns the time to the first event without load.
    pub fn fixed(&self) -> WorkMillis {
        WorkMillis(self.times[0])
    }

    /// Returns the reading rate, in tokens per millisecond.
    pub fn tokens_per_ms(&self) -> f64 {
        TOKENS_UNIT / self.times[1]
    }

    /// Returns the time that each generation in flight adds.
    pub fn generation(&self) -> WorkMillis {
        WorkMillis(self.times[2] / GENERATIONS_UNIT)
    }

    /// Returns the time to the first event at an endpoint of factor 1 that reports no slowdown.
    pub fn usual_time(&self, load: &EngineLoad) -> WorkMillis {
        let units = load.units();
        let parts = units.iter().zip(&self.times);
        WorkMillis(parts.map(|(unit, time)| unit * time).sum())
    }

    /// Fits the figures to sums of samples, beginning with the present ones.
    #[must_use]
    pub fn fit(mut self, sums: &FigureSums) -> Self {
        let prior = Self::default().times;
        for _ in 0..FIT_ROUNDS {
            for i in 0..3 {
                let others = (0..3).filter(|j| *j != i);
                let explained: f64 = others.map(|j| sums.square(i, j) * self.times[j]).sum();
                let needed = PRIOR_WEIGHT * prior[i] + sums.products[i] - explained;
                let (low, high) = BOUNDS[i];
                self.times[i] = (needed / (PRIOR_WEIGHT + sums.square(i, i))).clamp(low, high);
            }
        }
        self
    }
}

/// Figures of one endpoint of a service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EngineFigures {
    /// Figures of the service.
    pub service: ServiceFigures,
    /// Factor of the endpoint on the time; below 1 for one that is faster than usual.
    pub speed: f64,
}

impl EngineFigures {
    /// Returns the expected time from sending a request to its first event.
    pub fn first_event(&self, load: &EngineLoad) -> WorkMillis {
        WorkMillis(self.service.usual_time(load).0 * self.speed * load.slowdown)
    }
}

/// Weighted sums over samples, from which the figures of a service are fitted.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct FigureSums {
    /// Number of samples, less the weight that they have lost.
    pub samples: f64,
    /// Sums of the products of two units of load: 0 with 0, 1 and 2, 1 with 1 and 2, 2 with 2.
    pub squares: [f64; 6],
    /// Sums of the products of a unit of load and the time.
    pub products: [f64; 3],
}

impl FigureSums {
    /// Returns the sums of one sample. `time` is its time at an endpoint of factor 1, `figures` are the present ones.
    pub fn of(load: &EngineLoad, time: WorkMillis, figures: &ServiceFigures) -> Self {
        let expected = figures.usual_time(load).0;
        let clip = (CLIP_FRACTION * expected).max(MIN_CLIP_MS);
        let time = time.0.clamp(expected - clip, expected + clip).max(0.0);
        let [one, tokens, generations] = load.units();
        let length = one + tokens * tokens + generations * generations;
        let weight = (MAX_LEVERAGE / length).min(1.0);
        Self {
            samples: 1.0,
            squares: [
                one,
                tokens,
                generations,
                tokens * tokens,
                tokens * generations,
                generations * generations,
            ]
            .map(|square| square * weight),
            products: [one, tokens, generations].map(|unit| unit * time * weight),
        }
    }

    fn square(&self, i: usize, j: usize) -> f64 {
        let (low, high) = (i.min(j), i.max(j));
        self.squares[low * (5 - low) / 2 + high]
    }

    /// Returns whether the sums can be those of samples. They are rounded in messages, so each may be up to 1 too small.
    pub fn are_possible(&self) -> bool {
        let all = self.squares.iter().chain(&self.products);
        let mut all = all.chain([&self.samples]);
        let longest = [0, 1, 2].map(|i| self.square(i, i) + 1.0);
        let pairs = [(0, 1), (0, 2), (1, 2)];
        let total: f64 = longest.iter().sum();
        all.all(|sum| sum.is_finite() && *sum >= 0.0)
            && total <= MAX_LEVERAGE * (self.samples + 1.0) + longest.len() as f64
            && pairs
                .iter()
                .all(|(i, j)| self.square(*i, *j).powi(2) <= longest[*i] * longest[*j])
            && (0..3).all(|i| self.products[i] <= MAX_WAIT_MS * (longest[0] * longest[i]).sqrt())
    }
}
