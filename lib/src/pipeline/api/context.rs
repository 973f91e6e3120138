//! State that the interface's handlers share.
//!
//! Owns the limits, the readiness and the permits that bound the requests in flight; relies on the
//! node for the rest.

use {
    crate::{
        pipeline::{
            api::problem::ApiProblem, endpoints::http_transport::HttpTransport, metrics::Metrics,
            node::Node,
        },
        shared::{
            problem::{Code, Problem},
            units::{ByteSize, Count, Millis},
        },
    },
    std::sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    tokio::sync::{OwnedSemaphorePermit, Semaphore},
};

/// Wait suggested to callers that a full daemon refuses.
const BUSY_WAIT: Millis = Millis(1_000);

/// Limits of the interface, from the daemon's settings.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ApiLimits {
    /// Most requests in flight at the same time.
    pub requests: Count,
    /// Largest size of all headers of one request.
    pub headers: ByteSize,
    /// Longest time for a request's body to arrive.
    pub receive: Millis,
}

/// State that all handlers share.
#[derive(Debug)]
pub struct ApiContext {
    /// The node that runs the requests.
    pub node: Node<HttpTransport>,
    /// Name of the host, for reports.
    pub host: String,
    /// Limits of the interface.
    pub limits: ApiLimits,
    /// Metrics that outlive a request.
    pub metrics: Metrics,
    /// True once a tree is in force.
    pub ready: AtomicBool,
    /// True once a planned stop has begun.
    pub stopping: AtomicBool,
    permits: Arc<Semaphore>,
}

impl ApiContext {
    /// Builds the context of a daemon that isn't ready yet.
    pub fn new(node: Node<HttpTransport>, host: String, limits: ApiLimits) -> Self {
        Self {
            node,
            host,
            limits,
            metrics: Metrics::default(),
            ready: AtomicBool::new(false),
            stopping: AtomicBool::new(false),
            permits: Arc::new(Semaphore::new(limits.requests.0 as usize)),
        }
    }

    /// Returns true if the balancer may send requests here.
    pub fn is_ready(&self) -> bool {
        self.ready.load(Ordering::Acquire) && !self.stopping.load(Ordering::Acquire)
    }

    /// Takes the permit of one request; it counts as in flight until the permit is dropped.
    ///
    /// # Errors
    ///
    /// Returns a `too_busy` problem when all permits are taken.
    pub(super) fn permit(&self) -> Result<OwnedSemaphorePermit, ApiProblem> {
        self.permits.clone().try_acquire_owned().map_err(|_| {
            // The semaphore is never closed, so it is out of permits.
            let detail = format!("{} requests are in hand already", self.limits.requests);
            let problem = Problem::not_run(Code::TooBusy, detail);
            problem.retry_after(BUSY_WAIT).into()
        })
    }
}
