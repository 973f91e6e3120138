//! The pipeline daemon's HTTP interface.

pub(crate) mod body;
pub(crate) mod call;
pub mod context;
pub mod headers;
pub mod problem;
pub mod server;
pub mod status_client;
pub mod stream;
