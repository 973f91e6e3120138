//! Reads bodies into memory whose size is bounded over all connections together.
//!
//! Bytes are counted as held until the last reference to the body is gone, whoever has it: an attempt that still writes
//! it, or a caller that reads it slowly. [`rules::body_memory`](crate::gateway::rules::body_memory) has the bounds.

use {
    crate::{gateway::rules::body_memory::BodyBounds, shared::units::ByteSize},
    bytes::Bytes,
    foldhash::HashMap,
    http_body_util::BodyExt,
    hyper::body::Body,
    std::{
        cell::RefCell,
        error::Error as StdError,
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
        },
    },
    thiserror::Error,
};

/// Smallest size that a body's memory grows to.
const SMALLEST_GROWTH: usize = 4 * 1024;

/// Bytes that are held, up to a limit.
#[derive(Debug)]
struct Pool {
    limit: AtomicU64,
    held: AtomicU64,
}

impl Pool {
    fn new(limit: ByteSize) -> Arc<Self> {
        Arc::new(Self {
            limit: AtomicU64::new(limit.0),
            held: AtomicU64::new(0),
        })
    }

    fn held(&self) -> ByteSize {
        ByteSize(self.held.load(Ordering::Relaxed))
    }

    /// Holds `bytes` more; returns false if they don't fit.
    fn take(&self, bytes: u64) -> bool {
        let limit = self.limit.load(Ordering::Relaxed);
        let add = |held: u64| held.checked_add(bytes).filter(|sum| *sum <= limit);
        let updated = self
            .held
            .try_update(Ordering::Relaxed, Ordering::Relaxed, add);
        updated.is_ok()
    }

    /// Lets nothing be held in addition any more.
    fn close(&self) {
        self.limit.store(0, Ordering::Relaxed);
    }

    fn is_closed(&self) -> bool {
        self.limit.load(Ordering::Relaxed) == 0
    }

    fn give_back(&self, bytes: u64) {
        self.held.fetch_sub(bytes, Ordering::Relaxed);
    }
}

/// The memory for bodies of a daemon.
#[derive(Debug)]
pub struct BodyMemory {
    bounds: BodyBounds,
    requests: Arc<Pool>,
    replies: Arc<Pool>,
    /// Replies of each endpoint that sends some, by the name of the endpoint.
    endpoints: RefCell<HashMap<String, Arc<Pool>>>,
}

impl BodyMemory {
    /// Creates the memory with these bounds, all of it free.
    pub fn new(bounds: BodyBounds) -> Self {
        Self {
            bounds,
            requests: Pool::new(bounds.requests),
            replies: Pool::new(bounds.replies),
            endpoints: RefCell::default(),
        }
    }

    /// Returns the bytes that bodies of requests and replies hold.
    pub fn held(&self) -> [ByteSize; 2] {
        [self.requests.held(), self.replies.held()]
    }

    /// Holds the memory for the body of a request of `bytes`; `None` if there is too little, or too little for replies.
    pub fn for_request(&self, bytes: u64) -> Option<HeldMemory> {
        if !self.bounds.accepts_requests(self.replies.held()) {
            return None;
        }
        let mut held = HeldMemory::new(self.requests.clone(), None);
        held.grow(bytes).then_some(held)
    }

    /// Returns the memory for a reply of an endpoint, which holds nothing yet.
    pub fn for_reply(&self, endpoint: &str) -> HeldMemory {
        let mut endpoints = self.endpoints.borrow_mut();
        if let Some(pool) = endpoints.get(endpoint)
            && !pool.is_closed()
        {
            return HeldMemory::new(self.replies.clone(), Some(pool.clone()));
        }
        // Pools that nobody else refers to hold nothing.
        endpoints.retain(|_, pool| Arc::strong_count(pool) > 1);
        let pool = Pool::new(self.bounds.endpoint);
        endpoints.insert(endpoint.to_owned(), pool.clone());
        HeldMemory::new(self.replies.clone(), Some(pool))
    }
}

/// Bytes that count as held until this is dropped.
#[derive(Debug)]
pub struct HeldMemory {
    pool: Arc<Pool>,
    /// Pool of the endpoint that sends the reply; `None` for a request.
    endpoint: Option<Arc<Pool>>,
    bytes: u64,
}

impl HeldMemory {
    fn new(pool: Arc<Pool>, endpoint: Option<Arc<Pool>>) -> Self {
        Self {
            pool,
            endpoint,
            bytes: 0,
        }
    }

    /// Holds at least `bytes` in all; returns false if they don't fit.
    pub fn grow(&mut self, bytes: u64) -> bool {
        let more = bytes.saturating_sub(self.bytes);
        if !self.pool.take(more) {
            return false;
        }
        if self.endpoint.as_ref().is_some_and(|pool| !pool.take(more)) {
            self.pool.give_back(more);
            return false;
        }
        self.bytes += more;
        true
    }

    /// Lets no reply of the same endpoint grow any more that has begun.
    fn close_endpoint(&self) {
        if let Some(endpoint) = &self.endpoint {
            endpoint.close();
        }
    }

    /// Holds no more than `bytes`.
    pub fn shrink(&mut self, bytes: u64) {
        let less = self.bytes.saturating_sub(bytes);
        self.pool.give_back(less);
        if let Some(endpoint) = &self.endpoint {
            endpoint.give_back(less);
        }
        self.bytes -= less;
    }
}

impl Drop for HeldMemory {
    fn drop(&mut self) {
        self.shrink(0);
    }
}

/// Bytes of a body, with the memory that they hold.
struct HeldBytes {
    bytes: Vec<u8>,
    _held: HeldMemory,
}

impl AsRef<[u8]> for HeldBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// Reason why a body wasn't read to its end.
#[derive(Debug, Error)]
pub enum HeldBodyError<E: StdError + 'static> {
    /// The body is larger than the limit.
    #[error("the body has more than {} bytes", .0.0)]
    TooLarge(ByteSize),
    /// There is too little memory for the body.
    #[error("too little memory for the body")]
    NoMemory,
    /// The connection failed before the end of the body.
    #[error(transparent)]
    Connection(E),
}

/// Reads a whole body of at most `limit` bytes into `held`, which grows with it.
///
/// # Errors
///
/// Returns an error if the body is larger, if it doesn't fit into the memory, or if the connection fails. A body that
/// states a larger size isn't read.
pub async fn read_held<B>(
    body: &mut B,
    limit: ByteSize,
    mut held: HeldMemory,
) -> Result<Bytes, HeldBodyError<B::Error>>
where
    B: Body<Data = Bytes, Error: StdError + 'static> + Unpin,
{
    let stated = body.size_hint();
    if stated.lower() > limit.0 {
        return Err(HeldBodyError::TooLarge(limit));
    }
    let most = stated.exact().unwrap_or(limit.0) as usize;
    let mut bytes = Vec::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(HeldBodyError::Connection)?;
        // Trailers aren't used.
        let Ok(data) = frame.into_data() else {
            continue;
        };
        let needed = bytes.len() + data.len();
        if needed as u64 > limit.0 {
            // The endpoint sends bodies without end; the others that it sends now would take as long.
            held.close_endpoint();
            return Err(HeldBodyError::TooLarge(limit));
        }
        if needed > bytes.capacity() {
            let doubled = (2 * bytes.capacity()).max(SMALLEST_GROWTH);
            let capacity = doubled.min(most).max(needed);
            if !held.grow(capacity as u64) {
                return Err(HeldBodyError::NoMemory);
            }
            bytes.reserve_exact(capacity - bytes.len());
        }
        bytes.extend_from_slice(&data);
    }
    if bytes.is_empty() {
        return Ok(Bytes::new());
    }
    held.shrink(bytes.capacity() as u64);
    Ok(Bytes::from_owner(HeldBytes { bytes, _held: held }))
}
