//! Counts outcomes as they come in.

use {
    crate::caller::{Ending, Outcome},
    hdrhistogram::Histogram,
    std::{collections::BTreeMap, time::Duration},
};

/// Longest latency told apart, in microseconds, and the digits kept.
const MAX_MICROS: u64 = 120_000_000;
const DIGITS: u8 = 3;

/// Counts of one group of requests.
#[derive(Debug, Clone)]
pub struct Tally {
    /// Requests.
    pub total: u64,
    /// Requests answered whole within their deadline.
    pub attained: u64,
    /// Requests answered late.
    pub late: u64,
    /// Endings by name.
    pub endings: BTreeMap<String, u64>,
    /// Times of answered requests, in microseconds.
    pub latency: Histogram<u64>,
}

impl Default for Tally {
    fn default() -> Self {
        let latency =
            Histogram::new_with_bounds(1, MAX_MICROS, DIGITS).expect("constant bounds are valid");
        Self {
            total: 0,
            attained: 0,
            late: 0,
            endings: BTreeMap::new(),
            latency,
        }
    }
}

impl Tally {
    /// Counts one outcome.
    pub fn add(&mut self, outcome: &Outcome) {
        self.total += 1;
        let ending = outcome.ending();
        if outcome.attained() {
            self.attained += 1;
        } else if *ending == Ending::Answered {
            self.late += 1;
        }
        if *ending == Ending::Answered {
            self.latency
                .saturating_record(outcome.took.as_micros() as u64);
        }
        *self.endings.entry(ending_name(ending)).or_default() += 1;
    }

    /// Returns the share of requests answered whole within their deadline.
    pub fn attainment(&self) -> f64 {
        if self.total == 0 {
            return 1.0;
        }
        self.attained as f64 / self.total as f64
    }

    /// Returns a quantile of the latency of answered requests.
    pub fn quantile(&self, quantile: f64) -> Duration {
        Duration::from_micros(self.latency.value_at_quantile(quantile))
    }
}

fn ending_name(ending: &Ending) -> String {
    match ending {
        Ending::Answered => "answered".to_owned(),
        Ending::Wrong => "wrong".to_owned(),
        Ending::NotRun(code) => format!("not_run {code}"),
        Ending::Unknown(code) => format!("unknown {code}"),
        Ending::Broken(_) => "broken".to_owned(),
    }
}
