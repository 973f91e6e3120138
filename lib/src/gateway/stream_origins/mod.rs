//! The software versions at which streams began.
//!
//! [`store`] has the origins that this daemon recorded or holds for others, and what it asks others; [`note`] defines the
//! entries of messages, which `peers::origin_reports` sends and receives. The rule is
//! [`rules::stream_origin`](crate::gateway::rules::stream_origin).

pub mod note;
pub mod store;
