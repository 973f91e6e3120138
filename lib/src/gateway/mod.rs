//! Forwards callers' HTTP requests to endpoints, after the stages that a request depends on.
//!
//! A [`Table`](table::Table) defines the routes, a [`Directory`](directory::source::Directory) lists the endpoints, and
//! a [`Dialect`](dialect::Dialect) defines the wire formats of requests and replies. An installation provides only
//! these three; every decision is made here.
//!
//! `rules` contains the decisions as pure functions; `directory`, `routing`, `stages` and `peers` apply them to the
//! state in `state`; `wire` reads and writes HTTP; `serving` starts and stops the daemon.

pub mod calibration;
pub mod dialect;
pub mod directory;
pub mod engines;
pub mod hashes;
pub mod kept_parts;
pub mod loans;
pub mod peers;
pub mod quarantine;
pub mod rates;
pub(crate) mod reach;
pub mod request_digest;
pub mod request_memory;
pub mod reservations;
pub mod revision;
pub mod routing;
pub mod rules;
pub mod serving;
pub mod stages;
pub mod state;
pub mod stream_origins;
pub mod table;
pub mod table_chunks;
pub mod wire;
