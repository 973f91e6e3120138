//! Relays a stream of events to the caller, and resumes it at another endpoint when it breaks off.
//!
//! It owns the request from the head of the reply to its end. `rules::resume` decides when a stream
//! counts as broken and how often it is resumed; `wire::event_stream` keeps events whole and in
//! order, so that the caller misses none and gets none twice.

use {
    crate::{
        gateway::{
            dialect::Dialect,
            routing::{
                attempt::StreamSource,
                call::ForwardedCall,
                endpoint_state::EndpointOutcome,
                guards::{AttemptGuard, RequestGuard},
                outbound::{choose_endpoint, outbound_request},
                stages::run_stages,
            },
            rules::{
                endpoint_choice::EndpointChoice,
                reply_proof::judge_resumed_head,
                resume::{is_resumable, may_resume, silence_limit},
                retry::RetryReason,
            },
            stages::chain::Results,
            state::Gateway,
            wire::{
                egress::{self, CONNECT_LIMIT, ConnectionGuard, FreshConnection},
                event_stream::EventSplitter,
                reply::StreamPart,
            },
        },
        shared::ids::EndpointId,
    },
    bytes::Bytes,
    http::{Request, Response},
    http_body_util::{BodyExt, Full},
    hyper::body::Incoming,
    std::{rc::Rc, time::Duration},
    tokio::sync::mpsc,
};

/// Chunks of a stream that may wait for its reader; chosen, not measured.
const QUEUE: usize = 8;

/// A request whose reply is a stream.
pub(crate) struct StreamedRequest<D: Dialect> {
    pub(crate) gateway: Rc<Gateway<D>>,
    pub(crate) call: Rc<ForwardedCall>,
    /// Endpoints that were chosen for it so far.
    pub(crate) tried: Vec<EndpointId>,
    /// Attempts that were sent so far.
    pub(crate) sent: u32,
    /// Results of its stages, until an endpoint has taken them.
    pub(crate) results: Option<Results<D>>,
    /// Counts the request in flight until its stream ends.
    pub(crate) _in_flight: RequestGuard<D>,
}

struct StreamRelay<D: Dialect> {
    request: StreamedRequest<D>,
    splitter: EventSplitter,
    /// Whether an event has come from any endpoint.
    events_begun: bool,
    sink: mpsc::Sender<StreamPart>,
}

/// The end of a source.
enum SourceEnd {
    Whole,
    Broken(String),
    CallerLeft,
    TimeOver,
}

impl SourceEnd {
    /// Returns the text for the event `attempt.ended`.
    fn as_str(&self) -> &'static str {
        match self {
            SourceEnd::Whole => "answered",
            SourceEnd::Broken(_) => "broken",
            SourceEnd::CallerLeft => "caller_left",
            SourceEnd::TimeOver => "time_over",
        }
    }
}

/// The result of one attempt to resume a stream.
enum ResumeAttempt<D: Dialect> {
    Resumed(StreamSource<D>),
    Failed,
    NoEndpoint,
}

/// Starts to relay a stream from `source`; returns its parts.
pub(crate) fn start<D: Dialect>(
    request: StreamedRequest<D>,
    source: StreamSource<D>,
) -> mpsc::Receiver<StreamPart> {
    let (sink, receiver) = mpsc::channel(QUEUE);
    let splitter = EventSplitter::after(request.call.inbound.last_event);
    let relay = StreamRelay {
        request,
        splitter,
        events_begun: false,
        sink,
    };
    tokio::task::spawn_local(relay.run(source));
    receiver
}

impl<D: Dialect> StreamRelay<D> {
    async fn run(mut self, mut source: StreamSource<D>) {
        loop {
            let StreamSource {
                mut body,
                connection,
                mut guard,
            } = source;
            let end = self.relay(&mut body, &mut guard).await;
            // The run at this endpoint ends before another one begins.
            drop(body);
            drop(connection);
            self.log_end(&end, &guard);
            match end {
                SourceEnd::Whole => {
                    guard.end(EndpointOutcome::Served(None));
                    return self.finish().await;
                }
                SourceEnd::CallerLeft => {
                    return self.request.gateway.metrics.caller_left();
                }
                SourceEnd::TimeOver => return self.break_off("the request's time is over"),
                SourceEnd::Broken(why) => {
                    guard.end(EndpointOutcome::Failed);
                    match self.resume(&why).await {
                        Some(next) => source = next,
                        None => return self.break_off(&why),
                    }
                }
            }
        }
    }

    fn log_end(&self, end: &SourceEnd, guard: &AttemptGuard<D>) {
        log::info!(
            request = self.request.call.id(),
            endpoint:% = guard.choice.entry.id,
            outcome = end.as_str(),
            last_event = self.last_event(),
            took_ms = guard.took_ms();
            "attempt.ended"
        );
    }

    /// Returns the last whole event that the caller has, for logs; 0 before the first one.
    fn last_event(&self) -> u64 {
        self.splitter.last().unwrap_or(0)
    }

    /// Relays events until the source ends.
    async fn relay(&mut self, body: &mut Incoming, guard: &mut AttemptGuard<D>) -> SourceEnd {
        loop {
            let data = match self.next_data(body).await {
                Ok(data) => data,
                Err(end) => return end,
            };
            if let Err(end) = self.relay_data(&data, guard).await {
                return end;
            }
        }
    }

    /// Reads the next bytes of a source, or its end.
    async fn next_data(&mut self, body: &mut Incoming) -> Result<Bytes, SourceEnd> {
        let call = &self.request.call;
        let deadline = self.request.gateway.instant(call.deadline);
        loop {
            let silence = silence_limit(call.route.kind, self.events_begun);
            let frame = tokio::select! {
                biased;
                () = self.sink.closed() => return Err(SourceEnd::CallerLeft),
                frame = body.frame() => frame,
                () = tokio::time::sleep_until(deadline) => return Err(SourceEnd::TimeOver),
                () = sleep_or_wait(silence) => return Err(SourceEnd::Broken("silent".into())),
            };
            match frame {
                None if self.splitter.is_partial() => {
                    return Err(SourceEnd::Broken("ended within an event".into()));
                }
                None => return Err(SourceEnd::Whole),
                Some(Err(error)) => return Err(SourceEnd::Broken(error.to_string())),
                Some(Ok(frame)) => {
                    // Trailers are not passed on.
                    if let Ok(data) = frame.into_data() {
                        return Ok(data);
                    }
                }
            }
        }
    }

    /// Passes on the events that `data` completes.
    async fn relay_data(
        &mut self,
        data: &[u8],
        guard: &mut AttemptGuard<D>,
    ) -> Result<(), SourceEnd> {
        let events = self.splitter.feed(data);
        if !events.is_empty() {
            if !std::mem::replace(&mut self.events_begun, true) {
                // The endpoint has taken its inputs and read the prompt.
                self.request.results = None;
            }
            guard.first_event();
            self.send(events).await?;
        }
        if self.splitter.is_broken() {
            return Err(SourceEnd::Broken("an event out of order".into()));
        }
        Ok(())
    }

    /// Sends events to the caller. One that doesn't read delays its stream, but not past its
    /// deadline.
    async fn send(&self, events: Bytes) -> Result<(), SourceEnd> {
        let deadline = self.request.gateway.instant(self.request.call.deadline);
        let sending = self.sink.send(StreamPart::Bytes(events));
        match tokio::time::timeout_at(deadline, sending).await {
            Ok(Ok(())) => Ok(()),
            Ok(Err(_closed)) => Err(SourceEnd::CallerLeft),
            Err(_elapsed) => Err(SourceEnd::TimeOver),
        }
    }

    /// Resumes the stream at another endpoint, if that is allowed and one is found.
    async fn resume(&mut self, why: &str) -> Option<StreamSource<D>> {
        if !is_resumable(self.request.call.route.kind) {
            return None;
        }
        if self.request.results.is_none() {
            // The results went when the first endpoint had taken them, so the stages run again. If
            // they fail, `stage.ended` says why, and the stream breaks off for its own reason.
            let results = run_stages(&self.request.gateway, &self.request.call).await;
            self.request.results = results.ok()?;
        }
        while self.may_resume() && self.request.gateway.withdraw(&self.request.call.service) {
            match self.resume_once(why).await {
                ResumeAttempt::Resumed(source) => return Some(source),
                ResumeAttempt::NoEndpoint => return None,
                ResumeAttempt::Failed => {}
            }
        }
        None
    }

    fn may_resume(&self) -> bool {
        let route = &self.request.call.route;
        may_resume(route.kind, self.request.sent, route.attempts)
    }

    /// Makes one attempt to resume the stream after its last whole event.
    async fn resume_once(&mut self, why: &str) -> ResumeAttempt<D> {
        let StreamedRequest {
            gateway,
            call,
            tried,
            results,
            ..
        } = &mut self.request;
        let Some(choice) = choose_endpoint(gateway, call, tried, results.as_ref()) else {
            return ResumeAttempt::NoEndpoint;
        };
        tried.push(choice.entry.id.clone());
        let last = self.splitter.last();
        log::info!(
            request = call.id(),
            endpoint:% = choice.entry.id,
            why,
            last_event = last.unwrap_or(0);
            "attempt.resumed"
        );
        let request = outbound_request(gateway, call, &choice, results.as_ref(), last);
        match self.open_source(choice, request).await {
            Some(source) => {
                self.splitter = EventSplitter::after(last);
                ResumeAttempt::Resumed(source)
            }
            None => ResumeAttempt::Failed,
        }
    }

    /// Sends a request that resumes the stream; returns the new source if the endpoint continues it.
    async fn open_source(
        &mut self,
        choice: EndpointChoice,
        request: Request<Full<Bytes>>,
    ) -> Option<StreamSource<D>> {
        let call = self.request.call.clone();
        let mut guard = AttemptGuard::new(&self.request.gateway, &call, choice);
        let address = guard.choice.entry.address;
        // The event `endpoint.set_aside` shows that the endpoint could not be reached.
        let Ok(connection) = egress::connect(address, CONNECT_LIMIT).await else {
            guard.end(EndpointOutcome::Unreachable);
            return None;
        };
        self.request.sent += 1;
        self.request.gateway.metrics.retry(RetryReason::Resume);
        let (response, connection) = match self.exchange(connection, request).await {
            Exchange::Replied(response, connection) => (response, connection),
            Exchange::Failed => {
                guard.end(EndpointOutcome::Failed);
                return None;
            }
            // The guard's drop says nothing about the endpoint.
            Exchange::CallerLeft => return None,
        };
        let (head, body) = response.into_parts();
        let verdict = judge_resumed_head(call.id(), head.status, &D::read_reply(&head));
        if let Err(outcome) = verdict {
            guard.end(outcome);
            return None;
        }
        guard.first_event();
        Some(StreamSource {
            body,
            connection,
            guard,
        })
    }

    /// Sends a request and waits for the head of its reply, as long as the caller and the deadline
    /// allow.
    async fn exchange(
        &self,
        connection: FreshConnection,
        request: Request<Full<Bytes>>,
    ) -> Exchange {
        let deadline = self.request.gateway.instant(self.request.call.deadline);
        let sent = tokio::select! {
            () = self.sink.closed() => return Exchange::CallerLeft,
            sent = tokio::time::timeout_at(deadline, connection.send(request)) => sent,
        };
        match sent {
            Ok(Ok((response, connection))) => Exchange::Replied(response, connection),
            // Both count as a failure of the endpoint; the stream is resumed elsewhere or ends with
            // `request.broken_off`.
            Ok(Err(_)) | Err(_) => Exchange::Failed,
        }
    }

    /// Ends the answer whole.
    async fn finish(self) {
        let StreamedRequest { gateway, call, .. } = &self.request;
        let deadline = gateway.instant(call.deadline);
        let end = self.sink.send(StreamPart::End);
        if !matches!(tokio::time::timeout_at(deadline, end).await, Ok(Ok(()))) {
            return gateway.metrics.caller_left();
        }
        let took = gateway.now().since(call.arrived);
        gateway.metrics.answered(took);
        log::info!(
            request = call.id(),
            outcome = "answered",
            last_event = self.last_event(),
            took_ms = took.as_millis() as u64;
            "request.answered"
        );
    }

    /// Breaks the answer off: dropped without its end, the body can't look complete.
    fn break_off(self, why: &str) {
        let StreamedRequest { gateway, call, .. } = &self.request;
        let took = gateway.now().since(call.arrived);
        gateway.metrics.broken_off();
        log::info!(
            request = call.id(),
            why,
            last_event = self.last_event(),
            took_ms = took.as_millis() as u64;
            "request.broken_off"
        );
    }
}

/// The result of sending one request.
enum Exchange {
    Replied(Response<Incoming>, ConnectionGuard),
    Failed,
    CallerLeft,
}

/// Ends after `limit`; never without one.
async fn sleep_or_wait(limit: Option<Duration>) {
    match limit {
        Some(limit) => tokio::time::sleep(limit).await,
        None => std::future::pending().await,
    }
}
