//! Passes a stream of events on, and takes it up at another endpoint when it breaks off.

use {
    crate::{
        gateway::{
            dialect::Dialect,
            routing::{
                attempt::{CONNECT_LIMIT, choose_endpoint, outbound_request},
                call::{AttemptGuard, ForwardedCall, RequestGuard},
                endpoint_state::EndpointOutcome,
                stages::run_stages,
            },
            serving::metrics::RetryReason,
            stages::stage_results::Results,
            state::Gateway,
            table::RouteKind,
            wire::{
                egress::{self, ConnectionGuard},
                event_stream::EventSplitter,
                reply::StreamPart,
            },
        },
        shared::ids::EndpointId,
    },
    http::StatusCode,
    http_body_util::BodyExt,
    hyper::body::Incoming,
    std::{rc::Rc, time::Duration},
    tokio::sync::mpsc,
};

/// Chunks of a stream that may wait for its reader.
const QUEUE: usize = 8;

/// Silence after which a stream that can be resumed is taken up at another endpoint, before its
/// first event and between two.
const FIRST_SILENCE: Duration = Duration::from_millis(3_000);
const SILENCE: Duration = Duration::from_millis(1_200);

/// Where a stream comes from.
pub(crate) struct StreamSource<D: Dialect> {
    pub(crate) body: Incoming,
    pub(crate) guard: ConnectionGuard,
    pub(crate) ticket: AttemptGuard<D>,
}

struct StreamRelay<D: Dialect> {
    gateway: Rc<Gateway<D>>,
    call: Rc<ForwardedCall>,
    tried: Vec<EndpointId>,
    sent: u32,
    results: Option<Results<D>>,
    splitter: EventSplitter,
    events_begun: bool,
    sink: mpsc::Sender<StreamPart>,
    _in_flight: RequestGuard<D>,
}

/// How a source ended.
enum SourceEnd {
    Whole,
    Broken(String),
    CallerLeft,
    TimeOver,
}

/// Starts to pass a stream on; returns its body.
pub(crate) fn start<D: Dialect>(
    gateway: Rc<Gateway<D>>,
    call: Rc<ForwardedCall>,
    source: StreamSource<D>,
    tried: Vec<EndpointId>,
    sent: u32,
    results: Option<Results<D>>,
    in_flight: RequestGuard<D>,
) -> mpsc::Receiver<StreamPart> {
    let (sink, receiver) = mpsc::channel(QUEUE);
    let splitter = EventSplitter::after(call.inbound.last_event);
    let pump = StreamRelay {
        gateway,
        call,
        tried,
        sent,
        results,
        splitter,
        events_begun: false,
        sink,
        _in_flight: in_flight,
    };
    tokio::task::spawn_local(pump.run(source));
    receiver
}

impl<D: Dialect> StreamRelay<D> {
    async fn run(mut self, source: StreamSource<D>) {
        let mut source = source;
        loop {
            let StreamSource {
                mut body,
                guard,
                mut ticket,
            } = source;
            let end = self.pass(&mut body, &mut ticket).await;
            // The run at this endpoint ends before another one begins.
            drop(body);
            drop(guard);
            let endpoint = ticket.choice.entry.id.clone();
            let took_ms = ticket.took_ms();
            let outcome = match &end {
                SourceEnd::Whole => "answered",
                SourceEnd::Broken(_) => "broken",
                SourceEnd::CallerLeft => "caller_left",
                SourceEnd::TimeOver => "time_over",
            };
            log::info!(
                request = self.call.id(),
                endpoint:% = endpoint,
                outcome,
                last_event = self.splitter.last().unwrap_or(0),
                took_ms;
                "attempt.ended"
            );
            match end {
                SourceEnd::Whole => {
                    ticket.end(EndpointOutcome::Served(None));
                    return self.finish().await;
                }
                SourceEnd::CallerLeft => {
                    self.gateway.metrics.caller_left();
                    return;
                }
                SourceEnd::TimeOver => return self.break_off("the request's time is over"),
                SourceEnd::Broken(why) => {
                    ticket.end(EndpointOutcome::Failed);
                    match self.resume(&why).await {
                        Some(next) => source = next,
                        None => return self.break_off(&why),
                    }
                }
            }
        }
    }

    /// Passes events on until the source ends.
    async fn pass(&mut self, body: &mut Incoming, ticket: &mut AttemptGuard<D>) -> SourceEnd {
        let deadline = self.gateway.instant(self.call.deadline);
        let resumable = self.call.route.kind.is_retryable();
        loop {
            let silence = if self.events_begun {
                SILENCE
            } else {
                FIRST_SILENCE
            };
            let frame = tokio::select! {
                biased;
                () = self.sink.closed() => return SourceEnd::CallerLeft,
                frame = body.frame() => frame,
                () = tokio::time::sleep_until(deadline) => return SourceEnd::TimeOver,
                () = tokio::time::sleep(silence), if resumable => {
                    return SourceEnd::Broken("silent".into());
                }
            };
            let data = match frame {
                None if self.splitter.is_partial() => {
                    return SourceEnd::Broken("ended within an event".into());
                }
                None => return SourceEnd::Whole,
                Some(Err(error)) => return SourceEnd::Broken(error.to_string()),
                Some(Ok(frame)) => match frame.into_data() {
                    Ok(data) => data,
                    Err(_) => continue,
                },
            };
            let events = self.splitter.feed(&data);
            if !events.is_empty() {
                if !std::mem::replace(&mut self.events_begun, true) {
                    // The endpoint has taken its inputs and read the prompt.
                    self.results = None;
                }
                ticket.first_event();
                // A caller that doesn't read holds its stream up, though not past its time.
                match tokio::time::timeout_at(deadline, self.sink.send(StreamPart::Bytes(events)))
                    .await
                {
                    Ok(Ok(())) => {}
                    Ok(Err(_)) => return SourceEnd::CallerLeft,
                    Err(_) => return SourceEnd::TimeOver,
                }
            }
            if self.splitter.is_broken() {
                return SourceEnd::Broken("an event out of order".into());
            }
        }
    }

    /// Takes the stream up at another endpoint, if that is allowed and one is found.
    async fn resume(&mut self, why: &str) -> Option<StreamSource<D>> {
        let RouteKind::Stream {
            resumable: true, ..
        } = self.call.route.kind
        else {
            return None;
        };
        if self.results.is_none() {
            // The results went when the first endpoint had taken them; they are made again.
            self.results = run_stages(&self.gateway, &self.call).await.ok()?;
        }
        while self.sent < self.call.route.attempts && self.gateway.withdraw(&self.call.service) {
            match self.connect_next(why).await {
                Some(source) => return Some(source),
                None if self.sent >= self.call.route.attempts => return None,
                None => {}
            }
        }
        None
    }

    async fn connect_next(&mut self, why: &str) -> Option<StreamSource<D>> {
        let results = self.results.as_ref();
        let choice = choose_endpoint(&self.gateway, &self.call, &self.tried, results);
        let Some(choice) = choice else {
            self.sent = self.call.route.attempts;
            return None;
        };
        self.tried.push(choice.entry.id.clone());
        let last = self.splitter.last();
        log::info!(
            request = self.call.id(),
            endpoint:% = choice.entry.id,
            why,
            last_event = last.unwrap_or(0);
            "attempt.resumed"
        );
        let results = self.results.as_ref();
        let request = outbound_request(&self.gateway, &self.call, &choice, results, last);
        let mut ticket = AttemptGuard::new(&self.gateway, &self.call, choice);
        let Ok(connection) = egress::connect(ticket.choice.entry.address, CONNECT_LIMIT).await
        else {
            ticket.end(EndpointOutcome::Unreachable);
            return None;
        };
        self.sent += 1;
        self.gateway.metrics.repeat(RetryReason::Resume);
        let deadline = self.gateway.instant(self.call.deadline);
        let sent = tokio::select! {
            () = self.sink.closed() => return None,
            sent = tokio::time::timeout_at(deadline, connection.send(request)) => sent,
        };
        let Ok(Ok((response, guard))) = sent else {
            ticket.end(EndpointOutcome::Failed);
            return None;
        };
        let (head, body) = response.into_parts();
        let facts = D::read_reply(&head);
        let fits = head.status == StatusCode::OK
            && facts.signed
            && facts.request.as_deref() == Some(self.call.id());
        if !fits {
            ticket.end(if facts.not_run {
                EndpointOutcome::Full
            } else {
                EndpointOutcome::Failed
            });
            return None;
        }
        ticket.first_event();
        self.splitter = EventSplitter::after(last);
        Some(StreamSource {
            body,
            guard,
            ticket,
        })
    }

    async fn finish(self) {
        let deadline = self.gateway.instant(self.call.deadline);
        let end = self.sink.send(StreamPart::End);
        if !matches!(tokio::time::timeout_at(deadline, end).await, Ok(Ok(()))) {
            return self.gateway.metrics.caller_left();
        }
        let took = self.gateway.now().since(self.call.arrived);
        self.gateway.metrics.answered(took);
        log::info!(
            request = self.call.id(),
            outcome = "answered",
            last_event = self.splitter.last().unwrap_or(0),
            took_ms = took.as_millis() as u64;
            "request.answered"
        );
    }

    fn break_off(self, why: &str) {
        let took = self.gateway.now().since(self.call.arrived);
        self.gateway.metrics.broken_off();
        log::info!(
            request = self.call.id(),
            why,
            last_event = self.splitter.last().unwrap_or(0),
            took_ms = took.as_millis() as u64;
            "request.broken_off"
        );
        // Without its end, the body is broken off.
    }
}
