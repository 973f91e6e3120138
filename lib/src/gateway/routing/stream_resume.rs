//! Resumes a broken or silent stream: finds an endpoint that continues it after the last event that the caller has.
//!
//! A replacement is prepared up to its open connection before anything is sent to it, so that a silent source can be kept
//! meanwhile. `rules::resume` decides how often a stream is resumed, and `rules::reply_proof` which reply continues it.

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
                handover::HANDOVER_TIME,
                reply_proof::{
                    EndpointOutcome, NotRunReason, ResumeRejection, classify_resumed_head,
                },
                resume::{Hindrance, check_resume},
                retry::{RetryReason, UNREACHABLE_LIMIT},
                stream_origin::StreamOrigin,
            },
            stages::stage_results::Results,
            state::Gateway,
            wire::{
                egress::{ConnectionGuard, FreshConnection, SendError},
                read_guard::GuardedBody,
            },
        },
        shared::{ids::EndpointId, units::Time},
    },
    bytes::Bytes,
    http::{Request, Response, response},
    http_body_util::Full,
    std::{pin::pin, rc::Rc},
};

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

/// Reason for which a stream isn't resumed.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Unresumed {
    pub(crate) hindrance: Hindrance,
    /// Endpoints that couldn't resume it, by reason.
    pub(crate) excluded: ExclusionCounts,
}

impl From<Hindrance> for Unresumed {
    fn from(hindrance: Hindrance) -> Self {
        Self {
            hindrance,
            excluded: ExclusionCounts::default(),
        }
    }
}

/// An endpoint that can continue a stream: its connection is open, and nothing has been sent on it.
pub(crate) struct Replacement<D: Dialect> {
    guard: AttemptGuard<D>,
    connection: FreshConnection,
    request: Request<Full<Bytes>>,
}

/// The result of sending a request to a replacement.
pub(crate) enum Handover<D: Dialect> {
    /// The replacement continues the stream.
    Taken(StreamSource<D>),
    /// The replacement didn't run the request, or wasn't sent it, and the silent source is still open.
    Kept(StreamSource<D>),
    /// The stream has no source any more.
    Failed,
}

/// The result of sending one request.
enum Exchange {
    Replied(Response<GuardedBody>, ConnectionGuard),
    Failed,
}

impl<D: Dialect> StreamedRequest<D> {
    /// Chooses an endpoint that can continue the stream after `last_event`, and connects to it. Runs the stages again if
    /// their results were released.
    ///
    /// # Errors
    ///
    /// Returns the reason if the stream can't be resumed now.
    pub(crate) async fn prepare(
        &mut self,
        last_event: Option<u64>,
    ) -> Result<Replacement<D>, Unresumed> {
        self.check_resume()?;
        if self.results.is_none() {
            // The results were released once the first endpoint had fetched them. If the stages fail, `stage.ended` has
            // the cause.
            let results = run_stages(&self.gateway, &self.call, self.admission).await;
            self.results = results.map_err(|_problem| Hindrance::Stages)?;
        }
        let mut unreached = 0;
        loop {
            self.check_resume()?;
            let (gateway, call, results) = (&self.gateway, &self.call, self.results.as_ref());
            let choice = gateway.choose_permitted(call, &self.tried, results, self.origin);
            let choice = choice.await.map_err(|excluded| Unresumed {
                hindrance: Hindrance::NoEndpoint,
                excluded,
            })?;
            let request = outbound_request(gateway, call, &choice, results, last_event);
            let guard = AttemptGuard::new(gateway, call, choice);
            match gateway.connect(&guard.choice.entry).await {
                Ok(opened) => {
                    return Ok(Replacement {
                        guard,
                        connection: opened.connection,
                        request,
                    });
                }
                // The error isn't logged here: the event `endpoint.set_aside` shows that the endpoint couldn't be reached.
                Err(error) => {
                    self.tried.push(guard.choice.entry.id.clone());
                    guard.end(unconnected_outcome(&error));
                    unreached += usize::from(!error.is_refused());
                    if unreached >= UNREACHABLE_LIMIT {
                        return Err(Hindrance::Unreachable.into());
                    }
                }
            }
        }
    }

    /// Resumes a stream without a source at another endpoint.
    ///
    /// # Errors
    ///
    /// Returns the reason if the stream can't be resumed.
    pub(crate) async fn resume(
        &mut self,
        last_event: Option<u64>,
        why: &str,
    ) -> Result<Handover<D>, Unresumed> {
        let replacement = self.prepare(last_event).await?;
        Ok(self.hand_over(replacement, None, last_event, why).await)
    }

    /// Sends the request to a replacement that continues the stream after `last_event`. The silent source, if there is
    /// one, is closed after [`HANDOVER_TIME`], unless the replacement has refused the request by then. Nothing is sent if
    /// the retry budget doesn't allow the attempt.
    pub(crate) async fn hand_over(
        &mut self,
        replacement: Replacement<D>,
        mut silent: Option<StreamSource<D>>,
        last_event: Option<u64>,
        why: &str,
    ) -> Handover<D> {
        if !self.gateway.withdraw(&self.call.service) {
            return silent.map_or(Handover::Failed, Handover::Kept);
        }
        let Replacement {
            mut guard,
            connection,
            request,
        } = replacement;
        self.tried.push(guard.choice.entry.id.clone());
        self.sent += 1;
        self.gateway.metrics.count_retry(RetryReason::Resume);
        self.log_resumed(&guard.choice, last_event, why);
        let sent = self.gateway.now();
        guard.record_request_sent(&self.call);
        let mut exchange = pin!(exchange(connection, request));
        let early = match &silent {
            Some(_) => tokio::time::timeout(HANDOVER_TIME, exchange.as_mut()).await,
            None => Ok(exchange.as_mut().await),
        };
        let exchanged = match early {
            Ok(exchanged) => exchanged,
            Err(_elapsed) => {
                silent
                    .take()
                    .into_iter()
                    .for_each(|old| self.close(old, last_event));
                exchange.await
            }
        };
        let Exchange::Replied(response, connection) = exchanged else {
            silent
                .into_iter()
                .for_each(|old| self.close(old, last_event));
            let (entry, sent) = (guard.choice.entry.clone(), guard.sent_at());
            guard.end(EndpointOutcome::Failed);
            self.gateway.check_endpoint(&self.call, &entry, sent).await;
            return Handover::Failed;
        };
        let (head, body) = response.into_parts();
        if let Err(rejection) = self.check_head(&guard.choice.entry, &head, sent) {
            guard.end(rejection.endpoint_outcome());
            if rejection == ResumeRejection::NotRun(NotRunReason::InputsGone) {
                // The stages run again, and this endpoint isn't at fault.
                self.results = None;
                self.tried.pop();
            }
            return match silent {
                Some(old) if matches!(rejection, ResumeRejection::NotRun(_)) => Handover::Kept(old),
                Some(old) => {
                    self.close(old, last_event);
                    Handover::Failed
                }
                None => Handover::Failed,
            };
        }
        silent
            .into_iter()
            .for_each(|old| self.close(old, last_event));
        guard.record_first_event();
        Handover::Taken(StreamSource {
            body,
            connection,
            guard,
        })
    }

    /// Closes a source that was silent and has been replaced, which ends the run at its endpoint.
    fn close(&self, source: StreamSource<D>, last_event: Option<u64>) {
        let StreamSource {
            body,
            connection,
            guard,
        } = source;
        drop(body);
        drop(connection);
        let last_event = last_event.unwrap_or(0);
        log_source_end(&self.call, &guard, "replaced", last_event);
        guard.give_up(EndpointOutcome::Failed);
    }

    /// Checks whether another attempt may be made now.
    fn check_resume(&self) -> Result<(), Hindrance> {
        let route = &self.call.route;
        check_resume(route.kind, self.sent, route.attempts)?;
        if self.gateway.now() >= self.call.deadline {
            return Err(Hindrance::Deadline);
        }
        if !self.gateway.may_withdraw(&self.call.service) {
            return Err(Hindrance::Budget);
        }
        if !self.gateway.may_hand_over(&self.call) {
            return Err(Hindrance::Quarantine);
        }
        Ok(())
    }

    fn log_resumed(&self, choice: &EndpointChoice, last_event: Option<u64>, why: &str) {
        log::info!(
            request = self.call.id(),
            endpoint:% = choice.entry.id,
            version = choice.entry.version_name(),
            why,
            left_out:% = choice.excluded,
            last_event = last_event.unwrap_or(0);
            "attempt.resumed"
        );
    }

    /// Records what the head of a reply reports, and checks that the reply continues the stream.
    ///
    /// # Errors
    ///
    /// Returns what the reply proves if it doesn't.
    fn check_head(
        &self,
        endpoint: &EndpointEntry,
        head: &response::Parts,
        sent: Time,
    ) -> Result<(), ResumeRejection> {
        let facts = D::read_reply(head);
        self.gateway
            .record_reply(endpoint, head.status, &facts, sent);
        let kind = self.call.route.kind;
        classify_resumed_head(self.call.id(), kind, head.status, &facts)
    }
}

/// Logs the end of a source after `last_event`; 0 if the caller has no event yet.
pub(crate) fn log_source_end<D: Dialect>(
    call: &ForwardedCall,
    guard: &AttemptGuard<D>,
    outcome: &str,
    last_event: u64,
) {
    log::info!(
        request = call.id(),
        endpoint:% = guard.choice.entry.id,
        outcome,
        last_event,
        took_ms = guard.took().0;
        "attempt.ended"
    );
}

/// Sends a request and waits for the head of its reply.
async fn exchange(connection: FreshConnection, request: Request<Full<Bytes>>) -> Exchange {
    match connection.send(request).await {
        Ok((response, connection)) => Exchange::Replied(response, connection),
        // This counts as a failure of the endpoint. The stream is resumed elsewhere or ends with `request.broken_off`.
        Err(_) => Exchange::Failed,
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
