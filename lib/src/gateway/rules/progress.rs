//! What a request has done so far, and what may still be done or promised about it.
//!
//! A request that may not be repeated runs at most once, and a caller is told that nothing ran only
//! where that is proven. Both rest on this state alone: each request has an id of its own and meets
//! one daemon.

use {
    crate::{
        gateway::table::RouteKind,
        shared::{
            ids::EndpointId,
            problem::{Code, Outcome, Problem},
            units::Millis,
        },
    },
    bytes::Bytes,
    http::response,
};

/// The state of one request's attempts.
#[derive(Debug, Default)]
pub struct Progress {
    /// Endpoints it was sent to, or tried to connect to.
    pub tried: Vec<EndpointId>,
    /// The endpoint's own failure, to be passed on when no other attempt does better.
    pub failure: Option<(response::Parts, Bytes)>,
    /// How the last attempt ended, for logs.
    pub last: String,
    sent: u32,
    exposed: u32,
    unreachable: usize,
}

impl Progress {
    /// Notes that an attempt is about to be sent: from now on it may run.
    pub fn sending(&mut self) {
        self.sent += 1;
        self.exposed += 1;
    }

    /// Notes that the last attempt certainly didn't run and won't.
    pub fn proven_not_run(&mut self) {
        crate::invariant!(self.exposed > 0, "more attempts were cleared than sent");
        self.exposed -= 1;
    }

    /// Notes that no connection came up; no byte was sent.
    pub fn unreachable(&mut self) {
        self.unreachable += 1;
    }

    /// Returns the number of attempts that were sent.
    pub fn sent(&self) -> u32 {
        self.sent
    }

    /// Returns the number of endpoints that weren't reached.
    pub fn not_reached(&self) -> usize {
        self.unreachable
    }

    /// Returns whether another attempt may be sent, apart from what the budget has.
    pub fn may_send(&self, kind: RouteKind, attempts: u32) -> bool {
        self.sent < attempts && (kind.is_retryable() || self.exposed == 0)
    }

    /// Builds the problem that ends the request, with what can be promised of it.
    pub fn problem(&self, why: &str, late: bool, retry_after: Millis) -> Problem {
        let detail = format!("{why}; {} sent, last: {}", self.sent, self.last);
        if self.exposed == 0 {
            return Problem::not_run(Code::NoEndpoint, detail).retry_after(retry_after);
        }
        Problem {
            code: if late {
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
