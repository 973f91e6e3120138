//! Adapter for plain services: one POST, one whole reply.

use crate::{
    pipeline::{
        decision::endpoint::{AttemptEnd, EndpointCall, EndpointReply, FailCause},
        endpoints::{
            http_call::{Body, call_request, check_head, read_body},
            http_transport::HttpTransport,
            wire,
        },
    },
    shared::json,
};

/// Runs one call of a plain service.
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
        .body(Body::new(call.input.clone()))
        .map_err(|_| AttemptEnd::Failed(FailCause::Garbage))?;
    let response = transport.send(request).await?;
    check_head(call, &response)?;
    let status = response.status().as_u16();
    let served = wire::served(response.headers());
    let body = read_body(response.into_body(), call.max_reply)
        .await
        .map_err(AttemptEnd::Failed)?;
    let is_json = json::check(&body).is_ok();
    let usable = (200..300).contains(&status) || (400..500).contains(&status);
    if !is_json || !usable {
        return Err(AttemptEnd::Failed(FailCause::Garbage));
    }
    Ok(EndpointReply {
        status,
        body,
        served,
    })
}
