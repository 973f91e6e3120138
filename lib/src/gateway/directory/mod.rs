//! Follows the directory that publishes the table and the endpoints, and applies what the directory or peers
//! report.
//!
//! - `source` defines the directory as a trait, and `follow` reads it.
//! - `coverage` leaves the reads to peers where the rule allows it.
//! - `adopt_table`, `apply` and `evacuate` change the daemon's state.
//! - `catalogue`, `change_log`, `departed`, `endpoint_entry` and `refused_entries` hold the list of endpoints.
//! - `evacuations` holds the evacuated data centres.
//! - `contact` and `outage` record the results of this daemon's reads.

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
