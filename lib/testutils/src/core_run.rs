//! Drives the real core in virtual time, with endpoints that do whatever a source of choices says.
//!
//! Not a model of a network: each attempt's fate is drawn when it is sent. The observer keeps what
//! ran at the endpoints and compares it with what callers were told.

use {
    crate::expect::{self, Step},
    arbtest::arbitrary::{Result, Unstructured},
    bytes::Bytes,
    hazelyoke_lib::{
        pipeline::decision::{
            core::{Action, Core, CoreConfig, Event},
            endpoint::{
                AttemptEnd, EndpointCall, EndpointReply, FailCause, LoadReport, NotRunCause,
            },
            request::{Arrival, Target},
        },
        settings::tree::{ServiceKind, Tree},
        shared::{
            ids::{AttemptId, RequestId},
            problem::Outcome,
            units::{Millis, Time, WorkMillis},
        },
    },
    std::{
        cmp::Reverse,
        collections::{BTreeMap, BTreeSet, BinaryHeap},
        sync::Arc,
    },
};

/// Tokens of every generation in a run.
pub const TOKENS: u32 = 4;

/// Longest service time that is drawn, in microseconds.
const MAX_SERVICE: u64 = 400_000;

/// Longest time between two arrivals, in microseconds.
const MAX_GAP: u64 = 50_000;

/// How a run is set up.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RunOptions {
    /// Requests that arrive.
    pub requests: u32,
    /// Whether endpoints and callers misbehave.
    pub faults: bool,
    /// Whether endpoints lie about what they didn't run: the observer has to notice.
    pub lying: bool,
}

/// What a caller was told in the end.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Told {
    /// The right answer.
    Answered,
    /// Another answer.
    Wrong,
    /// A problem.
    Problem(Outcome),
}

/// What came out of a run.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Findings {
    /// What each request's caller was told, in order of arrival; none if the caller had left.
    pub told: Vec<Option<Told>>,
    /// Broken promises, in words.
    pub broken: Vec<String>,
}

/// One thing that is due.
#[derive(Debug, Clone)]
enum Due {
    Arrive(u32),
    Leave(RequestId),
    Token(AttemptId, u32, String),
    End(AttemptId, AttemptEnd),
    Load(usize),
    Adopt(Arc<Tree>),
}

struct Pending {
    call: EndpointCall,
    ran: bool,
}

/// A run in progress.
pub struct CoreRun<'u, 'd> {
    choices: &'u mut Unstructured<'d>,
    options: RunOptions,
    core: Core,
    tree: Arc<Tree>,
    now: Time,
    queue: BinaryHeap<Reverse<(Time, u64)>>,
    due: BTreeMap<u64, Due>,
    last: u64,
    calls: BTreeMap<AttemptId, Pending>,
    requests: BTreeMap<RequestId, u32>,
    steps: BTreeMap<String, Vec<Step>>,
    targets: Vec<String>,
    streamed: BTreeMap<RequestId, u32>,
    finished: BTreeSet<RequestId>,
    left: BTreeSet<RequestId>,
    ran: BTreeSet<RequestId>,
    guarded: BTreeMap<(RequestId, String), u32>,
    findings: Findings,
}

impl<'u, 'd> CoreRun<'u, 'd> {
    /// Prepares a run over `tree`.
    pub fn new(tree: Arc<Tree>, options: RunOptions, choices: &'u mut Unstructured<'d>) -> Self {
        let config = CoreConfig {
            data_centre: tree.data_centres[0].clone(),
            hop: Millis(1),
            seed: 7,
        };
        let steps = steps(&tree);
        let mut run = Self {
            choices,
            options,
            core: Core::new(config),
            now: Time(1),
            queue: BinaryHeap::new(),
            due: BTreeMap::new(),
            last: 0,
            calls: BTreeMap::new(),
            requests: BTreeMap::new(),
            targets: steps.keys().cloned().collect(),
            steps,
            streamed: BTreeMap::new(),
            finished: BTreeSet::new(),
            left: BTreeSet::new(),
            ran: BTreeSet::new(),
            guarded: BTreeMap::new(),
            findings: Findings {
                told: vec![None; options.requests as usize],
                broken: Vec::new(),
            },
            tree,
        };
        let tree = run.tree.clone();
        run.step(Event::Adopt(tree));
        run
    }

    /// Runs to the end.
    ///
    /// # Errors
    ///
    /// Returns an error when the source of choices is spent, which is no finding.
    pub fn run(mut self) -> Result<Findings> {
        let mut at = self.now;
        for number in 0..self.options.requests {
            at.0 += self.choices.int_in_range(0..=MAX_GAP)?;
            self.plan(at, Due::Arrive(number));
        }
        if self.options.faults {
            self.plan_disturbances(at)?;
        }
        while let Some(Reverse((at, id))) = self.next_due() {
            self.now = at;
            match id.and_then(|id| self.due.remove(&id)) {
                Some(due) => self.happen(due)?,
                None => self.perform(Event::Tick)?,
            }
        }
        self.check_end();
        Ok(self.findings)
    }

    fn plan(&mut self, at: Time, due: Due) {
        self.last += 1;
        self.queue.push(Reverse((at, self.last)));
        self.due.insert(self.last, due);
    }

    /// Load reports of any content, and trees that come in while requests run.
    fn plan_disturbances(&mut self, end: Time) -> Result<()> {
        for _ in 0..self.choices.int_in_range(0..=20)? {
            let at = Time(self.choices.int_in_range(0..=end.0)?);
            let index = self.choices.int_in_range(0..=20)?;
            self.plan(at, Due::Load(index));
        }
        for _ in 0..self.choices.int_in_range(0..=3)? {
            let at = Time(self.choices.int_in_range(0..=end.0)?);
            let tree = self.changed_tree()?;
            self.plan(at, Due::Adopt(Arc::new(tree)));
        }
        Ok(())
    }

    /// Takes some endpoints out of the tree, or puts them in again, under a new version.
    fn changed_tree(&mut self) -> Result<Tree> {
        let mut tree = Tree::clone(&self.tree);
        tree.version.0 += self.choices.int_in_range(1..=9)?;
        for service in tree.services.values_mut() {
            if self.choices.ratio(1, 3)? && service.endpoints.len() > 1 {
                Arc::make_mut(service).endpoints.remove(0);
            }
        }
        Ok(tree)
    }

    /// Returns what comes next: something planned, or the core's own timer.
    fn next_due(&mut self) -> Option<Reverse<(Time, Option<u64>)>> {
        let planned = self.queue.peek().map(|Reverse((at, id))| (*at, *id));
        let timer = self.core.next_timer();
        match (planned, timer) {
            (Some((at, _)), Some(timer)) if timer < at => Some(Reverse((timer, None))),
            (Some((at, id)), _) => {
                self.queue.pop();
                Some(Reverse((at, Some(id))))
            }
            (None, Some(timer)) => Some(Reverse((timer, None))),
            (None, None) => None,
        }
    }

    fn happen(&mut self, due: Due) -> Result<()> {
        match due {
            Due::Arrive(number) => self.arrive(number),
            Due::Leave(request) => {
                if self.finished.contains(&request) {
                    return Ok(());
                }
                self.left.insert(request);
                self.perform(Event::Left(request))
            }
            Due::Token(attempt, index, text) => self.perform(Event::Token {
                attempt,
                index,
                text,
            }),
            Due::End(attempt, end) => self.perform(Event::Ended { attempt, end }),
            Due::Load(index) => self.load(index),
            Due::Adopt(tree) => self.perform(Event::Adopt(tree)),
        }
    }

    fn arrive(&mut self, number: u32) -> Result<()> {
        let id = RequestId::from_random(u128::from(number) + 1);
        let target = self.choices.choose(&self.targets)?.clone();
        self.requests.insert(id, number);
        let stream = self.options.faults
            && matches!(self.steps[&target].last(), Some(Step::Engine(..)))
            && self.choices.arbitrary()?;
        if self.options.faults && self.choices.ratio(1, 8)? {
            let at = Time(self.now.0 + self.choices.int_in_range(0..=MAX_SERVICE * 4)?);
            self.plan(at, Due::Leave(id));
        }
        if stream {
            self.streamed.insert(id, 0);
        }
        let arrival = Arrival {
            id,
            customer: self
                .tree
                .customers
                .keys()
                .next()
                .expect("a customer")
                .clone(),
            target: Target::Pipeline(target.parse().expect("a pipeline's name")),
            remaining: None,
            priority: None,
            key: Some(format!("key-{number}").parse().expect("a key")),
            stream,
            body: body(number, &target),
            trace_parent: None,
        };
        self.perform(Event::Arrived(arrival))
    }

    fn load(&mut self, index: usize) -> Result<()> {
        let services = self.tree.services.values();
        let mut endpoints = services.flat_map(|service| &service.endpoints);
        let Some(spec) = endpoints.nth(index) else {
            return Ok(());
        };
        let endpoint = spec.id.clone();
        let report = LoadReport {
            backlog: WorkMillis(
                *self
                    .choices
                    .choose(&[0.0, 50.0, 1e5, -1.0, f64::NAN, 1e300])?,
            ),
            running: self.choices.int_in_range(0..=100)?,
            slots: self.choices.int_in_range(0..=5_000)?,
            age: Millis(self.choices.int_in_range(0..=10_000)?),
            leaving: self.choices.ratio(1, 10)?,
        };
        self.perform(Event::Load { endpoint, report })
    }

    fn step(&mut self, event: Event) -> Vec<Action> {
        self.core.step(self.now, event)
    }

    fn perform(&mut self, event: Event) -> Result<()> {
        for action in self.step(event) {
            match action {
                Action::Send(call) => self.send(*call)?,
                Action::Cancel(attempt) => {
                    self.calls.remove(&attempt);
                }
                Action::Token { request, index, .. } => self.token(request, index),
                Action::Finish { request, result } => self.finish(request, result),
            }
        }
        Ok(())
    }

    fn token(&mut self, request: RequestId, index: u32) {
        let next = self.streamed.entry(request).or_default();
        if *next != index || self.finished.contains(&request) {
            self.findings
                .broken
                .push(format!("{request}: token {index} instead of {next}"));
        }
        *next += 1;
    }

    /// Draws what becomes of a call, and plans it.
    fn send(&mut self, call: EndpointCall) -> Result<()> {
        let request = call.ids.request;
        if self.finished.contains(&request) {
            let broken = format!("{request}: sent after its end");
            self.findings.broken.push(broken);
        }
        let attempt = call.ids.attempt;
        let at = self.now.0 + self.choices.int_in_range(1..=MAX_SERVICE)?;
        let fate = if self.options.faults {
            self.choices.int_in_range(0..=9)?
        } else {
            9
        };
        let end = match fate {
            0 => Some(AttemptEnd::NotRun(NotRunCause::Unreachable)),
            1 => Some(AttemptEnd::NotRun(NotRunCause::Busy)),
            2 => Some(AttemptEnd::NotRun(NotRunCause::Leaving)),
            3 => Some(AttemptEnd::Failed(FailCause::Broken)),
            4 => Some(AttemptEnd::Failed(FailCause::Garbage)),
            5 => None,
            _ => Some(self.good_end(&call, at)?),
        };
        let ran = !matches!(end, Some(AttemptEnd::NotRun(_))) || self.options.lying;
        if ran {
            self.record(&call);
        }
        self.calls.insert(attempt, Pending { call, ran });
        if let Some(end) = end {
            self.plan(Time(at), Due::End(attempt, end));
        }
        Ok(())
    }

    fn record(&mut self, call: &EndpointCall) {
        self.ran.insert(call.ids.request);
        let stage = call.ids.stage.to_string();
        let count = self.guarded.entry((call.ids.request, stage)).or_default();
        *count += 1;
    }

    fn good_end(&mut self, call: &EndpointCall, at: u64) -> Result<AttemptEnd> {
        let ServiceKind::Engine { model } = &call.kind else {
            let service = self.service_of(call);
            return Ok(AttemptEnd::Answered(EndpointReply {
                status: 200,
                body: expect::plain_output(&service, &call.input),
                served: Some(WorkMillis(1.0)),
            }));
        };
        let attempt = call.ids.attempt;
        for index in call.resume.tokens..TOKENS {
            let text = expect::token(model, &call.input, index);
            let when = Time(self.choices.int_in_range(self.now.0..=at)?.min(at));
            let faulty = self.options.faults;
            if faulty && self.choices.ratio(1, 20)? {
                continue;
            }
            // Without faults tokens come in order; with them, in any.
            let when = if faulty && self.choices.ratio(1, 20)? {
                when
            } else {
                Time(at)
            };
            self.plan(when, Due::Token(attempt, index, text));
        }
        Ok(AttemptEnd::StreamEnded {
            tokens: TOKENS,
            served: Some(WorkMillis(1.0)),
            prefill: None,
        })
    }

    fn service_of(&self, call: &EndpointCall) -> String {
        let services = self.tree.services.values();
        let mut owners = services.filter(|service| {
            let mut endpoints = service.endpoints.iter();
            endpoints.any(|spec| spec.id == call.endpoint)
        });
        owners.next().expect("a known endpoint").id.to_string()
    }

    fn finish(
        &mut self,
        request: RequestId,
        result: std::result::Result<
            hazelyoke_lib::pipeline::decision::request::Answer,
            hazelyoke_lib::shared::problem::Problem,
        >,
    ) {
        if !self.finished.insert(request) {
            self.findings.broken.push(format!("{request}: ended twice"));
        }
        let number = self.requests[&request];
        let told = match result {
            Ok(answer) => {
                let right = self.targets.iter().any(|target| {
                    let body = body(number, target);
                    expect::answer(&self.steps[target], &body) == answer.body
                });
                if right { Told::Answered } else { Told::Wrong }
            }
            Err(problem) => Told::Problem(problem.outcome),
        };
        if told == Told::Wrong {
            self.findings
                .broken
                .push(format!("{request}: wrong answer"));
        }
        if told == Told::Problem(Outcome::NotRun) && self.ran.contains(&request) {
            self.findings
                .broken
                .push(format!("{request}: false not_run"));
        }
        self.findings.told[number as usize] = Some(told);
    }

    fn check_end(&mut self) {
        for request in self.requests.keys() {
            if !self.finished.contains(request) && !self.left.contains(request) {
                self.findings.broken.push(format!("{request}: no end"));
            }
        }
        for ((request, stage), count) in &self.guarded {
            if stage.starts_with("guarded") && *count > 1 {
                let broken = format!("{request}: {stage} ran {count} times");
                self.findings.broken.push(broken);
            }
        }
        let pools = self.core.fleet().pools();
        let busy: u32 = pools
            .flat_map(|pool| &pool.members)
            .map(|member| member.load.in_flight())
            .sum();
        if busy > 0 || self.core.in_flight() > 0 {
            let broken = format!(
                "{busy} calls and {} requests left over",
                self.core.in_flight()
            );
            self.findings.broken.push(broken);
        }
        // Whatever is still pending ran for requests whose end has come.
        self.calls.retain(|_, pending| pending.ran);
        let forgotten = self
            .calls
            .values()
            .filter(|pending| !self.finished.contains(&pending.call.ids.request))
            .filter(|pending| !self.left.contains(&pending.call.ids.request))
            .count();
        if forgotten > 0 {
            self.findings
                .broken
                .push(format!("{forgotten} calls forgotten"));
        }
    }
}

fn body(number: u32, target: &str) -> Bytes {
    Bytes::from(format!("{{\"n\":{number},\"to\":\"{target}\"}}"))
}

fn steps(tree: &Tree) -> BTreeMap<String, Vec<Step>> {
    let pipelines = tree.pipelines.values();
    pipelines
        .map(|pipeline| {
            let steps = pipeline.stages.iter().map(|stage| {
                let service = &tree.services[&stage.service];
                match &service.kind {
                    ServiceKind::Plain => Step::Plain(service.id.as_str().into()),
                    ServiceKind::Engine { model } => Step::Engine(model.clone(), TOKENS),
                }
            });
            (pipeline.id.to_string(), steps.collect())
        })
        .collect()
}
