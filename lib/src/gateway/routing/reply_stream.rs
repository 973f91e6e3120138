//! Relays a stream of events from an endpoint to the caller until its end.
//!
//! The relay owns the request from the head of the reply to the end of the stream. `rules::resume` decides when another
//! endpoint is sought, `rules::handover` when it takes over, and `routing::stream_resume` finds it. `wire::event_stream`
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
                stream_resume::{StreamedRequest, Unresumed, log_source_end},
            },
            rules::{
                calibration::AdmittedEnd, reply_proof::EndpointOutcome, resume::silence_limit,
            },
            state::Gateway,
            wire::{
                body_memory::HeldMemory, event_stream::EventSplitter, read_guard::GuardedBody,
                reply::StreamPart,
            },
        },
        shared::units::Time,
    },
    bytes::Bytes,
    http_body_util::BodyExt,
    hyper::body::Frame,
    std::{
        pin::{Pin, pin},
        rc::Rc,
        sync::Arc,
    },
    tokio::sync::mpsc,
};

/// Number of stream parts that may wait for the caller to read them. It is small because parts may be large and many
/// callers may read slowly.
const QUEUED_PARTS: usize = 1;

/// Size of an incomplete event from which on it counts as held memory, in bytes.
const LARGE_PARTIAL: usize = 16 * 1024;

/// A stream that is passed on to its caller.
pub(super) struct StreamRelay<D: Dialect> {
    pub(super) gateway: Rc<Gateway<D>>,
    pub(super) deadline: Time,
    pub(super) request: StreamedRequest<D>,
    pub(super) splitter: EventSplitter,
    /// Set if an event has arrived from any endpoint.
    pub(super) events_begun: bool,
    /// Set once the present source has sent data, and its version was checked.
    pub(super) source_checked: bool,
    /// Endpoint of the present source, or of the last one.
    pub(super) endpoint: Arc<EndpointEntry>,
    /// Time at which the present source began, or last sent data.
    pub(super) heard: Time,
    /// Time at which another endpoint was last sought in vain.
    pub(super) sought: Time,
    /// Reason for which the present source wasn't replaced although it was silent.
    pub(super) unresumed: Option<Unresumed>,
    /// Memory of an incomplete event, if it is large.
    pub(super) held: Option<HeldMemory>,
    pub(super) sink: mpsc::Sender<StreamPart>,
}

/// Reason why reading from a source ended.
pub(super) enum SourceEnd {
    Whole,
    /// The connection or the reply was cut, or isn't valid.
    Broken(String),
    /// Nothing has arrived for too long; the source is still open.
    Silent,
    CallerLeft,
    TimeOver,
}

impl SourceEnd {
    /// Returns the outcome for the event `attempt.ended`.
    fn as_str(&self) -> &'static str {
        match self {
            SourceEnd::Whole => "answered",
            SourceEnd::Broken(_) => "broken",
            SourceEnd::Silent => "silent",
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
        gateway: request.gateway.clone(),
        deadline: request.call.deadline,
        request,
        splitter,
        events_begun: false,
        source_checked: false,
        endpoint: source.guard.choice.entry.clone(),
        heard,
        sought: heard,
        unresumed: None,
        held: None,
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
            let next = match self.relay(&mut source).await {
                SourceEnd::Silent => self.replace_silent(source).await,
                end => self.end_source(end, source).await,
            };
            match next {
                Some(next) => source = next,
                None => return,
            }
        }
    }

    /// Ends a source; returns another one if it broke off and the stream goes on.
    pub(super) async fn end_source(
        &mut self,
        end: SourceEnd,
        source: StreamSource<D>,
    ) -> Option<StreamSource<D>> {
        let StreamSource {
            body,
            connection,
            guard,
        } = source;
        // Closing the connection ends the run at this endpoint before another one begins.
        drop(body);
        drop(connection);
        let call = &self.request.call;
        log_source_end(call, &guard, end.as_str(), self.last_event());
        self.end_sample(&end);
        match end {
            SourceEnd::Whole => {
                guard.end(EndpointOutcome::Served(None));
                self.finish().await;
                None
            }
            SourceEnd::Broken(why) => {
                self.end_broken(guard).await;
                self.resume_broken(why).await
            }
            SourceEnd::Silent | SourceEnd::CallerLeft | SourceEnd::TimeOver => {
                self.end_stream(&end);
                None
            }
        }
    }

    /// Ends the stream because its caller has left or its deadline has passed.
    pub(super) fn end_stream(&mut self, end: &SourceEnd) {
        if matches!(end, SourceEnd::CallerLeft) {
            return self.record_caller_left();
        }
        let mut early = EarlyEnd::new(EndedBy::Deadline, "the request's time is over");
        early.unresumed = self.unresumed;
        self.break_off(&early);
    }

    /// Records how the request ended if no event has come. A source that broke off doesn't end it, since another one may
    /// resume it.
    fn end_sample(&mut self, end: &SourceEnd) {
        let request = &mut self.request;
        let end = match end {
            SourceEnd::Whole => AdmittedEnd::Failed,
            SourceEnd::TimeOver => AdmittedEnd::at_deadline(request.tried.len()),
            SourceEnd::CallerLeft => AdmittedEnd::CallerLeft,
            SourceEnd::Broken(_) | SourceEnd::Silent => return,
        };
        request.sample.end(end);
    }

    /// Ends the attempt at a source that broke off. Its endpoint may have terminated and is probed.
    async fn end_broken(&self, guard: AttemptGuard<D>) {
        let (entry, sent) = (guard.choice.entry.clone(), guard.sent_at());
        guard.end(EndpointOutcome::Failed);
        let StreamedRequest { gateway, call, .. } = &self.request;
        gateway.check_endpoint(call, &entry, sent).await;
    }

    /// Returns the number of the last whole event that was sent to the caller, for logs; 0 before the first one.
    fn last_event(&self) -> u64 {
        self.splitter.last().unwrap_or(0)
    }

    /// Relays events until the source ends or is silent.
    async fn relay(&mut self, source: &mut StreamSource<D>) -> SourceEnd {
        let gateway = self.request.gateway.clone();
        // One timer for all events.
        let mut time_over = pin!(gateway.sleep_until(self.request.call.deadline));
        loop {
            let next = self.next_data(&mut source.body, time_over.as_mut());
            let data = match next.await {
                Ok(data) => data,
                Err(end) => return end,
            };
            if let Err(end) = self.relay_data(&data, &mut source.guard).await {
                return end;
            }
        }
    }

    /// Reads the next data of a source, until `time_over` ends.
    ///
    /// # Errors
    ///
    /// Returns the reason if there is none.
    async fn next_data(
        &mut self,
        body: &mut GuardedBody,
        mut time_over: Pin<&mut impl Future<Output = ()>>,
    ) -> Result<Bytes, SourceEnd> {
        loop {
            let StreamedRequest { gateway, call, .. } = &self.request;
            let limit = silence_limit(call.route.kind, self.events_begun);
            let frame = tokio::select! {
                biased;
                () = self.sink.closed() => return Err(SourceEnd::CallerLeft),
                frame = body.frame() => frame,
                () = time_over.as_mut() => return Err(SourceEnd::TimeOver),
                () = gateway.run_for(self.heard.max(self.sought), limit) => return Err(SourceEnd::Silent),
            };
            if let Some(data) = self.read_frame(frame) {
                return data;
            }
        }
    }

    /// Returns the data of a frame, or the reason for which there is none; `None` for trailers, which aren't passed on.
    pub(super) fn read_frame(
        &mut self,
        frame: Option<Result<Frame<Bytes>, hyper::Error>>,
    ) -> Option<Result<Bytes, SourceEnd>> {
        match frame {
            None if self.splitter.is_partial() => {
                Some(Err(SourceEnd::Broken("ended within an event".into())))
            }
            None => Some(Err(SourceEnd::Whole)),
            Some(Err(error)) => Some(Err(SourceEnd::Broken(error.to_string()))),
            Some(Ok(frame)) => {
                self.heard = self.request.gateway.now();
                frame.into_data().ok().map(Ok)
            }
        }
    }

    /// Passes on the events that `data` completes.
    pub(super) async fn relay_data(
        &mut self,
        data: &[u8],
        guard: &mut AttemptGuard<D>,
    ) -> Result<(), SourceEnd> {
        self.check_source(guard)?;
        let events = self.splitter.feed(data);
        self.hold_partial()?;
        if !events.is_empty() {
            if !std::mem::replace(&mut self.events_begun, true) {
                self.record_origin(guard);
                self.request.sample.end(AdmittedEnd::Answered);
            }
            // The endpoint has fetched its inputs and read the prompt. If another one was sought, it isn't needed.
            self.request.results = None;
            self.unresumed = None;
            guard.record_first_event();
            self.send(events).await?;
        }
        if self.splitter.is_broken() {
            return Err(SourceEnd::Broken("an event out of order".into()));
        }
        Ok(())
    }

    /// Counts the incomplete event as held memory if it is large.
    ///
    /// # Errors
    ///
    /// Returns the end of the source if there is too little memory.
    fn hold_partial(&mut self) -> Result<(), SourceEnd> {
        self.held = None;
        let bytes = self.splitter.buffered();
        if bytes < LARGE_PARTIAL {
            return Ok(());
        }
        let bodies = &self.request.gateway.bodies;
        let mut held = bodies.for_reply(self.endpoint.id.as_str());
        if !held.grow(bytes as u64) {
            return Err(SourceEnd::Broken("too little memory for an event".into()));
        }
        self.held = Some(held);
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
        Err(SourceEnd::Broken("another software version".into()))
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
        gateway.record_reply_time(call);
        log::info!(
            request = call.id(),
            outcome = "answered",
            last_event = self.last_event(),
            took_ms = took.as_millis() as u64;
            "request.answered"
        );
    }

    /// Breaks off the answer. The body is dropped without its end, so that the caller can't take it for complete.
    pub(super) fn break_off(&mut self, end: &EarlyEnd) {
        self.request.sample.end(AdmittedEnd::Failed);
        let StreamedRequest {
            gateway,
            call,
            sent,
            ..
        } = &self.request;
        let position = StreamPosition {
            endpoint: self.endpoint.clone(),
            heard: self.heard,
            last_event: self.last_event(),
            sent: *sent,
        };
        gateway.record_early_end(call, end, &position);
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
