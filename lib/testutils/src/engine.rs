//! A stand-in for a model engine: batches continuously, streams tokens, resumes and is cancelled.

use {
    crate::{
        endpoint::{Endpoint, EndpointServer},
        expect::token,
        faults::Damage,
        http_server::{ReplyBody, Server, empty_body, whole_body},
        prefix_cache::PrefixCache,
    },
    bytes::Bytes,
    futures_util::stream,
    hazelyoke_lib::{
        pipeline::{
            decision::endpoint::Prefill,
            endpoints::wire::{self, GenerateBody, StreamEvent},
        },
        shared::units::WorkMillis,
    },
    http::{HeaderMap, Request, Response, StatusCode},
    http_body_util::{BodyExt, StreamBody},
    hyper::body::{Frame, Incoming},
    std::{
        io,
        net::SocketAddr,
        sync::{Arc, Mutex},
        time::Duration,
    },
    tokio::{sync::mpsc, time::Instant},
};

/// Events that may wait for a slow reader.
const QUEUE: usize = 16;

/// An engine's times and batch.
#[derive(Debug, Clone, Copy)]
pub struct EngineModel {
    /// Time of the prefill for one byte of input.
    pub prefill_byte: Duration,
    /// Time between two tokens of a single sequence.
    pub token: Duration,
    /// Sequences in one batch.
    pub batch: u32,
    /// Share by which a full batch slows each sequence down.
    pub batch_cost: f64,
    /// Tokens of one generation, unless the call allows less.
    pub tokens: u32,
    /// Blocks that its prefix cache holds.
    pub cache_blocks: usize,
}

impl Default for EngineModel {
    fn default() -> Self {
        Self {
            prefill_byte: Duration::from_micros(5),
            token: Duration::from_millis(2),
            batch: 16,
            batch_cost: 1.0,
            tokens: 16,
            cache_blocks: 1_024,
        }
    }
}

impl EngineModel {
    fn usual(&self) -> Duration {
        self.token * self.tokens
    }
}

/// A prefix cache that several engines can share.
pub type SharedCache = Arc<Mutex<PrefixCache>>;

/// Builds an engine's prefix cache.
pub fn new_cache(model: &EngineModel) -> SharedCache {
    Arc::new(Mutex::new(PrefixCache::new(model.cache_blocks)))
}

/// Starts an engine.
///
/// # Errors
///
/// Returns an error when the address can't be bound.
pub async fn start(
    name: &str,
    address: SocketAddr,
    model: EngineModel,
) -> io::Result<EndpointServer> {
    start_sharing(name, address, model, new_cache(&model)).await
}

/// Starts an engine on a cache that others may share, as if whatever one holds were with all the
/// others at once and for nothing.
///
/// # Errors
///
/// Returns an error when the address can't be bound.
pub async fn start_sharing(
    name: &str,
    address: SocketAddr,
    model: EngineModel,
    cache: SharedCache,
) -> io::Result<EndpointServer> {
    let endpoint = Arc::new(Endpoint::new(name, model.batch, model.usual()));
    let engine = Arc::new(Engine {
        endpoint: endpoint.clone(),
        model,
        cache,
    });
    let server = Server::start(address, move |request| handle(engine.clone(), request)).await?;
    Ok(EndpointServer { endpoint, server })
}

/// State of one engine.
struct Engine {
    endpoint: Arc<Endpoint>,
    model: EngineModel,
    cache: SharedCache,
}

impl Engine {
    fn cache_events(&self, query: Option<&str>) -> Response<ReplyBody> {
        let after = query.and_then(|query| query.strip_prefix("after="));
        let after = after.and_then(|text| text.parse().ok()).unwrap_or(0);
        let events = self
            .cache
            .lock()
            .expect("no panic while held")
            .events(after);
        Response::new(whole_body(serde_json::to_vec(&events).unwrap_or_default()))
    }
}

async fn handle(engine: Arc<Engine>, request: Request<Incoming>) -> Option<Response<ReplyBody>> {
    let endpoint = &engine.endpoint;
    match request.uri().path() {
        wire::CACHE_PATH => Some(engine.cache_events(request.uri().query())),
        wire::LOAD_PATH => Some(endpoint.report_reply()),
        wire::CANCEL_PATH => {
            endpoint.cancel();
            Some(Response::new(empty_body()))
        }
        wire::GENERATE_PATH => generate(engine, request).await,
        _ => Response::builder()
            .status(StatusCode::NOT_FOUND)
            .body(empty_body())
            .ok(),
    }
}

async fn generate(engine: Arc<Engine>, request: Request<Incoming>) -> Option<Response<ReplyBody>> {
    let Engine {
        endpoint, model, ..
    } = &*engine;
    let (head, body) = request.into_parts();
    let body = body.collect().await.ok()?.to_bytes();
    let headers = head.headers;
    if endpoint.faults.is_leaving() {
        return endpoint.refusal(&headers, wire::LEAVING);
    }
    let call: GenerateBody<'_> = serde_json::from_slice(&body).ok()?;
    let wrong_model = call.model != &*endpoint.name;
    if wrong_model {
        let head = endpoint.reply_head(&headers, Instant::now());
        return head.status(StatusCode::BAD_REQUEST).body(empty_body()).ok();
    }
    let started = Instant::now();
    let damage = endpoint.faults.draw();
    let late = matches!(damage, Some(Damage::Garbage | Damage::Truncated));
    if let Some(damage) = damage
        && !late
    {
        return endpoint.damaged(damage, &headers, &Bytes::new(), started);
    }
    let generation = Generation {
        input: Bytes::copy_from_slice(call.input.get().as_bytes()),
        from: call.resume_tokens,
        to: model.tokens.min(call.max_tokens),
        damage,
        break_at: endpoint.faults.take_break(),
    };
    let reply = endpoint.reply_head(&headers, started);
    let (events, received) = mpsc::channel(QUEUE);
    tokio::spawn(run(engine.clone(), headers, generation, events));
    let frames = stream::unfold(received, |mut received| async {
        received.recv().await.map(|frame| (frame, received))
    });
    reply.body(StreamBody::new(frames).boxed_unsync()).ok()
}

/// One generation as it was asked for.
struct Generation {
    input: Bytes,
    from: u32,
    to: u32,
    damage: Option<Damage>,
    break_at: Option<u32>,
}

type Events = mpsc::Sender<Result<Frame<Bytes>, io::Error>>;

/// Generates until the end or until nobody listens: a closed channel is a cancelled stream.
async fn run(engine: Arc<Engine>, headers: HeaderMap, generation: Generation, events: Events) {
    let Engine {
        endpoint,
        model,
        cache,
    } = &*engine;
    let _present = endpoint.enter();
    let _slot = tokio::select! {
        slot = endpoint.slot() => slot,
        () = events.closed() => return,
    };
    endpoint.record(&headers, generation.from);
    let started = Instant::now();
    let cached = cache
        .lock()
        .expect("no panic while held")
        .take(&generation.input);
    let uncached = generation.input.len() as u64 - cached;
    endpoint.count_prefill(uncached, generation.input.len() as u64);
    let prefill = model.prefill_byte * uncached as u32;
    // Points in time, not pauses: the timer's rounding would else add up over a generation.
    let mut next = started + endpoint.time(prefill);
    tokio::time::sleep_until(next).await;
    for index in generation.from..generation.to {
        if generation.break_at == Some(index) {
            let _ = events.send(Err(io::Error::other("broken off"))).await;
            return;
        }
        let share = f64::from(endpoint.running()) / f64::from(model.batch);
        let pause = model.token.mul_f64(1.0 + model.batch_cost * share);
        next += endpoint.time(pause);
        tokio::time::sleep_until(next).await;
        let text = token(&endpoint.name, &generation.input, index);
        if send(&events, &StreamEvent::Token { index, text })
            .await
            .is_err()
        {
            return;
        }
    }
    match generation.damage {
        Some(Damage::Garbage) => {
            let garbage = Bytes::from_static(b"data: \xff\xfe\n\n");
            let _ = events.send(Ok(Frame::data(garbage))).await;
        }
        // The stream ends without its announced end.
        Some(_) => {}
        None => {
            let ms = started.elapsed().as_secs_f64() * 1000.0;
            let done = StreamEvent::Done {
                tokens: generation.to,
                served_ms: Some(WorkMillis(ms)),
                prefill: Some(Prefill {
                    spent: WorkMillis(endpoint.time(prefill).as_secs_f64() * 1000.0),
                    cached_bytes: cached,
                }),
            };
            let _ = send(&events, &done).await;
        }
    }
}

async fn send(events: &Events, event: &StreamEvent) -> Result<(), ()> {
    let json = serde_json::to_string(event).map_err(|_| ())?;
    let frame = Frame::data(Bytes::from(format!("data: {json}\n\n")));
    events.send(Ok(frame)).await.map_err(|_| ())
}
