//! Clients for the endpoints of pipelines.
//!
//! `dispatch` carries out the core's calls: by `plain_client` or `engine_client`, which share
//! `http_call`, the connections of `http_transport` and the rule in `reply_head`. `wire` holds the
//! protocol's names and forms, `http_get` reads single resources.

mod dispatch;
pub(crate) mod engine_client;
pub(crate) mod http_call;
pub(crate) mod http_get;
pub mod http_transport;
pub(crate) mod plain_client;
pub mod reply_head;
pub mod wire;
