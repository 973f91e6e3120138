//! State that all handlers of the interface share: the node, the limits, the readiness and the permits that limit the
//! requests in progress.

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

/// Value of `retry_after` for requests refused because the daemon has no free permit.
const TOO_BUSY_RETRY_AFTER: Millis = Millis(1_000);

/// Limits on callers' requests, from the daemon's settings.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ApiLimits {
    /// Largest number of requests in progress at the same time.
    pub max_requests: Count,
    /// Largest total size of the headers of one request.
    pub max_headers: ByteSize,
    /// Longest time in which a request's body must arrive.
    pub receive_timeout: Millis,
}

/// State shared by all handlers.
#[derive(Debug)]
pub struct ApiContext {
    /// The node that runs the requests.
    pub node: Node<HttpTransport>,
    /// Name of the host, for the status report.
    pub host: String,
    /// Limits on callers' requests.
    pub limits: ApiLimits,
    /// Metrics that aren't part of a [`Snapshot`](crate::pipeline::node::Snapshot).
    pub metrics: Metrics,
    /// Set once a settings tree has been adopted.
    pub ready: AtomicBool,
    /// Set once the daemon has begun to stop.
    pub stopping: AtomicBool,
    permits: Arc<Semaphore>,
}

impl ApiContext {
    /// Builds the state of a daemon that isn't ready yet.
    pub fn new(node: Node<HttpTransport>, host: String, limits: ApiLimits) -> Self {
        Self {
            node,
            host,
            limits,
            metrics: Metrics::default(),
            ready: AtomicBool::new(false),
            stopping: AtomicBool::new(false),
            permits: Arc::new(Semaphore::new(limits.max_requests.0 as usize)),
        }
    }

    /// Returns whether the load balancer may send requests to this daemon.
    pub fn is_ready(&self) -> bool {
        self.ready.load(Ordering::Acquire)
            && !self.stopping.load(Ordering::Acquire)
            && self.node.is_sound()
    }

    /// Takes the permit of one request. The request counts as in progress until its permit is dropped.
    ///
    /// # Errors
    ///
    /// Returns a `too_busy` problem if all permits are taken.
    pub(super) fn take_permit(&self) -> Result<OwnedSemaphorePermit, ApiProblem> {
        self.permits.clone().try_acquire_owned().map_err(|_| {
            // The semaphore is never closed, so the only error is a lack of permits.
            let detail = format!("{} requests are in hand already", self.limits.max_requests);
            let problem = Problem::not_run(Code::TooBusy, detail);
            problem.retry_after(TOO_BUSY_RETRY_AFTER).into()
        })
    }
}
