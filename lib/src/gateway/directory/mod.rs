//! Follows the directory that publishes the table and the endpoints, and applies what it or peers
//! report.
//!
//! `source` is the directory as a trait, `follow` reads it, `coverage` leaves the reading to peers
//! where the rule allows it, `adopt_table` and `apply` change the daemon's state, `catalogue` and
//! `change_log` hold the list of endpoints, `contact` and `outage` the daemon's own reads.

pub mod adopt_table;
pub(crate) mod apply;
pub mod catalogue;
pub(crate) mod change_log;
pub mod contact;
pub(crate) mod coverage;
pub mod follow;
pub(crate) mod outage;
pub mod source;
