//! Forwarding of callers' own HTTP requests to endpoints, with the work that must come before.
//!
//! A [`Table`](table::Table) says which route a request takes, a
//! [`Directory`](directory::source::Directory) which endpoints there are, and a
//! [`Dialect`](dialect::Dialect) how requests and replies are spelled. An installation brings only those
//! three translations; every decision is made here.
//!
//! `rules` holds the decisions, pure; `directory`, `routing`, `stages` and `peers` carry them out on
//! the state in `state`; `wire` reads and writes HTTP; `serving` starts and stops all of it.

pub mod dialect;
pub mod directory;
pub mod hashes;
pub mod peers;
pub mod quarantine;
pub mod rates;
pub mod request_digest;
pub mod revision;
pub mod routing;
pub mod rules;
pub mod serving;
pub mod stages;
pub mod state;
pub mod table;
pub mod table_parts;
pub mod wire;
