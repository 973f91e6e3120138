//! Starts a pipeline daemon from its settings, and stops it after its requests in progress have ended.
//!
//! A daemon has the HTTP server, the node and the background tasks. One of these polls the configuration service for a
//! new settings tree; `shared::adoption` decides by its version whether it is adopted.

use {
    crate::{
        pipeline::{
            api::{body::DROPSHOT_MAX_BODY_SIZE, context::ApiContext, server},
            config_service::{ConfigClient, ConfigError, FetchedTree},
            daemon_settings::{ConfigSettings, DaemonSettings},
            decision::core::CoreConfig,
            endpoints::http_transport::HttpTransport,
            node::{Node, TaskGuard, spawn_guarded},
            trace::{TraceError, Tracing},
        },
        settings::tree::TreeVersion,
        shared::adoption::{DocumentIdentity, VersionVerdict, compare_versions},
    },
    dropshot::{
        ApiDescriptionRegisterError, BuildError, ConfigDropshot, HandlerTaskMode, HttpServer,
        ServerBuilder,
    },
    slog::Drain,
    std::{
        net::SocketAddr,
        sync::{Arc, atomic::Ordering},
    },
    thiserror::Error,
};

/// Why a daemon can't start.
#[derive(Debug, Error)]
pub enum DaemonStartError {
    /// The HTTP server can't be started.
    #[error(
        "can't serve on {address}: {reason}; is the address free and one of this host's addresses?"
    )]
    Serve {
        /// Address from the settings.
        address: SocketAddr,
        /// Cause. Not a `source`, since the text already includes it.
        reason: ServeError,
    },
    /// The export of traces can't be started.
    #[error(transparent)]
    Trace(#[from] TraceError),
}

/// Why the HTTP server can't be started.
#[derive(Debug, Error)]
pub enum ServeError {
    /// Two handlers conflict. A test builds the interface, so this doesn't happen in a release.
    #[error(transparent)]
    Interface(#[from] ApiDescriptionRegisterError),
    /// The address can't be bound, or the server can't be set up.
    #[error(transparent)]
    Server(#[from] BuildError),
}

/// A running daemon. Dropping it aborts its background tasks.
pub struct Daemon {
    server: HttpServer<Arc<ApiContext>>,
    node: Node<HttpTransport>,
    settings: DaemonSettings,
    // Held so that the tasks are aborted when the daemon is dropped.
    _tasks: Vec<TaskGuard>,
}

impl Daemon {
    /// Starts a daemon. It is ready for callers once it has a settings tree.
    ///
    /// # Errors
    ///
    /// Returns an error if the server or the export of traces can't be started.
    ///
    /// # Panics
    ///
    /// Panics outside of a Tokio runtime, which runs the daemon's tasks.
    pub fn start(settings: DaemonSettings) -> Result<Self, DaemonStartError> {
        let tracing = match &settings.traces {
            Some(traces) => {
                Tracing::export_to(&traces.collector, traces.sample.0, settings.host.as_str())?
            }
            None => Tracing::default(),
        };
        let config = CoreConfig {
            data_centre: settings.data_centre.clone(),
            hop: settings.hop,
            seed: random_seed(),
        };
        let node = Node::new(config, HttpTransport::new(), tracing);
        let server = start_server(&settings, &node)?;
        let tasks = start_tasks(&node, &server, &settings);
        log::info!(host = settings.host.as_str(), listen:% = server.local_addr(); "daemon started");
        Ok(Self {
            server,
            node,
            settings,
            _tasks: tasks,
        })
    }

    /// Returns the address on which the daemon listens.
    pub fn address(&self) -> SocketAddr {
        self.server.local_addr()
    }

    /// Returns the node that runs the daemon's requests.
    pub fn node(&self) -> &Node<HttpTransport> {
        &self.node
    }

    /// Stops the daemon. It reports that it isn't ready, waits the grace period so that the load balancer notices, and
    /// then closes the server, which waits for the requests in progress.
    pub async fn stop(self) {
        let context = self.server.app_private();
        context.stopping.store(true, Ordering::Release);
        log::info!(in_flight = self.node.in_flight(); "daemon stopping, no longer ready");
        tokio::time::sleep(self.settings.stop_grace.to_duration()).await;
        if let Err(error) = self.server.close().await {
            log::warn!(error; "HTTP server reported an error while closing");
        }
        log::info!("stopped");
    }
}

fn start_tasks(
    node: &Node<HttpTransport>,
    server: &HttpServer<Arc<ApiContext>>,
    settings: &DaemonSettings,
) -> Vec<TaskGuard> {
    let (timers, reports) = (node.clone(), node.clone());
    let interval = settings.load_interval;
    let (context, config) = (server.app_private().clone(), settings.config.clone());
    vec![
        spawn_guarded("timers", move || timers.clone().run_timers()),
        spawn_guarded("reports", move || reports.clone().poll_reports(interval)),
        spawn_guarded("tree", move || watch_tree(context.clone(), config.clone())),
    ]
}

fn random_seed() -> u64 {
    rand::random()
}

fn start_server(
    settings: &DaemonSettings,
    node: &Node<HttpTransport>,
) -> Result<HttpServer<Arc<ApiContext>>, DaemonStartError> {
    let failed = |reason: ServeError| DaemonStartError::Serve {
        address: settings.listen,
        reason,
    };
    let host = settings.host.to_string();
    let context = ApiContext::new(node.clone(), host, settings.limits);
    let description = server::describe().map_err(|error| failed(error.into()))?;
    let log = slog::Logger::root(slog_stdlog::StdLog.fuse(), slog::o!());
    let config = ConfigDropshot {
        bind_address: settings.listen,
        default_request_body_max_bytes: DROPSHOT_MAX_BODY_SIZE,
        // When a caller disconnects, its handler is dropped, and with it the request's handle.
        default_handler_task_mode: HandlerTaskMode::CancelOnDisconnect,
        ..Default::default()
    };
    ServerBuilder::new(description, Arc::new(context), log)
        .config(config)
        .start()
        .map_err(|error| failed(error.into()))
}

/// Polls the configuration service for a new settings tree. Runs until the task that awaits this is dropped. The
/// current tree stays while the service doesn't answer or its tree is invalid.
async fn watch_tree(context: Arc<ApiContext>, settings: ConfigSettings) {
    let client = ConfigClient::new(settings.address);
    let mut current = None;
    let mut root = None;
    let mut ticks = tokio::time::interval(settings.poll.to_duration());
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        // Every change raises the version, which is in the root value. While the root value equals that of the
        // last valid tree, nothing else has to be read or checked.
        match client
            .fetch_changed_tree(&settings.tree, root.as_ref())
            .await
        {
            Ok(None) => {}
            Ok(Some(fetched)) => {
                root = Some(fetched.root.clone());
                adopt_newer(&context, &mut current, fetched);
            }
            Err(error) => {
                if matches!(error, ConfigError::Invalid(_)) {
                    context.metrics.count_refused_tree();
                }
                log::warn!(error:%; "can't adopt a new settings tree");
            }
        }
    }
}

/// Adopts a valid settings tree if its version is newer than that in `current`, which marks the tree
/// adopted last.
fn adopt_newer(
    context: &ApiContext,
    current: &mut Option<DocumentIdentity<TreeVersion>>,
    fetched: FetchedTree,
) {
    let read = DocumentIdentity {
        version: fetched.tree.version,
        fingerprint: fetched.fingerprint,
    };
    match compare_versions(*current, read) {
        VersionVerdict::Adopt => {
            context.node.adopt(Arc::new(fetched.tree));
            *current = Some(read);
            context.ready.store(true, Ordering::Release);
            log::info!(version = read.version.0; "settings tree adopted");
        }
        VersionVerdict::Same => {}
        VersionVerdict::Older => {
            // The configuration service is stale.
            log::warn!(version = read.version.0; "ignored an older settings tree");
        }
        VersionVerdict::Conflict => {
            context.metrics.count_refused_tree();
            log::error!(version = read.version.0; "refused other content with the current version");
        }
    }
}
