//! Tracks whether a request can have run, and decides which outcome its caller gets.
//!
//! Inputs: the events of one request's attempts, in order: no connection was established, the request is about to be
//! sent, a reply proves that it did not run. Results: counts of attempts, and the problem response that ends a request
//! without an answer.
//!
//! Rule: an attempt has possibly run from the moment before its first byte is sent until a reply proves the opposite.
//! While any attempt has possibly run, the caller gets the outcome `unknown` and no `retry_after`; otherwise it gets
//! `not_run` and a `retry_after`.
//!
//! Reason: a request that must not run twice runs at most once, and its caller may send it again only if it is proven
//! not to have run. Both follow from these counts alone, since each request has a unique id and is handled by one
//! daemon.
//!
//! `test_attempt_outcome` compares the outcome with what an observer at the endpoints sees.

use crate::shared::{
    problem::{Code, Outcome, Problem},
    units::Millis,
};

/// Counts of the attempts of one request.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct AttemptHistory {
    sent: u32,
    possibly_run: u32,
    unreachable: usize,
}

/// The end of a request that gets no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UnansweredEnd<'a> {
    /// Reason for which no other attempt is sent.
    pub why: &'a str,
    /// Result of the last attempt.
    pub last_result: &'a str,
    /// True if the deadline has passed.
    pub is_late: bool,
    /// Time after which the caller may retry if nothing has run.
    pub retry_after: Millis,
}

impl AttemptHistory {
    /// Records that the request is about to be sent: from now on it has possibly run.
    pub fn record_sent(&mut self) {
        self.sent += 1;
        self.possibly_run += 1;
    }

    /// Records proof that the last attempt did not run and will not.
    ///
    /// # Panics
    ///
    /// Panics if more attempts are cleared than were sent.
    pub fn record_not_run(&mut self) {
        crate::invariant!(
            self.possibly_run > 0,
            "more attempts were cleared than sent"
        );
        self.possibly_run -= 1;
    }

    /// Records that no connection to an endpoint was established; no byte was sent.
    pub fn record_unreachable(&mut self) {
        self.unreachable += 1;
    }

    /// Returns the number of attempts that were sent.
    pub fn sent(&self) -> u32 {
        self.sent
    }

    /// Returns the number of attempts that have possibly run.
    pub fn possibly_run(&self) -> u32 {
        self.possibly_run
    }

    /// Returns the number of endpoints to which no connection was established.
    pub fn unreachable(&self) -> usize {
        self.unreachable
    }

    /// Builds the problem response that ends the request, with the outcome that is certain.
    pub fn problem(&self, end: &UnansweredEnd<'_>) -> Problem {
        let detail = format!("{}; {} sent, last: {}", end.why, self.sent, end.last_result);
        if self.possibly_run == 0 {
            return Problem::not_run(Code::NoEndpoint, detail).retry_after(end.retry_after);
        }
        Problem {
            code: if end.is_late {
                Code::DeadlineExceeded
            } else {
                Code::StageFailed
            },
            outcome: Outcome::Unknown,
            detail,
            retry_after: None,
        }
    }
}
