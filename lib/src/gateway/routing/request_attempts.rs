//! Makes the attempts of a request, and decides with the rules what comes after each.
//!
//! An attempt that takes longer than its limit goes on until another one has taken over.

use {
    crate::{
        gateway::{
            dialect::Dialect,
            routing::{
                attempt::{AttemptOutcome, OpenAttempt, PreparedAttempt, open},
                forward::RequestRun,
                outbound::outbound_request,
                stages::run_stages,
            },
            rules::{
                attempt_timeout::{AttemptPlan, attempt_timeout},
                eligibility::ExclusionCounts,
                endpoint_choice::EndpointChoice,
                handover::HANDOVER_TIME,
                reply_proof::NotRunReason,
                retry::{self, AfterFailure, AttemptFailure, RetryReason, UNREACHABLE_LIMIT},
            },
        },
        shared::{problem::Problem, units::Time},
    },
    std::time::Duration,
};

impl<D: Dialect> RequestRun<'_, D> {
    /// Chooses the endpoint of the next attempt.
    pub(super) async fn choose(&self) -> Result<EndpointChoice, ExclusionCounts> {
        let (tried, results) = (&self.progress.tried, self.results.as_ref());
        self.gateway
            .choose_permitted(self.call, tried, results, self.call.origin)
            .await
    }

    /// Makes an attempt at an endpoint. After its time limit, another endpoint is sought that takes over.
    pub(super) async fn attempt(&mut self, choice: EndpointChoice) -> AttemptOutcome<D> {
        let opened = match self.open(choice).await {
            Ok(opened) => opened,
            Err(reason) => return AttemptOutcome::NotRun(reason),
        };
        let mut sent = opened.send(self.gateway, self.call, &mut self.progress);
        let result = loop {
            if let Some(result) = sent.until_limit(self.gateway).await {
                break result;
            }
            let began = sent.began();
            let replacement = tokio::select! {
                biased;
                result = sent.until_end() => break result,
                replacement = self.open_replacement(began) => replacement,
            };
            let Some(replacement) = replacement else {
                sent.extend_limit();
                continue;
            };
            let mut next = replacement.send(self.gateway, self.call, &mut self.progress);
            match next.within(HANDOVER_TIME).await {
                Some(result) if result.is_not_run() => {
                    let progress = &mut self.progress;
                    next.end(self.gateway, self.call, result, progress).await;
                }
                early => {
                    sent.give_up(self.call, &mut self.progress);
                    sent = next;
                    if let Some(result) = early {
                        break result;
                    }
                }
            }
        };
        sent.end(self.gateway, self.call, result, &mut self.progress)
            .await
    }

    /// Connects to another endpoint than those tried so far, and pays for the attempt that replaces one from `began`;
    /// returns `None` if there is none or no further attempt is allowed.
    async fn open_replacement(&mut self, began: Time) -> Option<OpenAttempt<D>> {
        loop {
            // The host may have been suspended meanwhile. A request whose time is over is sent to no endpoint.
            let is_over = self.gateway.now() >= self.call.deadline;
            if is_over || !self.gateway.may_hand_over(self.call) || !self.may_retry() {
                return None;
            }
            // The present attempt may still answer.
            if !self.gateway.ends_before_stop(self.call, Some(began)) {
                return None;
            }
            let choice = self.choose().await.ok()?;
            if let Ok(opened) = self.open(choice).await {
                return self.take_retry(RetryReason::Failed).then_some(opened);
            }
        }
    }

    /// Connects to an endpoint.
    async fn open(&mut self, choice: EndpointChoice) -> Result<OpenAttempt<D>, NotRunReason> {
        log::info!(
            request = self.call.id(),
            endpoint:% = choice.entry.id,
            version = choice.entry.version_name(),
            expected_ms = choice.expected.0,
            uncached = choice.uncached,
            outstanding = choice.in_flight,
            candidates = choice.candidates,
            left_out:% = choice.excluded,
            attempt = self.progress.history.sent() + 1,
            left_ms = self.call.remaining(self.gateway.now()).0;
            "attempt.sent"
        );
        let limit = self.attempt_limit(&choice);
        self.progress.tried.push(choice.entry.id.clone());
        let results = self.results.as_ref();
        let resume_after = self.call.inbound.last_event;
        let request = outbound_request(self.gateway, self.call, &choice, results, resume_after);
        // An endpoint without a free slot fetches the inputs later, so they are kept longer.
        if let Some(results) = results
            && choice.in_flight < choice.entry.slots
        {
            results.release_once_fetched();
        }
        let prepared = PreparedAttempt {
            choice,
            request,
            limit,
        };
        open(self.gateway, self.call, prepared, &mut self.progress).await
    }

    /// Returns the time limit after which another attempt is better than waiting for this one.
    fn attempt_limit(&self, choice: &EndpointChoice) -> Option<Duration> {
        let attempts = self.call.route.attempts;
        attempt_timeout(&AttemptPlan {
            kind: self.call.route.kind,
            later_attempts: attempts.saturating_sub(self.progress.history.sent() + 1),
            other_endpoints: choice.alternatives(),
            expected: choice.expected,
        })
    }

    /// Prepares another attempt after a failed one; returns whether there may be one.
    pub(super) async fn prepare_next(&mut self, failure: AttemptFailure) -> Result<bool, Problem> {
        // Another attempt would probably terminate one more endpoint, and would use up a retry of the budget.
        if self.is_quarantined().await {
            return Ok(false);
        }
        match retry::next_step(failure, &self.progress.history) {
            AfterFailure::ChooseAnother => Ok(true),
            AfterFailure::Retry(reason) => Ok(self.take_retry(reason)),
            AfterFailure::RunStages => {
                if !self.gateway.withdraw(&self.call.service) {
                    return Ok(false);
                }
                // The remaining old results are released first, so that the new ones have the capacity.
                drop(self.results.take());
                self.results = run_stages(self.gateway, self.call, self.admission).await?;
                self.progress.tried.clear();
                Ok(true)
            }
            AfterFailure::GiveUp => Ok(false),
        }
    }

    /// Returns whether the rules and the retry budget allow another attempt.
    fn may_retry(&self) -> bool {
        let route = &self.call.route;
        let history = &self.progress.history;
        retry::may_retry(route.kind, route.attempts, history)
            && history.unreachable() < UNREACHABLE_LIMIT
            && self.gateway.may_withdraw(&self.call.service)
    }

    /// Withdraws a retry from the budget if the rules allow one; returns whether there may be another attempt.
    fn take_retry(&self, reason: RetryReason) -> bool {
        let route = &self.call.route;
        let history = &self.progress.history;
        let allowed = retry::may_retry(route.kind, route.attempts, history)
            && self.gateway.withdraw(&self.call.service);
        if allowed {
            self.gateway.metrics.count_retry(reason);
        }
        // The name of this event says "repeat" for a retry.
        log::info!(
            request = self.call.id(),
            why:? = reason,
            sent = history.sent(),
            allowed,
            last = self.progress.last_result.as_str();
            "attempt.repeat"
        );
        allowed
    }
}
