//! The routes, services and customers in force: one immutable value for each version.
//!
//! An installation's dialect reads a [`Table`] from the published document; nothing changes it after.
//! Lookups by host, service and key are here, decisions about them aren't.

use {
    crate::shared::{
        ids::{CustomerId, RegionId, ServiceId},
        units::{ByteSize, Millis, Rate},
    },
    foldhash::HashMap,
    std::sync::Arc,
};

/// Regions in which requests may run and their bodies may be; nothing where they may be anywhere.
pub type HomeRegions = Option<Arc<[RegionId]>>;

/// Numbers the published versions of a table; a later one is greater.
pub type Version = u64;

/// Kind of a route's requests: decides whether one may be sent again although it may have run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteKind {
    /// A request may run more than once.
    Idempotent,
    /// A request runs at most once.
    NonIdempotent,
    /// The answer is a stream of events; a request runs at most once unless the stream can be
    /// resumed.
    Stream {
        /// True if another endpoint can resume a broken stream.
        resumable: bool,
        /// Longest pause between two events of an answer that counts as in time.
        gap: Millis,
    },
}

impl RouteKind {
    /// Returns whether a request may be sent again although it may have run.
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

/// A service that serves a route's requests, and its share of them.
#[derive(Debug, Clone, PartialEq)]
pub struct Backend {
    /// The service.
    pub service: ServiceId,
    /// Its share, relative to the other backends of the route.
    pub weight: f64,
}

/// Work that must be finished before a route's request can run.
#[derive(Debug, Clone, PartialEq)]
pub struct RouteStage {
    /// Service that runs it.
    pub service: ServiceId,
    /// Stages whose results it needs, by their places in the route's list.
    pub after: Vec<usize>,
    /// Usual size of one piece's result.
    pub result: ByteSize,
}

/// Route of the requests of one host and path, with its limits.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// Its name, for logs.
    pub name: Arc<str>,
    /// Host that callers name, in lower case.
    pub host: Arc<str>,
    /// Beginning of its paths, with a slash at both ends.
    pub prefix: Arc<str>,
    /// Kind of its requests.
    pub kind: RouteKind,
    /// Longest time until a request is answered or refused.
    pub timeout: Millis,
    /// Objective: time within which an answer is worth most.
    pub objective: Millis,
    /// Rank; 0 goes first.
    pub rank: u32,
    /// Services that serve its requests.
    pub backends: Vec<Backend>,
    /// Most endpoints that one request may be sent to.
    pub attempts: u32,
    /// Stages that run before the request.
    pub stages: Vec<RouteStage>,
    /// Requests need no key.
    pub public: bool,
    /// Endpoints that hold the beginning of a prompt are preferred.
    pub affinity: bool,
    /// Regions of its requests.
    pub homes: HomeRegions,
}

/// How endpoints of a service run pieces of a stage.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BatchLimits {
    /// Calls that an endpoint runs at the same time.
    pub slots: usize,
    /// Most pieces in one call.
    pub pieces: usize,
    /// Time of a call without its pieces, in milliseconds.
    pub call_ms: f64,
    /// Time of one piece, in milliseconds.
    pub piece_ms: f64,
    /// Space that an endpoint has for results.
    pub room: ByteSize,
    /// Time after which an endpoint drops a result by itself.
    pub keep: Millis,
}

/// A service as the table describes it.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceEntry {
    /// Its name.
    pub id: ServiceId,
    /// Most connections that one endpoint accepts from all daemons together.
    pub connections: usize,
    /// Its endpoints generate text in batches and cache beginnings of prompts.
    pub engine: bool,
    /// Time for which an endpoint is cold after its start.
    pub cold_start: Millis,
    /// Requests a second that a cold endpoint bears from all daemons together; nothing if it bears as many as
    /// any other.
    pub cold_rate: Option<Rate>,
    /// Limits of calls; set for a service that runs pieces of stages.
    pub batch: Option<BatchLimits>,
}

/// A customer, as its keys identify it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CustomerEntry {
    /// Its name.
    pub id: CustomerId,
    /// Rank; it counts before that of the route, and 0 goes first.
    pub rank: u32,
    /// Regions of its requests.
    pub homes: HomeRegions,
}

/// Limits on what a caller may send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct IngressLimits {
    /// Largest head.
    pub head: ByteSize,
    /// Largest body.
    pub body: ByteSize,
    /// Longest time for a head to arrive.
    pub head_time: Millis,
    /// Longest time that a connection may be idle between two requests.
    pub idle: Millis,
}

/// Everything published under one version.
#[derive(Debug, Clone, Default)]
pub struct Table {
    /// The version.
    pub version: Version,
    /// Routes by host, those with longer prefixes first.
    hosts: HashMap<Arc<str>, Vec<Arc<Route>>>,
    services: HashMap<ServiceId, Arc<ServiceEntry>>,
    /// Customers by key; nothing if requests need none at all.
    customers: Option<HashMap<Arc<str>, Arc<CustomerEntry>>>,
    limits: Option<IngressLimits>,
}

impl Table {
    /// Builds a table from checked parts.
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

    /// Finds the route of a host and path: the one with the longest prefix.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let name = host_name(host).to_ascii_lowercase();
        let routes = self.hosts.get(name.as_str())?;
        routes.iter().find(|route| path.starts_with(&*route.prefix))
    }

    /// Returns all routes.
    pub fn routes(&self) -> impl Iterator<Item = &Arc<Route>> {
        self.hosts.values().flatten()
    }

    /// Returns a service.
    pub fn service(&self, id: &ServiceId) -> Option<&Arc<ServiceEntry>> {
        self.services.get(id)
    }

    /// Returns all services.
    pub fn services(&self) -> impl Iterator<Item = &Arc<ServiceEntry>> {
        self.services.values()
    }

    /// Returns whether requests need keys at all.
    pub fn needs_keys(&self) -> bool {
        self.customers.is_some()
    }

    /// Finds the customer that holds a key.
    pub fn customer(&self, key: &str) -> Option<&Arc<CustomerEntry>> {
        self.customers.as_ref()?.get(key)
    }

    /// Returns the limits on callers; nothing before the first version.
    pub fn limits(&self) -> Option<&IngressLimits> {
        self.limits.as_ref()
    }
}

/// Returns a host without its port.
fn host_name(host: &str) -> &str {
    match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|byte| byte.is_ascii_digit()) => name,
        _ => host,
    }
}
