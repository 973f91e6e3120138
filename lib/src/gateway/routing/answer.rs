//! Builds the answer to the caller from an endpoint's reply: the reply's head without hop-by-hop headers, and a body
//! that is either whole or a stream.

use {
    crate::gateway::{
        dialect::Dialect,
        routing::call::ForwardedCall,
        rules::reply_proof::is_endpoint_failure,
        state::Gateway,
        wire::{
            headers::strip_hop_by_hop,
            reply::{ReplyBody, StreamPart},
        },
    },
    bytes::Bytes,
    http::{Response, header, response},
    tokio::sync::mpsc,
};

/// A reply whose body has been read completely.
#[derive(Debug)]
pub(crate) struct WholeReply {
    pub(crate) head: response::Parts,
    pub(crate) body: Bytes,
}

/// Answers with a whole reply, and counts and logs the request as answered.
pub(crate) fn answer_whole<D: Dialect>(
    gateway: &Gateway<D>,
    call: &ForwardedCall,
    reply: WholeReply,
) -> Response<ReplyBody> {
    let took = gateway.now().since(call.arrived);
    gateway.metrics.count_answered(took);
    if !is_endpoint_failure(reply.head.status) {
        gateway.record_served(call);
        gateway.record_reply_time(call);
    }
    log::info!(
        request = call.id(),
        status = reply.head.status.as_u16(),
        bytes = reply.body.len(),
        took_ms = took.as_millis() as u64;
        "request.answered"
    );
    let length = reply.body.len();
    let mut response = with_head(reply.head, ReplyBody::whole(reply.body));
    response
        .headers_mut()
        .insert(header::CONTENT_LENGTH, length.into());
    response
}

/// Answers with a stream that is read from `parts`.
pub(crate) fn answer_stream(
    head: response::Parts,
    parts: mpsc::Receiver<StreamPart>,
) -> Response<ReplyBody> {
    let mut response = with_head(head, ReplyBody::Stream(parts));
    // The length of a stream is unknown until its end, since another endpoint may resume it.
    response.headers_mut().remove(header::CONTENT_LENGTH);
    response
}

fn with_head(head: response::Parts, body: ReplyBody) -> Response<ReplyBody> {
    let mut response = Response::new(body);
    *response.status_mut() = head.status;
    *response.headers_mut() = head.headers;
    strip_hop_by_hop(response.headers_mut());
    response
}
