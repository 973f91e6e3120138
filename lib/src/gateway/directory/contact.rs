//! Times of this daemon's local reads of the directory.
//!
//! Owns the time of the last answer for each topic, and of the last failure. The rule
//! [`unconfirmed_entry`](crate::gateway::rules::unconfirmed_entry) decides whether they amount to an outage.

use crate::{
    gateway::{
        directory::source::{TOPIC_COUNT, Topic},
        rules::unconfirmed_entry::ReadHistory,
    },
    shared::units::{Millis, Time},
};

/// Times of this daemon's local reads of the directory, without reads by peers.
#[derive(Debug, Clone, Copy, Default)]
pub struct DirectoryContact {
    /// Times of the last answer and of the last failure for any topic.
    pub reads: ReadHistory,
    /// Time of the first failure since the last answer; `None` if there is none.
    lost_since: Option<Time>,
    /// Time of the last answer for each topic; `None` before the first one.
    answered: [Option<Time>; TOPIC_COUNT],
    /// For each topic, whether an answer is being received.
    receiving: [bool; TOPIC_COUNT],
    /// Time up to which this daemon has certainly read all changes of endpoints; `None` before the first such read.
    current: Option<Time>,
    /// Latest time up to which changes of endpoints are wanted.
    wanted: Option<Time>,
}

impl DirectoryContact {
    /// Records a complete answer for a topic.
    pub(crate) fn record_answer(&mut self, now: Time, topic: Topic) {
        self.reads.answered = Some(now);
        self.lost_since = None;
        self.answered[topic as usize] = Some(now);
    }

    /// Records that all changes of endpoints up to a time were read.
    pub(crate) fn record_changes(&mut self, until: Option<Time>) {
        self.current = self.current.max(until);
    }

    /// Returns whether all changes of endpoints up to a time are known.
    pub(crate) fn is_current(&self, time: Time) -> bool {
        self.current >= Some(time)
    }

    /// Records that changes of endpoints up to a time are wanted.
    pub(crate) fn want_changes(&mut self, time: Time) {
        self.wanted = self.wanted.max(Some(time));
    }

    /// Returns whether changes of endpoints are wanted that a call from `began` on may not return.
    pub(crate) fn wants_call(&self, began: Option<Time>) -> bool {
        self.wanted.is_some() && self.wanted > self.current.max(began)
    }

    /// Records a read that failed.
    pub(crate) fn record_failure(&mut self, now: Time) {
        self.reads.failed = Some(now);
        self.lost_since.get_or_insert(now);
    }

    /// Returns the time since which reads have only failed; `None` if the last one was answered.
    pub(crate) fn lost_since(&self) -> Option<Time> {
        self.lost_since
    }

    /// Records that an answer for a topic has begun. From now on its bytes keep arriving, or its end is recorded soon.
    pub(crate) fn begin_answer(&mut self, topic: Topic) {
        self.receiving[topic as usize] = true;
    }

    /// Records that no answer for a topic is being received any more.
    pub(crate) fn end_answer(&mut self, topic: Topic) {
        self.receiving[topic as usize] = false;
    }

    /// Returns whether an answer for a topic is being received.
    pub(crate) fn is_receiving(&self, topic: Topic) -> bool {
        self.receiving[topic as usize]
    }

    /// Returns the time since the directory last answered for the topic whose answer is oldest; `None` if it never
    /// answered for some topic. An answer that is being received counts as given now: otherwise other daemons would
    /// call the directory while their reader receives a large table.
    pub(crate) fn read_age(&self, now: Time) -> Option<Millis> {
        let answers = self.answered.iter().zip(self.receiving);
        let times =
            answers.map(|(last, receiving)| if receiving { last.map(|_| now) } else { *last });
        let oldest = times.min().flatten()?;
        Some(Millis(now.since(oldest).as_millis() as u64))
    }
}
