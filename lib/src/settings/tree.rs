//! The validated settings tree: services, customers and pipelines with their effective settings.
//!
//! Defines the types that the pipeline daemon decides by; `tree_check` builds them. A tree is immutable: a new version
//! replaces the complete tree.

use {
    crate::{
        settings::values::Settings,
        shared::ids::{CustomerId, DataCentreId, EndpointId, PipelineId, ServiceId, StageId},
    },
    std::{collections::BTreeMap, fmt, net::SocketAddr, sync::Arc},
    thiserror::Error,
};

/// Version of a tree. A daemon adopts higher versions only.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TreeVersion(pub u64);

impl fmt::Display for TreeVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// A complete validated tree. Readers hold `Arc`s of its nodes, so that they never see a partial change.
#[derive(Debug, Clone, Default)]
pub struct Tree {
    /// Version that the operators gave the tree.
    pub version: TreeVersion,
    /// Data centres that hosts of endpoints may be in.
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

/// Path and settings of a node, for reports.
#[derive(Debug, Clone)]
pub struct TreeNode {
    /// Path from the root.
    pub path: Arc<str>,
    /// Effective settings of the node.
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
    /// Services without a token stream: encoders, retrievers, rerankers and applications.
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
    /// Endpoints of the service.
    pub endpoints: Vec<Arc<EndpointSpec>>,
}

/// An endpoint: one process of a service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndpointSpec {
    /// Name of the endpoint.
    pub id: EndpointId,
    /// Address on which the endpoint listens.
    pub address: SocketAddr,
    /// Data centre of the endpoint's host.
    pub data_centre: DataCentreId,
    /// Set if operators are taking the endpoint out of service.
    pub leaving: bool,
}

/// A customer with its limits.
#[derive(Debug, Clone)]
pub struct Customer {
    /// Name of the customer.
    pub id: CustomerId,
    /// Effective settings.
    pub settings: Arc<Settings>,
    /// Effective settings for the pipelines for which the customer overrides settings.
    pub pipelines: BTreeMap<PipelineId, Arc<Settings>>,
}

/// A sequence of stages under one deadline.
#[derive(Debug, Clone)]
pub struct Pipeline {
    /// Name of the pipeline.
    pub id: PipelineId,
    /// Effective settings.
    pub settings: Arc<Settings>,
    /// Stages in the order of execution; never empty.
    pub stages: Vec<Stage>,
}

/// One step of a pipeline.
#[derive(Debug, Clone)]
pub struct Stage {
    /// Name of the stage.
    pub id: StageId,
    /// Service that the stage calls.
    pub service: ServiceId,
    /// Effective settings. Those of the request are inherited from the pipeline, those of the call from the service.
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

    /// Returns a pipeline of one stage, for a direct call of a service.
    ///
    /// # Panics
    ///
    /// Never panics: the same rules apply to names of services, pipelines and stages.
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

    /// Finds a node by its full path, or by a suffix of the path that no other node has.
    ///
    /// # Errors
    ///
    /// Returns an error if no path, or more than one, ends with `name`.
    pub fn find_node(&self, name: &str) -> Result<&TreeNode, NodeError> {
        if let Some(node) = self.nodes.get(name) {
            return Ok(node);
        }
        let ending = format!("/{name}");
        let nodes = self.nodes.values();
        let matches: Vec<_> = nodes.filter(|node| node.path.ends_with(&ending)).collect();
        match matches.as_slice() {
            [] => Err(NodeError::Unknown { name: name.into() }),
            [only] => Ok(*only),
            several => Err(NodeError::Ambiguous {
                name: name.into(),
                paths: several.iter().map(|node| node.path.clone()).collect(),
            }),
        }
    }
}

/// Reports that a name doesn't identify exactly one node.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum NodeError {
    /// No node's path ends with the name.
    #[error("no node is named {name:?}")]
    Unknown {
        /// Name that was looked up.
        name: String,
    },
    /// The paths of several nodes end with the name.
    #[error("{name:?} could be any of: {}", paths.join(", "))]
    Ambiguous {
        /// Name that was looked up.
        name: String,
        /// Paths that end with the name, sorted.
        paths: Vec<Arc<str>>,
    },
}
