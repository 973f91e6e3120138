//! The checked settings tree: services, customers and pipelines with their effective settings.
//!
//! It owns the types that decisions read; `tree_check` builds them. A tree is immutable: a new
//! version replaces the whole of it.

use {
    crate::{
        settings::values::Settings,
        shared::ids::{CustomerId, DataCentreId, EndpointId, PipelineId, ServiceId, StageId},
    },
    std::{collections::BTreeMap, fmt, net::SocketAddr, sync::Arc},
    thiserror::Error,
};

/// Version of a tree; a daemon adopts higher versions only.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TreeVersion(pub u64);

impl fmt::Display for TreeVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// A whole checked tree. Readers hold `Arc`s of its parts, so that they never see half a change.
#[derive(Debug, Clone, Default)]
pub struct Tree {
    /// Version the operators gave it.
    pub version: TreeVersion,
    /// Data centres of the endpoints.
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
    /// Path from the root.
    pub path: Arc<str>,
    /// Its effective settings.
    pub settings: Arc<Settings>,
}

/// Kind of a service's endpoints.
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
    /// Kind of its endpoints.
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
    /// Data centre of its host.
    pub data_centre: DataCentreId,
    /// True if operators take it out of service.
    pub leaving: bool,
}

/// A customer with its limits.
#[derive(Debug, Clone)]
pub struct Customer {
    /// Name of the customer.
    pub id: CustomerId,
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
    /// Returns the settings that apply to a customer's requests to a pipeline.
    pub fn request_settings(&self, customer: &Customer, pipeline: &Pipeline) -> Arc<Settings> {
        customer
            .pipelines
            .get(&pipeline.id)
            .unwrap_or(&pipeline.settings)
            .clone()
    }

    /// Returns a call of a single service as a pipeline of one stage.
    ///
    /// # Panics
    ///
    /// Never: services, pipelines and stages follow the same rules for names.
    pub fn service_call(service: &Service) -> Pipeline {
        let id = service.id.as_str();
        Pipeline {
            id: id.parse().expect("service names are pipeline names"),
            settings: service.settings.clone(),
            stages: vec![Stage {
                id: id.parse().expect("service names are stage names"),
                service: service.id.clone(),
                settings: service.settings.clone(),
            }],
        }
    }

    /// Finds a node by its whole path or by an ending of it that only one node has.
    ///
    /// # Errors
    ///
    /// Returns an error when no node, or more than one, has the name.
    pub fn find_node(&self, name: &str) -> Result<&TreeNode, NodeError> {
        if let Some(node) = self.nodes.get(name) {
            return Ok(node);
        }
        let ending = format!("/{name}");
        let nodes = self.nodes.values();
        let fits: Vec<_> = nodes.filter(|node| node.path.ends_with(&ending)).collect();
        match fits.as_slice() {
            [] => Err(NodeError::Unknown { name: name.into() }),
            [only] => Ok(*only),
            several => Err(NodeError::Ambiguous {
                name: name.into(),
                paths: several.iter().map(|node| node.path.clone()).collect(),
            }),
        }
    }
}

/// Reports a name that doesn't find one node.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum NodeError {
    /// No node's path ends with the name.
    #[error("no node is named {name:?}")]
    Unknown {
        /// The name.
        name: String,
    },
    /// The paths of several nodes end with the name.
    #[error("{name:?} could be any of: {}", paths.join(", "))]
    Ambiguous {
        /// The name.
        name: String,
        /// The paths, in order.
        paths: Vec<Arc<str>>,
    },
}
