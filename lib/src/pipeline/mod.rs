//! The daemon that runs the pipelines of a settings tree: its HTTP interface, decisions and clients of endpoints.

pub mod api;
pub mod config_service;
pub mod daemon;
pub mod daemon_settings;
pub mod decision;
pub mod endpoints;
pub mod metrics;
pub mod node;
mod status_view;
pub mod trace;
mod trace_collector;
