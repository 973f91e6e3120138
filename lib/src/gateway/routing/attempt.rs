//! One attempt of a request at one endpoint, and what its reply means.

use {
    crate::{
        gateway::{
            dialect::{Dialect, Outbound},
            routing::{
                call::{Call, Ticket},
                endpoint_state::{Choice, Demand, Ending},
            },
            rules::progress::Progress,
            stages::chain::Results,
            state::Gateway,
            wire::{
                egress::{self, ConnectionGuard, SendError},
                headers::strip_connection_headers,
            },
        },
        shared::ids::EndpointId,
    },
    bytes::Bytes,
    http::{HeaderMap, Request, StatusCode, Uri, header, response},
    http_body_util::{BodyExt, Full, Limited},
    hyper::body::Incoming,
    std::{rc::Rc, time::Duration},
};

/// Longest time to connect to an endpoint.
pub(crate) const CONNECT_LIMIT: Duration = Duration::from_millis(250);

/// Largest reply that is gathered before it is passed on.
const GATHERED: usize = 8 << 20;

/// How one attempt ended.
pub(crate) enum AttemptEnd<D: Dialect> {
    /// A whole reply, to be passed on unless another attempt is worth it.
    Reply(response::Parts, Bytes),
    /// The head of a reply whose body is still coming.
    Coming(Box<Coming<D>>),
    /// It certainly didn't run.
    NotRun(NotRunCause),
    /// It may have run.
    Unknown,
}

pub(crate) struct Coming<D: Dialect> {
    pub(crate) head: response::Parts,
    pub(crate) body: Incoming,
    pub(crate) guard: ConnectionGuard,
    pub(crate) ticket: Ticket<D>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum NotRunCause {
    Unreachable,
    Refused,
    Replaced,
    InputsGone,
}

/// Chooses an endpoint for a request, beside those that it was sent to before.
pub(crate) fn choose_endpoint<D: Dialect>(
    gateway: &Gateway<D>,
    call: &Call,
    tried: &[EndpointId],
    results: Option<&Results<D>>,
) -> Option<Choice> {
    let sites = results.map(Results::sites).unwrap_or_default();
    let demand = Demand {
        prompt: &call.inbound.prompt,
        affinity: call.route.affinity,
        tried,
        inputs: &sites,
        most: gateway.connections_each(&call.service),
    };
    let here = &gateway.settings.data_centre;
    let state = gateway.state.borrow();
    state
        .fleet
        .choose(gateway.now(), here, &call.service, &demand)
}

/// Builds a request as it goes to an endpoint.
pub(crate) fn outbound_request<D: Dialect>(
    gateway: &Gateway<D>,
    call: &Call,
    choice: &Choice,
    results: Option<&Results<D>>,
    resume_after: Option<u64>,
) -> Request<Full<Bytes>> {
    let mut headers: HeaderMap = call.head.headers.clone();
    strip_connection_headers(&mut headers);
    headers.remove(header::CONTENT_LENGTH);
    headers.remove(header::EXPECT);
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
    let had_body = call.head.headers.contains_key(header::CONTENT_LENGTH)
        || call.head.headers.contains_key(header::TRANSFER_ENCODING);
    if had_body {
        headers.insert(header::CONTENT_LENGTH, call.body.len().into());
    }
    let mut request = Request::new(Full::new(call.body.clone()));
    *request.method_mut() = call.head.method.clone();
    *request.uri_mut() = origin_form(&call.head.uri);
    *request.headers_mut() = headers;
    request
}

/// Takes scheme and host off a URI; the path and the query stay as they are.
fn origin_form(uri: &Uri) -> Uri {
    let path = uri.path_and_query().cloned();
    path.map_or_else(|| uri.clone(), Uri::from)
}

pub(crate) async fn attempt<D: Dialect>(
    gateway: &Rc<Gateway<D>>,
    call: &Rc<Call>,
    choice: Choice,
    request: Request<Full<Bytes>>,
    patience: Option<Duration>,
    progress: &mut Progress,
) -> AttemptEnd<D> {
    let ticket = Ticket::new(gateway, call, choice);
    let address = ticket.choice.entry.address;
    let connection = match egress::connect(address, CONNECT_LIMIT).await {
        Ok(connection) => connection,
        Err(error) => {
            progress.last = error.to_string();
            progress.unreachable();
            note_end(call, &ticket, "unreachable", &progress.last);
            ticket.end(Ending::Unreachable);
            return AttemptEnd::NotRun(NotRunCause::Unreachable);
        }
    };
    progress.sending();
    gateway.metrics.attempt();
    let endpoint = ticket.choice.entry.id.clone();
    let exchange = async {
        let (response, guard) = connection.send(request).await?;
        let (head, body) = response.into_parts();
        judge(gateway, call, &endpoint, (head, body, guard)).await
    };
    let judged = match patience {
        Some(patience) => tokio::time::timeout(patience, exchange).await,
        None => Ok(exchange.await),
    };
    let (end, ending) = match judged {
        Ok(Ok(judged)) => judged,
        Ok(Err(error)) => (Judged::Unknown(error.to_string()), Ending::Failed),
        Err(_) => (Judged::Unknown("no answer in time".into()), Ending::Failed),
    };
    match end {
        Judged::Whole(head, body) => {
            progress.last = format!("status {}", head.status.as_u16());
            note_end(call, &ticket, "answered", &progress.last);
            let served = matches!(ending, Ending::Served(_));
            let took = ticket.took_ms();
            ticket.end(if served {
                Ending::Served(Some(took))
            } else {
                ending
            });
            AttemptEnd::Reply(head, body)
        }
        Judged::Coming(head, body, guard) => AttemptEnd::Coming(Box::new(Coming {
            head,
            body,
            guard,
            ticket,
        })),
        Judged::NotRun(cause) => {
            progress.proven_not_run();
            progress.last = format!("{cause:?}");
            note_end(call, &ticket, "not_run", &progress.last);
            ticket.end(ending);
            AttemptEnd::NotRun(cause)
        }
        Judged::Unknown(error) => {
            progress.last = error;
            note_end(call, &ticket, "unknown", &progress.last);
            ticket.end(ending);
            AttemptEnd::Unknown
        }
    }
}

fn note_end<D: Dialect>(call: &Call, ticket: &Ticket<D>, outcome: &str, detail: &str) {
    log::info!(
        request = call.id(),
        endpoint:% = ticket.choice.entry.id,
        outcome,
        took_ms = ticket.took_ms(),
        detail;
        "attempt.ended"
    );
}

enum Judged {
    Whole(response::Parts, Bytes),
    Coming(response::Parts, Incoming, ConnectionGuard),
    NotRun(NotRunCause),
    Unknown(String),
}

/// Judges a reply: whose it is, whether the request ran, and whether it is whole.
async fn judge<D: Dialect>(
    gateway: &Gateway<D>,
    call: &Call,
    endpoint: &EndpointId,
    (head, body, guard): (response::Parts, Incoming, ConnectionGuard),
) -> Result<(Judged, Ending), SendError> {
    let facts = D::read_reply(&head);
    if let Some(load) = facts.load {
        let now = gateway.now();
        gateway.state.borrow_mut().fleet.told(now, endpoint, load);
    }
    if head.status == StatusCode::MISDIRECTED_REQUEST {
        return Ok((Judged::NotRun(NotRunCause::Replaced), Ending::Replaced));
    }
    if facts.not_run {
        let gone = head.status == StatusCode::CONFLICT;
        return Ok(if gone {
            (Judged::NotRun(NotRunCause::InputsGone), Ending::Neutral)
        } else {
            (Judged::NotRun(NotRunCause::Refused), Ending::Full)
        });
    }
    if facts.request.as_deref() != Some(call.id()) {
        let error = format!("a reply to request {:?}", facts.request);
        return Ok((Judged::Unknown(error), Ending::Failed));
    }
    if !facts.signed {
        let error = format!("an unsigned reply with status {}", head.status.as_u16());
        return Ok((Judged::Unknown(error), Ending::Failed));
    }
    if call.route.kind.is_stream() && head.status.is_success() {
        return Ok((Judged::Coming(head, body, guard), Ending::Neutral));
    }
    let collected = Limited::new(body, GATHERED).collect().await;
    drop(guard);
    let ending = if head.status.is_server_error() {
        Ending::Failed
    } else {
        Ending::Served(None)
    };
    match collected {
        Ok(body) => Ok((Judged::Whole(head, body.to_bytes()), ending)),
        Err(error) => Ok((Judged::Unknown(format!("body: {error}")), Ending::Failed)),
    }
}
