//! A test double for an endpoint of a plain service: encoder, retriever, reranker or application.

use {
    crate::{
        endpoint::{Endpoint, EndpointServer},
        expect::plain_output,
        faults::Damage,
        http_server::{ReplyBody, Server, whole_body},
    },
    bytes::Bytes,
    hazelyoke_lib::pipeline::endpoints::wire,
    http::{HeaderMap, Request, Response},
    http_body_util::BodyExt,
    hyper::body::Incoming,
    std::{
        collections::HashMap,
        io,
        net::SocketAddr,
        sync::{Arc, Mutex},
        time::Duration,
    },
    tokio::time::Instant,
};

/// Answers by idempotency key, as stored by endpoints that check keys.
pub type Answers = Arc<Mutex<HashMap<String, Bytes>>>;

/// Timing and behaviour of a plain endpoint.
#[derive(Debug, Clone, Copy)]
pub struct PlainModel {
    /// Duration of one call.
    pub call_time: Duration,
    /// Number of calls that run at the same time.
    pub slots: u32,
    /// Whether a second call with the same idempotency key gets the first answer and doesn't run.
    pub checks_keys: bool,
}

impl Default for PlainModel {
    fn default() -> Self {
        Self {
            call_time: Duration::from_millis(2),
            slots: 8,
            checks_keys: false,
        }
    }
}

/// Starts a plain endpoint.
///
/// # Errors
///
/// Returns an error if the address can't be bound.
pub async fn start(
    service: &str,
    address: SocketAddr,
    model: PlainModel,
) -> io::Result<EndpointServer> {
    start_sharing(service, address, model, Answers::default()).await
}

/// Starts a plain endpoint that shares its answers by key with other endpoints of the service.
///
/// # Errors
///
/// Returns an error if the address can't be bound.
pub async fn start_sharing(
    service: &str,
    address: SocketAddr,
    model: PlainModel,
    answers: Answers,
) -> io::Result<EndpointServer> {
    let endpoint = Arc::new(Endpoint::new(service, model.slots, model.call_time));
    let shared = endpoint.clone();
    let server = Server::start(address, move |request| {
        let endpoint = shared.clone();
        let answers = model.checks_keys.then(|| answers.clone());
        async move { handle(&endpoint, answers, request).await }
    })
    .await?;
    Ok(EndpointServer { endpoint, server })
}

async fn handle(
    endpoint: &Endpoint,
    answers: Option<Answers>,
    request: Request<Incoming>,
) -> Option<Response<ReplyBody>> {
    if request.uri().path() == wire::LOAD_PATH {
        return Some(endpoint.report_reply());
    }
    let (head, body) = request.into_parts();
    let input = body.collect().await.ok()?.to_bytes();
    if endpoint.faults.is_leaving() {
        return endpoint.refusal(&head.headers, wire::NOT_RUN_LEAVING);
    }
    let damage = endpoint.faults.draw();
    if damage == Some(Damage::NotRun) {
        return endpoint.refusal(&head.headers, wire::NOT_RUN_BUSY);
    }
    let _present = endpoint.enter();
    let _slot = endpoint.slot().await;
    let started = Instant::now();
    let output = run(endpoint, answers, &head.headers, &input).await;
    match damage {
        Some(damage) => endpoint.damaged(damage, &head.headers, &output, started),
        None => endpoint
            .reply_head(&head.headers, started)
            .body(whole_body(output))
            .ok(),
    }
}

async fn run(
    endpoint: &Endpoint,
    answers: Option<Answers>,
    headers: &HeaderMap,
    input: &Bytes,
) -> Bytes {
    let key = headers
        .get(wire::IDEMPOTENCY_KEY_HEADER)
        .and_then(|value| value.to_str().ok())
        .map(str::to_owned);
    let known = answers.zip(key);
    if let Some((answers, key)) = &known
        && let Some(answer) = answers.lock().expect("no panic while held").get(key)
    {
        return answer.clone();
    }
    endpoint.record(headers, 0);
    let output = plain_output(&endpoint.name, input);
    if let Some((answers, key)) = known {
        let mut answers = answers.lock().expect("no panic while held");
        answers.insert(key, output.clone());
    }
    let time = endpoint.slowed(endpoint.call_time);
    // A sleep takes at least one tick of the timer, even with a duration of zero.
    if !time.is_zero() {
        tokio::time::sleep(time).await;
    }
    output
}
