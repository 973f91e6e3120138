//! Answers that holders keep for repeats, in bounded memory.

use {
    crate::{
        claim_message::{ClaimKey, Holder, Settlement},
        units::{Millis, Time},
    },
    foldhash::HashMap,
    std::collections::VecDeque,
};

/// Answers kept, in bytes; the oldest are given up first.
const MAX_BYTES: usize = 8 * 1024 * 1024;

/// Fixed part of a kept answer's size.
const OVERHEAD: usize = 128;

#[derive(Debug, Clone)]
struct Answer {
    holder: Holder,
    settlement: Settlement,
    at: Time,
}

/// Answers by key, the oldest first to go.
#[derive(Debug, Default)]
pub struct Answers {
    answers: HashMap<ClaimKey, Answer>,
    order: VecDeque<(Time, ClaimKey)>,
    bytes: usize,
}

impl Answers {
    /// Returns an attempt's answer.
    pub fn get(&self, key: ClaimKey, holder: &Holder) -> Option<&Settlement> {
        let answer = self.answers.get(&key)?;
        (answer.holder == *holder).then_some(&answer.settlement)
    }

    /// Keeps an attempt's answer.
    pub fn keep(&mut self, now: Time, key: ClaimKey, holder: Holder, settlement: Settlement) {
        self.bytes += OVERHEAD + settlement.size();
        self.order.push_back((now, key));
        let answer = Answer {
            holder,
            settlement,
            at: now,
        };
        if let Some(old) = self.answers.insert(key, answer) {
            self.bytes -= OVERHEAD + old.settlement.size();
        }
        while self.bytes > MAX_BYTES && self.drop_oldest() {}
    }

    /// Gives up the oldest answer; its key stays taken, and repeats hear `unknown`. Returns
    /// whether there was one.
    fn drop_oldest(&mut self) -> bool {
        let Some((at, key)) = self.order.pop_front() else {
            return false;
        };
        if let Some(answer) = self.answers.get_mut(&key)
            && answer.at == at
        {
            self.bytes -= answer.settlement.size();
            answer.settlement = Settlement::Lost;
        }
        true
    }

    /// Forgets answers older than the horizon.
    pub fn expire(&mut self, now: Time, horizon: Millis) {
        while let Some((at, key)) = self.order.front().copied()
            && at + horizon <= now
        {
            self.order.pop_front();
            if let Some(answer) = self.answers.get(&key)
                && answer.at == at
            {
                self.bytes -= OVERHEAD + answer.settlement.size();
                self.answers.remove(&key);
            }
        }
    }
}
