//! Resumes a broken stream: finds an endpoint that continues it after the caller's last event.
//!
//! It owns what a streamed request needs for another attempt. `rules::resume` decides how often a
//! stream is resumed, and `rules::reply_proof` which reply continues it.

use {
    crate::{
        gateway::{
            dialect::Dialect,
            directory::endpoint_entry::EndpointEntry,
            routing::{
                attempt::StreamSource,
                call::ForwardedCall,
                guards::{AttemptGuard, RequestGuard},
                outbound::outbound_request,
                stages::run_stages,
            },
            rules::{
                allowed_regions::RegionHash,
                endpoint_choice::EndpointChoice,
                reply_proof::{EndpointOutcome, classify_resumed_head},
                resume::may_resume,
                retry::RetryReason,
            },
            stages::stage_results::Results,
            state::Gateway,
            wire::{
                egress::{self, CONNECT_LIMIT, ConnectionGuard, FreshConnection, SendError},
                reply::StreamPart,
            },
        },
        shared::{ids::EndpointId, units::Time},
    },
    bytes::Bytes,
    http::{Request, Response, response},
    http_body_util::Full,
    hyper::body::Incoming,
    std::rc::Rc,
    tokio::sync::mpsc,
};

/// The caller's side of a stream; closed when the caller has left.
type Sink = mpsc::Sender<StreamPart>;

/// A request whose reply is a stream.
pub(crate) struct StreamedRequest<D: Dialect> {
    pub(crate) gateway: Rc<Gateway<D>>,
    pub(crate) call: Rc<ForwardedCall>,
    /// Endpoints that were chosen for it so far.
    pub(crate) tried: Vec<EndpointId>,
    /// Attempts that were sent so far.
    pub(crate) sent: u32,
    /// Other region where its stages run; nothing for this daemon's own.
    pub(crate) region: Option<RegionHash>,
    /// Results of its stages, until an endpoint has taken them.
    pub(crate) results: Option<Results<D>>,
    /// Counts the request in flight until its stream ends.
    pub(crate) _in_flight: RequestGuard<D>,
}

/// The result of resuming a stream.
pub(crate) enum ResumeEnd<D: Dialect> {
    /// Another endpoint continues it.
    Resumed(StreamSource<D>),
    /// No endpoint does, or none may be asked.
    Failed,
    /// The caller has left meanwhile.
    CallerLeft,
}

/// The result of one attempt to resume a stream.
enum ResumeAttempt<D: Dialect> {
    Resumed(StreamSource<D>),
    Failed,
    NoEndpoint,
    CallerLeft,
}

/// Why an endpoint doesn't continue a stream.
enum SourceError {
    Failed,
    TimeOver,
    CallerLeft,
}

/// The result of sending one request.
enum Exchange {
    Replied(Response<Incoming>, ConnectionGuard),
    Failed,
    /// The request's time was over before the reply.
    TimeOver,
    CallerLeft,
}

/// Resumes a stream at another endpoint, if that is allowed and one is found. `last_event` is the
/// last whole event that the caller has, `why` the reason for which the source before broke off.
pub(crate) async fn resume<D: Dialect>(
    request: &mut StreamedRequest<D>,
    sink: &Sink,
    last_event: Option<u64>,
    why: &str,
) -> ResumeEnd<D> {
    if !request.may_resume() {
        return ResumeEnd::Failed;
    }
    if request.results.is_none() {
        // The results went when the first endpoint had taken them, so the stages run again, for as long as
        // the caller waits: they may take seconds. If they fail, `stage.ended` says why, and the stream
        // breaks off for its own reason.
        let results = tokio::select! {
            results = run_stages(&request.gateway, &request.call, request.region) => results,
            () = sink.closed() => return ResumeEnd::CallerLeft,
        };
        let Ok(results) = results else {
            return ResumeEnd::Failed;
        };
        request.results = results;
    }
    while request.may_resume() {
        if sink.is_closed() {
            return ResumeEnd::CallerLeft;
        }
        if !request.gateway.withdraw(&request.call.service) {
            break;
        }
        match request.resume_once(sink, last_event, why).await {
            ResumeAttempt::Resumed(source) => return ResumeEnd::Resumed(source),
            ResumeAttempt::NoEndpoint => break,
            ResumeAttempt::CallerLeft => return ResumeEnd::CallerLeft,
            ResumeAttempt::Failed => {}
        }
    }
    ResumeEnd::Failed
}

impl<D: Dialect> StreamedRequest<D> {
    fn may_resume(&self) -> bool {
        let route = &self.call.route;
        may_resume(route.kind, self.sent, route.attempts)
            && self.gateway.now() < self.call.deadline
            && self.gateway.check_quarantine(&self.call.digest).is_ok()
    }

    /// Makes one attempt to resume the stream.
    async fn resume_once(
        &mut self,
        sink: &Sink,
        last_event: Option<u64>,
        why: &str,
    ) -> ResumeAttempt<D> {
        let (gateway, call, results) = (&self.gateway, &self.call, self.results.as_ref());
        let choice = tokio::select! {
            choice = gateway.choose_permitted(call, &self.tried, results) => choice,
            () = sink.closed() => return ResumeAttempt::CallerLeft,
        };
        let Ok(choice) = choice else {
            return ResumeAttempt::NoEndpoint;
        };
        self.tried.push(choice.entry.id.clone());
        log::info!(
            request = call.id(),
            endpoint:% = choice.entry.id,
            why,
            left_out:% = choice.excluded,
            last_event = last_event.unwrap_or(0);
            "attempt.resumed"
        );
        let outbound = outbound_request(gateway, call, &choice, results, last_event);
        match self.open_source(choice, outbound, sink).await {
            Ok(source) => ResumeAttempt::Resumed(source),
            Err(SourceError::Failed) => ResumeAttempt::Failed,
            Err(SourceError::CallerLeft) => ResumeAttempt::CallerLeft,
            // Nothing more can come in time.
            Err(SourceError::TimeOver) => ResumeAttempt::NoEndpoint,
        }
    }

    /// Sends a request that resumes the stream; returns the new source if the endpoint continues it.
    async fn open_source(
        &mut self,
        choice: EndpointChoice,
        request: Request<Full<Bytes>>,
        sink: &Sink,
    ) -> Result<StreamSource<D>, SourceError> {
        let mut guard = AttemptGuard::new(&self.gateway, &self.call, choice);
        let address = guard.choice.entry.address;
        let connection = match egress::connect(address, CONNECT_LIMIT).await {
            Ok(connection) => connection,
            // The event `endpoint.set_aside` shows that the endpoint could not be reached.
            Err(error) => {
                self.gateway
                    .metrics
                    .endpoints
                    .connect_failed(error.is_refused());
                guard.end(unconnected_outcome(&error));
                return Err(SourceError::Failed);
            }
        };
        self.sent += 1;
        self.gateway.metrics.retry(RetryReason::Resume);
        let sent = self.gateway.now();
        let (response, connection) = match self.exchange(connection, request, sink).await {
            Exchange::Replied(response, connection) => (response, connection),
            Exchange::Failed => {
                let entry = guard.choice.entry.clone();
                guard.end(EndpointOutcome::Failed);
                self.gateway.check_endpoint(&self.call, &entry).await;
                return Err(SourceError::Failed);
            }
            // The guard's drop says nothing about the endpoint.
            Exchange::TimeOver => return Err(SourceError::TimeOver),
            Exchange::CallerLeft => return Err(SourceError::CallerLeft),
        };
        let (head, body) = response.into_parts();
        if let Err(outcome) = self.judge(&guard.choice.entry, &head, sent) {
            guard.end(outcome);
            return Err(SourceError::Failed);
        }
        guard.first_event();
        Ok(StreamSource {
            body,
            connection,
            guard,
        })
    }

    /// Records what the head of a reply says, and returns whether it continues the stream, else the outcome for its
    /// endpoint.
    fn judge(
        &self,
        endpoint: &EndpointEntry,
        head: &response::Parts,
        sent: Time,
    ) -> Result<(), EndpointOutcome> {
        let facts = D::read_reply(head);
        self.gateway
            .record_reply(endpoint, head.status, &facts, sent);
        let kind = self.call.route.kind;
        classify_resumed_head(self.call.id(), kind, head.status, &facts)
    }

    /// Sends a request and waits for the head of its reply, as long as the caller and the deadline
    /// allow.
    async fn exchange(
        &self,
        connection: FreshConnection,
        request: Request<Full<Bytes>>,
        sink: &Sink,
    ) -> Exchange {
        let sending = connection.send(request);
        let sent = tokio::select! {
            () = sink.closed() => return Exchange::CallerLeft,
            sent = self.gateway.timeout_at(self.call.deadline, sending) => sent,
        };
        match sent {
            Some(Ok((response, connection))) => Exchange::Replied(response, connection),
            // It counts as a failure of the endpoint; the stream is resumed elsewhere or ends with
            // `request.broken_off`.
            Some(Err(_)) => Exchange::Failed,
            None => Exchange::TimeOver,
        }
    }
}

/// Returns what a connection that didn't come up says of the endpoint.
fn unconnected_outcome(error: &SendError) -> EndpointOutcome {
    if error.is_refused() {
        EndpointOutcome::Ended
    } else {
        EndpointOutcome::Unreachable
    }
}
