//! The pipeline daemon's HTTP interface for callers and operators.
//!
//! `server` describes the paths; `call` carries one call through `headers`, `body`, the node, and
//! `problem` or `stream`; `context` holds what all calls share. The documentation of the handlers and
//! bodies is published in `docs/openapi.json`.

pub(crate) mod body;
pub(crate) mod call;
pub mod context;
pub mod headers;
pub mod problem;
pub mod server;
pub mod status_client;
pub mod stream;
