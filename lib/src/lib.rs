//! The library behind hazelyoke: decisions, settings and the daemon's parts.
//!
//! Everything that decides is pure and lives in modules without sockets or clocks; everything that
//! talks stands behind a small trait or in an adapter of its own.

pub mod adoption;
pub mod api;
pub mod api_headers;
pub mod api_problem;
pub mod api_stream;
pub mod config_service;
pub mod core;
mod core_admit;
pub mod core_attempt;
pub mod core_state;
pub mod daemon;
pub mod daemon_settings;
pub mod diff;
pub mod document;
pub mod endpoint;
mod engine_client;
pub mod estimate;
pub mod fair;
pub mod findings;
pub mod gateway;
pub mod health;
pub mod http_call;
mod http_transport;
pub mod ids;
mod invariant;
mod json;
pub mod limit;
pub mod metrics;
pub mod node;
mod plain_client;
pub mod policy;
pub mod policy_choice;
pub mod policy_estimated;
pub mod policy_naive;
pub mod pool;
pub mod prefix;
pub mod problem;
pub mod raw_tree;
pub mod request;
pub mod retry;
pub mod settings;
pub mod sse;
pub mod status;
pub mod story;
pub mod trace;
pub mod tree;
mod tree_check;
pub mod units;
pub mod wire;
