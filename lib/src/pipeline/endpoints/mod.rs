//! Clients for the endpoints of pipelines.

pub(crate) mod engine_client;
pub(crate) mod http_call;
pub(crate) mod http_get;
pub mod http_transport;
pub(crate) mod plain_client;
pub mod wire;
