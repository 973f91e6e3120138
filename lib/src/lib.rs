//! The library behind hazelyoke: decisions, settings and the daemon's parts.
//!
//! Everything that decides is pure and lives in modules without sockets or clocks; everything that
//! talks stands behind a small trait or in an adapter of its own.

pub mod gateway;
pub mod pipeline;
pub mod report;
pub mod settings;
pub mod shared;
pub mod timeline;
