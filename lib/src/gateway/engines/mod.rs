//! What this daemon knows of the engines of tight services: how long their first events take.
//!
//! [`store`] has a model of each tight service. [`evidence`] keeps the samples of this daemon and the latest reports of
//! others, [`note`] defines the messages, `peers::engine_reports` sends them within
//! the bounds of [`join_reports`]. The rules are
//! [`rules::engine_model`](crate::gateway::rules::engine_model) and
//! [`rules::engine_speed`](crate::gateway::rules::engine_speed).

pub mod evidence;
pub mod join_reports;
pub mod note;
pub mod service_model;
pub mod store;
