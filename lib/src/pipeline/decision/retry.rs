//! Budget of retries and hedges as a share of first attempts.

use crate::shared::units::Share;

/// Retries that a quiet service may make before any traffic has paid for them.
const RESERVE: f64 = 10.0;

/// Counts what first attempts have paid in and retries have taken out.
#[derive(Debug, Clone)]
pub struct RetryBudget {
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
        if self.balance < 1.0 {
            return false;
        }
        self.balance -= 1.0;
        true
    }
}
