//! May a stage be sent again, hedged while an attempt is in flight, or neither?
//!
//! Inputs: [`StageProgress`], the state of one stage of one request: attempts sent, in flight and allowed, tokens
//! received, and its settings. Output: a [`NextStep`], or whether to hedge.
//!
//! Rule:
//!
//! - While another attempt is in flight, the daemon waits for its end.
//! - A call that certainly did not run may be sent to another endpoint, even if it must not run twice. This takes
//!   nothing from the retry budget.
//! - A call that may have run is sent again only if its service is `repeatable`, and only if the service's
//!   [`RetryBudget`] grants it.
//! - A hedge is a second attempt while the first one is in flight and late, under the same conditions. A generation of
//!   an engine is never hedged, and neither is a stage that has received tokens.
//! - No stage gets more attempts than its `attempts` setting, and nothing is sent for a caller that has left.
//!
//! Reason: a payment must not run twice, and a stage that fails under overload must not get even more calls. Each first
//! attempt pays a share (`retry_budget`) into the budget, which limits retries to that share of the traffic.
//! `test_core_random.rs` checks that a guarded call never runs twice, `test_retry.rs` pins the rule; figures with
//! faults are in `docs/MEASUREMENTS.md` ("Faults at 0.8 of capacity", "Hedges").

use crate::{
    settings::values::Settings,
    shared::units::{Count, Millis, Share},
};

/// Retries that a budget holds at the start and at most. They let a service with little traffic retry before its first
/// attempts have paid for it.
const BUDGET_CAPACITY: f64 = 10.0;

/// Amount that one retry or hedge takes from the budget.
const RETRY_COST: f64 = 1.0;

/// The retries and hedges that a service may still send: first attempts pay in, retries and hedges take out.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    /// Retries that may still be sent; may be fractional.
    balance: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self {
            balance: BUDGET_CAPACITY,
        }
    }
}

impl RetryBudget {
    /// Adds `share` of a retry, for one first attempt.
    pub fn deposit(&mut self, share: Share) {
        self.balance = (self.balance + share.0).min(BUDGET_CAPACITY);
    }

    /// Takes out one retry; returns whether the budget held one.
    pub fn withdraw(&mut self) -> bool {
        if self.balance < RETRY_COST {
            return false;
        }
        self.balance -= RETRY_COST;
        true
    }
}

/// State of one stage of one request, as far as retries depend on it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StageProgress {
    /// Attempts sent at this stage so far.
    pub attempts_sent: u32,
    /// Attempts at this stage that have not ended.
    pub in_flight: usize,
    /// Largest number of attempts, the `attempts` setting.
    pub max_attempts: Count,
    /// Set if the call may run twice, the `repeatable` setting.
    pub repeatable: bool,
    /// Tokens received of this stage's generation.
    pub tokens: u32,
    /// Set once the caller has left.
    pub abandoned: bool,
}

/// Reason for sending an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptKind {
    /// The stage starts, or its last attempt ended without a result.
    Regular,
    /// Another attempt in flight is late.
    Hedge,
}

/// Returns the wait after which an attempt that is sent now may be hedged; `None` if it must not be.
pub fn hedge_wait(settings: &Settings, kind: AttemptKind) -> Option<Millis> {
    if kind == AttemptKind::Hedge || !settings.repeatable.value {
        return None;
    }
    settings.hedge_after.value.0
}

/// What to do with a stage after one of its attempts ended without a result.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NextStep {
    /// Wait for the end of another attempt in flight.
    Wait,
    /// Send the stage again.
    Retry,
    /// Send the stage again if the retry budget grants it, otherwise end the request.
    RetryFromBudget,
    /// End the request.
    GiveUp,
}

impl StageProgress {
    /// Decides what to do after an attempt that certainly did not run.
    pub fn after_not_run(&self) -> NextStep {
        if self.in_flight > 0 {
            NextStep::Wait
        } else if self.has_attempts_left() && !self.abandoned {
            NextStep::Retry
        } else {
            NextStep::GiveUp
        }
    }

    /// Decides what to do after an attempt that failed and may have run.
    pub fn after_failure(&self) -> NextStep {
        if self.in_flight > 0 {
            NextStep::Wait
        } else if self.repeatable && self.has_attempts_left() && !self.abandoned {
            NextStep::RetryFromBudget
        } else {
            NextStep::GiveUp
        }
    }

    /// Returns whether an attempt that is late may be hedged, if the retry budget grants it.
    ///
    /// `generates` is true if the stage's service generates tokens. [`hedge_wait`] has checked that the call is
    /// repeatable when the attempt was sent.
    pub fn may_hedge(&self, generates: bool) -> bool {
        self.tokens == 0 && self.has_attempts_left() && !generates
    }

    /// Returns whether the attempts in flight must run to their end although the caller has left: a call that must
    /// not run twice must not be cancelled halfway either.
    pub fn must_complete(&self) -> bool {
        !self.repeatable && self.in_flight > 0
    }

    fn has_attempts_left(&self) -> bool {
        self.attempts_sent < self.max_attempts.0
    }
}
