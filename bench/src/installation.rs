//! A whole installation on loopback: stand-ins for every endpoint of a tree, several daemons.

use {
    crate::{
        experiment::Experiment,
        model::{engine_model, plain_model},
        trees::{ROOT, Values},
    },
    anyhow::{Context, Result},
    hazelyoke_lib::{
        pipeline::{
            api::server::ApiLimits,
            daemon::Daemon,
            daemon_settings::{ConfigSettings, DaemonSettings},
        },
        settings::tree::{EndpointSpec, Service, ServiceKind, Tree},
        shared::units::{ByteSize, Count, Millis},
    },
    hazelyoke_testutils::{
        config_service::ConfigService,
        endpoint::{Endpoint, EndpointServer},
        engine::{self, SharedCache},
        fixture::{any_address, start_daemon},
        http_client::Caller,
        plain,
    },
    std::{
        collections::BTreeMap,
        net::SocketAddr,
        sync::{Arc, Mutex},
    },
};

/// One stand-in endpoint with what is needed to start it again.
#[derive(Debug)]
pub struct Slot {
    /// Service that it belongs to.
    pub service: Arc<Service>,
    /// Its entry in the tree.
    pub spec: Arc<EndpointSpec>,
    address: SocketAddr,
    server: Mutex<Option<EndpointServer>>,
    /// States of all its lives, the last one last.
    lives: Mutex<Vec<Arc<Endpoint>>>,
    answers: plain::Answers,
    cache: Option<SharedCache>,
}

impl Slot {
    /// Ends the endpoint's process.
    pub fn kill(&self) {
        self.server.lock().expect("no panic while held").take();
    }

    /// Starts the endpoint's process on its address.
    ///
    /// # Errors
    ///
    /// Returns an error when the address can't be bound.
    pub async fn start(&self) -> Result<()> {
        let server = match &self.service.kind {
            ServiceKind::Plain => {
                let name = self.service.id.as_str();
                let model = plain_model(&self.service);
                plain::start_sharing(name, self.address, model, self.answers.clone()).await
            }
            ServiceKind::Engine { model } => {
                let times = engine_model(&self.service);
                let cache = self.cache.clone();
                let cache = cache.unwrap_or_else(|| engine::new_cache(&times));
                engine::start_sharing(model, self.address, times, cache).await
            }
        };
        let server = server.with_context(|| format!("can't start {}", self.spec.id))?;
        let life = server.endpoint.clone();
        self.lives.lock().expect("no panic while held").push(life);
        *self.server.lock().expect("no panic while held") = Some(server);
        Ok(())
    }

    /// Returns the states of all lives.
    pub fn lives(&self) -> Vec<Arc<Endpoint>> {
        self.lives.lock().expect("no panic while held").clone()
    }

    /// Returns the state of the latest life.
    pub fn current(&self) -> Option<Arc<Endpoint>> {
        self.lives
            .lock()
            .expect("no panic while held")
            .last()
            .cloned()
    }
}

/// A running installation.
pub struct Installation {
    /// The tree as the daemons have it.
    pub tree: Arc<Tree>,
    /// The configuration service.
    pub config: ConfigService,
    /// All endpoints.
    pub slots: Vec<Arc<Slot>>,
    /// All daemons.
    pub daemons: Vec<Daemon>,
    /// A caller of each daemon.
    pub callers: Vec<Caller>,
}

impl Installation {
    /// Starts everything and waits until the daemons are ready.
    ///
    /// # Errors
    ///
    /// Returns an error when the tree is invalid or something can't be started.
    pub async fn start(experiment: &Experiment, root_settings: &str) -> Result<Self> {
        let mut values = Values::example(experiment.user);
        values.add_root_settings(root_settings);
        let written = values.tree()?;
        let mut replacements = BTreeMap::new();
        let mut slots = Vec::new();
        for service in written.services.values() {
            let answers = plain::Answers::default();
            let cache = experiment.shared_cache.then(|| shared_cache(service));
            for spec in &service.endpoints {
                let address = free_address().await?;
                replacements.insert(spec.address, address);
                let slot = Slot {
                    service: service.clone(),
                    spec: spec.clone(),
                    address,
                    server: Mutex::new(None),
                    lives: Mutex::new(Vec::new()),
                    answers: answers.clone(),
                    cache: cache.clone(),
                };
                slot.start().await?;
                slots.push(Arc::new(slot));
            }
        }
        values.replace_addresses(&replacements);
        let config = ConfigService::start().await?;
        for (name, text) in &values.0 {
            config.publish(name, text.clone());
        }
        let tree = Arc::new(values.tree()?);
        let mut installation = Self {
            tree,
            config,
            slots,
            daemons: Vec::new(),
            callers: Vec::new(),
        };
        for i in 0..experiment.daemons {
            let settings = installation.daemon_settings(i)?;
            let (daemon, caller) = start_daemon(settings).await;
            installation.daemons.push(daemon);
            installation.callers.push(caller);
        }
        Ok(installation)
    }

    fn daemon_settings(&self, index: usize) -> Result<DaemonSettings> {
        let centres = &self.tree.data_centres;
        Ok(DaemonSettings {
            host: format!("entry-{}", index + 1).parse()?,
            data_centre: centres[index % centres.len()].clone(),
            listen: any_address(),
            config: ConfigSettings {
                address: self.config.address(),
                tree: ROOT.to_owned(),
                poll: Millis(500),
            },
            hop: Millis(1),
            load_interval: Millis(100),
            limits: ApiLimits {
                requests: Count(5_000),
                headers: ByteSize(16 << 10),
                receive: Millis(5_000),
            },
            stop_grace: Millis(0),
            traces: None,
        })
    }
}

/// One cache with the room of all engines of a service together.
fn shared_cache(service: &Service) -> SharedCache {
    let mut times = engine_model(service);
    times.cache_blocks *= service.endpoints.len();
    engine::new_cache(&times)
}

/// Finds a free port and gives it back, so that an endpoint can come back on the same one.
async fn free_address() -> Result<SocketAddr> {
    let listener = tokio::net::TcpListener::bind(any_address()).await?;
    Ok(listener.local_addr()?)
}
