//! May a stage be sent again, beside an attempt in flight, or not at all?
//!
//! Inputs: [`StageProgress`], the state of one stage of one request: attempts made, in flight and
//! allowed, tokens received, and its settings. Output: a [`NextStep`], or whether to hedge.
//!
//! The rule:
//!
//! - While another attempt is in flight, its end is awaited.
//! - A call that certainly did not run may go to another endpoint, even if it may not be run twice,
//!   and costs no budget.
//! - A call that may have run is sent again only if its service is `repeatable`, and only if the
//!   service's [`RetryBudget`] grants it.
//! - A hedge is a second attempt beside a first one that is late, under the same conditions; an
//!   engine's generation is never hedged, and nothing is once tokens have come.
//! - No stage gets more than its `attempts`, and nothing is sent for a caller that has left.
//!
//! The reason: a payment must not run twice, and a stage that fails because it is overloaded must
//! not be sent even more. Each first attempt pays a share (`retry_budget`) into the budget, so that
//! retries stay a share of the traffic. `test_core_random.rs` checks the promise, `test_retry.rs`
//! pins the table; figures with faults are in `docs/MEASUREMENTS.md` ("Faults at 0.8 of capacity",
//! "Hedges").

use crate::{
    settings::values::Settings,
    shared::units::{Count, Millis, Share},
};

/// Retries that a quiet service may make before any traffic has paid for them, and the most that a budget can hold.
const RESERVE: f64 = 10.0;

/// Price of one retry or hedge, in retries.
const RETRY_PRICE: f64 = 1.0;

/// Counts what first attempts have paid in and retries have taken out.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    /// Retries that may still be sent, with a fraction.
    balance: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self { balance: RESERVE }
    }
}

impl RetryBudget {
    /// Pays in for one first attempt.
    pub fn deposit(&mut self, share: Share) {
        self.balance = (self.balance + share.0).min(RESERVE);
    }

    /// Takes out one retry; returns whether the budget had it.
    pub fn withdraw(&mut self) -> bool {
        if self.balance < RETRY_PRICE {
            return false;
        }
        self.balance -= RETRY_PRICE;
        true
    }
}

/// State of one stage of one request, as far as retries depend on it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StageProgress {
    /// Attempts sent.
    pub tries: u32,
    /// Attempts in flight.
    pub in_flight: usize,
    /// Most attempts, by the settings.
    pub limit: Count,
    /// True if the call may be run twice, by the settings.
    pub repeatable: bool,
    /// Tokens received.
    pub tokens: u32,
    /// True once the caller has left.
    pub abandoned: bool,
}

/// Tells why an attempt is sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptKind {
    /// The stage starts, or its last attempt ended without a result.
    Next,
    /// Another attempt in flight is late.
    Hedge,
}

/// Returns the wait after which an attempt that is sent now may be hedged; none if it never may.
pub fn hedge_wait(settings: &Settings, kind: AttemptKind) -> Option<Millis> {
    if kind == AttemptKind::Hedge || !settings.repeatable.value {
        return None;
    }
    settings.hedge_after.value.0
}

/// Tells how to go on with a stage after one of its attempts ended without a result.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NextStep {
    /// Another attempt is in flight: wait for its end.
    Wait,
    /// Send the stage again.
    Retry,
    /// Send the stage again if the retry budget grants it, else end the request.
    RetryFromBudget,
    /// End the request.
    GiveUp,
}

impl StageProgress {
    /// Decides after an attempt that certainly did not run.
    pub fn after_not_run(&self) -> NextStep {
        if self.in_flight > 0 {
            NextStep::Wait
        } else if self.has_tries() && !self.abandoned {
            NextStep::Retry
        } else {
            NextStep::GiveUp
        }
    }

    /// Decides after an attempt that failed and may have run.
    pub fn after_failure(&self) -> NextStep {
        if self.in_flight > 0 {
            NextStep::Wait
        } else if self.repeatable && self.has_tries() && !self.abandoned {
            NextStep::RetryFromBudget
        } else {
            NextStep::GiveUp
        }
    }

    /// Returns whether an attempt that is late may be hedged, if the retry budget grants it.
    ///
    /// `generates` says whether the stage is a generation. That the call is repeatable was checked
    /// when the attempt was sent, by [`hedge_wait`].
    pub fn may_hedge(&self, generates: bool) -> bool {
        self.tokens == 0 && self.has_tries() && !generates
    }

    /// Returns whether the attempts in flight have to be left to their end although the caller has
    /// left: a call that may not be run twice must not be broken off halfway.
    pub fn must_end(&self) -> bool {
        !self.repeatable && self.in_flight > 0
    }

    fn has_tries(&self) -> bool {
        self.tries < self.limit.0
    }
}
