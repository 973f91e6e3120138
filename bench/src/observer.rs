//! Checks the daemons' guarantees: compares the replies that callers got with the calls that ran at the endpoints.

use {
    crate::{
        caller::{Ending, Outcome},
        replica::Replica,
    },
    serde::Serialize,
    std::{
        collections::{BTreeMap, BTreeSet},
        fmt,
    },
};

/// Number of broken guarantees by kind; all zero in a good run.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct Breaches {
    /// Replies that differ from the expected answer of their request.
    pub wrong: u64,
    /// Requests that were reported as `not_run` although a call of them ran.
    pub false_not_run: u64,
    /// Calls of services that aren't repeatable that ran more than once under one idempotency key.
    pub run_twice: u64,
    /// Attempts without a final reply.
    pub unanswered: u64,
}

impl Breaches {
    /// Returns the number of broken guarantees of all kinds.
    pub fn total(&self) -> u64 {
        self.wrong + self.false_not_run + self.run_twice + self.unanswered
    }
}

impl fmt::Display for Breaches {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "false not_run: {}", self.false_not_run)?;
        writeln!(f, "run twice: {}", self.run_twice)?;
        writeln!(f, "unanswered: {}", self.unanswered)?;
        write!(f, "wrong answers: {}", self.wrong)
    }
}

/// Endings of attempts, recorded until the run has ended.
#[derive(Debug, Default)]
pub struct Observer {
    wrong: u64,
    unanswered: u64,
    not_run: BTreeSet<String>,
}

impl Observer {
    /// Records how the attempts of one request ended.
    pub fn add(&mut self, outcome: &Outcome) {
        for attempt in outcome.attempts() {
            match &attempt.ending {
                Ending::WrongAnswer => self.wrong += 1,
                Ending::Unanswered(_) => self.unanswered += 1,
                // A request without an id was never accepted by a daemon.
                Ending::NotRun(_) => self.not_run.extend(attempt.request.clone()),
                Ending::Answered | Ending::Unknown(_) => {}
            }
        }
    }

    /// Returns the guarantees that were broken, given the calls that ran at the endpoints.
    pub fn find_breaches(&self, replicas: &[Replica]) -> Breaches {
        let mut false_not_run = BTreeSet::new();
        let mut guarded: BTreeMap<_, u64> = BTreeMap::new();
        for replica in replicas {
            let service = &replica.service;
            let repeatable = service.settings.repeatable.value;
            for run in replica
                .incarnations()
                .iter()
                .flat_map(|incarnation| incarnation.runs())
            {
                if self.not_run.contains(&run.request) {
                    false_not_run.insert(run.request);
                }
                if let Some(key) = run.key.filter(|_| !repeatable) {
                    *guarded.entry((&service.id, key)).or_default() += 1;
                }
            }
        }
        Breaches {
            wrong: self.wrong,
            false_not_run: false_not_run.len() as u64,
            run_twice: guarded.values().filter(|runs| **runs > 1).count() as u64,
            unanswered: self.unanswered,
        }
    }
}
