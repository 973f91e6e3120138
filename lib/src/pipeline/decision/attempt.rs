//! Attempts: sending a stage, taking in its tokens and its end, trying again.

use {
    crate::{
        pipeline::decision::{
            core::{Action, Core},
            endpoint::{AttemptEnd, EndpointCall, EndpointReply, FailCause, NotRunCause},
            policy::Policy,
            policy_choice::AnyPolicy,
            request::{Answer, Attempt},
            retry::{AttemptKind, NextStep, hedge_wait},
            timers::Timer,
        },
        settings::tree::ServiceKind,
        shared::{
            ids::{AttemptId, CallIds, RequestId},
            problem::Code,
            units::{Time, WorkMillis},
        },
    },
    bytes::Bytes,
};

impl Core {
    /// Sends the current stage to an endpoint, or ends the request if none can take it.
    pub(crate) fn send_next(&mut self, now: Time, id: RequestId, kind: AttemptKind) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let stage = request.current().clone();
        let policy = AnyPolicy::new(stage.settings.policy.value, self.config.hop);
        let Some(pool) = self.pools.pool_mut(&stage.service) else {
            return self.fail(now, id, Code::NoEndpoint, "the service is gone".into());
        };
        let max_tokens = stage.settings.max_tokens.value.0;
        let size = pool.size(&request.input, max_tokens);
        let placement = pool.placement(now, &size);
        let tried = &request.tried;
        let Some(chosen) = policy.choose(now, pool, &placement, tried, &mut self.rng) else {
            if kind == AttemptKind::Next {
                let detail = format!("no endpoint of {} can take the call", stage.service);
                self.fail(now, id, Code::NoEndpoint, detail);
            }
            return;
        };
        let extra = request.tries > 0;
        if !extra {
            policy.first_attempt(pool, stage.settings.retry_budget.value);
        }
        let service_kind = pool.service.kind.clone();
        let member = &mut pool.members[chosen];
        if kind == AttemptKind::Hedge && tried.contains(&member.serial) {
            return;
        }
        let serial = member.serial;
        let expected = member.load.sent(now, placement.work_at(serial));
        self.last_attempt += 1;
        let attempt = Attempt {
            id: AttemptId(self.last_attempt),
            endpoint: member.spec.id.clone(),
            serial: member.serial,
            sent: now,
            expected,
            size,
            extra,
        };
        let call = EndpointCall {
            ids: CallIds {
                request: id,
                stage: stage.id.clone(),
                attempt: attempt.id,
            },
            endpoint: member.spec.id.clone(),
            address: member.spec.address,
            kind: service_kind,
            input: request.input.clone(),
            remaining: request.remaining(now),
            priority: request.priority,
            key: request.key.clone(),
            max_reply: stage.settings.max_reply.value,
            max_tokens,
            resume: request.generated.clone(),
            trace_parent: request.trace_parent.clone(),
        };
        pool.note_prefix(now, serial, &attempt.size.prefix);
        self.counters.sent(extra);
        self.attempts.insert(attempt.id, id);
        if let Some(wait) = hedge_wait(&stage.settings, kind) {
            self.timers.add(now + wait, Timer::Hedge(attempt.id));
        }
        request.add_attempt(attempt);
        self.actions.push(Action::Send(Box::new(call)));
    }

    pub(crate) fn token(&mut self, now: Time, attempt: AttemptId, index: u32, text: String) {
        let Some(request) = self
            .attempts
            .get(&attempt)
            .and_then(|id| self.requests.get_mut(id))
        else {
            return;
        };
        let next = request.generated.tokens;
        if index < next {
            return;
        }
        if index > next {
            let end = AttemptEnd::Failed(FailCause::Garbage);
            self.actions.push(Action::Cancel(attempt));
            return self.ended(now, attempt, end);
        }
        request.generated.tokens += 1;
        request.generated.text.push_str(&text);
        if request.stream && request.is_last() && !request.abandoned {
            self.actions.push(Action::Token {
                request: request.id,
                index,
                text,
            });
        }
    }

    pub(crate) fn ended(&mut self, now: Time, id: AttemptId, end: AttemptEnd) {
        let Some(request_id) = self.attempts.remove(&id) else {
            return;
        };
        let Some(request) = self.requests.get_mut(&request_id) else {
            return;
        };
        let Some(attempt) = request.remove_attempt(id) else {
            return;
        };
        let stage = request.current().clone();
        let service = stage.service;
        let served = match &end {
            AttemptEnd::Answered(reply) => reply.served,
            AttemptEnd::StreamEnded { served, .. } => *served,
            AttemptEnd::NotRun(_) => Some(WorkMillis(0.0)),
            AttemptEnd::Failed(_) => None,
        };
        let took = WorkMillis(now.millis_since(attempt.sent));
        let served = served.filter(|s| (0.0..=took.0).contains(&s.0));
        let won = matches!(
            end,
            AttemptEnd::Answered(_) | AttemptEnd::StreamEnded { .. }
        );
        let account = if won {
            &mut request.spent
        } else {
            &mut request.wasted
        };
        let spent = served.unwrap_or(took);
        account[request.stage].0 += spent.0;
        if won {
            self.shares.done(now, spent);
        }
        let ejects = self.policy(&stage.settings).ejects();
        self.pools.ended(
            now,
            &service,
            &attempt,
            &end,
            spent,
            ejects,
            &mut self.counters,
        );
        match end {
            AttemptEnd::Answered(reply) => self.answered(now, request_id, reply),
            AttemptEnd::StreamEnded { tokens, .. } => self.stream_ended(now, request_id, tokens),
            AttemptEnd::NotRun(cause) => self.not_run(now, request_id, cause),
            AttemptEnd::Failed(cause) => self.failed(now, request_id, cause),
        }
    }

    fn answered(&mut self, now: Time, id: RequestId, reply: EndpointReply) {
        let request = &self.requests[&id];
        let rejected = reply.status >= 400;
        if rejected && !request.plain {
            let stage = &request.current().id;
            let detail = format!("stage {stage} was rejected with status {}", reply.status);
            return self.fail(now, id, Code::StageRejected, detail);
        }
        self.stage_done(now, id, reply.status, reply.body);
    }

    fn stream_ended(&mut self, now: Time, id: RequestId, tokens: u32) {
        let request = &self.requests[&id];
        if tokens != request.generated.tokens {
            return self.failed(now, id, FailCause::Broken);
        }
        let body = generated_body(&request.generated.text, tokens);
        self.stage_done(now, id, 200, body);
    }

    fn stage_done(&mut self, now: Time, id: RequestId, status: u16, body: Bytes) {
        self.cancel_attempts(now, id);
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        if request.is_last() {
            let tokens = request.generated.tokens;
            let answer = Answer {
                status,
                body,
                tokens,
            };
            return self.finish(now, id, Ok(answer));
        }
        if request.abandoned {
            let detail = "the caller left".to_owned();
            return self.fail(now, id, Code::DeadlineExceeded, detail);
        }
        request.advance(body);
        let request = &self.requests[&id];
        match self.check_time(now, request) {
            Ok(()) => self.send_next(now, id, AttemptKind::Next),
            Err(late) => self.fail(now, id, late.code, late.detail),
        }
    }

    fn not_run(&mut self, now: Time, id: RequestId, cause: NotRunCause) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        request.clear_exposure();
        let next = request.progress().after_not_run();
        let service = &request.current().service;
        let detail = format!("{service}: the last endpoint tried was {cause}");
        self.retry_or_fail(now, id, next, Code::NoEndpoint, detail);
    }

    fn failed(&mut self, now: Time, id: RequestId, cause: FailCause) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let next = request.progress().after_failure();
        let detail = format!("stage {}: {cause}", request.current().id);
        self.retry_or_fail(now, id, next, Code::StageFailed, detail);
    }

    /// Carries out a step; a request that isn't sent again ends with `code` and `detail`.
    fn retry_or_fail(
        &mut self,
        now: Time,
        id: RequestId,
        next: NextStep,
        code: Code,
        detail: String,
    ) {
        let granted = match next {
            NextStep::Wait => return,
            NextStep::Retry => true,
            NextStep::RetryFromBudget => self.grants_retry(id),
            NextStep::GiveUp => false,
        };
        if granted {
            self.send_next(now, id, AttemptKind::Next);
        } else {
            self.fail(now, id, code, detail);
        }
    }

    pub(crate) fn hedge(&mut self, now: Time, attempt: AttemptId) {
        let Some(id) = self.attempts.get(&attempt).copied() else {
            return;
        };
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let kind = self.pools.kind(&request.current().service);
        let generates = matches!(kind, Some(ServiceKind::Engine { .. }));
        if request.progress().may_hedge(generates) && self.grants_retry(id) {
            self.send_next(now, id, AttemptKind::Hedge);
        }
    }

    /// Takes one attempt beyond the first from the budget of the current stage's service.
    fn grants_retry(&mut self, id: RequestId) -> bool {
        let Some(request) = self.requests.get(&id) else {
            return false;
        };
        let stage = request.current();
        let policy = AnyPolicy::new(stage.settings.policy.value, self.config.hop);
        self.pools
            .pool_mut(&stage.service)
            .is_some_and(|pool| policy.grants_retry(pool))
    }
}

/// Builds the JSON value that a generation amounts to.
pub fn generated_body(text: &str, tokens: u32) -> Bytes {
    let value = serde_json::json!({ "text": text, "tokens": tokens });
    Bytes::from(value.to_string())
}
