//! Times of this daemon's own reads of the directory.
//!
//! Owns the last answer for each topic and the last failure. How these are judged is the rule
//! [`unconfirmed_entry`](crate::gateway::rules::unconfirmed_entry).

use crate::{
    gateway::{
        directory::source::{TOPICS, Topic},
        rules::unconfirmed_entry::ReadHistory,
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
    /// An answer for the topic is on its way.
    begun: [bool; TOPICS],
}

impl DirectoryContact {
    /// Records an answer for a topic.
    pub(crate) fn record_answer(&mut self, now: Time, topic: Topic) {
        self.reads.answered = Some(now);
        self.topics[topic as usize] = Some(now);
    }

    /// Records that an answer for a topic begins. Its bytes keep coming from now on, or its end is recorded soon.
    pub(crate) fn record_begin(&mut self, topic: Topic) {
        self.begun[topic as usize] = true;
    }

    /// Records that no answer for a topic is on its way any more.
    pub(crate) fn record_end(&mut self, topic: Topic) {
        self.begun[topic as usize] = false;
    }

    /// Returns whether an answer for a topic is on its way.
    pub(crate) fn is_begun(&self, topic: Topic) -> bool {
        self.begun[topic as usize]
    }

    /// Returns the time since the directory last answered for every topic; nothing if there is a topic for which it
    /// never did. An answer that is on its way counts: without it, others call while their reader receives a large
    /// table.
    pub(crate) fn read_age(&self, now: Time) -> Option<Millis> {
        let answers = self.topics.iter().zip(self.begun);
        let times = answers.map(|(last, begun)| if begun { last.map(|_| now) } else { *last });
        let oldest = times.min().flatten()?;
        Some(Millis(now.since(oldest).as_millis() as u64))
    }
}
