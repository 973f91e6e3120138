//! The pipeline daemon's HTTP interface.

pub mod headers;
pub mod problem;
pub mod server;
pub mod stream;
