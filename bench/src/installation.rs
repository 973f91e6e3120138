//! A whole installation on loopback: a configuration service, a stand-in for each endpoint of the tree, and several
//! daemons, all in this process.
//!
//! Dropping the installation stops everything that it started.

use {
    crate::{
        example_tree::{ROOT_VALUE, TreeValues},
        experiment::Experiment,
        model::engine_model,
        replica::{Replica, SharedState},
    },
    anyhow::Result,
    hazelyoke_lib::{
        pipeline::{
            api::context::ApiLimits,
            daemon::Daemon,
            daemon_settings::{ConfigSettings, DaemonSettings},
        },
        settings::tree::{Service, Tree},
        shared::units::{ByteSize, Count, Millis},
    },
    hazelyoke_testutils::{
        config_service::ConfigService,
        engine::{self, SharedCache},
        fixture::{any_address, start_daemon},
        http_client::Caller,
        plain::Answers,
    },
    std::{collections::BTreeMap, net::SocketAddr, sync::Arc},
    tokio::net::TcpListener,
};

/// Interval at which daemons read the tree's root value.
const POLL_INTERVAL: Millis = Millis(500);

/// Network time that daemons assume for a call: an upper bound on loopback.
const NETWORK_TIME: Millis = Millis(1);

/// Time between two load reports of an endpoint.
const LOAD_INTERVAL: Millis = Millis(100);

/// Limits of the callers' interface, high enough that no experiment reaches them.
const API_LIMITS: ApiLimits = ApiLimits {
    max_requests: Count(5_000),
    max_headers: ByteSize(16 << 10),
    receive_timeout: Millis(5_000),
};

/// A running installation.
pub struct Installation {
    /// The settings tree with the addresses of the stand-ins.
    pub tree: Arc<Tree>,
    /// The configuration service, from which the daemons read the tree.
    pub config: ConfigService,
    /// The stand-ins for all endpoints of the tree.
    pub replicas: Vec<Replica>,
    /// All daemons, spread evenly over the tree's data centres.
    pub daemons: Vec<Daemon>,
    /// One HTTP client for each daemon, in the order of `daemons`.
    pub callers: Vec<Caller>,
}

impl Installation {
    /// Starts everything and waits until the daemons are ready.
    ///
    /// # Errors
    ///
    /// Returns an error if the tree is invalid, or a stand-in can't be started.
    pub async fn start(experiment: &Experiment, root_settings: &str) -> Result<Self> {
        let mut values = TreeValues::example();
        values.add_root_settings(root_settings);
        let written = values.tree()?;
        let mut replicas = Vec::new();
        let mut addresses = BTreeMap::new();
        for service in written.services.values() {
            let shared = shared_state(service, experiment);
            for spec in &service.endpoints {
                let address = free_address().await?;
                addresses.insert(spec.address, address);
                let (service, shared) = (service.clone(), shared.clone());
                replicas.push(Replica::launch(service, spec.clone(), address, shared).await?);
            }
        }
        values.replace_addresses(&addresses);
        let mut installation = Self {
            tree: Arc::new(values.tree()?),
            config: publish(&values).await?,
            replicas,
            daemons: Vec::new(),
            callers: Vec::new(),
        };
        installation.start_daemons(experiment.daemons).await?;
        Ok(installation)
    }

    async fn start_daemons(&mut self, count: Count) -> Result<()> {
        for index in 0..count.0 as usize {
            let settings = self.daemon_settings(index)?;
            let (daemon, caller) = start_daemon(settings).await;
            self.daemons.push(daemon);
            self.callers.push(caller);
        }
        Ok(())
    }

    fn daemon_settings(&self, index: usize) -> Result<DaemonSettings> {
        let centres = &self.tree.data_centres;
        Ok(DaemonSettings {
            host: format!("entry-{}", index + 1).parse()?,
            data_centre: centres[index % centres.len()].clone(),
            listen: any_address(),
            config: ConfigSettings {
                address: self.config.address(),
                tree: ROOT_VALUE.to_owned(),
                poll: POLL_INTERVAL,
            },
            hop: NETWORK_TIME,
            load_interval: LOAD_INTERVAL,
            limits: API_LIMITS,
            stop_grace: Millis(0),
            traces: None,
        })
    }
}

async fn publish(values: &TreeValues) -> Result<ConfigService> {
    let config = ConfigService::start().await?;
    for (name, text) in &values.0 {
        config.publish(name, text.clone());
    }
    Ok(config)
}

fn shared_state(service: &Service, experiment: &Experiment) -> SharedState {
    SharedState {
        answers: Answers::default(),
        cache: experiment.shared_cache.then(|| shared_cache(service)),
    }
}

/// Returns a prefix cache with the capacity of the caches of all of a service's engines together.
fn shared_cache(service: &Service) -> SharedCache {
    let mut times = engine_model(service);
    times.cache_blocks *= service.endpoints.len();
    engine::new_cache(&times)
}

/// Returns a free loopback address. An endpoint binds it explicitly, so that it can be started again on the same port.
///
/// If another program takes the port before that, starting the endpoint fails.
async fn free_address() -> Result<SocketAddr> {
    let listener = TcpListener::bind(any_address()).await?;
    Ok(listener.local_addr()?)
}
