//! Client for model engines, which answer with a stream of server-sent events.
//!
//! A stream is complete only with its `done` event. It is bounded in the time without data, in its bytes and in its
//! number of tokens.

use {
    crate::{
        pipeline::{
            decision::endpoint::{AttemptEnd, EndpointCall, FailCause, TokenSink},
            endpoints::{
                http_call::{CallBody, call_request},
                http_transport::HttpTransport,
                reply_head::{check_head, is_stream_status},
                wire::{self, GenerateBody, StreamEvent},
            },
        },
        settings::tree::ServiceKind,
        shared::{sse::EventReader, units::WorkMillis},
    },
    bytes::Bytes,
    http_body_util::BodyExt,
    hyper::body::Incoming,
    serde_json::value::RawValue,
    std::time::Duration,
};

/// Longest time without data within a stream. An engine sends tokens far more often.
const STREAM_READ_TIMEOUT: Duration = Duration::from_secs(10);

/// Longest time to send a cancellation and receive the head of its reply.
const CANCEL_TIMEOUT: Duration = Duration::from_millis(500);

/// Runs one generation and passes each token to `sink`. Returns the end of the attempt.
pub async fn generate(
    transport: &HttpTransport,
    call: EndpointCall,
    sink: impl TokenSink + 'static,
) -> AttemptEnd {
    match exchange(transport, &call, sink).await {
        Ok(end) | Err(end) => end,
    }
}

async fn exchange(
    transport: &HttpTransport,
    call: &EndpointCall,
    sink: impl TokenSink,
) -> Result<AttemptEnd, AttemptEnd> {
    let garbage = AttemptEnd::Failed(FailCause::Garbage);
    // Neither step fails for a call from the core, which has checked the ids and the input's JSON.
    let body = generate_body(call).ok_or_else(|| garbage.clone())?;
    let request = call_request(call, wire::GENERATE_PATH)
        .body(body)
        .map_err(|_| garbage.clone())?;
    let response = transport.send(request).await?;
    check_head(&call.ids, &response)?;
    if !is_stream_status(response.status()) {
        return Err(garbage);
    }
    Ok(read_stream(response.into_body(), call, sink).await)
}

/// Returns the request body of a generation, or `None` if the call isn't for an engine or its input isn't JSON.
fn generate_body(call: &EndpointCall) -> Option<CallBody> {
    let ServiceKind::Engine { model } = &call.kind else {
        return None;
    };
    let input: &RawValue = serde_json::from_slice(&call.input).ok()?;
    let body = GenerateBody {
        model,
        input,
        max_tokens: call.max_tokens,
        resume_tokens: call.resume.tokens,
        resume_text: &call.resume.text,
    };
    let json = serde_json::to_vec(&body).ok()?;
    Some(CallBody::new(Bytes::from(json)))
}

async fn read_stream(
    mut body: Incoming,
    call: &EndpointCall,
    mut sink: impl TokenSink,
) -> AttemptEnd {
    let mut events = EventReader::default();
    let mut size = 0u64;
    loop {
        let frame = match tokio::time::timeout(STREAM_READ_TIMEOUT, body.frame()).await {
            Ok(Some(Ok(frame))) => frame,
            // The stream ended or failed before its `done` event.
            Ok(Some(Err(_)) | None) => return AttemptEnd::Failed(FailCause::Broken),
            Err(_) => return AttemptEnd::Failed(FailCause::Timeout),
        };
        // The protocol doesn't use trailers.
        let Ok(data) = frame.into_data() else {
            continue;
        };
        size += data.len() as u64;
        if size > call.max_reply.0 || events.feed(&data).is_err() {
            return AttemptEnd::Failed(FailCause::TooLarge);
        }
        while let Some(event) = events.next_event() {
            if let Some(end) = handle_event(&event, call.max_tokens, &mut sink) {
                return end;
            }
        }
    }
}

/// Handles one event. Returns the end of the attempt if no event is expected after this one.
fn handle_event(event: &[u8], max_tokens: u32, sink: &mut impl TokenSink) -> Option<AttemptEnd> {
    match serde_json::from_slice::<StreamEvent>(event) {
        Ok(StreamEvent::Token { index, .. }) if index >= max_tokens => {
            Some(AttemptEnd::Failed(FailCause::TooLarge))
        }
        Ok(StreamEvent::Token { index, text }) => {
            sink.token(index, text);
            None
        }
        Ok(StreamEvent::Done {
            tokens,
            served_ms,
            prefill,
        }) => Some(AttemptEnd::StreamEnded {
            tokens,
            served: served_ms.filter(|WorkMillis(ms)| ms.is_finite()),
            prefill,
        }),
        Err(_) => Some(AttemptEnd::Failed(FailCause::Garbage)),
    }
}

/// Asks an engine to cancel a generation, since its result isn't needed any more.
pub async fn cancel(transport: &HttpTransport, call: EndpointCall) {
    let Ok(request) = call_request(&call, wire::CANCEL_PATH).body(CallBody::default()) else {
        // Can't happen: the call was sent with the same headers.
        return;
    };
    // Best effort: an engine that doesn't receive the message notices the closed connection.
    let _ = tokio::time::timeout(CANCEL_TIMEOUT, transport.send(request)).await;
}
