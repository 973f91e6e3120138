//! Experiments: the load, the faults and the settings that `hazelyoke-bench` runs.
//!
//! [`reader`] parses a file into [`Experiment`]s and rejects unknown fields and names. The rest of the program relies on
//! it: all targets, customers, services and data centres of an experiment exist in the tree.

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
    /// Name in reports; for a case, the names of the file's experiment and of the case, separated by a slash.
    pub name: String,
    /// Number of daemons in the installation.
    pub daemons: Count,
    /// Policies to compare, each in a separate run.
    pub policies: Vec<PolicyKind>,
    /// Further settings for the tree's root value, as JSON fields; empty if there are none.
    pub settings: String,
    /// Seed of the random arrival times and requests.
    pub seed: u64,
    /// Loads to compare, each in a separate run.
    pub loads: Vec<LoadFactor>,
    /// Phases of load in the order in which they run.
    pub phases: Vec<Phase>,
    /// Weights of pipelines, and of services that are called directly.
    pub mix: Weights,
    /// Weights of customers.
    pub customers: Weights,
    /// Shared prefixes of prompts; absent if prompts share none.
    pub contexts: Option<SharedContexts>,
    /// Whether all engines of a service share one prefix cache. This is the upper bound of what exchanging KV caches
    /// between engines could gain.
    pub shared_cache: bool,
    /// Most retries of a caller, each sent at once after an attempt without the right answer.
    pub retries: u32,
    /// Faults to inject, in any order.
    pub faults: Vec<Fault>,
}

/// Prefixes that prompts share.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SharedContexts {
    /// Number of different prefixes; the first is twice as likely as the fifth.
    pub groups: Count,
    /// Least length of each prefix, in bytes.
    pub bytes: Count,
}

/// A period of constant load.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Phase {
    /// Length of the phase.
    pub length: Duration,
    /// Load of the phase; absent if the load of the run applies.
    pub load: Option<LoadFactor>,
    /// Whether requests due in the phase are counted in reports.
    pub counted: bool,
}

/// A load as a multiple of the installation's capacity.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd)]
pub struct LoadFactor(pub f64);

impl LoadFactor {
    /// Default load of an experiment.
    pub const CAPACITY: Self = Self(1.0);

    /// Highest accepted multiple: far more than loopback can carry.
    const MAX: f64 = 100.0;

    const EXPECTED: &'static str = "a multiple of the capacity from 0 to 100";

    /// Returns the rate of requests that this load means at a capacity.
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
    /// Parses and checks the experiments of a file: one, or one for each of its cases.
    ///
    /// # Errors
    ///
    /// Returns all findings with their places in the file.
    pub fn parse(file: &str, bytes: &[u8]) -> Result<Vec<Self>, Findings> {
        reader::read(file, bytes)
    }

    /// Returns the phase at a time since the start of the run, or `None` after the last phase.
    pub fn phase(&self, at: Duration) -> Option<&Phase> {
        let mut end = Duration::ZERO;
        self.phases.iter().find(|phase| {
            end += phase.length;
            at < end
        })
    }

    /// Returns the total length of all phases.
    pub fn whole_time(&self) -> Duration {
        self.phases.iter().map(|phase| phase.length).sum()
    }

    /// Returns the total length of the counted phases.
    pub fn counted_time(&self) -> Duration {
        let counted = self.phases.iter().filter(|phase| phase.counted);
        counted.map(|phase| phase.length).sum()
    }
}
