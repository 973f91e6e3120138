//! Common parts of both kinds of test endpoints: slots, load reports, a record of the calls that ran.
//!
//! Holds the state of one incarnation of an endpoint. `plain` and `engine` serve it over HTTP.

use {
    crate::{
        faults::{Damage, Faults},
        http_server::{ReplyBody, Server, empty_body, whole_body},
    },
    bytes::Bytes,
    hazelyoke_lib::{
        pipeline::{decision::endpoint::LoadReport, endpoints::wire},
        shared::units::{Millis, WorkMillis},
    },
    http::{HeaderMap, Response, StatusCode, response::Builder},
    std::{
        net::SocketAddr,
        sync::{
            Arc, Mutex,
            atomic::{AtomicU32, AtomicU64, Ordering},
        },
        time::Duration,
    },
    tokio::{
        sync::{Semaphore, SemaphorePermit},
        time::Instant,
    },
};

/// Size of a reply that exceeds every limit, in bytes.
const OVERSIZED_BYTES: usize = 32 << 20;

/// Age that load reports state, because reports of real endpoints lag too.
const REPORT_LAG: Millis = Millis(50);

/// One call that ran at an endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Run {
    /// Id of the request.
    pub request: String,
    /// Id of the request's stage.
    pub stage: String,
    /// Id of the attempt at the stage.
    pub attempt: String,
    /// Idempotency key, if the call had one.
    pub key: Option<String>,
    /// Index of the first token to generate; 0 unless the call resumes the stream of another endpoint.
    pub resumed: u32,
}

/// Sizes of prompts, in bytes.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PromptBytes {
    /// Bytes that weren't in the prefix cache.
    pub uncached: u64,
    /// All bytes, cached or not.
    pub all: u64,
}

/// State of one test endpoint.
#[derive(Debug)]
pub struct Endpoint {
    /// Name of the service, or of an engine's model.
    pub name: Arc<str>,
    /// Injected faults, which may change while the endpoint runs.
    pub faults: Faults,
    /// Number of calls that run at the same time.
    pub slots: u32,
    /// Duration of one call without faults.
    pub call_time: Duration,
    permits: Semaphore,
    open_calls: AtomicU32,
    running: AtomicU32,
    cancelled: AtomicU32,
    busy_micros: AtomicU64,
    uncached_bytes: AtomicU64,
    prompted_bytes: AtomicU64,
    runs: Mutex<Vec<Run>>,
    report: Mutex<Option<LoadReport>>,
}

/// A running test endpoint. Dropping it simulates the end of its process.
#[derive(Debug)]
pub struct EndpointServer {
    /// State of the endpoint.
    pub endpoint: Arc<Endpoint>,
    /// HTTP server of the endpoint.
    pub server: Server,
}

impl EndpointServer {
    /// Returns the address on which the endpoint listens.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }
}

/// Counts a call as waiting or running until dropped.
#[derive(Debug)]
pub struct CallGuard<'e>(&'e AtomicU32);

impl Drop for CallGuard<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Occupies a slot until dropped, and then adds the time to the endpoint's busy time.
#[derive(Debug)]
pub struct SlotGuard<'e> {
    endpoint: &'e Endpoint,
    since: Instant,
    _permit: SemaphorePermit<'e>,
}

impl Drop for SlotGuard<'_> {
    fn drop(&mut self) {
        let micros = self.since.elapsed().as_micros() as u64;
        self.endpoint
            .busy_micros
            .fetch_add(micros, Ordering::Relaxed);
        self.endpoint.running.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Endpoint {
    /// Creates the state of an endpoint.
    pub fn new(name: &str, slots: u32, call_time: Duration) -> Self {
        Self {
            name: name.into(),
            faults: Faults::default(),
            slots,
            call_time,
            permits: Semaphore::new(slots as usize),
            open_calls: AtomicU32::new(0),
            running: AtomicU32::new(0),
            cancelled: AtomicU32::new(0),
            busy_micros: AtomicU64::new(0),
            uncached_bytes: AtomicU64::new(0),
            prompted_bytes: AtomicU64::new(0),
            runs: Mutex::new(Vec::new()),
            report: Mutex::new(None),
        }
    }

    /// Counts a call that has arrived, which may have to wait for a slot.
    pub fn enter(&self) -> CallGuard<'_> {
        self.open_calls.fetch_add(1, Ordering::Relaxed);
        CallGuard(&self.open_calls)
    }

    /// Waits for a free slot and occupies it.
    pub async fn slot(&self) -> SlotGuard<'_> {
        let permit = self.permits.acquire().await.expect("never closed");
        self.running.fetch_add(1, Ordering::Relaxed);
        SlotGuard {
            endpoint: self,
            since: Instant::now(),
            _permit: permit,
        }
    }

    /// Adds the bytes of a prompt to the totals.
    pub fn count_prompt(&self, prompt: PromptBytes) {
        self.uncached_bytes
            .fetch_add(prompt.uncached, Ordering::Relaxed);
        self.prompted_bytes.fetch_add(prompt.all, Ordering::Relaxed);
    }

    /// Returns the totals over all prompts.
    pub fn prompt_bytes(&self) -> PromptBytes {
        PromptBytes {
            uncached: self.uncached_bytes.load(Ordering::Relaxed),
            all: self.prompted_bytes.load(Ordering::Relaxed),
        }
    }

    /// Returns the total time for which slots were occupied, whether or not a reply followed.
    pub fn busy(&self) -> Duration {
        Duration::from_micros(self.busy_micros.load(Ordering::Relaxed))
    }

    /// Returns the number of calls that are running.
    pub fn running(&self) -> u32 {
        self.running.load(Ordering::Relaxed)
    }

    /// Returns the number of calls that were cancelled by a message.
    pub fn cancelled(&self) -> u32 {
        self.cancelled.load(Ordering::Relaxed)
    }

    /// Counts a call that was cancelled by a message.
    pub fn cancel(&self) {
        self.cancelled.fetch_add(1, Ordering::Relaxed);
    }

    /// Records that a call ran.
    pub fn record(&self, headers: &HeaderMap, resumed: u32) {
        let text = |name: &str| {
            headers
                .get(name)
                .and_then(|value| value.to_str().ok())
                .map(str::to_owned)
        };
        let run = Run {
            request: text(wire::REQUEST_ID_HEADER).unwrap_or_default(),
            stage: text(wire::STAGE_ID_HEADER).unwrap_or_default(),
            attempt: text(wire::ATTEMPT_ID_HEADER).unwrap_or_default(),
            key: text(wire::IDEMPOTENCY_KEY_HEADER),
            resumed,
        };
        self.runs.lock().expect("no panic while held").push(run);
    }

    /// Returns all calls that ran at this endpoint.
    pub fn runs(&self) -> Vec<Run> {
        self.runs.lock().expect("no panic while held").clone()
    }

    /// Returns a duration multiplied by the endpoint's slowness.
    pub fn slowed(&self, time: Duration) -> Duration {
        time.mul_f64(self.faults.slowness())
    }

    /// Returns the load report: the current one, or the last one while reports are frozen.
    pub fn report(&self) -> LoadReport {
        let mut last = self.report.lock().expect("no panic while held");
        if let Some(report) = *last
            && self.faults.is_frozen()
        {
            return report;
        }
        let open_calls = self.open_calls.load(Ordering::Relaxed);
        let call_ms = self.call_time.as_secs_f64() * 1000.0 * self.faults.slowness();
        let report = LoadReport {
            backlog: WorkMillis(f64::from(open_calls) * call_ms),
            running: self.running(),
            slots: self.slots,
            age: REPORT_LAG,
            leaving: self.faults.is_leaving(),
        };
        *last = Some(report);
        report
    }

    /// Returns the response to a request for the load report.
    pub fn report_reply(&self) -> Response<ReplyBody> {
        let json = serde_json::to_vec(&self.report()).expect("a load report is plain JSON");
        Response::new(whole_body(json))
    }

    /// Starts a response with the ids of its call in the headers.
    pub fn reply_head(&self, headers: &HeaderMap, started: Instant) -> Builder {
        let mut builder = Response::builder();
        for name in [
            wire::REQUEST_ID_HEADER,
            wire::STAGE_ID_HEADER,
            wire::ATTEMPT_ID_HEADER,
        ] {
            if let Some(value) = headers.get(name) {
                builder = builder.header(name, value);
            }
        }
        let ms = started.elapsed().as_secs_f64() * 1000.0;
        builder.header(wire::SERVED_HEADER, format!("{ms:.3}"))
    }

    /// Builds the reply that refuses a call, which didn't run.
    pub fn refusal(&self, headers: &HeaderMap, cause: &str) -> Option<Response<ReplyBody>> {
        self.reply_head(headers, Instant::now())
            .status(StatusCode::SERVICE_UNAVAILABLE)
            .header(wire::NOT_RUN_HEADER, cause)
            .body(empty_body())
            .ok()
    }

    /// Builds a damaged reply; `None` closes the connection without a reply.
    pub fn damaged(
        &self,
        damage: Damage,
        headers: &HeaderMap,
        body: &Bytes,
        started: Instant,
    ) -> Option<Response<ReplyBody>> {
        let head = self.reply_head(headers, started);
        match damage {
            Damage::Garbage => head.body(whole_body(&b"\xff\xfe{not json"[..])).ok(),
            Damage::Oversized => head.body(whole_body(vec![b' '; OVERSIZED_BYTES])).ok(),
            Damage::NoReply => None,
            Damage::NotRun => self.refusal(headers, wire::NOT_RUN_BUSY),
            Damage::WrongIds => Response::builder()
                .header(
                    wire::REQUEST_ID_HEADER,
                    "00000000-0000-0000-0000-000000000000",
                )
                .header(wire::STAGE_ID_HEADER, "other")
                .header(wire::ATTEMPT_ID_HEADER, "0")
                .body(whole_body(body.clone()))
                .ok(),
            Damage::ServerError => head
                .status(StatusCode::INTERNAL_SERVER_ERROR)
                .body(empty_body())
                .ok(),
            // The content length exceeds the length of the body.
            Damage::Truncated => head
                .header(http::header::CONTENT_LENGTH, body.len() + 10)
                .body(truncated_body(body))
                .ok(),
        }
    }
}

fn truncated_body(body: &Bytes) -> ReplyBody {
    use {futures_util::stream, http_body_util::StreamBody, hyper::body::Frame};
    let part = body.slice(..body.len() / 2);
    let frames = [
        Ok(Frame::data(part)),
        Err(std::io::Error::other("broken off")),
    ];
    let body = StreamBody::new(stream::iter(frames));
    http_body_util::BodyExt::boxed_unsync(body)
}
