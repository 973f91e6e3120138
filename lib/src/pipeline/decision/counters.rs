//! Counts of how requests and attempts ended, as reports and metrics show them.

use {
    crate::shared::problem::{Code, Outcome, Problem},
    std::collections::BTreeMap,
};

/// Counts since the daemon's start.
#[derive(Debug, Clone, Default)]
pub struct Counters {
    /// Requests answered within their deadline.
    pub answered: u64,
    /// Requests answered late or to a caller that had left.
    pub late: u64,
    /// Problems by code and outcome.
    pub problems: BTreeMap<(Code, Outcome), u64>,
    /// First attempts at a stage.
    pub attempts: u64,
    /// Attempts beyond the first: retries, hedges and resumes.
    pub extra: u64,
    /// Endpoints ejected.
    pub ejections: u64,
}

impl Counters {
    /// Counts a refusal before anything was sent.
    pub fn refused(&mut self, code: Code) {
        let key = (code, Outcome::NotRun);
        *self.problems.entry(key).or_default() += 1;
    }

    /// Counts a request that ended without an answer.
    pub fn failed(&mut self, problem: &Problem) {
        *self
            .problems
            .entry((problem.code, problem.outcome))
            .or_default() += 1;
    }

    /// Counts an answer.
    pub fn answered(&mut self, in_time: bool) {
        if in_time {
            self.answered += 1;
        } else {
            self.late += 1;
        }
    }

    /// Counts an attempt.
    pub fn sent(&mut self, is_first: bool) {
        if is_first {
            self.attempts += 1;
        } else {
            self.extra += 1;
        }
    }
}
