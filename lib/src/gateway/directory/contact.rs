//! How far a daemon can read the directory.

use crate::{
    gateway::directory::source::TOPICS,
    shared::units::{Millis, Time},
};

/// Time without a failed read after which the directory counts as steady for this daemon.
const CALM: Millis = Millis(3_000);

/// Time after a failed read of the directory during which vanished entries are doubted.
const OUTAGE: Millis = Millis(1_500);

/// How far the directory can be read.
#[derive(Debug, Clone, Copy, Default)]
pub struct DirectoryContact {
    /// Last answer.
    pub heard: Option<Time>,
    /// Last failure.
    pub failed: Option<Time>,
    /// Last answer for each topic.
    pub(crate) topics: [Option<Time>; TOPICS],
}

impl DirectoryContact {
    /// Returns whether the directory failed lately.
    pub fn is_doubtful(&self, now: Time) -> bool {
        self.failed
            .is_some_and(|failed| now.since(failed) < OUTAGE.to_duration())
    }

    /// Returns whether the directory has been read without a failure for a while.
    pub fn is_steady(&self, now: Time) -> bool {
        let since = self.failed.unwrap_or_default();
        let heard = self.heard.unwrap_or_default();
        let reads = now.since(heard) < CALM.to_duration();
        self.heard.is_some() && reads && !self.is_lost() && now.since(since) > CALM.to_duration()
    }

    /// Returns the time since the directory last answered for every topic.
    pub(crate) fn read_age(&self, now: Time) -> Option<Millis> {
        let oldest = self.topics.iter().copied().min().flatten()?;
        Some(Millis(now.since(oldest).as_millis() as u64))
    }

    /// Returns whether the directory can't be read just now.
    pub fn is_lost(&self) -> bool {
        self.failed > self.heard
    }
}
