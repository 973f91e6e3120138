//! Chooses which of a route's services gets a request.
//!
//! Inputs: the request's id and the weights of the route's services.
//!
//! Rule: a hash of the id selects a service, with a probability proportional to its weight. The same id selects the
//! same service on every daemon.
//!
//! Reason: a request that its caller sends again through another host must not change its service.

use std::hash::{BuildHasher, Hash};

/// Picks one of several weighted choices by a hash of `seed`; `None` only if there are no choices.
pub fn weighted<T>(seed: impl Hash, choices: &[T], weight: impl Fn(&T) -> f64) -> Option<&T> {
    let total: f64 = choices.iter().map(&weight).sum();
    let hash = foldhash::fast::FixedState::default().hash_one(seed);
    let mut point = (hash as f64 / u64::MAX as f64) * total;
    for choice in choices {
        point -= weight(choice);
        if point < 0.0 {
            return Some(choice);
        }
    }
    choices.last()
}
