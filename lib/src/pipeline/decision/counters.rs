//! Counts of requests and attempts by how they ended, for reports and metrics.

use {
    crate::shared::problem::{Code, Outcome, Problem},
    std::collections::BTreeMap,
};

/// Counts since the daemon's start.
#[derive(Debug, Clone, Default)]
pub struct Counters {
    /// Requests answered within their deadline.
    pub answered: u64,
    /// Requests answered after their deadline, or whose caller had left.
    pub late: u64,
    /// Requests that ended with a problem, by its code and outcome.
    pub problems: BTreeMap<(Code, Outcome), u64>,
    /// First attempts at a stage.
    pub attempts: u64,
    /// Attempts beyond the first: retries, hedges and resumes.
    pub extra: u64,
    /// Ejections of endpoints.
    pub ejections: u64,
}

impl Counters {
    /// Counts a request that was refused before anything was sent.
    pub fn refused(&mut self, code: Code) {
        let key = (code, Outcome::NotRun);
        *self.problems.entry(key).or_default() += 1;
    }

    /// Counts a request that ended with a problem after it was admitted.
    pub fn failed(&mut self, problem: &Problem) {
        *self
            .problems
            .entry((problem.code, problem.outcome))
            .or_default() += 1;
    }

    /// Counts a request that was answered; `in_time` is true if it met its deadline and its caller was still there.
    pub fn answered(&mut self, in_time: bool) {
        if in_time {
            self.answered += 1;
        } else {
            self.late += 1;
        }
    }

    /// Counts an attempt that was sent; `is_first` is true for the first one at a stage.
    pub fn sent(&mut self, is_first: bool) {
        if is_first {
            self.attempts += 1;
        } else {
            self.extra += 1;
        }
    }
}
