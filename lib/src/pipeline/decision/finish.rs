//! Ends of requests: answers, failures, refusals, deadlines, and callers that leave.
//!
//! Each request ends exactly once, in [`Core::finish`] or, if it was never admitted, in [`Core::refuse`]. The
//! outcome follows from the request's attempts ([`Request::problem`](super::request::Request::problem)), not from the
//! code that ends it.

use crate::{
    pipeline::decision::{
        core::{Action, Core},
        request::Answer,
    },
    shared::{
        ids::RequestId,
        problem::{Code, Outcome, Problem},
        units::{Time, WorkMillis},
    },
};

impl Core {
    /// Refuses a request that was never admitted.
    pub(crate) fn refuse(&mut self, request: RequestId, problem: Problem) {
        crate::invariant!(
            problem.outcome == Outcome::NotRun,
            "request {request} was refused as {}",
            problem.outcome
        );
        self.counters.refused(problem.code);
        self.actions.push(Action::Finish {
            request,
            result: Err(problem),
        });
    }

    /// Ends a request whose caller has left, unless an attempt must run to its end.
    pub(crate) fn left(&mut self, now: Time, id: RequestId) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        request.abandoned = true;
        if request.progress().must_complete() {
            return;
        }
        self.fail(now, id, Code::DeadlineExceeded, "the caller left".into());
    }

    pub(crate) fn deadline(&mut self, now: Time, id: RequestId) {
        if self.requests.contains_key(&id) {
            let detail = "the request's time is over".to_owned();
            self.fail(now, id, Code::DeadlineExceeded, detail);
        }
    }

    /// Ends a request with a problem, whose outcome follows from its attempts.
    pub(crate) fn fail(&mut self, now: Time, id: RequestId, code: Code, detail: String) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let wait = self
            .pools
            .pool(&request.current().service)
            .map(|pool| pool.retry_after(now));
        let problem = request.problem(code, detail, wait);
        self.finish(now, id, Err(problem));
    }

    /// Ends a request: cancels its attempts, accounts for its endpoint time, and answers its caller
    /// unless it has left.
    pub(crate) fn finish(&mut self, now: Time, id: RequestId, result: Result<Answer, Problem>) {
        self.cancel_attempts(now, id);
        let Some(request) = self.requests.remove(&id) else {
            return;
        };
        if let Some(usage) = self.customers.get_mut(&request.customer) {
            usage.end_request();
        }
        let useful = result.is_ok() && now <= request.deadline && !request.abandoned;
        self.costs.add(&request, useful);
        match &result {
            Ok(_) => self.counters.answered(useful),
            Err(problem) => self.counters.failed(problem),
        }
        if !request.abandoned {
            self.actions.push(Action::Finish {
                request: id,
                result,
            });
        }
    }

    /// Cancels all attempts of a request that are still in flight, when its stage is done by another attempt or when
    /// the request ends.
    pub(crate) fn cancel_attempts(&mut self, now: Time, id: RequestId) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let service = request.current().service.clone();
        for attempt in std::mem::take(&mut request.in_flight) {
            let spent = WorkMillis(now.millis_since(attempt.sent));
            request.add_wasted(spent);
            self.attempts.remove(&attempt.id);
            self.pools.cancelled(&service, &attempt);
            self.actions.push(Action::Cancel(attempt.id));
        }
    }
}
