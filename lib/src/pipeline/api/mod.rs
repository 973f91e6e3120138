//! The pipeline daemon's HTTP interface.

pub mod headers;
pub mod problem;
pub mod server;
pub mod status_client;
pub mod stream;
