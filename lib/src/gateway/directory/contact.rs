//! Times of this daemon's own reads of the directory.
//!
//! Owns the last answer for each topic and the last failure. How these are judged is the rule
//! [`suspect_entry`](crate::gateway::rules::suspect_entry).

use crate::{
    gateway::{
        directory::source::{TOPICS, Topic},
        rules::suspect_entry::ReadHistory,
    },
    shared::units::{Millis, Time},
};

/// Times of this daemon's own reads of the directory.
#[derive(Debug, Clone, Copy, Default)]
pub struct DirectoryContact {
    /// Last answer and last failure, whatever the topic.
    pub reads: ReadHistory,
    /// Last answer for each topic.
    topics: [Option<Time>; TOPICS],
}

impl DirectoryContact {
    /// Records an answer for a topic.
    pub(crate) fn record_answer(&mut self, now: Time, topic: Topic) {
        self.reads.answered = Some(now);
        self.topics[topic as usize] = Some(now);
    }

    /// Returns the time since the directory last answered for every topic; nothing if there is a
    /// topic for which it never did.
    pub(crate) fn read_age(&self, now: Time) -> Option<Millis> {
        let oldest = self.topics.iter().copied().min().flatten()?;
        Some(Millis(now.since(oldest).as_millis() as u64))
    }
}
