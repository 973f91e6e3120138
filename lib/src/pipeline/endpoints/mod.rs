//! HTTP clients for the endpoints of pipelines.
//!
//! `dispatch` passes each call to `plain_client` or `engine_client`. Both use `http_call` for requests and bodies,
//! `http_transport` for connections and `reply_head` to check the head of a reply. `wire` defines the headers, paths
//! and bodies of the protocol. `http_get` reads reports and values by GET.

mod dispatch;
pub(crate) mod engine_client;
pub(crate) mod http_call;
pub(crate) mod http_get;
pub mod http_transport;
pub(crate) mod plain_client;
pub mod reply_head;
pub mod wire;
