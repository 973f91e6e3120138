//! Connections to endpoints.

pub(crate) mod connect;
