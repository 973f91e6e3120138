//! Records what ran at the endpoints of a run and compares it with what callers received.

use {
    super::body,
    crate::expect::{self, Step},
    hazelyoke_lib::{
        pipeline::decision::{core::Core, endpoint::EndpointCall, request::Answer},
        shared::{
            ids::{AttemptId, RequestId, StageId},
            problem::{Outcome, Problem},
        },
    },
    std::collections::BTreeMap,
};

/// Prefix of the names of stages that may run only once per request.
const GUARDED: &str = "guarded";

/// The end of a request as its caller saw it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Reported {
    /// The right answer.
    Answered,
    /// Another answer.
    Wrong,
    /// A problem.
    Problem(Outcome),
}

/// The findings of a run.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Findings {
    /// Ends of the requests, in order of arrival; `None` if the caller had left.
    pub reported: Vec<Option<Reported>>,
    /// Descriptions of the violations found.
    pub violations: Vec<String>,
}

/// State of one request as observed.
#[derive(Debug, Default)]
struct Seen {
    number: u32,
    tokens: u32,
    finished: bool,
    left: bool,
    ran: bool,
}

/// A call whose end the core may still be waiting for.
#[derive(Debug)]
struct Pending {
    request: RequestId,
    ran: bool,
}

/// Observes all events and actions of a run.
#[derive(Debug)]
pub(super) struct Observer {
    steps: BTreeMap<String, Vec<Step>>,
    requests: BTreeMap<RequestId, Seen>,
    calls: BTreeMap<AttemptId, Pending>,
    runs: BTreeMap<(RequestId, StageId), u32>,
    findings: Findings,
}

impl Observer {
    /// Builds an observer of a number of requests; `steps` are those of each target.
    pub(super) fn new(steps: BTreeMap<String, Vec<Step>>, requests: usize) -> Self {
        Self {
            steps,
            requests: BTreeMap::new(),
            calls: BTreeMap::new(),
            runs: BTreeMap::new(),
            findings: Findings {
                reported: vec![None; requests],
                violations: Vec::new(),
            },
        }
    }

    /// Returns whether a target's last stage is an engine's.
    pub(super) fn ends_with_engine(&self, target: &str) -> bool {
        matches!(self.steps[target].last(), Some(Step::Engine(..)))
    }

    /// Returns whether a request has ended.
    pub(super) fn is_finished(&self, request: RequestId) -> bool {
        self.requests[&request].finished
    }

    /// Records the arrival of a request.
    pub(super) fn arrived(&mut self, request: RequestId, number: u32) {
        let seen = Seen {
            number,
            ..Seen::default()
        };
        self.requests.insert(request, seen);
    }

    /// Records that a caller left.
    pub(super) fn left(&mut self, request: RequestId) {
        self.seen(request).left = true;
    }

    /// Records a call, and whether its endpoint runs it.
    pub(super) fn sent(&mut self, call: &EndpointCall, ran: bool) {
        let request = call.ids.request;
        let seen = self.seen(request);
        seen.ran |= ran;
        if seen.finished {
            self.add_violation(format!("{request}: sent after its end"));
        }
        if ran {
            let stage = call.ids.stage.clone();
            *self.runs.entry((request, stage)).or_default() += 1;
        }
        let pending = Pending { request, ran };
        self.calls.insert(call.ids.attempt, pending);
    }

    /// Records that the core cancelled a call.
    pub(super) fn cancelled(&mut self, attempt: AttemptId) {
        self.calls.remove(&attempt);
    }

    /// Checks a token that a caller receives.
    pub(super) fn token(&mut self, request: RequestId, index: u32) {
        let seen = self.seen(request);
        let next = seen.tokens;
        seen.tokens += 1;
        if next != index || seen.finished {
            self.add_violation(format!("{request}: token {index} instead of {next}"));
        }
    }

    /// Checks the final answer that a caller receives.
    pub(super) fn finished(&mut self, request: RequestId, result: Result<Answer, Problem>) {
        let seen = self.seen(request);
        let (number, ran) = (seen.number, seen.ran);
        if seen.finished {
            self.add_violation(format!("{request}: ended twice"));
        }
        self.seen(request).finished = true;
        let reported = match result {
            Ok(answer) if self.is_right(number, &answer) => Reported::Answered,
            Ok(_) => Reported::Wrong,
            Err(problem) => Reported::Problem(problem.outcome),
        };
        if reported == Reported::Wrong {
            self.add_violation(format!("{request}: wrong answer"));
        }
        if reported == Reported::Problem(Outcome::NotRun) && ran {
            self.add_violation(format!("{request}: false not_run"));
        }
        self.findings.reported[number as usize] = Some(reported);
    }

    fn is_right(&self, number: u32, answer: &Answer) -> bool {
        self.steps.iter().any(|(target, steps)| {
            let body = body(number, target);
            expect::answer(steps, &body) == answer.body
        })
    }

    /// Checks the final state, once no event is due any more.
    pub(super) fn finish(mut self, core: &Core) -> Findings {
        self.check_requests();
        self.check_guarded();
        self.check_core(core);
        self.check_calls();
        self.findings
    }

    fn check_requests(&mut self) {
        let requests = self.requests.iter();
        let unfinished = requests.filter(|(_, seen)| !seen.finished && !seen.left);
        let violations = unfinished.map(|(request, _)| format!("{request}: no end"));
        self.findings.violations.extend(violations);
    }

    fn check_guarded(&mut self) {
        for ((request, stage), count) in &self.runs {
            if stage.as_str().starts_with(GUARDED) && *count > 1 {
                let violation = format!("{request}: {stage} ran {count} times");
                self.findings.violations.push(violation);
            }
        }
    }

    fn check_core(&mut self, core: &Core) {
        let pools = core.pools().iter();
        let members = pools.flat_map(|pool| &pool.members);
        let busy: u32 = members.map(|member| member.load.in_flight()).sum();
        let requests = core.in_flight();
        if busy > 0 || requests > 0 {
            self.add_violation(format!("{busy} calls and {requests} requests left over"));
        }
    }

    /// Checks that each call still running belongs to a request that has ended or whose caller has left.
    fn check_calls(&mut self) {
        let running = self.calls.values().filter(|pending| pending.ran);
        let requests = running.map(|pending| &self.requests[&pending.request]);
        let forgotten = requests.filter(|seen| !seen.finished && !seen.left).count();
        if forgotten > 0 {
            self.add_violation(format!("{forgotten} calls forgotten"));
        }
    }

    fn seen(&mut self, request: RequestId) -> &mut Seen {
        let seen = self.requests.get_mut(&request);
        seen.expect("the core acts for requests that arrived")
    }

    fn add_violation(&mut self, violation: String) {
        self.findings.violations.push(violation);
    }
}
