//! Rates that endpoints in need name: how many requests a second they take from all daemons together.
//!
//! [`store`] holds a record of each endpoint that names one; [`note`] is what daemons tell each other of it. The rule is
//! [`rules::endpoint_rate`](crate::gateway::rules::endpoint_rate); who is told, and when, is a matter of
//! `peers::rate_news`.

pub mod note;
pub(crate) mod permit_queue;
mod record;
pub mod store;
