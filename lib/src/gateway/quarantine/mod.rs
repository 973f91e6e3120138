//! Requests under which endpoints terminated, as this daemon knows them.
//!
//! [`evidence`] is about one request, [`store`] has the evidence about a bounded number of requests. [`note`] defines
//! the messages of daemons about it, `peers::quarantine_reports` decides which daemons get them and when. The rule is
//! [`rules::quarantine`](crate::gateway::rules::quarantine).

pub mod evidence;
pub mod note;
pub(crate) mod served;
pub mod store;
