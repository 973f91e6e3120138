//! Binds all addresses of a forwarding daemon before it starts any task.
//!
//! [`peers`] binds the two sockets for other daemons, which share one port number.

use {
    crate::gateway::{peers, serving::settings::GatewaySettings},
    std::{io, net::SocketAddr},
    thiserror::Error,
    tokio::net::{TcpListener, UdpSocket},
};

/// Reports an address of the settings that can't be bound.
#[derive(Debug, Error)]
#[error(
    "can't listen for {purpose} on {address}: {source}; is the address free, and does it belong to this host?"
)]
pub struct BindError {
    /// Purpose of the address, as the message names it: `peers`, `callers`, `readiness`, `operators` or `metrics`.
    pub purpose: &'static str,
    /// Address from the settings.
    pub address: SocketAddr,
    /// Error that the operating system returned.
    pub source: io::Error,
}

/// A listener with the address that it is bound to; its port differs from the settings if they leave it to the system.
#[derive(Debug)]
pub(crate) struct BoundListener {
    pub(crate) listener: TcpListener,
    pub(crate) address: SocketAddr,
}

impl BoundListener {
    async fn new(purpose: &'static str, address: SocketAddr) -> Result<Self, BindError> {
        let failed = |source| BindError {
            purpose,
            address,
            source,
        };
        let listener = TcpListener::bind(address).await.map_err(failed)?;
        let address = listener.local_addr().map_err(failed)?;
        Ok(Self { listener, address })
    }
}

/// All listening sockets of a daemon.
#[derive(Debug)]
pub(crate) struct Sockets {
    /// Listener for links from other daemons.
    pub(crate) links: TcpListener,
    /// Socket for datagrams to and from other daemons, heartbeats among them.
    pub(crate) datagrams: UdpSocket,
    /// Address of `links` and `datagrams`.
    pub(crate) peer: SocketAddr,
    /// Listener for callers.
    pub(crate) callers: BoundListener,
    /// Listener for readiness checks.
    pub(crate) ready: BoundListener,
    /// Listener for operators, if the settings have an address for it.
    pub(crate) operators: Option<BoundListener>,
    /// Additional listener for metrics, if the settings have an address for it and it could be bound.
    pub(crate) metrics: Option<BoundListener>,
}

impl Sockets {
    /// Binds all addresses of the settings.
    ///
    /// # Errors
    ///
    /// Returns the first address that can't be bound. The additional address for metrics is optional: a failure to bind
    /// it is only logged.
    pub(crate) async fn bind(settings: &GatewaySettings) -> Result<Self, BindError> {
        let failed = |source| BindError {
            purpose: "peers",
            address: settings.peer,
            source,
        };
        let (links, datagrams) = peers::sockets::bind(settings.peer).await.map_err(failed)?;
        let peer = links.local_addr().map_err(failed)?;
        let callers = BoundListener::new("callers", settings.listen).await?;
        let ready = BoundListener::new("readiness", settings.ready).await?;
        let operators = match settings.operator {
            Some(address) => Some(BoundListener::new("operators", address).await?),
            None => None,
        };
        Ok(Self {
            links,
            datagrams,
            peer,
            callers,
            ready,
            operators,
            metrics: bind_metrics(settings.metrics).await,
        })
    }
}

/// Binds the additional address for metrics. A failure is logged, and the daemon serves without it.
async fn bind_metrics(address: Option<SocketAddr>) -> Option<BoundListener> {
    match BoundListener::new("metrics", address?).await {
        Ok(bound) => Some(bound),
        Err(error) => {
            log::warn!(error:%; "metrics.unavailable");
            None
        }
    }
}
