//! Resumes a broken stream: finds an endpoint that continues it after the last event that the caller has.
//!
//! `rules::resume` decides how often a stream is resumed, and `rules::reply_proof` which reply continues it.

use {
    crate::{
        gateway::{
            dialect::Dialect,
            directory::endpoint_entry::EndpointEntry,
            routing::{
                admission_sample::AdmissionSample,
                attempt::StreamSource,
                call::ForwardedCall,
                guards::{AttemptGuard, RequestGuard},
                outbound::outbound_request,
                reservations::Admission,
                stages::run_stages,
                stream_origin::OpenOrigin,
            },
            rules::{
                eligibility::ExclusionCounts,
                endpoint_choice::EndpointChoice,
                reply_proof::{EndpointOutcome, classify_resumed_head},
                resume::{Hindrance, check_resume},
                retry::RetryReason,
                stream_origin::StreamOrigin,
            },
            stages::stage_results::Results,
            state::Gateway,
            wire::{
                egress::{ConnectionGuard, FreshConnection, SendError},
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

/// Sends the parts of a stream to the caller; closed when the caller has left.
type Sink = mpsc::Sender<StreamPart>;

/// A request whose reply is a stream, with what another attempt needs.
pub(crate) struct StreamedRequest<D: Dialect> {
    pub(crate) gateway: Rc<Gateway<D>>,
    pub(crate) call: Rc<ForwardedCall>,
    /// Endpoints that were chosen for the request so far.
    pub(crate) tried: Vec<EndpointId>,
    /// Number of attempts that were sent so far.
    pub(crate) sent: u32,
    /// Where the stages of the request run, and in which place.
    pub(crate) admission: Admission,
    /// Origin of the stream, once the caller has an event of it.
    pub(crate) origin: Option<StreamOrigin>,
    /// Has new holders told of the origin; absent before the first event, and if the origin isn't known.
    pub(crate) open_origin: Option<OpenOrigin<D>>,
    /// Results of the stages, until an endpoint has fetched them; absent if the request has no stages.
    pub(crate) results: Option<Results<D>>,
    /// Measures the time to the first event against the expected one.
    pub(crate) sample: AdmissionSample<D>,
    /// Counts the request as in flight until its stream ends.
    pub(crate) _in_flight: RequestGuard<D>,
}

/// The result of resuming a stream.
pub(crate) enum ResumeEnd<D: Dialect> {
    /// Another endpoint continues the stream.
    Resumed(StreamSource<D>),
    /// The stream isn't resumed.
    Failed(Hindrance, ExclusionCounts),
    /// The caller has left meanwhile.
    CallerLeft,
}

/// The result of one attempt to resume a stream.
enum ResumeAttempt<D: Dialect> {
    Resumed(StreamSource<D>),
    Failed,
    NoEndpoint(ExclusionCounts),
    TimeOver,
    CallerLeft,
}

/// Reason why an endpoint doesn't continue a stream.
enum SourceError {
    Failed,
    TimeOver,
    CallerLeft,
}

/// The result of sending one request.
enum Exchange {
    Replied(Response<Incoming>, ConnectionGuard),
    Failed,
    /// The deadline of the request passed before the reply.
    TimeOver,
    CallerLeft,
}

/// Resumes a stream at another endpoint, if that is allowed and one is found. `last_event` is the last whole event that
/// the caller has, `why` the reason for which the previous source broke off.
pub(crate) async fn resume<D: Dialect>(
    request: &mut StreamedRequest<D>,
    sink: &Sink,
    last_event: Option<u64>,
    why: &str,
) -> ResumeEnd<D> {
    if let Err(hindrance) = request.check_resume() {
        return ResumeEnd::failed(hindrance);
    }
    if request.results.is_none() {
        // The results were released once the first endpoint had fetched them, so the stages run again. They may take
        // seconds, so they end if the caller leaves. If they fail, `stage.ended` has the cause, and
        // `request.broken_off` the reason for which the stream broke.
        let results = tokio::select! {
            results = run_stages(&request.gateway, &request.call, request.admission) => results,
            () = sink.closed() => return ResumeEnd::CallerLeft,
        };
        let Ok(results) = results else {
            return ResumeEnd::failed(Hindrance::Stages);
        };
        request.results = results;
    }
    loop {
        if sink.is_closed() {
            return ResumeEnd::CallerLeft;
        }
        if let Err(hindrance) = request.check_resume() {
            return ResumeEnd::failed(hindrance);
        }
        if !request.gateway.withdraw(&request.call.service) {
            return ResumeEnd::failed(Hindrance::Budget);
        }
        match request.resume_once(sink, last_event, why).await {
            ResumeAttempt::Resumed(source) => return ResumeEnd::Resumed(source),
            ResumeAttempt::NoEndpoint(excluded) => {
                return ResumeEnd::Failed(Hindrance::NoEndpoint, excluded);
            }
            ResumeAttempt::TimeOver => return ResumeEnd::failed(Hindrance::Deadline),
            ResumeAttempt::CallerLeft => return ResumeEnd::CallerLeft,
            ResumeAttempt::Failed => {}
        }
    }
}

impl<D: Dialect> ResumeEnd<D> {
    fn failed(hindrance: Hindrance) -> Self {
        Self::Failed(hindrance, ExclusionCounts::default())
    }
}

impl<D: Dialect> StreamedRequest<D> {
    /// Checks whether another attempt may be made, if the retry budget allows it.
    fn check_resume(&self) -> Result<(), Hindrance> {
        let route = &self.call.route;
        check_resume(route.kind, self.sent, route.attempts)?;
        if self.gateway.now() >= self.call.deadline {
            return Err(Hindrance::Deadline);
        }
        let quarantine = self.gateway.check_quarantine(&self.call);
        quarantine.map_err(|_problem| Hindrance::Quarantine)
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
            choice = gateway.choose_permitted(call, &self.tried, results, self.origin) => choice,
            () = sink.closed() => return ResumeAttempt::CallerLeft,
        };
        let choice = match choice {
            Ok(choice) => choice,
            Err(excluded) => return ResumeAttempt::NoEndpoint(excluded),
        };
        self.tried.push(choice.entry.id.clone());
        log::info!(
            request = call.id(),
            endpoint:% = choice.entry.id,
            version = choice.entry.version_name(),
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
            Err(SourceError::TimeOver) => ResumeAttempt::TimeOver,
        }
    }

    /// Sends a request that resumes the stream; returns the new source if the endpoint continues the stream.
    async fn open_source(
        &mut self,
        choice: EndpointChoice,
        request: Request<Full<Bytes>>,
        sink: &Sink,
    ) -> Result<StreamSource<D>, SourceError> {
        let mut guard = AttemptGuard::new(&self.gateway, &self.call, choice);
        let connection = match self.gateway.connect(&guard.choice.entry).await {
            Ok(opened) => opened.connection,
            // The error isn't logged here: the event `endpoint.set_aside` shows that the endpoint couldn't be reached.
            Err(error) => {
                guard.end(unconnected_outcome(&error));
                return Err(SourceError::Failed);
            }
        };
        self.sent += 1;
        self.gateway.metrics.count_retry(RetryReason::Resume);
        let sent = self.gateway.now();
        let (response, connection) = match self.exchange(connection, request, sink).await {
            Exchange::Replied(response, connection) => (response, connection),
            Exchange::Failed => {
                let entry = guard.choice.entry.clone();
                guard.end(EndpointOutcome::Failed);
                self.gateway.check_endpoint(&self.call, &entry).await;
                return Err(SourceError::Failed);
            }
            // Dropping the guard leaves the health of the endpoint unchanged.
            Exchange::TimeOver => return Err(SourceError::TimeOver),
            Exchange::CallerLeft => return Err(SourceError::CallerLeft),
        };
        let (head, body) = response.into_parts();
        if let Err(outcome) = self.check_head(&guard.choice.entry, &head, sent) {
            guard.end(outcome);
            return Err(SourceError::Failed);
        }
        guard.record_first_event();
        Ok(StreamSource {
            body,
            connection,
            guard,
        })
    }

    /// Records what the head of a reply reports, and checks that the reply continues the stream.
    ///
    /// # Errors
    ///
    /// Returns the outcome for the endpoint if it doesn't.
    fn check_head(
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

    /// Sends a request and waits for the head of its reply, until the caller leaves or the deadline passes.
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
            // This counts as a failure of the endpoint. The stream is resumed elsewhere or ends with
            // `request.broken_off`.
            Some(Err(_)) => Exchange::Failed,
            None => Exchange::TimeOver,
        }
    }
}

/// Returns the outcome for an endpoint to which no connection could be established.
fn unconnected_outcome(error: &SendError) -> EndpointOutcome {
    if error.is_refused() {
        EndpointOutcome::Ended
    } else {
        EndpointOutcome::Unreachable
    }
}
