//! Prepares an attempt: chooses the endpoint and builds the request that is sent there.

use {
    crate::{
        gateway::{
            dialect::{Dialect, Outbound},
            routing::call::ForwardedCall,
            rules::{
                eligibility::{AllowedDataCentres, ExclusionCounts},
                endpoint_choice::{EndpointChoice, EndpointRequest},
                stream_origin::StreamOrigin,
            },
            stages::stage_results::Results,
            state::Gateway,
            wire::headers::strip_hop_by_hop,
        },
        shared::ids::EndpointId,
    },
    bytes::Bytes,
    http::{HeaderMap, Request, Uri, header},
    http_body_util::Full,
};

/// Chooses an endpoint for a request, other than those in `tried`, and of `origin` if it continues a stream.
///
/// # Errors
///
/// Returns the number of the other endpoints by the reason for which they are excluded if none may get it.
pub(crate) fn choose_endpoint<D: Dialect>(
    gateway: &Gateway<D>,
    call: &ForwardedCall,
    tried: &[EndpointId],
    results: Option<&Results<D>>,
    origin: Option<StreamOrigin>,
) -> Result<EndpointChoice, ExclusionCounts> {
    let allowed = &call.data_centres;
    choose_endpoint_in(gateway, call, allowed, tried, results, origin)
}

/// Chooses an endpoint for a request like [`choose_endpoint`], but only in the data centres `allowed`.
pub(crate) fn choose_endpoint_in<D: Dialect>(
    gateway: &Gateway<D>,
    call: &ForwardedCall,
    allowed: &AllowedDataCentres,
    tried: &[EndpointId],
    results: Option<&Results<D>>,
    origin: Option<StreamOrigin>,
) -> Result<EndpointChoice, ExclusionCounts> {
    // A request without stages has no inputs.
    let inputs = results.map(Results::input_locations).unwrap_or_default();
    let request = EndpointRequest {
        prompt: &call.inbound.prompt,
        affinity: call.route.affinity,
        tried,
        inputs: &inputs,
        connection_limit: gateway.connections_each(&call.service),
        allowed,
        origin,
        cold_share: gateway.cold_share(&call.service),
        cold_start: gateway.cold_start(&call.service),
        urgency: call.urgency,
    };
    let settings = gateway.settings();
    let here = &settings.data_centre;
    let state = gateway.state.borrow();
    let model = state.engines.service(&call.service);
    state
        .endpoints
        .choose_by(gateway.now(), here, &call.service, &request, model)
}

/// Builds the request for an endpoint: the caller's method, path, headers and body, with the headers that the daemon
/// sets. `resume_after` is the last event of a stream that the caller already has, if any.
pub(crate) fn outbound_request<D: Dialect>(
    gateway: &Gateway<D>,
    call: &ForwardedCall,
    choice: &EndpointChoice,
    results: Option<&Results<D>>,
    resume_after: Option<u64>,
) -> Request<Full<Bytes>> {
    let mut headers = passed_headers(call);
    // A request without stages has no inputs.
    let inputs = results.map(Results::inputs).unwrap_or_default();
    let outbound = Outbound {
        endpoint: &choice.entry.id,
        customer: call.customer.as_ref().map(|customer| &customer.id),
        remaining: call.remaining(gateway.now()),
        urgency: call.urgency,
        inputs: &inputs,
        resume_after,
    };
    D::write_request(&mut headers, &outbound);
    let body = call.body();
    if had_body(call) {
        headers.insert(header::CONTENT_LENGTH, body.len().into());
    }
    let mut request = Request::new(Full::new(body));
    *request.method_mut() = call.head.method.clone();
    *request.uri_mut() = origin_form(&call.head.uri);
    *request.headers_mut() = headers;
    request
}

/// Returns the caller's headers without those that concern its connection or the framing of its body.
fn passed_headers(call: &ForwardedCall) -> HeaderMap {
    let mut headers = call.head.headers.clone();
    strip_hop_by_hop(&mut headers);
    headers.remove(header::CONTENT_LENGTH);
    headers.remove(header::EXPECT);
    headers
}

/// Returns whether the caller sent a body, even an empty one.
fn had_body(call: &ForwardedCall) -> bool {
    let headers = &call.head.headers;
    headers.contains_key(header::CONTENT_LENGTH) || headers.contains_key(header::TRANSFER_ENCODING)
}

/// Removes scheme and authority from a URI; path and query stay unchanged.
fn origin_form(uri: &Uri) -> Uri {
    let path = uri.path_and_query().cloned();
    path.map_or_else(|| uri.clone(), Uri::from)
}
