//! Rates that endpoints in need name: how many requests a second they take from all daemons together.
//!
//! [`store`] holds what is known of each endpoint that names one.

pub mod store;
