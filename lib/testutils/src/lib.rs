//! Test doubles for the systems around hazelyoke, such as endpoints and the configuration service, and helpers for
//! tests.
//!
//! The test doubles implement the protocols of `docs/PROTOCOLS.md` on loopback, take time as real systems do, and
//! inject faults on request. Tests and the bench use them.

pub mod collector;
pub mod config_service;
pub mod core_run;
pub mod draws;
pub mod endpoint;
pub mod engine;
pub mod expect;
pub mod faults;
pub mod fixture;
pub mod http_client;
pub mod http_server;
pub mod one_value;
pub mod plain;
pub mod prefix_cache;
pub mod reserved_port;
pub mod seeds;
pub mod test_log;
