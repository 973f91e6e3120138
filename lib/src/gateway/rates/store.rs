//! The endpoints that name a rate, as this daemon knows them.
//!
//! Owns what each said last. It has no clock: callers pass the time.

use {
    crate::{
        gateway::{dialect::NamedRate, hashes::LifeHash},
        shared::units::{Rate, Time},
    },
    foldhash::HashMap,
};

/// A change of what an endpoint takes.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum RateChange {
    /// It names a rate from now on.
    Began(Rate),
    /// It names another one.
    Changed(Rate),
    /// It names none any more.
    Ended,
}

/// The rate that a reply of an endpoint names, if any.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SeenRate {
    /// What the reply names.
    pub named: Option<NamedRate>,
    /// When the request was sent.
    pub sent: Time,
}

#[derive(Debug, Clone, Copy)]
struct Record {
    rate: Rate,
    /// Since when this daemon knows that the endpoint names a rate.
    since: Time,
    /// A reply without a clear rate was reported.
    reported: bool,
}

/// The endpoints that name a rate.
#[derive(Debug, Default)]
pub struct EndpointRates {
    records: HashMap<LifeHash, Record>,
}

impl EndpointRates {
    /// Returns the number of endpoints that name a rate.
    pub fn limited(&self) -> usize {
        self.records.len()
    }

    /// Returns the rate that an endpoint names.
    pub fn rate(&self, life: LifeHash) -> Option<Rate> {
        self.records.get(&life).map(|record| record.rate)
    }

    /// Records what a reply says. One that names no rate ends the last one only if its request was sent after
    /// that was known: others may have been on their way.
    pub fn observe(&mut self, now: Time, life: LifeHash, seen: SeenRate) -> Option<RateChange> {
        let Some(named) = seen.named else {
            return self.end(life, seen.sent);
        };
        let Some(record) = self.records.get_mut(&life) else {
            let record = Record {
                rate: named.rate,
                since: now,
                reported: false,
            };
            self.records.insert(life, record);
            return Some(RateChange::Began(named.rate));
        };
        let is_changed = record.rate != named.rate;
        record.rate = named.rate;
        is_changed.then_some(RateChange::Changed(named.rate))
    }

    fn end(&mut self, life: LifeHash, sent: Time) -> Option<RateChange> {
        let record = self.records.get(&life)?;
        if sent <= record.since {
            return None;
        }
        self.records.remove(&life);
        Some(RateChange::Ended)
    }

    /// Returns whether it is the first time that an endpoint names no clear rate.
    pub fn is_first_unclear(&mut self, life: LifeHash) -> bool {
        let record = self.records.get_mut(&life);
        record.is_some_and(|record| !std::mem::replace(&mut record.reported, true))
    }

    /// Forgets an endpoint.
    pub fn forget(&mut self, life: LifeHash) {
        self.records.remove(&life);
    }
}
