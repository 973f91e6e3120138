//! Experiments: what `hazelyoke-bench` runs, as checked values.
//!
//! [`reader`] turns a file into [`Experiment`]s and refuses what it doesn't know; everything after
//! that relies on names of targets, customers, services and data centres that exist in the tree.

mod reader;
mod weights;

pub use weights::{Weighted, WeightedChoice, Weights};

use {
    crate::fault_plan::Fault,
    hazelyoke_lib::{
        settings::values::PolicyKind,
        shared::{
            findings::Findings,
            units::{Count, Rate, UnitError},
        },
    },
    std::{fmt, str::FromStr, time::Duration},
};

/// A checked experiment.
#[derive(Debug, Clone)]
pub struct Experiment {
    /// Its name.
    pub name: String,
    /// Number of daemons.
    pub daemons: Count,
    /// Policies that are compared, each in a run of its own.
    pub policies: Vec<PolicyKind>,
    /// Further settings at the tree's root, as JSON fields.
    pub settings: String,
    /// Seed of all random choices.
    pub seed: u64,
    /// Loads that are compared, each in a run of its own.
    pub loads: Vec<LoadFactor>,
    /// Phases of load, one after the other.
    pub phases: Vec<Phase>,
    /// Weights of pipelines, and of services that are called directly.
    pub mix: Weights,
    /// Weights of customers.
    pub customers: Weights,
    /// Shared beginnings of prompts; absent if each prompt has its own.
    pub contexts: Option<SharedContexts>,
    /// Whether all engines of a service share one prefix cache: the most that an exchange of KV
    /// caches between them could give.
    pub shared_cache: bool,
    /// Times that a caller sends an unanswered request again, at once.
    pub retries: u32,
    /// Faults by time.
    pub faults: Vec<Fault>,
}

/// Beginnings that prompts share.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SharedContexts {
    /// Number of different beginnings, the first twice as likely as the one four places later.
    pub groups: Count,
    /// Bytes of each.
    pub bytes: Count,
}

/// A time of steady load.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Phase {
    /// Its length.
    pub lasts: Duration,
    /// Its load; absent if it takes the one of the run.
    pub load: Option<LoadFactor>,
    /// Whether its requests are counted.
    pub counted: bool,
}

/// A load as a multiple of the capacity.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd)]
pub struct LoadFactor(pub f64);

impl LoadFactor {
    /// Load of an experiment that names none.
    pub const CAPACITY: Self = Self(1.0);

    /// Largest multiple accepted: far more than loopback can carry.
    const MAX: f64 = 100.0;

    const EXPECTED: &'static str = "a multiple of the capacity from 0 to 100";

    /// Returns the rate of requests at a capacity.
    pub fn rate(self, capacity: Rate) -> Rate {
        Rate(self.0 * capacity.0)
    }
}

impl FromStr for LoadFactor {
    type Err = UnitError;

    fn from_str(text: &str) -> Result<Self, UnitError> {
        match text.parse() {
            Ok(factor) if (0.0..=Self::MAX).contains(&factor) => Ok(Self(factor)),
            _ => Err(UnitError {
                text: text.to_owned(),
                expected: Self::EXPECTED,
            }),
        }
    }
}

impl fmt::Display for LoadFactor {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl Experiment {
    /// Reads and checks the experiments of a file: one, or one for each of its cases.
    ///
    /// # Errors
    ///
    /// Returns all findings with their places.
    pub fn parse(file: &str, bytes: &[u8]) -> Result<Vec<Self>, Findings> {
        reader::read(file, bytes)
    }

    /// Returns the phase at a time since the start; none after the last.
    pub fn phase(&self, at: Duration) -> Option<&Phase> {
        let mut end = Duration::ZERO;
        self.phases.iter().find(|phase| {
            end += phase.lasts;
            at < end
        })
    }

    /// Returns the time of all phases.
    pub fn whole_time(&self) -> Duration {
        self.phases.iter().map(|phase| phase.lasts).sum()
    }

    /// Returns the time of all counted phases.
    pub fn counted_time(&self) -> Duration {
        let counted = self.phases.iter().filter(|phase| phase.counted);
        counted.map(|phase| phase.lasts).sum()
    }
}
