//! Tells an endpoint that ended from a connection that broke off.
//!
//! An attempt that breaks off says nothing about its cause: the endpoint may have ended, its connections may have
//! been reset, or it sent half an answer. A connect right after it tells: a process that has ended refuses it.

use {
    crate::gateway::wire::egress::{is_refused, open_stream},
    std::{net::SocketAddr, time::Duration},
};

/// Longest wait for the connect: a living process answers within a round trip between data centres, and whoever waits
/// for the next attempt or a final answer waits for this too.
const CHECK_LIMIT: Duration = Duration::from_millis(100);

/// What a connect to an endpoint shows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndpointCheck {
    /// Nobody listens there: the process has ended.
    Ended,
    /// It accepts connections.
    Alive,
    /// There was no answer: its host or the network may be the cause.
    Silent,
}

/// Looks whether anybody listens at an address.
pub async fn check(address: SocketAddr) -> EndpointCheck {
    match open_stream(address, CHECK_LIMIT).await {
        Ok(_) => EndpointCheck::Alive,
        Err(error) if is_refused(&error) => EndpointCheck::Ended,
        // A reset, no way there, or no answer in time.
        Err(_) => EndpointCheck::Silent,
    }
}
