//! Answers one request of a caller: accepts it, runs its stages, and makes attempts until there is a reply or the rules
//! allow no further one.
//!
//! This module determines the order of these steps. The modules of `rules` decide about retries, time limits and which
//! outcome a caller gets.

use {
    crate::{
        gateway::{
            dialect::Dialect,
            routing::{
                accept::{Refusal, accept},
                admission_sample::AdmissionSample,
                answer::{answer_stream, answer_whole},
                attempt::{AttemptOutcome, StreamingReply},
                call::ForwardedCall,
                guards::{CallerLeftGuard, RequestGuard},
                progress::RequestProgress,
                reply_stream,
                reservations::Admission,
                stages::{Admitted, check_admission, run_stages},
                stop_check::STOPPING_DETAIL,
                stream_resume::StreamedRequest,
            },
            rules::{
                calibration::AdmittedEnd,
                eligibility::ExclusionCounts,
                outcome::UnansweredEnd,
                reply_proof::{NotRunReason, is_endpoint_failure},
                resume::is_resumable,
                retry::AttemptFailure,
                retry_after,
            },
            stages::stage_results::Results,
            state::Gateway,
            wire::reply::{ReplyBody, problem_reply},
        },
        shared::{
            problem::{Code, Problem},
            units::{Millis, Time},
        },
    },
    http::{Request, Response},
    hyper::body::Incoming,
    std::rc::Rc,
};

/// Answers one request.
pub async fn handle<D: Dialect>(
    gateway: Rc<Gateway<D>>,
    request: Request<Incoming>,
) -> Response<ReplyBody> {
    let arrived = gateway.now();
    match try_answer(&gateway, request, arrived).await {
        Ok(response) => response,
        Err(refusal) => answer_problem(&gateway, &refusal, arrived),
    }
}

async fn try_answer<D: Dialect>(
    gateway: &Rc<Gateway<D>>,
    request: Request<Incoming>,
    arrived: Time,
) -> Result<Response<ReplyBody>, Refusal> {
    let in_flight = RequestGuard::new(gateway);
    let call = Rc::new(accept(gateway, request, arrived).await?);
    forward(gateway, &call, in_flight)
        .await
        .map_err(|problem| Refusal {
            request: call.inbound.id.clone(),
            problem,
            left: Some(call.remaining(gateway.now())),
        })
}

/// Answers with a problem, logs it and counts it.
fn answer_problem<D: Dialect>(
    gateway: &Gateway<D>,
    refusal: &Refusal,
    arrived: Time,
) -> Response<ReplyBody> {
    let problem = &refusal.problem;
    let took = gateway.now().since(arrived);
    log::info!(
        request = &*refusal.request,
        code:% = problem.code,
        outcome:% = problem.outcome,
        retry_after_ms = problem.retry_after.map_or(0, |wait| wait.0),
        version = gateway.state.borrow().table_version(),
        left_ms = refusal.left.map_or(0, |left| left.0),
        took_ms = took.as_millis() as u64,
        detail = problem.detail.as_str();
        "request.problem"
    );
    gateway.metrics.count_problem(problem.code, problem.outcome);
    problem_reply::<D>(problem)
}

/// Runs the stages and the attempts of a request until its deadline.
async fn forward<D: Dialect>(
    gateway: &Rc<Gateway<D>>,
    call: &Rc<ForwardedCall>,
    in_flight: RequestGuard<D>,
) -> Result<Response<ReplyBody>, Problem> {
    let caller = CallerLeftGuard::new(gateway, call);
    let mut run = RequestRun {
        gateway,
        call,
        progress: RequestProgress::default(),
        admission: Admission::default(),
        sample: AdmissionSample::default(),
        results: None,
    };
    let ended = tokio::select! {
        ended = run.answer(in_flight) => ended,
        () = gateway.sleep_until(call.deadline) => {
            run.end_late();
            Err(run.problem(TIME_OVER_DETAIL))
        }
        // Before the daemon stops, the caller gets a problem that says whether the request may have run, not just a
        // closed connection.
        () = gateway.stop_expired.notified() => Err(run.problem("the daemon stops")),
    };
    run.sample.end(AdmittedEnd::Failed);
    caller.disarm();
    ended
}

/// The run of one accepted request.
pub(super) struct RequestRun<'a, D: Dialect> {
    pub(super) gateway: &'a Rc<Gateway<D>>,
    pub(super) call: &'a Rc<ForwardedCall>,
    pub(super) progress: RequestProgress,
    /// Where its stages run, and in which place.
    pub(super) admission: Admission,
    /// Measures the time to the first event against the expected one.
    sample: AdmissionSample<D>,
    /// Results of the stages, which are the inputs of the request; absent if it has none.
    pub(super) results: Option<Results<D>>,
}

impl<D: Dialect> RequestRun<'_, D> {
    async fn answer(&mut self, in_flight: RequestGuard<D>) -> Result<Response<ReplyBody>, Problem> {
        self.gateway.check_stop(self.call)?;
        self.begin().await?;
        loop {
            if self.is_quarantined().await {
                return self.end_unanswered(QUARANTINED_DETAIL);
            }
            if self.gateway.now() >= self.call.deadline {
                // The host may have been suspended meanwhile. A request whose time is over is sent to no endpoint.
                self.end_late();
                return self.end_unanswered(TIME_OVER_DETAIL);
            }
            let choice = match self.choose().await {
                Ok(choice) => choice,
                Err(excluded) => return self.end_unanswered(&no_endpoint(excluded)),
            };
            // The request may have waited since it came, and a failed attempt may have taken some time.
            if !self.gateway.ends_before_stop(self.call, None) {
                return self.end_unanswered(STOPPING_DETAIL);
            }
            let failure = match self.attempt(choice).await {
                AttemptOutcome::Streaming(reply) => {
                    return Ok(self.pass_stream(*reply, in_flight));
                }
                AttemptOutcome::Whole(reply) if !is_endpoint_failure(reply.head.status) => {
                    if reply.head.status.is_success() {
                        self.sample.end(AdmittedEnd::Answered);
                    }
                    return Ok(answer_whole(self.gateway, self.call, reply));
                }
                AttemptOutcome::Whole(reply) => {
                    self.progress.failure = Some(reply);
                    AttemptFailure::ServerError
                }
                AttemptOutcome::NotRun(reason) => AttemptFailure::NotRun(reason),
                AttemptOutcome::Unknown => AttemptFailure::PossiblyRun,
            };
            if !self.prepare_next(failure).await? {
                return self.end_unanswered(give_up_detail(failure));
            }
        }
    }

    /// Checks the admission of the request, and runs its stages.
    async fn begin(&mut self) -> Result<(), Problem> {
        self.gateway.await_rebuttals(self.call).await;
        let Admitted { admission, sample } = check_admission(self.gateway, self.call).await?;
        self.admission = admission;
        self.sample = sample;
        let results = self.stage_results().await;
        self.results = results.inspect_err(|problem| {
            if problem.code == Code::NoTime {
                self.sample.end(AdmittedEnd::TooLate);
            }
        })?;
        Ok(())
    }

    /// Runs the stages. Once the objective has passed, the request counts as too late for the calibration: the end of
    /// its stages may come many times later, when what it shows is out of date. A request that is quarantined meanwhile
    /// ends at once.
    async fn stage_results(&mut self) -> Result<Option<Results<D>>, Problem> {
        let objective = self.call.arrived + self.call.route.objective;
        let stages = run_stages(self.gateway, self.call, self.admission);
        tokio::pin!(stages);
        let quarantined = self.gateway.until_quarantined(self.call);
        tokio::pin!(quarantined);
        tokio::select! {
            results = &mut stages => return results,
            problem = &mut quarantined => return Err(problem),
            () = self.gateway.sleep_until(objective) => {}
        }
        self.sample.end(AdmittedEnd::TooLate);
        tokio::select! {
            results = &mut stages => results,
            problem = &mut quarantined => Err(problem),
        }
    }

    /// Ends the request without a success: with the latest failure reply of an endpoint if there is one, else with a
    /// problem.
    fn end_unanswered(&mut self, why: &str) -> Result<Response<ReplyBody>, Problem> {
        match self.progress.failure.take() {
            Some(reply) => Ok(answer_whole(self.gateway, self.call, reply)),
            None => Err(self.problem(why)),
        }
    }

    /// Records that the deadline passed.
    fn end_late(&mut self) {
        let sent = self.progress.tried.len();
        self.sample.end(AdmittedEnd::at_deadline(sent));
    }

    /// Returns whether the request is quarantined because too many endpoints terminated under it, once that can't be
    /// disproved any more.
    pub(super) async fn is_quarantined(&self) -> bool {
        self.gateway.await_rebuttals(self.call).await;
        self.gateway.check_quarantine(self.call).is_err()
    }

    /// Builds the problem that ends the request without an answer.
    fn problem(&self, why: &str) -> Problem {
        if self.progress.history.possibly_run() == 0
            && let Err(problem) = self.gateway.check_quarantine(self.call)
        {
            return problem;
        }
        self.progress.history.problem(&UnansweredEnd {
            why,
            last_result: &self.progress.last_result,
            is_late: self.gateway.now() >= self.call.deadline,
            retry_after: self.retry_after(),
        })
    }

    /// Returns the time after which the caller may retry: until the next expected permit, else until the end of the
    /// first cooldown, else by the loads that the endpoints of the service reported last.
    fn retry_after(&self) -> Millis {
        if let Some(wait) = self.gateway.permit_wait(&self.call.service) {
            return retry_after::after_permits(wait);
        }
        let now = self.gateway.now();
        let state = self.gateway.state.borrow();
        let (service, data_centres) = (&self.call.service, &self.call.data_centres);
        if let Some(cooldown_end) = state.endpoints.cooldown_end(service, data_centres) {
            return retry_after::after_cooldown(now, cooldown_end);
        }
        let members = state.endpoints.open(service);
        retry_after::after_attempts(members.filter_map(|member| Some(member.reported_load?.1)))
    }

    /// Starts to relay a stream to the caller; the relay owns the request from here on.
    fn pass_stream(
        &mut self,
        reply: StreamingReply<D>,
        in_flight: RequestGuard<D>,
    ) -> Response<ReplyBody> {
        let took = self.gateway.now().since(self.call.arrived);
        self.gateway.metrics.observe_head(took);
        if !is_resumable(self.call.route.kind) {
            self.call.release_body();
        }
        let request = StreamedRequest {
            gateway: self.gateway.clone(),
            call: self.call.clone(),
            tried: std::mem::take(&mut self.progress.tried),
            sent: self.progress.history.sent(),
            admission: self.admission,
            origin: self.call.origin,
            open_origin: None,
            sample: std::mem::take(&mut self.sample),
            results: self.results.take(),
            _in_flight: in_flight,
        };
        answer_stream(reply.head, reply_stream::start(request, reply.source))
    }
}

/// Problem detail: the deadline of the request has passed.
const TIME_OVER_DETAIL: &str = "the request's time is over";

/// Problem detail: the request may have run and is sent to no further endpoint, because endpoints terminated under it.
const QUARANTINED_DETAIL: &str = "endpoints ended under this request";

/// Returns the problem detail for a request that no endpoint may get.
fn no_endpoint(excluded: ExclusionCounts) -> String {
    format!("no endpoint is left; left out: {excluded}")
}

/// Returns the problem detail for a request whose last attempt failed and isn't retried.
fn give_up_detail(failure: AttemptFailure) -> &'static str {
    match failure {
        AttemptFailure::NotRun(NotRunReason::Unreachable | NotRunReason::Ended) => {
            "endpoints can't be reached"
        }
        AttemptFailure::NotRun(NotRunReason::InputsGone) => "its inputs are gone",
        AttemptFailure::NotRun(NotRunReason::Refused | NotRunReason::Replaced) => {
            "no other attempt is allowed"
        }
        // After a server error the endpoint's reply is passed on, so this text isn't used.
        AttemptFailure::PossiblyRun | AttemptFailure::ServerError => "the attempt broke off",
    }
}
