//! Attempts in flight: their tokens, their ends, and the steps that follow.
//!
//! Applies the rules: [`retry`](super::retry) decides on another attempt, [`admission`](super::admission) whether the
//! next stage is worth starting.

use {
    crate::{
        pipeline::decision::{
            core::{Action, Core},
            endpoint::{AttemptEnd, EndpointReply, FailCause, NotRunCause},
            policy::Policy,
            request::{Answer, EndedAttempt},
            retry::{AttemptKind, NextStep},
        },
        shared::{
            ids::{AttemptId, RequestId},
            problem::Code,
            units::Time,
        },
    },
    bytes::Bytes,
};

/// HTTP status of an answer that the daemon builds itself from a generation.
const STATUS_OK: u16 = 200;

/// Smallest HTTP status with which an endpoint rejects its input.
const FIRST_REJECTION: u16 = 400;

impl Core {
    /// Handles a received token, and delivers it if it is the next one of the generation.
    ///
    /// A token that was received before is ignored: an attempt that resumes the generation of another one may send it
    /// again. A gap means that tokens were lost, so the attempt counts as failed.
    pub(crate) fn token(&mut self, now: Time, attempt: AttemptId, index: u32, text: String) {
        let id = self.attempts.get(&attempt);
        let Some(request) = id.and_then(|id| self.requests.get_mut(id)) else {
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

    /// Ends an attempt: accounts for its time, learns from it, and continues its request.
    ///
    /// The end of an attempt that was cancelled, or whose request has ended, is ignored.
    pub(crate) fn ended(&mut self, now: Time, attempt_id: AttemptId, end: AttemptEnd) {
        let Some(id) = self.attempts.remove(&attempt_id) else {
            return;
        };
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let Some(attempt) = request.remove_attempt(attempt_id) else {
            return;
        };
        let spent = attempt.spent(now, &end);
        if end.is_success() {
            request.add_spent(spent);
            self.shares.record_completed(now, spent);
        } else {
            request.add_wasted(spent);
        }
        let stage = request.current();
        let policy = self.config.policy(&stage.settings);
        let ended = EndedAttempt {
            attempt: &attempt,
            end: &end,
            spent,
            may_eject: policy.ejects(),
        };
        if self.pools.ended(now, &stage.service, &ended) {
            self.counters.ejections += 1;
        }
        match end {
            AttemptEnd::Answered(reply) => self.answered(now, id, reply),
            AttemptEnd::StreamEnded { tokens, .. } => self.stream_ended(now, id, tokens),
            AttemptEnd::NotRun(cause) => self.not_run(now, id, cause),
            AttemptEnd::Failed(cause) => self.failed(now, id, cause),
        }
    }

    fn answered(&mut self, now: Time, id: RequestId, reply: EndpointReply) {
        let request = &self.requests[&id];
        let rejected = reply.status >= FIRST_REJECTION;
        if rejected && !request.direct_call {
            let stage = &request.current().id;
            let detail = format!("stage {stage} was rejected with status {}", reply.status);
            return self.fail(now, id, Code::StageRejected, detail);
        }
        self.stage_done(now, id, reply.status, reply.body);
    }

    /// Ends a generation, which counts as failed if some of its tokens were not received.
    fn stream_ended(&mut self, now: Time, id: RequestId, tokens: u32) {
        let request = &self.requests[&id];
        if tokens != request.generated.tokens {
            return self.failed(now, id, FailCause::Broken);
        }
        let body = generated_body(&request.generated.text, tokens);
        self.stage_done(now, id, STATUS_OK, body);
    }

    /// Passes the output of a stage to the next stage, or to the caller after the last one.
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
            Ok(()) => self.send_next(now, id, AttemptKind::Regular),
            // Only code and detail are taken over: parts of the request have run, so `fail` determines outcome and
            // wait.
            Err(late) => self.fail(now, id, late.code, late.detail),
        }
    }

    fn not_run(&mut self, now: Time, id: RequestId, cause: NotRunCause) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        request.record_not_run();
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

    /// Carries out `next`. If the stage isn't sent again, the request ends with `code` and `detail`.
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
            self.send_next(now, id, AttemptKind::Regular);
        } else {
            self.fail(now, id, code, detail);
        }
    }

    /// Hedges an attempt that is late, if it is still in flight and its stage allows it.
    pub(crate) fn hedge(&mut self, now: Time, attempt: AttemptId) {
        let Some(id) = self.attempts.get(&attempt).copied() else {
            return;
        };
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let generates = self.pools.generates(&request.current().service);
        if request.progress().may_hedge(generates) && self.grants_retry(id) {
            self.send_next(now, id, AttemptKind::Hedge);
        }
    }

    /// Takes one retry or hedge from the retry budget of the current stage's service; returns whether it was granted.
    fn grants_retry(&mut self, id: RequestId) -> bool {
        let Some(request) = self.requests.get(&id) else {
            return false;
        };
        let stage = request.current();
        let policy = self.config.policy(&stage.settings);
        self.pools
            .pool_mut(&stage.service)
            .is_some_and(|pool| policy.grants_retry(pool))
    }
}

/// Builds the JSON body of a whole generation, with its text and its number of tokens.
pub fn generated_body(text: &str, tokens: u32) -> Bytes {
    let value = serde_json::json!({ "text": text, "tokens": tokens });
    Bytes::from(value.to_string())
}
