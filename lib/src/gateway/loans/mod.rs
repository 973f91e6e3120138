//! Connections of endpoints that daemons lend each other.
//!
//! [`store`] has what this daemon lent and borrowed. [`note`] defines the messages of daemons about it, `peers::loan_reports`
//! sends them. The rule is [`rules::connection_loan`](crate::gateway::rules::connection_loan).

pub mod note;
pub mod store;
