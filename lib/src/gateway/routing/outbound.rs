//! Prepares an attempt: chooses its endpoint and builds the request that goes there.

use {
    crate::{
        gateway::{
            dialect::{Dialect, Outbound},
            routing::call::ForwardedCall,
            rules::{
                eligibility::{AllowedDataCentres, ExclusionCounts},
                endpoint_choice::{EndpointChoice, Placement},
            },
            stages::stage_results::Results,
            state::Gateway,
            wire::headers::strip_connection_headers,
        },
        shared::ids::EndpointId,
    },
    bytes::Bytes,
    http::{HeaderMap, Request, Uri, header},
    http_body_util::Full,
};

/// Chooses an endpoint for a request, other than those in `tried`.
///
/// # Errors
///
/// Returns why the others were left out if none may get it.
pub(crate) fn choose_endpoint<D: Dialect>(
    gateway: &Gateway<D>,
    call: &ForwardedCall,
    tried: &[EndpointId],
    results: Option<&Results<D>>,
) -> Result<EndpointChoice, ExclusionCounts> {
    choose_endpoint_in(gateway, call, &call.places, tried, results)
}

/// Chooses an endpoint for a request as [`choose_endpoint`] does, among those in some data centres.
pub(crate) fn choose_endpoint_in<D: Dialect>(
    gateway: &Gateway<D>,
    call: &ForwardedCall,
    places: &AllowedDataCentres,
    tried: &[EndpointId],
    results: Option<&Results<D>>,
) -> Result<EndpointChoice, ExclusionCounts> {
    // A request without stages takes no results, wherever they are.
    let inputs = results.map(Results::input_locations).unwrap_or_default();
    let placement = Placement {
        prompt: &call.inbound.prompt,
        affinity: call.route.affinity,
        tried,
        inputs: &inputs,
        connection_limit: gateway.connections_each(&call.service),
        allowed: places,
        cold_share: gateway.cold_share(&call.service),
        cold_start: gateway.cold_start(&call.service),
        urgency: call.urgency,
    };
    let settings = gateway.settings();
    let here = &settings.data_centre;
    let state = gateway.state.borrow();
    state
        .endpoints
        .choose(gateway.now(), here, &call.service, &placement)
}

/// Builds a request as it goes to an endpoint: the caller's own bytes, and the headers that this
/// system sets. `resume_after` is the last event of a stream that the caller already has.
pub(crate) fn outbound_request<D: Dialect>(
    gateway: &Gateway<D>,
    call: &ForwardedCall,
    choice: &EndpointChoice,
    results: Option<&Results<D>>,
    resume_after: Option<u64>,
) -> Request<Full<Bytes>> {
    let mut headers = passed_headers(call);
    // A request without stages takes no results.
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
    if had_body(call) {
        headers.insert(header::CONTENT_LENGTH, call.body.len().into());
    }
    let mut request = Request::new(Full::new(call.body.clone()));
    *request.method_mut() = call.head.method.clone();
    *request.uri_mut() = origin_form(&call.head.uri);
    *request.headers_mut() = headers;
    request
}

/// Returns the caller's headers without those that concern its connection or its body's framing.
fn passed_headers(call: &ForwardedCall) -> HeaderMap {
    let mut headers = call.head.headers.clone();
    strip_connection_headers(&mut headers);
    headers.remove(header::CONTENT_LENGTH);
    headers.remove(header::EXPECT);
    headers
}

/// Returns whether the caller sent a body, be it empty.
fn had_body(call: &ForwardedCall) -> bool {
    let headers = &call.head.headers;
    headers.contains_key(header::CONTENT_LENGTH) || headers.contains_key(header::TRANSFER_ENCODING)
}

/// Removes scheme and host from a URI; the path and the query stay as they are.
fn origin_form(uri: &Uri) -> Uri {
    let path = uri.path_and_query().cloned();
    path.map_or_else(|| uri.clone(), Uri::from)
}
