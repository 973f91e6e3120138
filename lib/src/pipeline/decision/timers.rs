//! Timers of a core, for requests' deadlines and for hedges.
//!
//! The core adds timers and removes those that are due; the shell sleeps until the next one.

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
    /// An attempt has been in flight for long enough to be hedged.
    Hedge(AttemptId),
}

/// Timers ordered by due time. The timer of a request or attempt that has ended stays until it is due and then has no
/// effect.
#[derive(Debug, Default)]
pub struct Timers {
    heap: BinaryHeap<Reverse<(Time, Timer)>>,
}

impl Timers {
    /// Adds a timer.
    pub fn add(&mut self, due: Time, timer: Timer) {
        self.heap.push(Reverse((due, timer)));
    }

    /// Returns the time at which the next timer is due; `None` if there is none.
    pub fn next(&self) -> Option<Time> {
        self.heap.peek().map(|Reverse((due, _))| *due)
    }

    /// Removes and returns a timer that is due at `now`; `None` if there is none.
    pub fn pop(&mut self, now: Time) -> Option<Timer> {
        if self.next()? > now {
            return None;
        }
        self.heap.pop().map(|Reverse((_, timer))| timer)
    }
}
