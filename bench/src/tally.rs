//! Counts of a group of requests: how they ended and how long answers took.

use {
    crate::caller::{Ending, Outcome},
    hdrhistogram::Histogram,
    std::{collections::BTreeMap, time::Duration},
};

/// Longest latency recorded, in microseconds: longer than any deadline.
const MAX_MICROS: u64 = 120_000_000;

/// Decimal digits of a latency that are kept.
const DIGITS: u8 = 3;

/// Counts of one group of requests.
#[derive(Debug, Clone)]
pub struct Tally {
    /// Requests.
    pub total: u64,
    /// Requests answered whole within their deadline.
    pub attained: u64,
    /// Endings by name.
    pub endings: BTreeMap<String, u64>,
    /// Latencies of answered requests, in microseconds.
    latency: Histogram<u64>,
}

impl Default for Tally {
    fn default() -> Self {
        let latency =
            Histogram::new_with_bounds(1, MAX_MICROS, DIGITS).expect("constant bounds are valid");
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

    /// Returns the share of requests answered whole within their deadline, from 0 to 1; 1 if there
    /// was no request.
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
        Ending::WrongAnswer => "wrong".to_owned(),
        Ending::NotRun(code) => format!("not_run {code}"),
        Ending::Unknown(code) => format!("unknown {code}"),
        Ending::Unanswered(_) => "unanswered".to_owned(),
    }
}
