//! The routes, services and customers in force, as one immutable value per version.
//!
//! An installation's dialect reads a [`Table`] from the published document. This module looks up routes, services
//! and customers; it decides nothing about requests.

use {
    crate::shared::{
        ids::{CustomerId, RegionId, ServiceId},
        units::{ByteSize, Millis, Rate},
    },
    foldhash::HashMap,
    std::sync::Arc,
};

/// Regions in which requests may run and their bodies may be stored; `None` if any region is allowed.
pub type AllowedRegions = Option<Arc<[RegionId]>>;

/// Version number of a published table; later versions have greater numbers.
pub type Version = u64;

/// Kind of a route's requests, which decides whether a request may be sent again after it may have run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteKind {
    /// A request may run more than once.
    Idempotent,
    /// A request runs at most once.
    NonIdempotent,
    /// The answer is a stream of events; a request runs at most once unless the stream can be
    /// resumed.
    Stream {
        /// Set if another endpoint can resume a broken stream.
        resumable: bool,
        /// Longest pause between two events for which an answer counts as in time.
        gap: Millis,
    },
}

impl RouteKind {
    /// Returns whether a request may be sent again after it may have run.
    pub fn is_retryable(self) -> bool {
        match self {
            RouteKind::Idempotent => true,
            RouteKind::NonIdempotent => false,
            RouteKind::Stream { resumable, .. } => resumable,
        }
    }

    /// Returns whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, RouteKind::Stream { .. })
    }
}

/// A service that serves requests of a route, and its share of them.
#[derive(Debug, Clone, PartialEq)]
pub struct Backend {
    /// Id of the service.
    pub service: ServiceId,
    /// Share of the requests, relative to the weights of the route's other services.
    pub weight: f64,
}

/// Work that must be complete before a request of the route can be sent to an endpoint.
#[derive(Debug, Clone, PartialEq)]
pub struct RouteStage {
    /// Service that runs the pieces of the stage.
    pub service: ServiceId,
    /// Stages whose results this stage needs, by their indexes in the route's list.
    pub after: Vec<usize>,
    /// Usual size of the result of one piece.
    pub result: ByteSize,
}

/// A route: how the requests for a host and a path prefix are served, and their limits.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// Name of the route, for logs.
    pub name: Arc<str>,
    /// Host in the request, in lower case.
    pub host: Arc<str>,
    /// Prefix of the paths, with a slash at both ends.
    pub prefix: Arc<str>,
    /// Kind of the requests.
    pub kind: RouteKind,
    /// Maximum time until a request is answered or refused.
    pub timeout: Millis,
    /// Objective: time within which a request should be answered to count as in time.
    pub objective: Millis,
    /// Rank of the requests; 0 is the most urgent.
    pub rank: u32,
    /// Services that serve the requests.
    pub backends: Vec<Backend>,
    /// Maximum number of endpoints to which one request is sent.
    pub attempts: u32,
    /// Stages that run before the request.
    pub stages: Vec<RouteStage>,
    /// Set if requests need no key.
    pub public: bool,
    /// Set if endpoints that have cached the beginning of a prompt are preferred.
    pub affinity: bool,
    /// Regions in which the requests may run.
    pub allowed_regions: AllowedRegions,
}

/// Limits and cost of the calls in which the endpoints of a service run pieces of a stage.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BatchLimits {
    /// Maximum number of concurrent calls per endpoint.
    pub slots: usize,
    /// Maximum number of pieces in one call.
    pub pieces: usize,
    /// Fixed time of a call, in milliseconds.
    pub call_ms: f64,
    /// Additional time per piece of a call, in milliseconds.
    pub piece_ms: f64,
    /// Result capacity: total size of the results that an endpoint can store.
    pub capacity: ByteSize,
    /// Time after which an endpoint drops a result that wasn't released.
    pub retention: Millis,
}

/// A service as described in the table.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceEntry {
    /// Name by which logs, metrics and other entries refer to it.
    pub id: ServiceId,
    /// Maximum number of connections that one endpoint accepts from all daemons together.
    pub connections: usize,
    /// Set if the endpoints generate text in batches and cache the beginnings of prompts.
    pub engine: bool,
    /// Time after its start during which an endpoint is cold.
    pub cold_start: Millis,
    /// Requests per second that a cold endpoint can serve from all daemons together; `None` if it can serve as many
    /// as a warm one.
    pub cold_rate: Option<Rate>,
    /// Limits of calls of pieces; `None` for a service that runs no stages.
    pub batch: Option<BatchLimits>,
}

/// A customer, identified by its keys.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CustomerEntry {
    /// Name by which logs, metrics and other entries refer to it.
    pub id: CustomerId,
    /// Rank of the customer's requests, compared before the rank of the route; 0 is the most urgent.
    pub rank: u32,
    /// Regions in which the requests may run.
    pub allowed_regions: AllowedRegions,
}

/// Limits on the requests and connections of callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct IngressLimits {
    /// Maximum size of a request's head.
    pub head: ByteSize,
    /// Maximum size of a request's body.
    pub body: ByteSize,
    /// Maximum time for a request's head to arrive.
    pub head_time: Millis,
    /// Maximum time that a connection may be idle between two requests.
    pub idle: Millis,
}

/// The routes, services, customers and limits published under one version.
#[derive(Debug, Clone, Default)]
pub struct Table {
    /// Version under which the table was published.
    pub version: Version,
    /// Routes by host, the longest prefixes first.
    hosts: HashMap<Arc<str>, Vec<Arc<Route>>>,
    services: HashMap<ServiceId, Arc<ServiceEntry>>,
    /// Customers by key; `None` if requests need no keys.
    customers: Option<HashMap<Arc<str>, Arc<CustomerEntry>>>,
    limits: Option<IngressLimits>,
}

impl Table {
    /// Creates a table from values that the dialect has validated.
    pub fn new(
        version: Version,
        routes: Vec<Route>,
        services: Vec<ServiceEntry>,
        customers: Option<Vec<(Arc<str>, Arc<CustomerEntry>)>>,
        limits: IngressLimits,
    ) -> Self {
        let mut hosts: HashMap<Arc<str>, Vec<Arc<Route>>> = HashMap::default();
        for route in routes {
            hosts
                .entry(route.host.clone())
                .or_default()
                .push(Arc::new(route));
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        Self {
            version,
            hosts,
            services: services
                .into_iter()
                .map(|service| (service.id.clone(), Arc::new(service)))
                .collect(),
            customers: customers.map(|customers| customers.into_iter().collect()),
            limits: Some(limits),
        }
    }

    /// Returns the route of a host and path: the one with the longest matching prefix. Ignores case and port of the
    /// host.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let name = host_name(host).to_ascii_lowercase();
        let routes = self.hosts.get(name.as_str())?;
        routes.iter().find(|route| path.starts_with(&*route.prefix))
    }

    /// Returns all routes.
    pub fn routes(&self) -> impl Iterator<Item = &Arc<Route>> + Clone {
        self.hosts.values().flatten()
    }

    /// Returns the service with an id.
    pub fn service(&self, id: &ServiceId) -> Option<&Arc<ServiceEntry>> {
        self.services.get(id)
    }

    /// Returns all services.
    pub fn services(&self) -> impl Iterator<Item = &Arc<ServiceEntry>> {
        self.services.values()
    }

    /// Returns whether requests of routes that aren't public need keys.
    pub fn needs_keys(&self) -> bool {
        self.customers.is_some()
    }

    /// Returns the customer that a key belongs to.
    pub fn customer(&self, key: &str) -> Option<&Arc<CustomerEntry>> {
        self.customers.as_ref()?.get(key)
    }

    /// Returns the limits on callers; `None` in the default table, which stands for no published version.
    pub fn limits(&self) -> Option<&IngressLimits> {
        self.limits.as_ref()
    }
}

/// Returns the host name in `host` without the port.
fn host_name(host: &str) -> &str {
    match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|byte| byte.is_ascii_digit()) => name,
        _ => host,
    }
}
