//! The requests that this daemon served last, so that none of them is refused for what others did.
//!
//! Owns the time of the last good end of each of the last [`SERVED`] ones.

use {
    crate::{gateway::request_digest::RequestDigest, shared::units::Time},
    foldhash::HashMap,
    std::collections::VecDeque,
};

/// Good ends that a daemon remembers (a count). A quarter of a megabyte, and some minutes at 20 requests a second.
const SERVED: usize = 4_096;

/// The last good ends.
#[derive(Debug, Default)]
pub(crate) struct ServedRequests {
    last: HashMap<RequestDigest, Time>,
    order: VecDeque<(RequestDigest, Time)>,
}

impl ServedRequests {
    /// Records a good end.
    pub(crate) fn record(&mut self, now: Time, digest: RequestDigest) {
        self.last.insert(digest, now);
        self.order.push_back((digest, now));
        while self.order.len() > SERVED {
            self.forget_first();
        }
    }

    /// Returns the last good end of a request.
    pub(crate) fn last(&self, digest: &RequestDigest) -> Option<Time> {
        self.last.get(digest).copied()
    }

    fn forget_first(&mut self) {
        if let Some((digest, at)) = self.order.pop_front()
            && self.last.get(&digest) == Some(&at)
        {
            self.last.remove(&digest);
        }
    }
}
