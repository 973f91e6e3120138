//! One stand-in endpoint of an installation, which can end and be started again on its address.
//!
//! Owns the running server and the records of all its lives, so that the observer also sees what
//! ran before an endpoint ended.

use {
    crate::model::{engine_model, plain_model},
    anyhow::{Context, Result},
    hazelyoke_lib::settings::tree::{EndpointSpec, Service, ServiceKind},
    hazelyoke_testutils::{
        endpoint::{Endpoint, EndpointServer},
        engine::{self, SharedCache},
        plain::{self, Answers},
    },
    std::{
        io,
        net::SocketAddr,
        sync::{Arc, Mutex},
    },
};

/// What all replicas of a service share.
#[derive(Debug, Clone)]
pub struct SharedState {
    /// Answers by idempotency key.
    pub answers: Answers,
    /// The prefix cache of all engines; absent if each has its own.
    pub cache: Option<SharedCache>,
}

/// A stand-in endpoint with what is needed to start it again.
#[derive(Debug)]
pub struct Replica {
    /// Service that it belongs to.
    pub service: Arc<Service>,
    /// Its entry in the tree as it is written.
    pub spec: Arc<EndpointSpec>,
    address: SocketAddr,
    shared: SharedState,
    server: Mutex<Option<EndpointServer>>,
    lives: Mutex<Vec<Arc<Endpoint>>>,
}

impl Replica {
    /// Starts a replica on `address`.
    ///
    /// # Errors
    ///
    /// Returns an error when the address can't be bound.
    pub async fn launch(
        service: Arc<Service>,
        spec: Arc<EndpointSpec>,
        address: SocketAddr,
        shared: SharedState,
    ) -> Result<Self> {
        let replica = Self {
            service,
            spec,
            address,
            shared,
            server: Mutex::new(None),
            lives: Mutex::new(Vec::new()),
        };
        replica.start().await?;
        Ok(replica)
    }

    /// Ends the endpoint's process.
    pub fn kill(&self) {
        self.server.lock().expect("no panic while held").take();
    }

    /// Starts the endpoint's process on its address, as a new life.
    ///
    /// # Errors
    ///
    /// Returns an error when the address can't be bound.
    pub async fn start(&self) -> Result<()> {
        let server = self.serve().await;
        let server = server.with_context(|| format!("can't start {}", self.spec.id))?;
        let life = server.endpoint.clone();
        self.lives.lock().expect("no panic while held").push(life);
        *self.server.lock().expect("no panic while held") = Some(server);
        Ok(())
    }

    async fn serve(&self) -> io::Result<EndpointServer> {
        match &self.service.kind {
            ServiceKind::Plain => {
                let name = self.service.id.as_str();
                let model = plain_model(&self.service);
                let answers = self.shared.answers.clone();
                plain::start_sharing(name, self.address, model, answers).await
            }
            ServiceKind::Engine { model } => {
                let times = engine_model(&self.service);
                let cache = self.shared.cache.clone();
                let cache = cache.unwrap_or_else(|| engine::new_cache(&times));
                engine::start_sharing(model, self.address, times, cache).await
            }
        }
    }

    /// Returns the states of all lives, the latest one last.
    pub fn lives(&self) -> Vec<Arc<Endpoint>> {
        self.lives.lock().expect("no panic while held").clone()
    }

    /// Returns the state of the latest life.
    pub fn current(&self) -> Arc<Endpoint> {
        let lives = self.lives.lock().expect("no panic while held");
        lives.last().expect("launched with a life").clone()
    }
}
