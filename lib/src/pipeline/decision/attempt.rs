//! Attempts: sending a stage, taking in its tokens and its end, trying again.

use {
    crate::{
        pipeline::decision::{
            core::{Action, Core},
            endpoint::{AttemptEnd, EndpointCall, EndpointReply, FailCause, NotRunCause},
            policy::Policy,
            policy_choice::AnyPolicy,
            request::{Answer, Attempt},
            state::Timer,
        },
        settings::tree::{ServiceKind, Stage},
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
    pub(crate) fn send_next(&mut self, now: Time, id: RequestId, hedge: bool) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let stage = request.current().clone();
        let policy = AnyPolicy::new(stage.settings.policy.value, self.config.hop);
        let Some(pool) = self.fleet.pool_mut(&stage.service) else {
            return self.fail(now, id, Code::NoEndpoint, "the service is gone".into());
        };
        let max_tokens = stage.settings.max_tokens.value.0;
        let size = pool.size(&request.input, max_tokens);
        let job = pool.job(now, &size);
        let tried = &request.tried;
        let Some(chosen) = policy.choose(now, pool, &job, tried, &mut self.rng) else {
            if !hedge {
                let detail = format!("no endpoint of {} can take the call", stage.service);
                self.fail(now, id, Code::NoEndpoint, detail);
            }
            return;
        };
        let extra = request.tries > 0;
        if !extra {
            policy.first_attempt(pool, stage.settings.retry_budget.value);
        }
        let kind = pool.service.kind.clone();
        let member = &mut pool.members[chosen];
        if hedge && tried.contains(&member.serial) {
            return;
        }
        let serial = member.serial;
        let expected = member.load.sent(now, job.work_at(serial));
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
            kind,
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
        if let Some(wait) = stage.settings.hedge_after.value.0
            && stage.settings.repeatable.value
            && !hedge
        {
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
        self.fleet.ended(
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
            Ok(()) => self.send_next(now, id, false),
            Err(late) => self.fail(now, id, late.code, late.detail),
        }
    }

    fn not_run(&mut self, now: Time, id: RequestId, cause: NotRunCause) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        request.clear_exposure();
        let attempts = request.current().settings.attempts.value.0;
        // Nothing ran, so even a call that may not be repeated may go to another endpoint.
        if request.live.is_empty() && request.tries < attempts && !request.abandoned {
            return self.send_next(now, id, false);
        }
        if request.live.is_empty() {
            let service = request.current().service.clone();
            let detail = format!("{service}: the last endpoint tried was {cause}");
            self.fail(now, id, Code::NoEndpoint, detail);
        }
    }

    fn failed(&mut self, now: Time, id: RequestId, cause: FailCause) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        if !request.live.is_empty() {
            return;
        }
        let stage = request.current().clone();
        let allowed = stage.settings.repeatable.value
            && request.tries < stage.settings.attempts.value.0
            && !request.abandoned;
        if allowed && self.grants_retry(&stage) {
            return self.send_next(now, id, false);
        }
        let detail = format!("stage {}: {cause}", stage.id);
        self.fail(now, id, Code::StageFailed, detail);
    }

    pub(crate) fn hedge(&mut self, now: Time, attempt: AttemptId) {
        let Some(id) = self.attempts.get(&attempt).copied() else {
            return;
        };
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let stage = request.current().clone();
        let streaming = request.generated.tokens > 0;
        if streaming || request.tries >= stage.settings.attempts.value.0 {
            return;
        }
        let engine = matches!(
            self.fleet.kind(&stage.service),
            Some(ServiceKind::Engine { .. })
        );
        if !engine && self.grants_retry(&stage) {
            self.send_next(now, id, true);
        }
    }

    /// Takes one attempt beyond the first from the budget of the stage's service.
    fn grants_retry(&mut self, stage: &Stage) -> bool {
        let policy = self.policy(&stage.settings);
        self.fleet
            .pool_mut(&stage.service)
            .is_some_and(|pool| policy.grants_retry(pool))
    }
}

/// Builds the JSON value that a generation amounts to.
pub fn generated_body(text: &str, tokens: u32) -> Bytes {
    let value = serde_json::json!({ "text": text, "tokens": tokens });
    Bytes::from(value.to_string())
}
