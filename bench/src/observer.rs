//! Compares what callers were told with what ran at the endpoints.

use {
    crate::{
        caller::{Ending, Outcome},
        installation::Slot,
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        sync::Arc,
    },
};

/// Promises that were broken; all zero in a good run.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, serde::Serialize)]
pub struct Breaches {
    /// Answers that weren't the request's own.
    pub wrong: u64,
    /// Requests told `not_run` of which something ran.
    pub false_not_run: u64,
    /// Calls that may not be repeated and ran more than once under one key.
    pub doubled: u64,
    /// Requests without any final answer.
    pub unanswered: u64,
}

/// What the observer remembers of the callers.
#[derive(Debug, Default)]
pub struct Observer {
    wrong: u64,
    unanswered: u64,
    not_run: BTreeSet<String>,
}

impl Observer {
    /// Takes one outcome in.
    pub fn add(&mut self, outcome: &Outcome) {
        for attempt in &outcome.tries {
            match &attempt.ending {
                Ending::Wrong => self.wrong += 1,
                Ending::Broken(_) => self.unanswered += 1,
                Ending::NotRun(_) => self.not_run.extend(attempt.request.clone()),
                Ending::Answered | Ending::Unknown(_) => {}
            }
        }
    }

    /// Looks at what ran at the endpoints.
    pub fn judge(&self, slots: &[Arc<Slot>]) -> Breaches {
        let mut false_not_run = BTreeSet::new();
        let mut guarded: BTreeMap<(String, String), u64> = BTreeMap::new();
        for slot in slots {
            let repeatable = slot.service.settings.repeatable.value;
            for run in slot.lives().iter().flat_map(|life| life.runs()) {
                if self.not_run.contains(&run.request) {
                    false_not_run.insert(run.request.clone());
                }
                if let Some(key) = run.key.filter(|_| !repeatable) {
                    let service = slot.service.id.to_string();
                    *guarded.entry((service, key)).or_default() += 1;
                }
            }
        }
        Breaches {
            wrong: self.wrong,
            false_not_run: false_not_run.len() as u64,
            doubled: guarded.values().filter(|runs| **runs > 1).count() as u64,
            unanswered: self.unanswered,
        }
    }
}
