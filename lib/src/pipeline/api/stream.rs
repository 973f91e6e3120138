//! Streamed answers as server-sent events: one for each token, then exactly one `done` or `problem`.
//!
//! The node guarantees that exactly one final delivery follows the tokens.

use {
    crate::{
        pipeline::{
            api::problem::ApiProblem,
            endpoints::{http_transport::HttpTransport, wire},
            node::{Delivery, RequestHandle},
            trace::TraceSpan,
        },
        shared::{ids::RequestId, sse::write_event},
    },
    bytes::Bytes,
    dropshot::Body,
    futures_util::stream,
    http::{Response, header},
    http_body_util::StreamBody,
    hyper::body::Frame,
    serde::Serialize,
    std::convert::Infallible,
    tokio::sync::OwnedSemaphorePermit,
};

/// Name of the event that carries one token.
pub const TOKEN_EVENT: &str = "token";
/// Name of the event that ends a complete answer.
pub const DONE_EVENT: &str = "done";
/// Name of the event that ends an incomplete answer.
pub const PROBLEM_EVENT: &str = "problem";

#[derive(Debug, Serialize)]
struct TokenData<'a> {
    index: u32,
    text: &'a str,
}

#[derive(Debug, Serialize)]
struct DoneData {
    tokens: u32,
    request_id: String,
}

/// State of a streamed answer. Dropping it before its end reports to the core that the caller has left.
struct AnswerStream {
    handle: RequestHandle<HttpTransport>,
    id: RequestId,
    first: Option<Delivery>,
    // Both are held until the stream ends: the request counts as in progress, and its span is open.
    _permit: OwnedSemaphorePermit,
    _forward: TraceSpan,
}

impl AnswerStream {
    async fn next_event(mut self) -> Option<(Result<Frame<Bytes>, Infallible>, Self)> {
        let delivery = match self.first.take() {
            Some(first) => first,
            None => self.handle.next().await?,
        };
        let event = encode_delivery(&delivery, self.id);
        Some((Ok(Frame::data(event)), self))
    }
}

fn encode_delivery(delivery: &Delivery, id: RequestId) -> Bytes {
    match delivery {
        Delivery::Token { index, text } => write_event(
            TOKEN_EVENT,
            &TokenData {
                index: *index,
                text,
            },
        ),
        Delivery::Finished(Ok(answer)) => write_event(
            DONE_EVENT,
            &DoneData {
                tokens: answer.tokens,
                request_id: id.to_string(),
            },
        ),
        Delivery::Finished(Err(problem)) => {
            let problem = ApiProblem::new(problem.clone(), Some(id));
            write_event(PROBLEM_EVENT, &problem.body())
        }
    }
}

/// Builds the response of a streamed answer whose first delivery is `first`.
pub fn stream_response(
    handle: RequestHandle<HttpTransport>,
    id: RequestId,
    first: Delivery,
    permit: OwnedSemaphorePermit,
    forward: TraceSpan,
) -> Response<Body> {
    let state = AnswerStream {
        handle,
        id,
        first: Some(first),
        _permit: permit,
        _forward: forward,
    };
    let events = stream::unfold(state, AnswerStream::next_event);
    Response::builder()
        .header(header::CONTENT_TYPE, "text/event-stream")
        .header(header::CACHE_CONTROL, "no-store")
        .header(wire::REQUEST_ID_HEADER, id.to_string())
        .body(Body::wrap(StreamBody::new(events)))
        .expect("fixed headers and an id are valid")
}
