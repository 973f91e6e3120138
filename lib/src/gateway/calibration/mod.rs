//! How far the expected times of admitted requests were from the true ones, for each tight route.
//!
//! [`store`] has a record of each route. [`note`] defines the messages of daemons about it, `peers::calibration_reports`
//! decides which daemons get them and when. The rule is [`rules::calibration`](crate::gateway::rules::calibration).

pub mod note;
pub mod store;
