//! Puts a forwarding daemon together, and takes it apart again without cutting requests.

use {
    crate::{
        gateway::{
            dialect::Dialect,
            directory::{
                follow::follow,
                source::{Directory, Topic},
            },
            peers::{catch_up, heartbeats, link_server, receive, sockets},
            serving::{
                ingress::{self, ListenerState},
                operator,
                settings::GatewaySettings,
            },
            stages::{call_runner::run_calls, release::run_releases},
            state::Gateway,
        },
        shared::units::Millis,
    },
    std::{future::Future, io, net::SocketAddr, rc::Rc, time::Duration},
    thiserror::Error,
    tokio::{net::TcpListener, sync::watch, task::AbortHandle, time::Instant},
};

/// Time that the balancer has to notice a stop, during which connections are still taken.
const NOTICE: Millis = Millis(2_700);

/// Time kept back of the grace, to end before the process is ended.
const KEPT_GRACE: Millis = Millis(400);

/// Time between two looks at what is still in flight.
const LOOK: Duration = Duration::from_millis(20);

/// Why a daemon can't start.
#[derive(Debug, Error)]
#[error("can't serve {purpose} on {address}: {source}; is the address free and this host's own?")]
pub struct ServerStartError {
    /// What the address is for.
    pub purpose: &'static str,
    /// The address from the settings.
    pub address: SocketAddr,
    /// What failed.
    pub source: io::Error,
}

/// A running forwarding daemon. It lives on one thread, in a `LocalSet`.
#[derive(Debug)]
pub struct Server<D: Dialect> {
    gateway: Rc<Gateway<D>>,
    admission: watch::Sender<ListenerState>,
    tasks: Vec<AbortHandle>,
    listen: SocketAddr,
    ready: SocketAddr,
    operator: Option<SocketAddr>,
}

impl<D: Dialect> Drop for Server<D> {
    fn drop(&mut self) {
        for task in &self.tasks {
            task.abort();
        }
    }
}

impl<D: Dialect> Server<D> {
    /// Starts to listen and to follow the directory.
    ///
    /// # Errors
    ///
    /// Returns an error when an address can't be had.
    pub async fn start(
        mut settings: GatewaySettings,
        directory: impl Directory,
    ) -> Result<Self, ServerStartError> {
        let peer_error = |source| ServerStartError {
            purpose: "peers",
            address: settings.peer,
            source,
        };
        let (links, datagrams) = sockets::bind(settings.peer).await.map_err(peer_error)?;
        settings.peer = links.local_addr().map_err(peer_error)?;
        let callers = bind("callers", settings.listen).await?;
        let listen = callers.local_addr().unwrap_or(settings.listen);
        let ready = bind("readiness", settings.ready).await?;
        let ready_address = ready.local_addr().unwrap_or(settings.ready);
        let operators = match settings.operator {
            Some(address) => Some(bind("operators", address).await?),
            None => None,
        };
        let metrics = bind_metrics(settings.metrics).await;
        let gateway: Rc<Gateway<D>> = Gateway::new(settings);
        let directory = Rc::new(directory);
        let datagrams = Rc::new(datagrams);
        let (admission, watched) = watch::channel(ListenerState::Open);
        let mut server = Self {
            gateway: gateway.clone(),
            admission,
            tasks: Vec::new(),
            listen,
            ready: ready_address,
            operator: operators
                .as_ref()
                .and_then(|operators| operators.local_addr().ok()),
        };
        server.spawn(follow(gateway.clone(), directory.clone(), Topic::Table));
        server.spawn(follow(gateway.clone(), directory, Topic::Endpoints));
        server.spawn(heartbeats::run_heartbeats(
            gateway.clone(),
            datagrams.clone(),
        ));
        server.spawn(receive::receive_datagrams(gateway.clone(), datagrams));
        server.spawn(link_server::serve_links(gateway.clone(), links));
        server.spawn(catch_up::run_catch_up(gateway.clone()));
        server.spawn(run_calls(gateway.clone()));
        server.spawn(run_releases(gateway.clone()));
        server.spawn(operator::serve(gateway.clone(), ready));
        for listener in operators.into_iter().chain(metrics) {
            server.spawn(operator::serve(gateway.clone(), listener));
        }
        server.spawn(ingress::serve(gateway.clone(), callers, watched));
        log::info!(
            host:% = gateway.settings.host,
            listen:% = listen,
            peer:% = gateway.settings.peer,
            data_centre:% = gateway.settings.data_centre;
            "daemon.started"
        );
        Ok(server)
    }

    fn spawn(&mut self, task: impl Future<Output = ()> + 'static) {
        let task = tokio::task::spawn_local(task);
        self.tasks.push(task.abort_handle());
    }

    /// Returns the daemon's state, for reports and tests.
    pub fn gateway(&self) -> &Rc<Gateway<D>> {
        &self.gateway
    }

    /// Returns the address that callers use.
    pub fn listen(&self) -> SocketAddr {
        self.listen
    }

    /// Returns the address on which readiness is asked.
    pub fn ready(&self) -> SocketAddr {
        self.ready
    }

    /// Returns the address for operators.
    pub fn operator(&self) -> Option<SocketAddr> {
        self.operator
    }

    /// Stops without cutting a request: not ready at once, callers still taken until the balancer
    /// has noticed, then what is in flight ends.
    pub async fn stop(self) {
        let begun = Instant::now();
        let grace = self.gateway.settings.grace;
        let end = begun + Millis(grace.0.saturating_sub(KEPT_GRACE.0)).to_duration();
        self.gateway.stopping.set(true);
        log::info!(in_flight = self.gateway.in_flight.get(); "daemon.stopping");
        let noticed = begun + NOTICE.to_duration();
        tokio::time::sleep_until(noticed.min(end)).await;
        self.admission.send_replace(ListenerState::Closing);
        while Instant::now() < end && self.is_busy() {
            tokio::time::sleep(LOOK).await;
        }
        // Answers that were just written get a moment to leave.
        tokio::time::sleep(LOOK).await;
        log::info!(in_flight = self.gateway.in_flight.get(); "daemon.stopped");
    }

    fn is_busy(&self) -> bool {
        let jobs = self.gateway.state.borrow().planning.jobs();
        self.gateway.in_flight.get() > 0 || jobs > 0
    }
}

async fn bind(purpose: &'static str, address: SocketAddr) -> Result<TcpListener, ServerStartError> {
    TcpListener::bind(address)
        .await
        .map_err(|source| ServerStartError {
            purpose,
            address,
            source,
        })
}

/// Opens the second address for metrics; a daemon that can't have it serves all the same.
async fn bind_metrics(address: Option<SocketAddr>) -> Option<TcpListener> {
    match bind("metrics", address?).await {
        Ok(listener) => Some(listener),
        Err(error) => {
            log::warn!(error:%; "metrics.unavailable");
            None
        }
    }
}
