//! The checked settings tree: services, customers and pipelines with their effective settings.

use {
    crate::{
        settings::values::Settings,
        shared::{
            findings::Place,
            ids::{CustomerId, DataCentreId, EndpointId, PipelineId, ServiceId, StageId},
        },
    },
    std::{collections::BTreeMap, net::SocketAddr, sync::Arc},
};

/// Version of a tree; a daemon adopts upward only.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TreeVersion(pub u64);

impl std::fmt::Display for TreeVersion {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        self.0.fmt(f)
    }
}

/// A whole checked tree. Cloning is cheap: readers hold `Arc`s and never see half a change.
#[derive(Debug, Clone, Default)]
pub struct Tree {
    /// Version the operators gave it.
    pub version: TreeVersion,
    /// Data centres that endpoints stand in.
    pub data_centres: Vec<DataCentreId>,
    /// Services by name.
    pub services: BTreeMap<ServiceId, Arc<Service>>,
    /// Customers by name.
    pub customers: BTreeMap<CustomerId, Arc<Customer>>,
    /// Pipelines by name.
    pub pipelines: BTreeMap<PipelineId, Arc<Pipeline>>,
    /// Effective settings of every node by its path, groups included.
    pub nodes: BTreeMap<Arc<str>, TreeNode>,
}

/// A node of the tree as reports show it.
#[derive(Debug, Clone)]
pub struct TreeNode {
    /// Where the node starts; absent for groups.
    pub place: Option<Place>,
    /// Its effective settings.
    pub settings: Arc<Settings>,
}

/// What a service's endpoints are.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ServiceKind {
    /// Model engines that generate a stream of tokens.
    Engine {
        /// Model the engines serve.
        model: Arc<str>,
    },
    /// Plain services: encoders, retrievers, rerankers and applications.
    Plain,
}

/// A pool of endpoints that do the same work.
#[derive(Debug, Clone)]
pub struct Service {
    /// Name of the service.
    pub id: ServiceId,
    /// Path of its node.
    pub path: Arc<str>,
    /// What its endpoints are.
    pub kind: ServiceKind,
    /// Effective settings.
    pub settings: Arc<Settings>,
    /// Its endpoints.
    pub endpoints: Vec<Arc<EndpointSpec>>,
}

/// One process of a service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndpointSpec {
    /// Name of the endpoint.
    pub id: EndpointId,
    /// Where it listens.
    pub address: SocketAddr,
    /// Data centre it stands in.
    pub data_centre: DataCentreId,
    /// Whether operators take it out of service.
    pub leaving: bool,
}

/// A customer with its limits.
#[derive(Debug, Clone)]
pub struct Customer {
    /// Name of the customer.
    pub id: CustomerId,
    /// Path of its node.
    pub path: Arc<str>,
    /// Effective settings.
    pub settings: Arc<Settings>,
    /// Effective settings in the pipelines for which it has overrides.
    pub pipelines: BTreeMap<PipelineId, Arc<Settings>>,
}

/// A chain of stages under one deadline.
#[derive(Debug, Clone)]
pub struct Pipeline {
    /// Name of the pipeline.
    pub id: PipelineId,
    /// Path of its node.
    pub path: Arc<str>,
    /// Effective settings.
    pub settings: Arc<Settings>,
    /// Its stages in order; never empty.
    pub stages: Vec<Stage>,
}

/// One step of a pipeline.
#[derive(Debug, Clone)]
pub struct Stage {
    /// Name of the stage.
    pub id: StageId,
    /// Service that runs it.
    pub service: ServiceId,
    /// Effective settings: the pipeline's for the request, the service's for the call.
    pub settings: Arc<Settings>,
}

impl Tree {
    /// Returns the settings that hold for a customer's requests to a pipeline.
    pub fn request_settings(&self, customer: &Customer, pipeline: &Pipeline) -> Arc<Settings> {
        customer
            .pipelines
            .get(&pipeline.id)
            .unwrap_or(&pipeline.settings)
            .clone()
    }

    /// Returns the pipeline of one stage that a plain call of a service amounts to.
    pub fn service_call(service: &Service) -> Pipeline {
        let id = service.id.as_str();
        Pipeline {
            id: id.parse().expect("service names are pipeline names"),
            path: service.path.clone(),
            settings: service.settings.clone(),
            stages: vec![Stage {
                id: id.parse().expect("service names are stage names"),
                service: service.id.clone(),
                settings: service.settings.clone(),
            }],
        }
    }

    /// Finds a node by its whole path or by an ending of it that fits one node only.
    ///
    /// # Errors
    ///
    /// Returns the paths that fit when there are several, and none when there is none.
    pub fn find_node(&self, name: &str) -> Result<(&Arc<str>, &TreeNode), Vec<Arc<str>>> {
        if let Some(found) = self.nodes.get_key_value(name) {
            return Ok(found);
        }
        let ending = format!("/{name}");
        let fits: Vec<_> = self
            .nodes
            .iter()
            .filter(|(path, _)| path.ends_with(&ending))
            .collect();
        match fits.as_slice() {
            [only] => Ok(*only),
            several => Err(several.iter().map(|(path, _)| (*path).clone()).collect()),
        }
    }
}
