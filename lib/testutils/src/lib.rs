//! Stand-ins for the systems around hazelyoke: endpoints and the configuration service.
//!
//! They speak the protocols of `docs/PROTOCOLS.md` on loopback, take time as real ones do, and
//! misbehave on request. Tests and the bench share them.

pub mod collector;
pub mod config_service;
pub mod core_run;
pub mod draws;
pub mod endpoint;
pub mod engine;
pub mod expect;
pub mod faults;
pub mod fixture;
pub mod held_port;
pub mod http_client;
pub mod http_server;
pub mod one_value;
pub mod plain;
pub mod prefix_cache;
pub mod seeds;
pub mod test_log;
