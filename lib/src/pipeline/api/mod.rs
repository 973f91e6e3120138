//! The pipeline daemon's HTTP interface for callers and operators.
//!
//! `server` defines the paths. `call` runs one request: it checks the `headers`, reads the `body`, submits the request
//! to the node, and returns a whole answer, a `stream` or a `problem`. `context` is the state shared by all handlers.
//! `status_client` reads another daemon's status. The doc comments of handlers and bodies are published in
//! `docs/openapi.json`.

pub(crate) mod body;
pub(crate) mod call;
pub mod context;
pub mod headers;
pub mod problem;
pub mod server;
pub mod status_client;
pub mod stream;
