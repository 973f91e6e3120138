//! The requests that this daemon served lately, so that none of them is refused because of other requests that
//! terminate endpoints; and the parts of their prompts, likewise.
//!
//! The last [`SERVED_LIMIT`] successful ends are kept, with their times.

use {
    crate::{
        gateway::request_digest::RequestDigest,
        shared::units::{Millis, Time},
    },
    foldhash::HashMap,
    std::collections::VecDeque,
};

/// Largest number of successful ends that a daemon keeps. They take a quarter of a megabyte and reach back some minutes
/// at 20 requests per second.
const SERVED_LIMIT: usize = 4_096;

/// Shortest time between two records of the same request or part.
const RECORD_INTERVAL: Millis = Millis(1_000);

/// The requests that this daemon served lately.
#[derive(Debug, Default)]
pub(crate) struct ServedRequests {
    last: HashMap<RequestDigest, Time>,
    order: VecDeque<(RequestDigest, Time)>,
}

impl ServedRequests {
    /// Records that a request was served. One that was recorded less than [`RECORD_INTERVAL`] ago isn't recorded again,
    /// so that parts which many requests share don't displace the others.
    pub(crate) fn record(&mut self, now: Time, digest: RequestDigest) {
        if self
            .last(&digest)
            .is_some_and(|last| now < last + RECORD_INTERVAL)
        {
            return;
        }
        self.last.insert(digest, now);
        self.order.push_back((digest, now));
        while self.order.len() > SERVED_LIMIT {
            self.drop_oldest();
        }
    }

    /// Returns when a request was last served; `None` if that isn't known any more.
    pub(crate) fn last(&self, digest: &RequestDigest) -> Option<Time> {
        self.last.get(digest).copied()
    }

    fn drop_oldest(&mut self) {
        if let Some((digest, at)) = self.order.pop_front()
            && self.last.get(&digest) == Some(&at)
        {
            self.last.remove(&digest);
        }
    }
}
