//! Follows the directory that publishes the table and the endpoints.

pub mod adopt_table;
pub(crate) mod apply;
pub mod catalogue;
pub(crate) mod change_log;
pub mod contact;
pub(crate) mod coverage;
pub mod follow;
pub(crate) mod outage;
pub mod source;
