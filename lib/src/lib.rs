//! The library of hazelyoke: decision rules, settings, and the components of both daemons.
//!
//! Decisions are pure functions, in modules that use neither sockets nor clocks. Network access is behind small traits
//! or in separate adapters.

pub mod gateway;
pub mod pipeline;
pub mod report;
pub mod settings;
pub mod shared;
pub mod timeline;
