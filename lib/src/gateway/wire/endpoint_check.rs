//! Checks whether an endpoint has terminated after a connection to it failed.
//!
//! A failed attempt doesn't show its cause: the endpoint may have terminated, its connections may have been reset, or
//! it may have sent half an answer. A new connection right after it does: it is refused if the process has terminated.

use {
    crate::gateway::wire::egress::{ENDPOINT_SILENCE, is_refused, open_stream},
    std::{net::SocketAddr, time::Duration},
};

/// Maximum time to connect. A running process answers within a round trip between data centres, and the check delays
/// the next attempt or the final answer.
const CHECK_LIMIT: Duration = Duration::from_millis(100);

/// State of an endpoint's process according to a connection attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndpointCheck {
    /// The connection was refused: no process listens there, so the endpoint has terminated.
    Terminated,
    /// The connection was accepted.
    Alive,
    /// There was no answer, or another error; the cause may be the host or the network.
    Silent,
}

/// Checks whether a process listens at an address.
pub async fn check(address: SocketAddr) -> EndpointCheck {
    match open_stream(address, CHECK_LIMIT, ENDPOINT_SILENCE).await {
        Ok(_) => EndpointCheck::Alive,
        Err(error) if is_refused(&error) => EndpointCheck::Terminated,
        // Reset, unreachable, or no answer in time.
        Err(_) => EndpointCheck::Silent,
    }
}
