//! Relays a stream of events from an endpoint to the caller until its end.
//!
//! The relay owns the request from the head of the reply to the end of the stream. `rules::resume` decides when a
//! stream counts as broken, and `routing::stream_resume` finds the next endpoint to read it from. `wire::event_stream`
//! keeps events whole and in order, so that the caller gets each event exactly once.

use {
    crate::{
        gateway::{
            dialect::Dialect,
            directory::endpoint_entry::EndpointEntry,
            routing::{
                attempt::StreamSource,
                early_end::{EarlyEnd, EndedBy, StreamPosition},
                guards::AttemptGuard,
                stream_resume::{ResumeEnd, StreamedRequest, resume},
            },
            rules::{
                calibration::AdmittedEnd,
                reply_proof::EndpointOutcome,
                resume::{Hindrance, silence_limit},
            },
            wire::{event_stream::EventSplitter, reply::StreamPart},
        },
        shared::units::Time,
    },
    bytes::Bytes,
    http_body_util::BodyExt,
    hyper::body::Incoming,
    std::{sync::Arc, time::Duration},
    tokio::sync::mpsc,
};

/// Number of stream parts that may wait for the caller to read them. It is small because parts may be large and many
/// callers may read slowly.
const QUEUED_PARTS: usize = 1;

struct StreamRelay<D: Dialect> {
    request: StreamedRequest<D>,
    splitter: EventSplitter,
    /// Set if an event has arrived from any endpoint.
    events_begun: bool,
    /// Set once the present source has sent data, and its version was checked.
    source_checked: bool,
    /// Endpoint of the present source, or of the last one.
    endpoint: Arc<EndpointEntry>,
    /// Time at which the present source began, or last sent data.
    heard: Time,
    sink: mpsc::Sender<StreamPart>,
}

/// Reason why reading from a source ended.
enum SourceEnd {
    Whole,
    Broken(Break),
    CallerLeft,
    TimeOver,
}

/// Details of a source that broke off.
struct Break {
    /// Reason, for logs.
    why: String,
    /// True if the connection or the reply was cut, false if no data arrived for too long.
    cut: bool,
}

impl Break {
    fn cut(why: impl Into<String>) -> Self {
        Self {
            why: why.into(),
            cut: true,
        }
    }

    fn silent() -> Self {
        Self {
            why: "silent".into(),
            cut: false,
        }
    }
}

impl SourceEnd {
    /// Returns the outcome for the event `attempt.ended`.
    fn as_str(&self) -> &'static str {
        match self {
            SourceEnd::Whole => "answered",
            SourceEnd::Broken(_) => "broken",
            SourceEnd::CallerLeft => "caller_left",
            SourceEnd::TimeOver => "time_over",
        }
    }
}

/// Starts to relay a stream from `source`; returns the receiver of its parts.
pub(crate) fn start<D: Dialect>(
    request: StreamedRequest<D>,
    source: StreamSource<D>,
) -> mpsc::Receiver<StreamPart> {
    let (sink, receiver) = mpsc::channel(QUEUED_PARTS);
    let heard = request.gateway.now();
    let splitter = EventSplitter::after(request.call.inbound.last_event);
    let relay = StreamRelay {
        request,
        splitter,
        events_begun: false,
        source_checked: false,
        endpoint: source.guard.choice.entry.clone(),
        heard,
        sink,
    };
    tokio::task::spawn_local(relay.run_until_stop(source));
    receiver
}

impl<D: Dialect> StreamRelay<D> {
    /// Relays the stream until its end, at most until the grace period of a stop is over.
    async fn run_until_stop(mut self, source: StreamSource<D>) {
        let gateway = self.request.gateway.clone();
        tokio::select! {
            () = self.run(source) => {}
            () = gateway.stop_expired.notified() => {
                self.break_off(&EarlyEnd::new(EndedBy::Stop, "the daemon stops"));
            }
        }
    }

    async fn run(&mut self, mut source: StreamSource<D>) {
        loop {
            let StreamSource {
                mut body,
                connection,
                mut guard,
            } = source;
            self.endpoint = guard.choice.entry.clone();
            self.heard = self.request.gateway.now();
            let end = self.relay(&mut body, &mut guard).await;
            // Closing the connection ends the run at this endpoint before another one begins.
            drop(body);
            drop(connection);
            self.log_end(&end, &guard);
            self.end_sample(&end);
            match end {
                SourceEnd::Whole => {
                    guard.end(EndpointOutcome::Served(None));
                    return self.finish().await;
                }
                SourceEnd::CallerLeft => return self.record_caller_left(),
                SourceEnd::TimeOver => {
                    let end = EarlyEnd::new(EndedBy::Deadline, "the request's time is over");
                    return self.break_off(&end);
                }
                SourceEnd::Broken(Break { why, cut }) => {
                    self.end_broken(guard, cut).await;
                    let by = if cut {
                        EndedBy::Endpoint
                    } else {
                        EndedBy::Silence
                    };
                    let mut end = EarlyEnd::new(by, why);
                    if self.events_begun && self.request.origin.is_none() {
                        end.hindrance = Some(Hindrance::Version);
                        return self.break_off(&end);
                    }
                    let last_event = self.splitter.last();
                    match resume(&mut self.request, &self.sink, last_event, &end.why).await {
                        ResumeEnd::Resumed(next) => {
                            self.splitter = EventSplitter::after(last_event);
                            self.source_checked = false;
                            source = next;
                        }
                        ResumeEnd::Failed(hindrance, excluded) => {
                            end.hindrance = Some(hindrance);
                            end.excluded = excluded;
                            return self.break_off(&end);
                        }
                        ResumeEnd::CallerLeft => return self.record_caller_left(),
                    }
                }
            }
        }
    }

    /// Records how the request ended if no event has come. A source that broke off doesn't end it, since another one may
    /// resume it.
    fn end_sample(&mut self, end: &SourceEnd) {
        let request = &mut self.request;
        let end = match end {
            SourceEnd::Whole => AdmittedEnd::Failed,
            SourceEnd::TimeOver => AdmittedEnd::at_deadline(request.tried.len()),
            SourceEnd::CallerLeft => AdmittedEnd::CallerLeft,
            SourceEnd::Broken(_) => return,
        };
        request.sample.end(end);
    }

    /// Ends the attempt at a source that broke off. If it was cut, its endpoint may have terminated and is probed.
    async fn end_broken(&self, guard: AttemptGuard<D>, cut: bool) {
        let entry = guard.choice.entry.clone();
        guard.end(EndpointOutcome::Failed);
        if cut {
            let StreamedRequest { gateway, call, .. } = &self.request;
            gateway.check_endpoint(call, &entry).await;
        }
    }

    fn log_end(&self, end: &SourceEnd, guard: &AttemptGuard<D>) {
        log::info!(
            request = self.request.call.id(),
            endpoint:% = guard.choice.entry.id,
            outcome = end.as_str(),
            last_event = self.last_event(),
            took_ms = guard.took().0;
            "attempt.ended"
        );
    }

    /// Returns the number of the last whole event that was sent to the caller, for logs; 0 before the first one.
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

    /// Reads the next data of a source.
    ///
    /// # Errors
    ///
    /// Returns the reason for the end of the source if there is none.
    async fn next_data(&mut self, body: &mut Incoming) -> Result<Bytes, SourceEnd> {
        let call = &self.request.call;
        let gateway = &self.request.gateway;
        loop {
            let silence = silence_limit(call.route.kind, self.events_begun);
            let frame = tokio::select! {
                biased;
                () = self.sink.closed() => return Err(SourceEnd::CallerLeft),
                frame = body.frame() => frame,
                () = gateway.sleep_until(call.deadline) => return Err(SourceEnd::TimeOver),
                () = sleep_or_wait(silence) => return Err(SourceEnd::Broken(Break::silent())),
            };
            match frame {
                None if self.splitter.is_partial() => {
                    return Err(SourceEnd::Broken(Break::cut("ended within an event")));
                }
                None => return Err(SourceEnd::Whole),
                Some(Err(error)) => return Err(SourceEnd::Broken(Break::cut(error.to_string()))),
                Some(Ok(frame)) => {
                    // Trailers are not passed on.
                    if let Ok(data) = frame.into_data() {
                        self.heard = self.request.gateway.now();
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
        self.check_source(guard)?;
        let events = self.splitter.feed(data);
        if !events.is_empty() {
            if !std::mem::replace(&mut self.events_begun, true) {
                self.record_origin(guard);
                // With its first event the endpoint has fetched its inputs and read the prompt.
                self.request.results = None;
                self.request.sample.end(AdmittedEnd::Answered);
            }
            guard.record_first_event();
            self.send(events).await?;
        }
        if self.splitter.is_broken() {
            return Err(SourceEnd::Broken(Break::cut("an event out of order")));
        }
        Ok(())
    }

    /// Checks when the first data of a source come that it continues the stream at its origin.
    ///
    /// # Errors
    ///
    /// Returns the end of the source if it may be of another software version.
    fn check_source(&mut self, guard: &AttemptGuard<D>) -> Result<(), SourceEnd> {
        let StreamedRequest {
            gateway, origin, ..
        } = &self.request;
        let is_checked = std::mem::replace(&mut self.source_checked, true);
        if is_checked || origin.is_none() || gateway.origin_at(&guard.choice.entry) == *origin {
            return Ok(());
        }
        Err(SourceEnd::Broken(Break::cut("another software version")))
    }

    /// Records where the stream begins, at its first event. A stream that was taken up keeps its origin.
    fn record_origin(&mut self, guard: &AttemptGuard<D>) {
        let request = &mut self.request;
        let found = request.gateway.origin_at(&guard.choice.entry);
        request.origin = request.origin.or(found);
        let origin = request.origin;
        let open = origin.map(|origin| request.gateway.record_origin(&request.call, origin));
        request.open_origin = open;
    }

    /// Sends events to the caller. A caller that doesn't read delays its stream, but not beyond the deadline.
    async fn send(&self, events: Bytes) -> Result<(), SourceEnd> {
        let StreamedRequest { gateway, call, .. } = &self.request;
        let sending = self.sink.send(StreamPart::Bytes(events));
        match gateway.timeout_at(call.deadline, sending).await {
            Some(Ok(())) => Ok(()),
            Some(Err(_closed)) => Err(SourceEnd::CallerLeft),
            None => Err(SourceEnd::TimeOver),
        }
    }

    /// Ends the answer as complete.
    async fn finish(&self) {
        let StreamedRequest { gateway, call, .. } = &self.request;
        let end = self.sink.send(StreamPart::End);
        if !matches!(gateway.timeout_at(call.deadline, end).await, Some(Ok(()))) {
            return self.record_caller_left();
        }
        let took = gateway.now().since(call.arrived);
        gateway.metrics.count_answered(took);
        gateway.record_served(call);
        log::info!(
            request = call.id(),
            outcome = "answered",
            last_event = self.last_event(),
            took_ms = took.as_millis() as u64;
            "request.answered"
        );
    }

    /// Breaks off the answer. The body is dropped without its end, so that the caller can't take it for complete.
    fn break_off(&mut self, end: &EarlyEnd) {
        let request = &mut self.request;
        request.sample.end(AdmittedEnd::Failed);
        let position = StreamPosition {
            endpoint: self.endpoint.clone(),
            heard: self.heard,
            last_event: self.splitter.last().unwrap_or(0),
            sent: request.sent,
        };
        request
            .gateway
            .record_early_end(&request.call, end, &position);
    }

    /// Logs and counts that the caller left before the end of the stream.
    fn record_caller_left(&self) {
        let StreamedRequest { gateway, call, .. } = &self.request;
        let now = gateway.now();
        gateway.metrics.count_caller_left();
        log::info!(
            request = call.id(),
            last_event = self.last_event(),
            silent_ms = now.millis_since(self.heard) as u64,
            left_ms = call.remaining(now).0,
            took_ms = now.since(call.arrived).as_millis() as u64;
            "request.caller_left"
        );
    }
}

/// Waits for `limit`, or forever if it is absent.
async fn sleep_or_wait(limit: Option<Duration>) {
    match limit {
        Some(limit) => tokio::time::sleep(limit).await,
        None => std::future::pending().await,
    }
}
