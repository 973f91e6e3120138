//! Counts and latencies of a group of requests.

use {
    crate::caller::{Ending, Outcome},
    hdrhistogram::Histogram,
    std::{collections::BTreeMap, time::Duration},
};

/// Longest latency that is recorded, in microseconds: longer than any deadline in the tree.
const MAX_LATENCY_US: u64 = 120_000_000;

/// Significant decimal digits of a recorded latency.
const SIGNIFICANT_DIGITS: u8 = 3;

/// Counts and latencies of one group of requests.
#[derive(Debug, Clone)]
pub struct Tally {
    /// Number of requests that have ended.
    pub total: u64,
    /// Number of requests answered correctly within their deadline.
    pub attained: u64,
    /// Number of requests by the name of their ending.
    pub endings: BTreeMap<String, u64>,
    /// Latencies of answered requests, in microseconds.
    latency: Histogram<u64>,
}

impl Default for Tally {
    fn default() -> Self {
        let latency = Histogram::new_with_bounds(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
            .expect("constant bounds are valid");
        Self {
            total: 0,
            attained: 0,
            endings: BTreeMap::new(),
            latency,
        }
    }
}

impl Tally {
    /// Counts one outcome.
    pub fn add(&mut self, outcome: &Outcome) {
        self.total += 1;
        self.attained += u64::from(outcome.attained());
        let ending = &outcome.last.ending;
        if *ending == Ending::Answered {
            let micros = outcome.latency.as_micros() as u64;
            self.latency.saturating_record(micros);
        }
        *self.endings.entry(ending_name(ending)).or_default() += 1;
    }

    /// Returns the share of requests answered correctly within their deadline, from 0 to 1; 1 if there are no requests.
    pub fn attainment(&self) -> f64 {
        if self.total == 0 {
            return 1.0;
        }
        self.attained as f64 / self.total as f64
    }

    /// Returns a quantile, given from 0 to 1, of the latency of answered requests.
    pub fn quantile(&self, quantile: f64) -> Duration {
        Duration::from_micros(self.latency.value_at_quantile(quantile))
    }
}

fn ending_name(ending: &Ending) -> String {
    match ending {
        Ending::Answered => "answered".to_owned(),
        Ending::WrongAnswer => "wrong".to_owned(),
        Ending::NotRun(code) => format!("not_run {code}"),
        Ending::Unknown(code) => format!("unknown {code}"),
        Ending::Unanswered(_) => "unanswered".to_owned(),
    }
}
