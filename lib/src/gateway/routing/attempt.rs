//! Runs one attempt of a request at one endpoint: connects, sends the request, reads the head of the reply and, unless
//! it is a stream, the body, and records the outcome.
//!
//! This module does the input and output. `rules::reply_proof` decides what a reply proves, and [`AttemptGuard`]
//! reports the outcome to the state of the endpoint.

use {
    crate::{
        gateway::{
            dialect::{Dialect, ReplyFacts},
            directory::endpoint_entry::EndpointEntry,
            routing::{
                answer::WholeReply, call::ForwardedCall, guards::AttemptGuard,
                progress::RequestProgress,
            },
            rules::{
                endpoint_choice::EndpointChoice,
                reply_proof::{
                    EndpointOutcome, HeadVerdict, NotRunReason, ReplyOriginError, classify_head,
                    is_endpoint_failure,
                },
                retry::may_send_again,
            },
            state::Gateway,
            wire::{
                body_memory::read_held,
                egress::{ConnectionGuard, FreshConnection, SendError},
                read_guard::GuardedBody,
            },
        },
        shared::units::{ByteSize, Time},
    },
    bytes::Bytes,
    http::{Request, StatusCode, response},
    http_body_util::Full,
    std::{pin::Pin, rc::Rc, sync::Arc, time::Duration},
    thiserror::Error,
};

/// Size of the largest reply that is read whole before it is passed on.
const WHOLE_REPLY_LIMIT: ByteSize = ByteSize(8 << 20);

/// An attempt that is ready to be sent.
pub(crate) struct PreparedAttempt {
    pub(crate) choice: EndpointChoice,
    pub(crate) request: Request<Full<Bytes>>,
    /// Time from sending the request to the end of the reply, or to its head if it is a stream, after which another
    /// attempt is better; absent if only the deadline of the request applies.
    pub(crate) limit: Option<Duration>,
}

/// The result of one attempt.
pub(crate) enum AttemptOutcome<D: Dialect> {
    /// A whole reply, which is passed on unless it is a failure that is retried.
    Whole(WholeReply),
    /// The head of a reply whose body is still coming.
    Streaming(Box<StreamingReply<D>>),
    /// The endpoint did not run the request.
    NotRun(NotRunReason),
    /// The endpoint may have run the request.
    Unknown,
}

/// A reply that is passed on as it arrives.
pub(crate) struct StreamingReply<D: Dialect> {
    pub(crate) head: response::Parts,
    pub(crate) source: StreamSource<D>,
}

/// The connection to the endpoint that a stream is read from.
pub(crate) struct StreamSource<D: Dialect> {
    pub(crate) body: GuardedBody,
    pub(crate) connection: ConnectionGuard,
    pub(crate) guard: AttemptGuard<D>,
}

/// A reply from which it is certain whether the endpoint ran the request.
enum ProvenReply {
    Whole(WholeReply),
    Streaming(response::Parts, GuardedBody, ConnectionGuard),
    NotRun(NotRunReason),
}

/// The result of sending a request and reading the reply.
pub(crate) struct ExchangeResult(Result<ProvenReply, AttemptError>);

impl ExchangeResult {
    /// Returns whether the endpoint certainly did not run the request.
    pub(crate) fn is_not_run(&self) -> bool {
        matches!(self.0, Ok(ProvenReply::NotRun(_)))
    }
}

/// Reason why it is unknown whether the endpoint ran the request. The texts appear in problem details.
#[derive(Debug, Error)]
enum AttemptError {
    #[error(transparent)]
    Send(#[from] SendError),
    #[error("no answer in time")]
    TimedOut,
    #[error(transparent)]
    Origin(#[from] ReplyOriginError),
    /// The connection was lost within the body, or the body is too large.
    #[error("body: {0}")]
    Body(String),
}

impl AttemptError {
    /// Returns whether the connection was lost after the request was sent, as when the endpoint terminates.
    fn is_disconnect(&self) -> bool {
        matches!(self, Self::Send(SendError::MaybeSent(_)) | Self::Body(_))
    }
}

/// An attempt whose connection is open, and on which nothing has been sent yet.
pub(crate) struct OpenAttempt<D: Dialect> {
    guard: AttemptGuard<D>,
    connection: FreshConnection,
    request: Request<Full<Bytes>>,
    limit: Option<Duration>,
}

/// An attempt whose request has been sent.
pub(crate) struct SentAttempt<D: Dialect, F> {
    guard: AttemptGuard<D>,
    exchange: Pin<Box<F>>,
    limit: Option<Duration>,
}

/// Connects to the endpoint of an attempt.
///
/// # Errors
///
/// Returns the reason if no connection could be established, which it records in `progress`.
pub(crate) async fn open<D: Dialect>(
    gateway: &Rc<Gateway<D>>,
    call: &ForwardedCall,
    prepared: PreparedAttempt,
    progress: &mut RequestProgress,
) -> Result<OpenAttempt<D>, NotRunReason> {
    let PreparedAttempt {
        choice,
        request,
        limit,
    } = prepared;
    let guard = AttemptGuard::new(gateway, call, choice);
    match gateway.connect(&guard.choice.entry).await {
        Ok(opened) => {
            if !opened.is_relayed {
                guard.record_connected();
            }
            Ok(OpenAttempt {
                guard,
                connection: opened.connection,
                request,
                limit,
            })
        }
        Err(error) => {
            let reason = record_unconnected(&error, progress);
            end_not_run(call, guard, reason, progress);
            Err(reason)
        }
    }
}

impl<D: Dialect> OpenAttempt<D> {
    /// Sends the request. All attempts of a request have the same type, so that one can replace another.
    pub(crate) fn send(
        self,
        gateway: &Rc<Gateway<D>>,
        call: &Rc<ForwardedCall>,
        progress: &mut RequestProgress,
    ) -> SentAttempt<D, impl Future<Output = ExchangeResult> + use<D>> {
        let Self {
            mut guard,
            connection,
            request,
            limit,
        } = self;
        guard.record_request_sent(call);
        progress.history.record_sent();
        // Stages may run again for another attempt, whatever the number of attempts.
        if !may_send_again(call.route.attempts, &progress.history) && !call.has_stages() {
            call.release_body();
        }
        gateway.metrics.count_attempt();
        let entry = guard.choice.entry.clone();
        let exchange = exchange(gateway.clone(), call.clone(), entry, connection, request);
        SentAttempt {
            guard,
            exchange: Box::pin(exchange),
            limit,
        }
    }
}

impl<D: Dialect, F: Future<Output = ExchangeResult>> SentAttempt<D, F> {
    /// Waits for the end of the exchange, at most for the attempt's time limit. What this daemon's event loop is behind
    /// at the limit doesn't count.
    pub(crate) async fn until_limit(&mut self, gateway: &Gateway<D>) -> Option<ExchangeResult> {
        let Some(limit) = self.limit else {
            return Some(self.until_end().await);
        };
        match self.within(limit).await {
            Some(result) => Some(result),
            None => self.within(gateway.own_delay()).await,
        }
    }

    /// Returns the time at which the attempt began.
    pub(crate) fn began(&self) -> Time {
        self.guard.sent_at()
    }

    /// Doubles the attempt's time limit, after no other attempt could take over.
    pub(crate) fn extend_limit(&mut self) {
        self.limit = self.limit.map(|limit| limit * 2);
    }

    /// Waits for the end of the exchange, at most for `time`.
    pub(crate) async fn within(&mut self, time: Duration) -> Option<ExchangeResult> {
        tokio::time::timeout(time, &mut self.exchange).await.ok()
    }

    /// Waits for the end of the exchange.
    pub(crate) async fn until_end(&mut self) -> ExchangeResult {
        (&mut self.exchange).await
    }

    /// Ends the attempt with the result of its exchange, and records its outcome in `progress`.
    pub(crate) async fn end(
        self,
        gateway: &Rc<Gateway<D>>,
        call: &ForwardedCall,
        result: ExchangeResult,
        progress: &mut RequestProgress,
    ) -> AttemptOutcome<D> {
        let guard = self.guard;
        match result.0 {
            Ok(ProvenReply::Whole(reply)) => end_whole(call, guard, reply, progress),
            Ok(ProvenReply::Streaming(head, body, connection)) => {
                let source = StreamSource {
                    body,
                    connection,
                    guard,
                };
                AttemptOutcome::Streaming(Box::new(StreamingReply { head, source }))
            }
            Ok(ProvenReply::NotRun(reason)) => {
                progress.history.record_not_run();
                progress.last_result = reason.as_str().into();
                end_not_run(call, guard, reason, progress);
                AttemptOutcome::NotRun(reason)
            }
            Err(error) => {
                let (entry, sent) = (guard.choice.entry.clone(), guard.sent_at());
                end_unknown(call, &guard, &error, progress);
                if error.is_disconnect() {
                    guard.end(EndpointOutcome::Failed);
                    gateway.check_endpoint(call, &entry, sent).await;
                } else {
                    guard.give_up(EndpointOutcome::Failed);
                }
                AttemptOutcome::Unknown
            }
        }
    }

    /// Gives the attempt up, since another one has taken over. It may have run.
    pub(crate) fn give_up(self, call: &ForwardedCall, progress: &mut RequestProgress) {
        let Self {
            guard, exchange, ..
        } = self;
        drop(exchange);
        end_unknown(call, &guard, &AttemptError::TimedOut, progress);
        guard.give_up(EndpointOutcome::Failed);
    }
}

/// Records that no connection could be established; returns whether the endpoint terminated or is unreachable.
fn record_unconnected(error: &SendError, progress: &mut RequestProgress) -> NotRunReason {
    progress.last_result = error.to_string();
    if error.is_refused() {
        return NotRunReason::Ended;
    }
    progress.history.record_unreachable();
    NotRunReason::Unreachable
}

/// Sends the request and reads the reply: the head of a stream, or the whole of any other reply.
async fn exchange<D: Dialect>(
    gateway: Rc<Gateway<D>>,
    call: Rc<ForwardedCall>,
    endpoint: Arc<EndpointEntry>,
    connection: FreshConnection,
    request: Request<Full<Bytes>>,
) -> ExchangeResult {
    ExchangeResult(read_reply(&gateway, &call, &endpoint, connection, request).await)
}

async fn read_reply<D: Dialect>(
    gateway: &Gateway<D>,
    call: &ForwardedCall,
    endpoint: &EndpointEntry,
    connection: FreshConnection,
    request: Request<Full<Bytes>>,
) -> Result<ProvenReply, AttemptError> {
    let sent = gateway.now();
    let (response, connection) = connection.send(request).await?;
    let (head, mut body) = response.into_parts();
    let facts = D::read_reply(&head);
    gateway.record_reply(endpoint, head.status, &facts, sent);
    match classify_head(call.id(), call.route.kind, head.status, &facts)? {
        HeadVerdict::NotRun(reason) => Ok(ProvenReply::NotRun(reason)),
        HeadVerdict::Stream => Ok(ProvenReply::Streaming(head, body, connection)),
        HeadVerdict::Whole => {
            let held = gateway.bodies.for_reply(endpoint.id.as_str());
            let body = read_held(&mut body, WHOLE_REPLY_LIMIT, held).await;
            drop(connection);
            let body = body.map_err(|error| AttemptError::Body(error.to_string()))?;
            Ok(ProvenReply::Whole(WholeReply { head, body }))
        }
    }
}

fn end_whole<D: Dialect>(
    call: &ForwardedCall,
    guard: AttemptGuard<D>,
    reply: WholeReply,
    progress: &mut RequestProgress,
) -> AttemptOutcome<D> {
    progress.last_result = format!("status {}", reply.head.status.as_u16());
    log_end(call, &guard, "answered", &progress.last_result);
    let outcome = if is_endpoint_failure(reply.head.status) {
        EndpointOutcome::Failed
    } else {
        EndpointOutcome::Served(Some(guard.took()))
    };
    guard.end(outcome);
    AttemptOutcome::Whole(reply)
}

fn end_not_run<D: Dialect>(
    call: &ForwardedCall,
    guard: AttemptGuard<D>,
    reason: NotRunReason,
    progress: &RequestProgress,
) {
    let outcome = match reason {
        NotRunReason::Unreachable | NotRunReason::Ended => "unreachable",
        NotRunReason::Refused | NotRunReason::Replaced | NotRunReason::InputsGone => "not_run",
    };
    log_end(call, &guard, outcome, &progress.last_result);
    guard.end(reason.endpoint_outcome());
}

fn end_unknown<D: Dialect>(
    call: &ForwardedCall,
    guard: &AttemptGuard<D>,
    error: &AttemptError,
    progress: &mut RequestProgress,
) {
    progress.last_result = error.to_string();
    log_end(call, guard, "unknown", &progress.last_result);
}

fn log_end<D: Dialect>(call: &ForwardedCall, guard: &AttemptGuard<D>, outcome: &str, detail: &str) {
    log::info!(
        request = call.id(),
        endpoint:% = guard.choice.entry.id,
        outcome,
        took_ms = guard.took().0,
        detail;
        "attempt.ended"
    );
}

impl<D: Dialect> Gateway<D> {
    /// Records what an endpoint reports about itself in its reply to a request that was sent at `sent`: its load, its
    /// rate limit and its signals.
    pub(crate) fn record_reply(
        &self,
        endpoint: &EndpointEntry,
        status: StatusCode,
        facts: &ReplyFacts,
        sent: Time,
    ) {
        // The reply comes from another endpoint at the same address.
        if status == StatusCode::MISDIRECTED_REQUEST {
            return;
        }
        if let Some(load) = facts.load {
            let now = self.now();
            let mut state = self.state.borrow_mut();
            let is_unclear = state.endpoints.record_load(now, endpoint, load);
            drop(state);
            if is_unclear {
                log::warn!(endpoint:% = endpoint.id; "endpoint.pace_unclear");
            }
        }
        // A failing component of the endpoint may reply without the rate limit that the others advertise.
        let served = facts.signed && status.is_success();
        self.record_rate(endpoint, facts.rate, served, sent);
        self.record_signals(endpoint, status, facts);
    }
}
