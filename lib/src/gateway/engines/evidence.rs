//! Sums of samples whose weight decays: this daemon's own, and the latest that some other daemons reported of theirs.
//!
//! A report has only samples of its sender, and replaces what the sender reported before. So no sample counts twice,
//! and a daemon's own samples never come back to it.

use {
    crate::{
        gateway::rules::{
            engine_model::{self, FigureSums, decay},
            engine_speed::{self, SpeedSums},
        },
        shared::units::Time,
    },
    std::net::SocketAddr,
    xxhash_rust::xxh3::xxh3_64,
};

/// Largest number of other daemons whose reports are kept. A daemon receives about five reports in a second, and a
/// report older than five seconds has less than a third of its weight, so more daemons would add little.
pub const MAX_REPORTS: usize = 24;

/// Weight below which sums are dropped, in samples.
const MIN_WEIGHT: f64 = 0.01;

/// Sums of weighted samples.
pub trait Sums: Copy + Default {
    /// Largest weight of the samples of one daemon.
    const MAX_WEIGHT: f64;

    /// Returns the number of samples, less the weight that they have lost.
    fn weight(&self) -> f64;

    /// Returns the sums with all weights multiplied by `factor`.
    #[must_use]
    fn scaled(self, factor: f64) -> Self;

    /// Returns the sums of the samples of both.
    #[must_use]
    fn plus(self, other: Self) -> Self;

    /// Returns the sums with at most the largest weight of one daemon.
    #[must_use]
    fn bounded(self) -> Self {
        let excess = (self.weight() / Self::MAX_WEIGHT).max(1.0);
        self.scaled(1.0 / excess)
    }
}

impl Sums for FigureSums {
    const MAX_WEIGHT: f64 = engine_model::MAX_WEIGHT;

    fn weight(&self) -> f64 {
        self.samples
    }

    fn scaled(self, factor: f64) -> Self {
        Self {
            samples: self.samples * factor,
            squares: self.squares.map(|sum| sum * factor),
            products: self.products.map(|sum| sum * factor),
        }
    }

    fn plus(mut self, other: Self) -> Self {
        self.samples += other.samples;
        for (sum, more) in self.squares.iter_mut().zip(other.squares) {
            *sum += more;
        }
        for (sum, more) in self.products.iter_mut().zip(other.products) {
            *sum += more;
        }
        self
    }
}

impl Sums for SpeedSums {
    const MAX_WEIGHT: f64 = engine_speed::MAX_WEIGHT;

    fn weight(&self) -> f64 {
        self.weight
    }

    fn scaled(self, factor: f64) -> Self {
        Self {
            weight: self.weight * factor,
            logs: self.logs * factor,
        }
    }

    fn plus(self, other: Self) -> Self {
        Self {
            weight: self.weight + other.weight,
            logs: self.logs + other.logs,
        }
    }
}

/// Hash of the address of a daemon that sends reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct ReporterHash(u32);

impl From<SocketAddr> for ReporterHash {
    fn from(address: SocketAddr) -> Self {
        Self(xxh3_64(address.to_string().as_bytes()) as u32)
    }
}

/// Sums and the time as of which their weights are.
#[derive(Debug, Clone, Copy, Default)]
struct Dated<S> {
    sums: S,
    at: Time,
}

impl<S: Sums> Dated<S> {
    fn decayed(&self, now: Time) -> S {
        self.sums.scaled(decay(now.millis_since(self.at)))
    }
}

/// The samples of this daemon, and the latest reports of some others.
#[derive(Debug, Clone, Default)]
pub struct Evidence<S> {
    own: Dated<S>,
    reports: Vec<(ReporterHash, Dated<S>)>,
}

impl<S: Sums> Evidence<S> {
    /// Adds a sample of this daemon.
    pub fn record(&mut self, now: Time, sample: S) {
        self.own = Dated {
            sums: self.own(now).plus(sample).bounded(),
            at: now,
        };
    }

    /// Replaces what another daemon reported. If there are too many reports, the one with the least weight goes.
    pub fn merge(&mut self, now: Time, from: ReporterHash, sums: S) {
        let sums = sums.bounded();
        self.reports.retain(|(reporter, _)| *reporter != from);
        self.reports.push((from, Dated { sums, at: now }));
        if self.reports.len() > MAX_REPORTS {
            let weight = |report: &Dated<S>| report.decayed(now).weight();
            let weights = self.reports.iter().map(|(_, report)| weight(report));
            let least = weights
                .enumerate()
                .min_by(|(_, one), (_, other)| one.total_cmp(other));
            if let Some((index, _)) = least {
                self.reports.swap_remove(index);
            }
        }
    }

    /// Drops reports whose weight has decayed.
    pub fn expire(&mut self, now: Time) {
        self.reports
            .retain(|(_, report)| report.decayed(now).weight() >= MIN_WEIGHT);
    }

    /// Returns the sums of this daemon's own samples.
    pub fn own(&self, now: Time) -> S {
        self.own.decayed(now)
    }

    /// Returns the sums of all samples.
    pub fn total(&self, now: Time) -> S {
        let reports = self.reports.iter().map(|(_, report)| report.decayed(now));
        reports.fold(self.own(now), S::plus)
    }

    /// Returns whether there are samples that still have weight.
    pub fn has_samples(&self, now: Time) -> bool {
        self.total(now).weight() >= MIN_WEIGHT
    }
}
