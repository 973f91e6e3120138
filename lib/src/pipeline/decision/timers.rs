//! Timers of a core: when a request's deadline passes, and when an attempt may be hedged.
//!
//! The core asks for the next one and pops those that are due; the shell sleeps in between.

use {
    crate::shared::{
        ids::{AttemptId, RequestId},
        units::Time,
    },
    std::{cmp::Reverse, collections::BinaryHeap},
};

/// Purpose of a timer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Timer {
    /// A request's deadline has passed.
    Deadline(RequestId),
    /// An attempt has waited long enough for a second one beside it.
    Hedge(AttemptId),
}

/// Timers by due time; one whose request or attempt has ended stays until it is due and then does
/// nothing.
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

    /// Removes and returns a timer that is due at `now`; none if there isn't any.
    pub fn pop(&mut self, now: Time) -> Option<Timer> {
        if self.next()? > now {
            return None;
        }
        self.heap.pop().map(|Reverse((_, timer))| timer)
    }
}
