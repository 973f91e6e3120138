//! Decides by which factor the expected time of a tight route's requests is corrected before they are admitted.
//!
//! Load addressed: more requests than the stages can serve, from routes whose estimates are wrong in different
//! directions, such as an urgent route whose estimates are too long beside one that is overtaken and whose are too
//! short.
//!
//! Inputs: for each admitted request that ended, its expected time before correction (milliseconds) and its
//! [`Outcome`], and the time of this daemon's clock (microseconds).
//!
//! Rule: ratios of true to expected time are counted in buckets ([`rules::ratio_sketch`](super::ratio_sketch)) with a
//! prior at ratio 1; those of requests whose expected time is below `NEAR_OBJECTIVE` of the objective don't count. The
//! target is the ratio that [`IN_TIME_SHARE`] of the requests don't exceed. Once per [`STEP_INTERVAL`] the factor moves
//! towards the target, by at most `CHANGE_PER_SAMPLE` for each sample since the last step and at most `MAX_CHANGE`.
//! Towards 1 it also moves by `RECOVERY_PER_S`, without samples. The weights of samples halve every `HALF_LIFE`, and
//! every `QUIET_HALF_LIFE` while there are no samples.
//!
//! Reason: a constant that suits one route fails for another. Only admitted requests are observed, so a factor that has
//! grown too large has to fall again without samples. Under a sudden overload samples arrive seconds after the decision
//! that they are about, so a factor that followed them at once would swing.
//!
//! Tests: `lib/tests/test_calibration.rs`, `lib/tests/test_calibrated_load.rs`.

use crate::{
    gateway::rules::ratio_sketch::{RatioBucket, RatioCounts, RatioSketch},
    shared::units::{Millis, Time, WorkMillis},
};

/// Share of the requests with the largest admitted expected time that should be in time: a request is admitted if it is
/// likelier to end in time than late. One that is refused although there is capacity loses its value; one that is late
/// mostly displaces work of lower ranks, which is worth less.
pub const IN_TIME_SHARE: f64 = 0.5;

/// Shortest time that counts in a ratio. Below it, single milliseconds would decide the ratio, and the estimate of a
/// request without queues is dominated by fixed costs.
const SHORTEST_TIME: WorkMillis = WorkMillis(100.0);

/// Part of the objective from which on an expected time counts, multiplied by a factor above 1. Shorter ones are admitted
/// with any factor, and their ratios differ: an idle service takes as long as expected, one with a queue has capacity
/// that estimates leave out. Without the factor, no admitted request of a route with a factor above 1.43 would count.
const NEAR_OBJECTIVE: f64 = 0.7;

/// Part of the objective after which a caller that leaves without an event is assumed to have left because it waited
/// too long. Callers count from before the request's arrival, so some leave slightly before the objective.
const PATIENCE_FRACTION: f64 = 0.9;

/// Time between two steps of the factor. Samples of one step are a batch: they mostly come from the same few calls of a
/// stage.
pub const STEP_INTERVAL: Millis = Millis(1_000);

/// Largest rise and fall of the factor's logarithm for one sample: a tenth for 20 samples. A few samples have little
/// effect, because admitting too much costs other requests too.
const CHANGE_PER_SAMPLE: f64 = 0.005;

/// Largest change of the factor's logarithm in one step, whatever the number of samples. Decisions show in samples after
/// up to a few seconds; until then, the factor must not move past the right value by much. With a third of it, urgent
/// requests were refused for the first nine seconds after a start because of estimates that are too long.
const MAX_CHANGE: f64 = 0.15;

/// Movement of the factor's logarithm towards 1 that needs no samples, per second. A factor of 2 returns to 1 within
/// 3.5 s once its evidence has decayed.
const RECOVERY_PER_S: f64 = 0.2;

/// Time in which the weights of samples halve while new ones arrive. A factor below 1 needs more than 20 samples,
/// the weight of the prior, which one daemon and those that report to it reach from 1.5 per second on. With 20 s and a
/// share of 0.8, a factor of 3 stayed for more than a minute when only 2 samples per second showed that it was too large.
const HALF_LIFE: Millis = Millis(10_000);

/// Time in which the weights of samples halve while no new ones arrive. Full evidence falls below half of all,
/// where it no longer moves the target from 1, within 11 s.
const QUIET_HALF_LIFE: Millis = Millis(3_000);

/// Time without samples from which on none arrive. Daemons report their samples to each other once per second.
const QUIET_AFTER: Millis = Millis(1_500);

/// Bounds on the factor. Estimates that are wrong by more are faults of their own, which the factor must not conceal.
const SMALLEST_FACTOR: f64 = 0.4;
const LARGEST_FACTOR: f64 = 4.0;

/// Factor by which the expected time of a request is multiplied before it is compared with the objective.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd)]
pub struct CorrectionFactor(pub f64);

impl CorrectionFactor {
    /// Factor without a correction.
    pub const NONE: Self = Self(1.0);

    /// Returns the factor if it is within the bounds of factors that daemons use.
    pub fn checked(factor: f64) -> Option<Self> {
        (SMALLEST_FACTOR..=LARGEST_FACTOR)
            .contains(&factor)
            .then_some(Self(factor))
    }
}

/// How an admitted request ended, as far as this daemon saw.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AdmittedEnd {
    /// Its first event, or its whole successful answer, was there.
    Answered,
    /// Its stages were late, or its deadline passed, without another failure before.
    TooLate,
    /// Its caller left before the first event.
    CallerLeft,
    /// It failed for a reason other than its duration: endpoints, quarantine, a stop of this daemon.
    Failed,
}

impl AdmittedEnd {
    /// Returns the end of a request whose deadline passed after it was sent to `endpoints` endpoints. If there was a
    /// failed attempt before the last one, the failure is the cause.
    pub fn at_deadline(endpoints: usize) -> Self {
        if endpoints > 1 {
            Self::Failed
        } else {
            Self::TooLate
        }
    }
}

/// What the end of an admitted request shows about its expected time.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Outcome {
    /// The first event came after this time from the arrival.
    FirstEvent(WorkMillis),
    /// The request took too long, so it counts as slower than every request with an event.
    TooLong,
    /// Nothing; the request doesn't count.
    NotCounted,
}

/// An admitted request that ended.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EndedRequest {
    /// How it ended.
    pub end: AdmittedEnd,
    /// Time from its arrival to its end.
    pub took: WorkMillis,
    /// Objective of its route.
    pub objective: Millis,
    /// Set if this daemon was suspended or stalled while the request was in flight: its time shows nothing then.
    pub was_stalled: bool,
}

impl EndedRequest {
    /// Returns what the end shows. A caller that left well before the objective left by its own will.
    pub fn outcome(&self) -> Outcome {
        let patience = self.objective.0 as f64 * PATIENCE_FRACTION;
        match self.end {
            _ if self.was_stalled => Outcome::NotCounted,
            AdmittedEnd::Answered => Outcome::FirstEvent(self.took),
            AdmittedEnd::TooLate => Outcome::TooLong,
            AdmittedEnd::CallerLeft if self.took.0 >= patience => Outcome::TooLong,
            AdmittedEnd::CallerLeft | AdmittedEnd::Failed => Outcome::NotCounted,
        }
    }
}

/// An admitted request, as far as it decides whether its end counts.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AdmittedRequest {
    /// Expected time before correction.
    pub expected: WorkMillis,
    /// Factor with which it was admitted.
    pub factor: CorrectionFactor,
    /// Objective of its route.
    pub objective: Millis,
}

impl AdmittedRequest {
    /// Returns the bucket of the request with this outcome; `None` if it doesn't count.
    pub fn sample(&self, outcome: Outcome) -> Option<RatioBucket> {
        let corrected = self.expected.0 * self.factor.0.max(1.0);
        if corrected < self.objective.0 as f64 * NEAR_OBJECTIVE {
            return None;
        }
        match outcome {
            Outcome::FirstEvent(took) => {
                let counted = |time: WorkMillis| time.0.max(SHORTEST_TIME.0);
                RatioBucket::of(counted(took) / counted(self.expected))
            }
            Outcome::TooLong => Some(RatioBucket::SLOWEST),
            Outcome::NotCounted => None,
        }
    }
}

/// The calibration of one route: the ratios of its admitted requests, and the factor in use.
#[derive(Debug, Clone)]
pub struct RouteCalibration {
    sketch: RatioSketch,
    /// Natural logarithm of the factor.
    log_factor: f64,
    /// Number of samples since the last step.
    fresh: u32,
    /// Time up to which the weights have decayed.
    decayed: Time,
    /// Time of the last sample.
    sampled: Time,
    /// Time of the last step of the factor.
    stepped: Time,
}

impl RouteCalibration {
    /// Creates the calibration of a route of which nothing is known.
    pub fn new(now: Time) -> Self {
        Self {
            sketch: RatioSketch::default(),
            log_factor: 0.0,
            fresh: 0,
            decayed: now,
            sampled: now,
            stepped: now,
        }
    }

    /// Adds samples of this daemon or of another one.
    pub fn add(&mut self, now: Time, counts: &RatioCounts) {
        self.advance(now);
        let total = counts.total();
        if total == 0 {
            return;
        }
        self.sketch.add(counts);
        self.fresh = self.fresh.saturating_add(total);
        self.sampled = now;
    }

    /// Takes over the evidence and the factor of another daemon, and adds `own` samples that it can't have.
    pub fn adopt(
        &mut self,
        now: Time,
        counts: &RatioCounts,
        factor: CorrectionFactor,
        own: &RatioCounts,
    ) {
        let mut adopted = Self::new(now);
        adopted.sketch.add(counts);
        adopted.log_factor = factor.0.ln();
        adopted.add(now, own);
        *self = adopted;
    }

    /// Returns the factor that applies now.
    pub fn factor(&mut self, now: Time) -> CorrectionFactor {
        self.advance(now);
        CorrectionFactor(self.log_factor.exp())
    }

    /// Returns the samples with their present weights, rounded.
    pub fn evidence(&self) -> RatioCounts {
        self.sketch.counts()
    }

    /// Lets weights decay up to `now`, and steps the factor if a step is due.
    fn advance(&mut self, now: Time) {
        self.decay(now);
        let elapsed = now.since(self.stepped);
        if elapsed < STEP_INTERVAL.to_duration() {
            return;
        }
        self.stepped = now;
        let target = self.sketch.quantile(IN_TIME_SHARE);
        let target = target.clamp(SMALLEST_FACTOR, LARGEST_FACTOR).ln();
        let samples = f64::from(std::mem::take(&mut self.fresh));
        let recovery = RECOVERY_PER_S * elapsed.as_secs_f64();
        let current = self.log_factor;
        let change = (CHANGE_PER_SAMPLE * samples).min(MAX_CHANGE);
        // The recovery ends at 0, the logarithm of 1.
        let highest = (current + change).max((current + recovery).min(0.0));
        let lowest = (current - change).min((current - recovery).max(0.0));
        self.log_factor = target.clamp(lowest, highest);
    }

    fn decay(&mut self, now: Time) {
        let quiet_from = self.decayed.max(self.sampled + QUIET_AFTER).min(now);
        let active = quiet_from.millis_since(self.decayed) / HALF_LIFE.0 as f64;
        let quiet = now.millis_since(quiet_from) / QUIET_HALF_LIFE.0 as f64;
        self.sketch.scale(0.5_f64.powf(active + quiet));
        self.decayed = self.decayed.max(now);
    }
}
