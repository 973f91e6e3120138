//! One attempt of a request at one endpoint, and what its reply means.

use {
    crate::{
        gateway::{
            dialect::{Dialect, Outbound},
            routing::{
                call::{AttemptGuard, ForwardedCall},
                endpoint_state::EndpointOutcome,
            },
            rules::{
                endpoint_choice::{EndpointChoice, Placement},
                progress::Progress,
            },
            stages::stage_results::Results,
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
pub(crate) enum AttemptOutcome<D: Dialect> {
    /// A whole reply, to be passed on unless another attempt is worth it.
    Reply(response::Parts, Bytes),
    /// The head of a reply whose body is still coming.
    Coming(Box<StreamingReply<D>>),
    /// It certainly didn't run.
    NotRun(NotRunReason),
    /// It may have run.
    Unknown,
}

pub(crate) struct StreamingReply<D: Dialect> {
    pub(crate) head: response::Parts,
    pub(crate) body: Incoming,
    pub(crate) guard: ConnectionGuard,
    pub(crate) ticket: AttemptGuard<D>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum NotRunReason {
    Unreachable,
    Refused,
    Replaced,
    InputsGone,
}

/// Chooses an endpoint for a request, beside those that it was sent to before.
pub(crate) fn choose_endpoint<D: Dialect>(
    gateway: &Gateway<D>,
    call: &ForwardedCall,
    tried: &[EndpointId],
    results: Option<&Results<D>>,
) -> Option<EndpointChoice> {
    let inputs = results.map(Results::input_locations).unwrap_or_default();
    let placement = Placement {
        prompt: &call.inbound.prompt,
        affinity: call.route.affinity,
        tried,
        inputs: &inputs,
        connection_limit: gateway.connections_each(&call.service),
    };
    let here = &gateway.settings.data_centre;
    let state = gateway.state.borrow();
    state
        .endpoints
        .choose(gateway.now(), here, &call.service, &placement)
}

/// Builds a request as it goes to an endpoint.
pub(crate) fn outbound_request<D: Dialect>(
    gateway: &Gateway<D>,
    call: &ForwardedCall,
    choice: &EndpointChoice,
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
    call: &Rc<ForwardedCall>,
    choice: EndpointChoice,
    request: Request<Full<Bytes>>,
    patience: Option<Duration>,
    progress: &mut Progress,
) -> AttemptOutcome<D> {
    let ticket = AttemptGuard::new(gateway, call, choice);
    let address = ticket.choice.entry.address;
    let connection = match egress::connect(address, CONNECT_LIMIT).await {
        Ok(connection) => connection,
        Err(error) => {
            progress.last = error.to_string();
            progress.unreachable();
            note_end(call, &ticket, "unreachable", &progress.last);
            ticket.end(EndpointOutcome::Unreachable);
            return AttemptOutcome::NotRun(NotRunReason::Unreachable);
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
        Ok(Err(error)) => (
            ReplyVerdict::Unknown(error.to_string()),
            EndpointOutcome::Failed,
        ),
        Err(_) => (
            ReplyVerdict::Unknown("no answer in time".into()),
            EndpointOutcome::Failed,
        ),
    };
    match end {
        ReplyVerdict::Whole(head, body) => {
            progress.last = format!("status {}", head.status.as_u16());
            note_end(call, &ticket, "answered", &progress.last);
            let served = matches!(ending, EndpointOutcome::Served(_));
            let took = ticket.took_ms();
            ticket.end(if served {
                EndpointOutcome::Served(Some(took))
            } else {
                ending
            });
            AttemptOutcome::Reply(head, body)
        }
        ReplyVerdict::Coming(head, body, guard) => {
            AttemptOutcome::Coming(Box::new(StreamingReply {
                head,
                body,
                guard,
                ticket,
            }))
        }
        ReplyVerdict::NotRun(cause) => {
            progress.proven_not_run();
            progress.last = format!("{cause:?}");
            note_end(call, &ticket, "not_run", &progress.last);
            ticket.end(ending);
            AttemptOutcome::NotRun(cause)
        }
        ReplyVerdict::Unknown(error) => {
            progress.last = error;
            note_end(call, &ticket, "unknown", &progress.last);
            ticket.end(ending);
            AttemptOutcome::Unknown
        }
    }
}

fn note_end<D: Dialect>(
    call: &ForwardedCall,
    ticket: &AttemptGuard<D>,
    outcome: &str,
    detail: &str,
) {
    log::info!(
        request = call.id(),
        endpoint:% = ticket.choice.entry.id,
        outcome,
        took_ms = ticket.took_ms(),
        detail;
        "attempt.ended"
    );
}

enum ReplyVerdict {
    Whole(response::Parts, Bytes),
    Coming(response::Parts, Incoming, ConnectionGuard),
    NotRun(NotRunReason),
    Unknown(String),
}

/// Judges a reply: whose it is, whether the request ran, and whether it is whole.
async fn judge<D: Dialect>(
    gateway: &Gateway<D>,
    call: &ForwardedCall,
    endpoint: &EndpointId,
    (head, body, guard): (response::Parts, Incoming, ConnectionGuard),
) -> Result<(ReplyVerdict, EndpointOutcome), SendError> {
    let facts = D::read_reply(&head);
    if let Some(load) = facts.load {
        let now = gateway.now();
        gateway
            .state
            .borrow_mut()
            .endpoints
            .told(now, endpoint, load);
    }
    if head.status == StatusCode::MISDIRECTED_REQUEST {
        return Ok((
            ReplyVerdict::NotRun(NotRunReason::Replaced),
            EndpointOutcome::Replaced,
        ));
    }
    if facts.not_run {
        let gone = head.status == StatusCode::CONFLICT;
        return Ok(if gone {
            (
                ReplyVerdict::NotRun(NotRunReason::InputsGone),
                EndpointOutcome::Neutral,
            )
        } else {
            (
                ReplyVerdict::NotRun(NotRunReason::Refused),
                EndpointOutcome::Full,
            )
        });
    }
    if facts.request.as_deref() != Some(call.id()) {
        let error = format!("a reply to request {:?}", facts.request);
        return Ok((ReplyVerdict::Unknown(error), EndpointOutcome::Failed));
    }
    if !facts.signed {
        let error = format!("an unsigned reply with status {}", head.status.as_u16());
        return Ok((ReplyVerdict::Unknown(error), EndpointOutcome::Failed));
    }
    if call.route.kind.is_stream() && head.status.is_success() {
        return Ok((
            ReplyVerdict::Coming(head, body, guard),
            EndpointOutcome::Neutral,
        ));
    }
    let collected = Limited::new(body, GATHERED).collect().await;
    drop(guard);
    let ending = if head.status.is_server_error() {
        EndpointOutcome::Failed
    } else {
        EndpointOutcome::Served(None)
    };
    match collected {
        Ok(body) => Ok((ReplyVerdict::Whole(head, body.to_bytes()), ending)),
        Err(error) => Ok((
            ReplyVerdict::Unknown(format!("body: {error}")),
            EndpointOutcome::Failed,
        )),
    }
}
