//! One stand-in endpoint of an installation, which can be stopped and started again on its address.
//!
//! It keeps the records of all its incarnations, so that the observer also sees the calls that ran before a stop.

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

/// State that all replicas of a service share.
#[derive(Debug, Clone)]
pub struct SharedState {
    /// Answers by idempotency key.
    pub answers: Answers,
    /// The prefix cache that all engines share; absent if each has its own.
    pub cache: Option<SharedCache>,
}

/// A stand-in endpoint that can be started again.
#[derive(Debug)]
pub struct Replica {
    /// Service that the endpoint belongs to.
    pub service: Arc<Service>,
    /// The endpoint's entry in the example tree, with the address as written there.
    pub spec: Arc<EndpointSpec>,
    address: SocketAddr,
    shared: SharedState,
    server: Mutex<Option<EndpointServer>>,
    incarnations: Mutex<Vec<Arc<Endpoint>>>,
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
            incarnations: Mutex::new(Vec::new()),
        };
        replica.start().await?;
        Ok(replica)
    }

    /// Stops the endpoint at once, as if its process were killed.
    pub fn kill(&self) {
        self.server.lock().expect("no panic while held").take();
    }

    /// Starts a new incarnation of the endpoint on its address.
    ///
    /// # Errors
    ///
    /// Returns an error when the address can't be bound.
    pub async fn start(&self) -> Result<()> {
        let server = self.serve().await;
        let server = server.with_context(|| format!("can't start {}", self.spec.id))?;
        let incarnation = server.endpoint.clone();
        self.incarnations
            .lock()
            .expect("no panic while held")
            .push(incarnation);
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

    /// Returns the states of all incarnations, oldest first.
    pub fn incarnations(&self) -> Vec<Arc<Endpoint>> {
        self.incarnations
            .lock()
            .expect("no panic while held")
            .clone()
    }

    /// Returns the state of the latest incarnation.
    pub fn current(&self) -> Arc<Endpoint> {
        let incarnations = self.incarnations.lock().expect("no panic while held");
        incarnations
            .last()
            .expect("launched with an incarnation")
            .clone()
    }
}
