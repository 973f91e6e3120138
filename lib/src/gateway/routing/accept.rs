//! Takes a request in: its route, its customer, its body.

use {
    crate::{
        gateway::{
            dialect::{Dialect, Inbound},
            routing::call::ForwardedCall,
            rules::{
                backend_choice::weighted,
                retry_after::TABLE_UNKNOWN,
                time_limits::{caller_time, work_time},
                urgency::urgency,
            },
            state::{Gateway, PublishedTable},
            table::{CustomerEntry, Route},
        },
        shared::{
            ids::ServiceId,
            problem::{Code, Problem},
            units::Time,
        },
    },
    bytes::Bytes,
    http::{Request, header, request::Parts},
    http_body_util::{BodyExt, LengthLimitError, Limited},
    hyper::body::Incoming,
    std::{rc::Rc, sync::Arc},
};

/// A problem together with the id of its request.
pub(crate) type Refusal = (Arc<str>, Problem);

/// Finds the route and the customer of a request and reads its body.
pub(crate) async fn accept<D: Dialect>(
    gateway: &Rc<Gateway<D>>,
    request: Request<Incoming>,
    arrived: Time,
) -> Result<ForwardedCall, Refusal> {
    let (head, body) = request.into_parts();
    let unnamed = |problem| (Arc::from("-"), problem);
    let inbound = D::read_request(&head)
        .map_err(|error| unnamed(Problem::not_run(Code::BadRequest, error.to_string())))?;
    let id = inbound.id.clone();
    let named = |problem| (id.clone(), problem);
    let Some(published) = gateway.published() else {
        let problem = Problem::not_run(Code::NotReady, "no table is known yet");
        return Err(named(problem.retry_after(TABLE_UNKNOWN)));
    };
    let (route, customer) = find(&published, &head, &inbound).map_err(named)?;
    let limit = published.table.limits().map_or(0, |limits| limits.body.0);
    let time = caller_time(inbound.remaining, route.timeout);
    let body = tokio::time::timeout(time.to_duration(), read_body(body, limit as usize))
        .await
        .unwrap_or_else(|_| {
            let detail = "the body didn't arrive in time";
            Err(Problem::not_run(Code::ReceiveTimeout, detail))
        })
        .map_err(named)?;
    let service = choose_backend(&route, &inbound.id);
    gateway.deposit(&service);
    log::info!(
        request = &*inbound.id,
        route = &*route.name,
        service:% = service,
        customer = customer.as_ref().map_or("-", |customer| customer.id.as_str()),
        version = published.table.version,
        time_ms = time.0,
        bytes = body.len(),
        pieces:? = inbound.pieces;
        "request.accepted"
    );
    let customer_rank = customer.as_ref().map(|customer| customer.rank);
    let urgency = urgency(customer_rank, route.rank);
    Ok(ForwardedCall {
        inbound,
        route,
        customer,
        service,
        head,
        body,
        arrived,
        deadline: arrived + work_time(time),
        urgency,
    })
}

fn find(
    published: &PublishedTable,
    head: &Parts,
    inbound: &Inbound,
) -> Result<(Arc<Route>, Option<Arc<CustomerEntry>>), Problem> {
    let table = &published.table;
    let host = host_of(head).unwrap_or_default();
    let Some(route) = table.route(host, head.uri.path()) else {
        let detail = format!("no route for host {host:?} in version {}", table.version);
        return Err(Problem::not_run(Code::NotFound, detail));
    };
    if route.public || !table.needs_keys() {
        let customer = inbound.key.as_deref().and_then(|key| table.customer(key));
        return Ok((route.clone(), customer.cloned()));
    }
    let customer = inbound.key.as_deref().and_then(|key| table.customer(key));
    match customer {
        Some(customer) => Ok((route.clone(), Some(customer.clone()))),
        None => {
            let detail = format!("no customer holds the key in version {}", table.version);
            Err(Problem::not_run(Code::Unauthorized, detail))
        }
    }
}

fn host_of(head: &Parts) -> Option<&str> {
    match head.uri.host() {
        Some(host) => Some(host),
        None => head.headers.get(header::HOST)?.to_str().ok(),
    }
}

/// Picks one of a route's services, the same one for the same request.
fn choose_backend(route: &Route, id: &str) -> ServiceId {
    let chosen = weighted(id, &route.backends, |backend| backend.weight);
    // A checked table has a backend on each route.
    chosen.unwrap_or(&route.backends[0]).service.clone()
}

async fn read_body(body: Incoming, limit: usize) -> Result<Bytes, Problem> {
    match Limited::new(body, limit).collect().await {
        Ok(collected) => Ok(collected.to_bytes()),
        Err(error) if error.is::<LengthLimitError>() => {
            let detail = format!("the body has more than {limit} bytes");
            Err(Problem::not_run(Code::BodyTooLarge, detail))
        }
        Err(error) => Err(Problem::not_run(Code::BadRequest, error.to_string())),
    }
}
