//! Forwarding of callers' own HTTP requests to endpoints, with the work that must come before.
//!
//! A [`Table`](table::Table) says which route a request takes, a
//! [`Directory`](directory::source::Directory) which endpoints there are, and a
//! [`Dialect`](dialect::Dialect) how requests and replies are spelled. Everything that decides is
//! here; an installation brings only those three translations.

pub mod dialect;
pub mod directory;
pub mod hashes;
pub mod peers;
pub mod routing;
pub mod rules;
pub mod serving;
pub mod stages;
pub mod state;
pub mod table;
pub mod wire;
