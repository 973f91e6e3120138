//! Follows the directory that publishes the table and the endpoints, and applies what it or peers
//! report.
//!
//! `source` is the directory as a trait, `follow` reads it, `coverage` leaves the reading to peers
//! where the rule allows it, `adopt_table`, `apply` and `evacuate` change the daemon's state, `catalogue` and
//! `change_log` hold the list of endpoints, `evacuations` the evacuated data centres, `contact` and `outage` the daemon's own reads.

pub mod adopt_table;
pub(crate) mod apply;
pub mod catalogue;
pub(crate) mod change_log;
pub mod contact;
pub(crate) mod coverage;
pub(crate) mod departed;
pub mod endpoint_entry;
pub(crate) mod evacuate;
pub mod evacuations;
pub mod follow;
pub(crate) mod outage;
pub(crate) mod refused_entries;
pub mod source;
