//! Binds the addresses of a forwarding daemon, all before it starts anything.
//!
//! Relies on `peers` for the pair of sockets for other daemons.

use {
    crate::gateway::{peers, serving::settings::GatewaySettings},
    std::{io, net::SocketAddr},
    thiserror::Error,
    tokio::net::{TcpListener, UdpSocket},
};

/// Reports an address of the settings that can't be had.
#[derive(Debug, Error)]
#[error("can't serve {purpose} on {address}: {source}; is the address free and this host's own?")]
pub struct BindError {
    /// Purpose of the address.
    pub purpose: &'static str,
    /// The address from the settings.
    pub address: SocketAddr,
    /// The system's answer.
    pub source: io::Error,
}

/// A listener and the address that it really has, since the system may choose the port.
#[derive(Debug)]
pub(crate) struct Bound {
    pub(crate) listener: TcpListener,
    pub(crate) address: SocketAddr,
}

impl Bound {
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

/// All sockets of a daemon.
#[derive(Debug)]
pub(crate) struct Sockets {
    /// Links of other daemons.
    pub(crate) links: TcpListener,
    /// Heartbeats of other daemons.
    pub(crate) datagrams: UdpSocket,
    /// Address of the two above.
    pub(crate) peer: SocketAddr,
    /// Callers' requests.
    pub(crate) callers: Bound,
    /// Questions for readiness.
    pub(crate) ready: Bound,
    /// Questions of operators, where the settings name an address.
    pub(crate) operators: Option<Bound>,
    /// Fetches of metrics at a port of their own, where there is one.
    pub(crate) metrics: Option<Bound>,
}

impl Sockets {
    /// Binds all addresses of the settings.
    ///
    /// # Errors
    ///
    /// Returns the first address that can't be had. Metrics of their own are left out instead.
    pub(crate) async fn bind(settings: &GatewaySettings) -> Result<Self, BindError> {
        let failed = |source| BindError {
            purpose: "peers",
            address: settings.peer,
            source,
        };
        let (links, datagrams) = peers::sockets::bind(settings.peer).await.map_err(failed)?;
        let peer = links.local_addr().map_err(failed)?;
        let callers = Bound::new("callers", settings.listen).await?;
        let ready = Bound::new("readiness", settings.ready).await?;
        let operators = match settings.operator {
            Some(address) => Some(Bound::new("operators", address).await?),
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

/// Binds the second address for metrics; a daemon that can't have it serves all the same.
async fn bind_metrics(address: Option<SocketAddr>) -> Option<Bound> {
    match Bound::new("metrics", address?).await {
        Ok(bound) => Some(bound),
        Err(error) => {
            log::warn!(error:%; "metrics.unavailable");
            None
        }
    }
}
