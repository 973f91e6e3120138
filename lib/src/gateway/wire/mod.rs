//! HTTP connections, headers, event streams and reply bodies of the forwarding daemon.

pub mod body_memory;
pub mod egress;
pub mod endpoint_check;
pub mod event_stream;
pub(crate) mod headers;
pub(crate) mod listen;
pub mod read_guard;
pub mod reply;
