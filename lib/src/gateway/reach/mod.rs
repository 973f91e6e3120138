//! Connections to endpoints: direct ones, and relayed ones through another daemon while this host has no path of its own.
//!
//! All connections for requests, resumed streams, calls of pieces and releases are opened by [`connect`]. `relay_client`
//! and `relay_server` are the two ends of the protocol between daemons (`docs/PROTOCOLS.md`), `relay_copy` copies the
//! bytes, and `relay_frames` marks the end of the endpoint's connection. [`probe`] finds out whether a direct path is back,
//! and whether an endpoint's process has terminated. The rule is
//! [`endpoint_reach`](crate::gateway::rules::endpoint_reach), the reasons are in `docs/design/relays.md`.

pub(crate) mod connect;
pub(crate) mod probe;
mod relay_client;
mod relay_copy;
mod relay_frames;
mod relay_protocol;
pub(crate) mod relay_server;
