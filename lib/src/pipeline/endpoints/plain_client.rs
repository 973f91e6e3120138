//! Client for plain services: one POST, answered by one complete JSON reply.

use crate::{
    pipeline::{
        decision::endpoint::{AttemptEnd, EndpointCall, EndpointReply, FailCause},
        endpoints::{
            http_call::{CallBody, call_request, read_body},
            http_transport::HttpTransport,
            reply_head::{check_head, is_answer_status},
            wire,
        },
    },
    shared::json,
};

/// Runs one call of a plain service. Returns the end of the attempt.
pub async fn call(transport: &HttpTransport, call: EndpointCall) -> AttemptEnd {
    match exchange(transport, &call).await {
        Ok(reply) => AttemptEnd::Answered(reply),
        Err(end) => end,
    }
}

async fn exchange(
    transport: &HttpTransport,
    call: &EndpointCall,
) -> Result<EndpointReply, AttemptEnd> {
    let request = call_request(call, wire::CALL_PATH)
        .body(CallBody::new(call.input.clone()))
        // Can't fail: ids, address and idempotency key were checked when they were parsed.
        .map_err(|_| AttemptEnd::Failed(FailCause::Garbage))?;
    let response = transport.send(request).await?;
    check_head(&call.ids, &response)?;
    let status = response.status();
    let served = wire::served_time(response.headers());
    let body = read_body(response.into_body(), call.max_reply)
        .await
        .map_err(AttemptEnd::Failed)?;
    let is_json = json::check(&body).is_ok();
    if !is_json || !is_answer_status(status) {
        return Err(AttemptEnd::Failed(FailCause::Garbage));
    }
    Ok(EndpointReply {
        status: status.as_u16(),
        body,
        served,
    })
}
