//! Timers of a core.

use {
    crate::shared::{
        ids::{AttemptId, RequestId},
        units::Time,
    },
    std::{cmp::Reverse, collections::BinaryHeap},
};

/// What a timer is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Timer {
    /// A request's time is over.
    Deadline(RequestId),
    /// An attempt has waited long enough for a second one beside it.
    Hedge(AttemptId),
}

/// Timers by due time; one whose matter has ended stays until it is due and then does nothing.
#[derive(Debug, Default)]
pub struct Timers {
    heap: BinaryHeap<Reverse<(Time, Timer)>>,
}

impl Timers {
    /// Adds a timer.
    pub fn add(&mut self, due: Time, timer: Timer) {
        self.heap.push(Reverse((due, timer)));
    }

    /// Returns when the next timer is due.
    pub fn next(&self) -> Option<Time> {
        self.heap.peek().map(|Reverse((due, _))| *due)
    }

    /// Takes a timer that is due.
    pub fn pop(&mut self, now: Time) -> Option<Timer> {
        if self.next()? > now {
            return None;
        }
        self.heap.pop().map(|Reverse((_, timer))| timer)
    }
}
