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

/// When a request was last served, and when that was last put in order.
#[derive(Debug, Clone, Copy)]
struct LastServed {
    at: Time,
    ordered: Time,
}

/// The requests that this daemon served lately.
#[derive(Debug, Default)]
pub(crate) struct ServedRequests {
    last: HashMap<RequestDigest, LastServed>,
    order: VecDeque<(RequestDigest, Time)>,
}

impl ServedRequests {
    /// Records that a request was served. One that was put in order less than [`RECORD_INTERVAL`] ago isn't put there again,
    /// so that parts which many requests share don't displace the others.
    pub(crate) fn record(&mut self, now: Time, digest: RequestDigest) {
        if let Some(last) = self.last.get_mut(&digest)
            && now < last.ordered + RECORD_INTERVAL
        {
            last.at = last.at.max(now);
            return;
        }
        let last = LastServed {
            at: now,
            ordered: now,
        };
        self.last.insert(digest, last);
        self.order.push_back((digest, now));
        while self.order.len() > SERVED_LIMIT {
            self.drop_oldest();
        }
    }

    /// Returns when a request was last served; `None` if that isn't known any more.
    pub(crate) fn last(&self, digest: &RequestDigest) -> Option<Time> {
        self.last.get(digest).map(|last| last.at)
    }

    fn drop_oldest(&mut self) {
        if let Some((digest, at)) = self.order.pop_front()
            && self
                .last
                .get(&digest)
                .is_some_and(|last| last.ordered == at)
        {
            self.last.remove(&digest);
        }
    }
}
