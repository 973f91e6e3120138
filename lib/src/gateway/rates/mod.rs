//! Rate limits that overloaded endpoints advertise: the number of requests per second that they take from all daemons
//! together.
//!
//! [`store`] has a record of each endpoint that advertises a limit. [`note`] defines the messages of daemons about it,
//! `peers::rate_reports` decides which daemons get them and when. The rule is
//! [`rules::endpoint_rate`](crate::gateway::rules::endpoint_rate).

pub mod note;
pub(crate) mod permit_queue;
mod record;
pub mod store;
