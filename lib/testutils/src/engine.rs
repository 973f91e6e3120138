//! A test double for a model engine with continuous batching, token streams, resumption and cancellation.
//!
//! Implements the engine's side of `docs/PROTOCOLS.md`. `expect` determines its tokens.

use {
    crate::{
        endpoint::{Endpoint, EndpointServer, PromptBytes},
        expect::token,
        faults::{Damage, StreamBreak},
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

/// Number of events that are buffered for a slow reader.
const EVENT_BUFFER: usize = 16;

/// Timing and capacity of an engine.
#[derive(Debug, Clone, Copy)]
pub struct EngineModel {
    /// Prefill time per byte of input.
    pub prefill_byte: Duration,
    /// Time between two tokens of a sequence that runs alone.
    pub token: Duration,
    /// Largest number of sequences in a batch.
    pub batch: u32,
    /// Fraction by which a full batch increases the time between two tokens.
    pub batch_cost: f64,
    /// Number of tokens of one generation, unless the call allows fewer.
    pub tokens: u32,
    /// Capacity of the prefix cache, in blocks.
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
    fn generation_time(&self) -> Duration {
        self.token * self.tokens
    }
}

/// A prefix cache that several engines can share.
pub type SharedCache = Arc<Mutex<PrefixCache>>;

/// Creates an empty prefix cache for an engine.
pub fn new_cache(model: &EngineModel) -> SharedCache {
    Arc::new(Mutex::new(PrefixCache::new(model.cache_blocks)))
}

/// Starts an engine.
///
/// # Errors
///
/// Returns an error if the address can't be bound.
pub async fn start(
    name: &str,
    address: SocketAddr,
    model: EngineModel,
) -> io::Result<EndpointServer> {
    start_sharing(name, address, model, new_cache(&model)).await
}

/// Starts an engine with a cache that other engines may share, as if engines exchanged their caches instantly and at no
/// cost.
///
/// # Errors
///
/// Returns an error if the address can't be bound.
pub async fn start_sharing(
    name: &str,
    address: SocketAddr,
    model: EngineModel,
    cache: SharedCache,
) -> io::Result<EndpointServer> {
    let endpoint = Arc::new(Endpoint::new(name, model.batch, model.generation_time()));
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
        // Without a change number in the query, all changes are returned.
        let after = after.and_then(|text| text.parse().ok()).unwrap_or(0);
        let cache = self.cache.lock().expect("no panic while held");
        let json = serde_json::to_vec(&cache.events(after)).expect("events are plain JSON");
        Response::new(whole_body(json))
    }

    /// Looks up a prompt in the cache and adds it. Returns the prefill time and the number of cached bytes.
    fn prefill(&self, input: &[u8]) -> (Duration, u64) {
        let mut cache = self.cache.lock().expect("no panic while held");
        let cached = cache.insert(input);
        let all = input.len() as u64;
        let uncached = all - cached;
        self.endpoint.count_prompt(PromptBytes { uncached, all });
        let time = self.model.prefill_byte * uncached as u32;
        (self.endpoint.slowed(time), cached)
    }
}

async fn handle(engine: Arc<Engine>, request: Request<Incoming>) -> Option<Response<ReplyBody>> {
    let endpoint = &engine.endpoint;
    match request.uri().path() {
        wire::CACHE_EVENTS_PATH => Some(engine.cache_events(request.uri().query())),
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
        return endpoint.refusal(&headers, wire::NOT_RUN_LEAVING);
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
        stream_break: endpoint.faults.take_break(),
    };
    let reply = endpoint.reply_head(&headers, started);
    let (events, received) = mpsc::channel(EVENT_BUFFER);
    tokio::spawn(run(engine.clone(), headers, generation, events));
    let frames = stream::unfold(received, |mut received| async {
        received.recv().await.map(|frame| (frame, received))
    });
    reply.body(StreamBody::new(frames).boxed_unsync()).ok()
}

/// Parameters of one generation.
struct Generation {
    input: Bytes,
    from: u32,
    to: u32,
    damage: Option<Damage>,
    stream_break: Option<StreamBreak>,
}

type Events = mpsc::Sender<Result<Frame<Bytes>, io::Error>>;

/// Reports that a stream accepts no more events: its reader disconnected, or the stream was broken off.
struct StreamEnded;

/// Generates until the end or until the reader disconnects, which closes the channel and cancels the generation.
async fn run(engine: Arc<Engine>, headers: HeaderMap, generation: Generation, events: Events) {
    let endpoint = &engine.endpoint;
    let _present = endpoint.enter();
    let _slot = tokio::select! {
        slot = endpoint.slot() => slot,
        () = events.closed() => return,
    };
    endpoint.record(&headers, generation.from);
    let started = Instant::now();
    let (prefill, cached_bytes) = engine.prefill(&generation.input);
    // An error means that the reader has disconnected, so there is no one to report it to.
    let _ = async {
        generate_tokens(&engine, &generation, &events, started + prefill).await?;
        end_stream(&generation, &events, || StreamEvent::Done {
            tokens: generation.to,
            served_ms: Some(WorkMillis(millis(started.elapsed()))),
            prefill: Some(Prefill {
                spent: WorkMillis(millis(prefill)),
                cached_bytes,
            }),
        })
        .await
    }
    .await;
}

fn millis(time: Duration) -> f64 {
    time.as_secs_f64() * 1000.0
}

/// Sends the tokens of a generation whose prefill ends at `next`.
async fn generate_tokens(
    engine: &Engine,
    generation: &Generation,
    events: &Events,
    mut next: Instant,
) -> Result<(), StreamEnded> {
    let Engine {
        endpoint, model, ..
    } = engine;
    // Sleeps until points in time rather than for durations, whose rounding by the timer would add up.
    tokio::time::sleep_until(next).await;
    for index in generation.from..generation.to {
        if let Some(at) = &generation.stream_break
            && at.token == index
        {
            return break_off(at, events).await;
        }
        let share = f64::from(endpoint.running()) / f64::from(model.batch);
        let pause = model.token.mul_f64(1.0 + model.batch_cost * share);
        next += endpoint.slowed(pause);
        tokio::time::sleep_until(next).await;
        let text = token(&endpoint.name, &generation.input, index);
        send(events, &StreamEvent::Token { index, text }).await?;
    }
    Ok(())
}

/// Breaks off a stream as soon as its reader has received all tokens before the break.
async fn break_off(at: &StreamBreak, events: &Events) -> Result<(), StreamEnded> {
    let mut received = at.received.clone();
    let caught_up = received.wait_for(|&tokens| tokens >= at.token).await;
    // An error means that the reader has disconnected.
    caught_up.map_err(|_| StreamEnded)?;
    send_frame(events, Err(io::Error::other("broken off"))).await?;
    Err(StreamEnded)
}

/// Ends a stream: with the final event, or with the damage of the generation.
async fn end_stream(
    generation: &Generation,
    events: &Events,
    done: impl FnOnce() -> StreamEvent,
) -> Result<(), StreamEnded> {
    match generation.damage {
        Some(Damage::Garbage) => {
            let garbage = Bytes::from_static(b"data: \xff\xfe\n\n");
            send_frame(events, Ok(Frame::data(garbage))).await
        }
        // The stream ends without the final event.
        Some(_) => Ok(()),
        None => send(events, &done()).await,
    }
}

async fn send(events: &Events, event: &StreamEvent) -> Result<(), StreamEnded> {
    let json = serde_json::to_string(event).expect("an event is plain JSON");
    let frame = Frame::data(Bytes::from(format!("data: {json}\n\n")));
    send_frame(events, Ok(frame)).await
}

async fn send_frame(
    events: &Events,
    frame: Result<Frame<Bytes>, io::Error>,
) -> Result<(), StreamEnded> {
    events.send(frame).await.map_err(|_| StreamEnded)
}
