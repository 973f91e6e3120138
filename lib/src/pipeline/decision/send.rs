//! Sends a stage: chooses an endpoint, starts the attempt, and builds its call.
//!
//! Has no rule of its own: the policy chooses the endpoint ([`policy`](super::policy)), and [`retry`](super::retry)
//! decides whether the attempt may be hedged.

use crate::{
    pipeline::decision::{
        core::{Action, Core},
        endpoint::EndpointCall,
        policy::Policy,
        pool::Pool,
        request::{Attempt, Request},
        retry::{AttemptKind, hedge_wait},
        timers::Timer,
    },
    shared::{
        ids::{AttemptId, CallIds, RequestId},
        problem::Code,
        units::Time,
    },
};

impl Core {
    /// Sends the current stage to an endpoint, or ends the request if none can take it.
    ///
    /// A hedge that no other endpoint can take isn't sent, and its request continues without it.
    pub(crate) fn send_next(&mut self, now: Time, id: RequestId, kind: AttemptKind) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let stage = request.current().clone();
        let settings = &stage.settings;
        let policy = self.config.policy(settings);
        let Some(pool) = self.pools.pool_mut(&stage.service) else {
            return self.fail(now, id, Code::NoEndpoint, "the service is gone".into());
        };
        let estimate = pool.estimate_call(now, &request.input, settings.max_tokens.value.0);
        let tried = &request.tried;
        let Some(chosen) = policy.choose(now, pool, &estimate, tried, &mut self.rng) else {
            if kind == AttemptKind::Regular {
                let detail = format!("no endpoint of {} can take the call", stage.service);
                self.fail(now, id, Code::NoEndpoint, detail);
            }
            return;
        };
        if kind == AttemptKind::Hedge && tried.contains(&pool.members[chosen].serial) {
            return;
        }
        let is_first = request.attempts_sent == 0;
        if is_first {
            policy.record_first_attempt(pool, settings.retry_budget.value);
        }
        self.last_attempt += 1;
        let attempt = pool.start_attempt(now, AttemptId(self.last_attempt), chosen, estimate);
        let call = endpoint_call(now, request, pool, &attempt, chosen);
        self.counters.sent(is_first);
        self.attempts.insert(attempt.id, id);
        if let Some(wait) = hedge_wait(settings, kind) {
            self.timers.add(now + wait, Timer::Hedge(attempt.id));
        }
        request.add_attempt(attempt);
        self.actions.push(Action::Send(Box::new(call)));
    }
}

/// Builds the call of an attempt at the endpoint at `index`.
///
/// A generation that was interrupted is resumed after the tokens that were received.
fn endpoint_call(
    now: Time,
    request: &Request,
    pool: &Pool,
    attempt: &Attempt,
    index: usize,
) -> EndpointCall {
    let stage = request.current();
    EndpointCall {
        ids: CallIds {
            request: request.id,
            stage: stage.id.clone(),
            attempt: attempt.id,
        },
        endpoint: attempt.endpoint.clone(),
        address: pool.members[index].spec.address,
        kind: pool.service.kind.clone(),
        input: request.input.clone(),
        remaining: request.remaining(now),
        priority: request.priority,
        key: request.key.clone(),
        max_reply: stage.settings.max_reply.value,
        max_tokens: stage.settings.max_tokens.value.0,
        resume: request.generated.clone(),
        trace_parent: request.trace_parent.clone(),
    }
}
