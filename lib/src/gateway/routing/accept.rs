//! Accepts a request: finds its route and its customer, reads its body, and fixes its deadline and
//! urgency by the rules.

use {
    crate::{
        gateway::{
            dialect::{Dialect, Inbound},
            request_digest::{RequestContent, RequestDigest},
            routing::call::ForwardedCall,
            rules::{
                backend_choice::weighted,
                body_memory::MEMORY_WAIT,
                eligibility::AllowedDataCentres,
                retry_after::TABLE_UNKNOWN,
                stream_origin::StreamOrigin,
                time_limits::{caller_time, work_time},
                urgency::urgency,
            },
            state::{Gateway, PublishedTable},
            table::{CustomerEntry, Route, Version},
            wire::body_memory::{HeldBodyError, read_held},
        },
        shared::{
            ids::ServiceId,
            problem::{Code, Problem},
            units::{ByteSize, Millis, Time},
        },
    },
    bytes::Bytes,
    http::{Request, header, request::Parts},
    http_body_util::{BodyExt, Limited},
    hyper::body::{Body, Incoming},
    std::{
        cell::{Cell, RefCell},
        rc::Rc,
        sync::Arc,
    },
};

/// Request id that logs show when a request's own id can't be read.
const UNKNOWN_ID: &str = "-";

/// A request that is answered with a problem instead of an endpoint's reply.
pub(crate) struct Refusal {
    /// Id of the request, or [`UNKNOWN_ID`] if its head can't be read.
    pub(crate) request: Arc<str>,
    pub(crate) problem: Problem,
    /// Time left until the deadline; `None` if the request wasn't accepted.
    pub(crate) left: Option<Millis>,
}

/// The route of a request and the customer whose key it carries.
struct Destination {
    route: Arc<Route>,
    customer: Option<Arc<CustomerEntry>>,
}

/// Accepts a request that arrived at `arrived`.
///
/// # Errors
///
/// Returns the refusal if no table is known yet, or if the request can't be read, has no route, isn't authorized, may
/// run in no data centre, or has a body that is too large or late.
pub(crate) async fn accept<D: Dialect>(
    gateway: &Rc<Gateway<D>>,
    request: Request<Incoming>,
    arrived: Time,
) -> Result<ForwardedCall, Refusal> {
    let (head, body) = request.into_parts();
    let inbound = D::read_request(&head).map_err(|error| Refusal {
        request: UNKNOWN_ID.into(),
        problem: Problem::not_run(Code::BadRequest, error.to_string()),
        left: None,
    })?;
    let id = inbound.id.clone();
    accept_inbound(gateway, inbound, head, body, arrived)
        .await
        .map_err(|problem| Refusal {
            request: id,
            problem,
            left: None,
        })
}

/// Accepts a request whose head could be read.
async fn accept_inbound<D: Dialect>(
    gateway: &Rc<Gateway<D>>,
    inbound: Inbound,
    head: Parts,
    body: Incoming,
    arrived: Time,
) -> Result<ForwardedCall, Problem> {
    let Some(published) = gateway.published() else {
        let problem = Problem::not_run(Code::NotReady, "no table is known yet");
        return Err(problem.retry_after(TABLE_UNKNOWN));
    };
    let Destination { route, customer } = find_destination(&published, &head, &inbound)?;
    let data_centres = allowed_data_centres(gateway, &route, customer.as_deref())?;
    let time = caller_time(inbound.remaining, route.timeout);
    let body = read_body(gateway, body, body_limit(&published), time).await?;
    let customer_id = customer.as_ref().map(|customer| &customer.id);
    let origin = gateway
        .resumed_origin(&inbound, &route, customer_id)
        .await?;
    let service = choose_service(gateway, &route, &inbound.id, origin);
    let customer_rank = customer.as_ref().map(|customer| customer.rank);
    let urgency = urgency(customer_rank, route.rank);
    let digest = RequestDigest::new(&RequestContent {
        customer: customer_id,
        head: &head,
        host: host_of(&head).unwrap_or_default(),
        body: &body,
    });
    let shared = inbound.prompt.shared_parts().iter();
    let parts = shared.map(|part| RequestDigest::of_part(&service, part.id));
    let call = ForwardedCall {
        parts: parts.collect(),
        inbound,
        digest,
        trial: RefCell::default(),
        sent: Cell::default(),
        route,
        customer,
        service,
        origin,
        data_centres,
        head,
        body: RefCell::new(body),
        arrived,
        deadline: arrived + work_time(time),
        urgency,
    };
    gateway.deposit(&call.service);
    log_accepted(&call, published.table.version, time);
    Ok(call)
}

fn log_accepted(call: &ForwardedCall, version: Version, time: Millis) {
    let customer = call.customer.as_ref();
    log::info!(
        request = call.id(),
        route = &*call.route.name,
        service:% = call.service,
        customer = customer.map_or("-", |customer| customer.id.as_str()),
        version,
        time_ms = time.0,
        bytes = call.body.borrow().len(),
        digest:% = call.digest,
        parts = call.inbound.prompt.shared_names(),
        resumes = call.inbound.resumes.as_deref().unwrap_or("-"),
        last_event = call.inbound.last_event.unwrap_or(0),
        origin = call.origin.map_or("-".into(), |origin| origin.to_string()),
        pieces:? = call.inbound.pieces;
        "request.accepted"
    );
}

fn find_destination(
    published: &PublishedTable,
    head: &Parts,
    inbound: &Inbound,
) -> Result<Destination, Problem> {
    let table = &published.table;
    // A request without a host matches only a route for the empty host.
    let host = host_of(head).unwrap_or_default();
    let Some(route) = table.route(host, head.uri.path()) else {
        let detail = format!("no route for host {host:?} in version {}", table.version);
        return Err(Problem::not_run(Code::NotFound, detail));
    };
    let customer = inbound.key.as_deref().and_then(|key| table.customer(key));
    if customer.is_none() && table.needs_keys() && !route.public {
        let detail = format!("no customer holds the key in version {}", table.version);
        return Err(Problem::not_run(Code::Unauthorized, detail));
    }
    Ok(Destination {
        route: route.clone(),
        customer: customer.cloned(),
    })
}

/// Returns the data centres where a request may run.
///
/// # Errors
///
/// Returns a problem if there are none, because the regions of the route and those of the customer have no data
/// centre in common.
fn allowed_data_centres<D: Dialect>(
    gateway: &Gateway<D>,
    route: &Route,
    customer: Option<&CustomerEntry>,
) -> Result<AllowedDataCentres, Problem> {
    let customer_regions = customer.and_then(|customer| customer.allowed_regions.clone());
    let regions = &gateway.settings().regions;
    let data_centres = regions.allowed(&route.allowed_regions, &customer_regions);
    if data_centres.is_nowhere() {
        let detail = "no data centre is in a region of both its route and its customer";
        return Err(Problem::not_run(Code::NoEndpoint, detail).retry_after(TABLE_UNKNOWN));
    }
    Ok(data_centres)
}

/// Returns the host that the request is addressed to: that of its URI, else its `Host` header. A header that isn't text
/// is ignored.
fn host_of(head: &Parts) -> Option<&str> {
    match head.uri.host() {
        Some(host) => Some(host),
        None => head.headers.get(header::HOST)?.to_str().ok(),
    }
}

/// Picks one of a route's services: the one with endpoints of the stream's origin if the request continues a stream, and
/// otherwise one by weight. The same request id always gets the same service.
fn choose_service<D: Dialect>(
    gateway: &Gateway<D>,
    route: &Route,
    id: &str,
    origin: Option<StreamOrigin>,
) -> ServiceId {
    let state = gateway.state.borrow();
    let began = origin.and_then(|origin| {
        let mut services = route.backends.iter().map(|backend| &backend.service);
        services.find(|service| {
            let mut members = state.endpoints.service(service);
            members.any(|member| member.origin == Some(origin))
        })
    });
    if let Some(service) = began {
        return service.clone();
    }
    let chosen = weighted(id, &route.backends, |backend| backend.weight);
    // Validation of the table ensures that each route has a backend.
    chosen.unwrap_or(&route.backends[0]).service.clone()
}

/// Returns the size of the largest body that is accepted. Each published table states limits; without them, only
/// empty bodies would be accepted.
fn body_limit(published: &PublishedTable) -> ByteSize {
    let limits = published.table.limits();
    limits.map_or(ByteSize(0), |limits| limits.body)
}

/// Reads a body of at most `limit` bytes within `time`. A body that states its size is refused before it is read if it is
/// too large, or if there is too little memory for it.
async fn read_body<D: Dialect>(
    gateway: &Gateway<D>,
    mut body: Incoming,
    limit: ByteSize,
    time: Millis,
) -> Result<Bytes, Problem> {
    let stated = body.size_hint().lower();
    let Some(held) = gateway.bodies.for_request(stated.min(limit.0)) else {
        return Err(refuse_body(body, limit, time));
    };
    let reading = read_held(&mut body, limit, held);
    match tokio::time::timeout(time.to_duration(), reading).await {
        Ok(Ok(body)) => Ok(body),
        Ok(Err(error @ HeldBodyError::TooLarge(_))) => {
            Err(Problem::not_run(Code::BodyTooLarge, error.to_string()))
        }
        Ok(Err(HeldBodyError::NoMemory)) => Err(refuse_body(body, limit, time)),
        Ok(Err(error)) => Err(Problem::not_run(Code::BadRequest, error.to_string())),
        Err(_elapsed) => {
            let detail = "the body didn't arrive in time";
            Err(Problem::not_run(Code::ReceiveTimeout, detail))
        }
    }
}

/// Returns the refusal of a request for whose body, or for whose reply, there is too little memory. The rest of the body is
/// read and dropped: closing a connection with unread bytes resets it, and the caller may lose the refusal.
fn refuse_body(body: Incoming, limit: ByteSize, time: Millis) -> Problem {
    let dropping = async move {
        let mut body = Limited::new(body, limit.0 as usize);
        while let Some(Ok(_)) = body.frame().await {}
    };
    tokio::task::spawn_local(tokio::time::timeout(time.to_duration(), dropping));
    let detail = "too many bytes of requests and replies are in flight";
    Problem::not_run(Code::TooBusy, detail).retry_after(MEMORY_WAIT)
}
