//! Drives the real core in virtual time, with endpoints that behave as a source of choices says.
//!
//! There is no model of a network: the end of each attempt is drawn when it is sent. This module owns the clock and the
//! queue of planned events; `observer` records what ran at the endpoints and compares it with what callers received,
//! and `calls` draws how calls end.

mod calls;
mod observer;

pub use observer::{Findings, Reported};

use {
    crate::expect::Step,
    arbtest::arbitrary::{Result, Unstructured},
    bytes::Bytes,
    hazelyoke_lib::{
        pipeline::decision::{
            core::{Action, Core, CoreConfig, Event},
            endpoint::{AttemptEnd, LoadReport},
            request::{Arrival, Target},
        },
        settings::tree::{ServiceKind, Tree},
        shared::{
            ids::{AttemptId, RequestId},
            units::{Millis, Time, WorkMillis},
        },
    },
    observer::Observer,
    std::{
        cmp::Reverse,
        collections::{BTreeMap, BinaryHeap},
        sync::Arc,
    },
};

/// Number of tokens of each generation in a run.
pub const TOKENS: u32 = 4;

/// Longest service time that is drawn, in microseconds.
const MAX_SERVICE: u64 = 400_000;

/// Longest time between two arrivals, in microseconds.
const MAX_GAP: u64 = 50_000;

/// Seed of the core's random number generator.
const CORE_SEED: u64 = 7;

/// Backlogs of load reports, in milliseconds: plausible ones and ones that no endpoint should send.
const BACKLOGS: [f64; 6] = [0.0, 50.0, 1e5, -1.0, f64::NAN, 1e300];

/// Options of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RunOptions {
    /// Number of requests that arrive.
    pub requests: u32,
    /// Whether endpoints and callers misbehave.
    pub faults: bool,
    /// Whether endpoints run calls that they report as not run, which the observer has to find.
    pub lying: bool,
}

/// Time and number of the next event.
struct NextDue {
    at: Time,
    /// Number of the planned event; `None` for the core's own timer.
    planned: Option<u64>,
}

/// A planned event.
#[derive(Debug, Clone)]
enum Due {
    Arrive(u32),
    Leave(RequestId),
    Token(AttemptId, u32, String),
    End(AttemptId, AttemptEnd),
    Load(usize),
    Adopt(Arc<Tree>),
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
    planned: u64,
    targets: Vec<String>,
    observer: Observer,
}

impl<'u, 'd> CoreRun<'u, 'd> {
    /// Prepares a run over `tree`.
    pub fn new(tree: Arc<Tree>, options: RunOptions, choices: &'u mut Unstructured<'d>) -> Self {
        let config = CoreConfig {
            data_centre: tree.data_centres[0].clone(),
            hop: Millis(1),
            seed: CORE_SEED,
        };
        let steps = steps(&tree);
        let mut run = Self {
            choices,
            options,
            core: Core::new(config),
            tree: tree.clone(),
            now: Time(1),
            queue: BinaryHeap::new(),
            due: BTreeMap::new(),
            planned: 0,
            targets: steps.keys().cloned().collect(),
            observer: Observer::new(steps, options.requests as usize),
        };
        let actions = run.step(Event::Adopt(tree));
        debug_assert!(actions.is_empty(), "no request has arrived yet");
        run
    }

    /// Runs until all requests have ended and no event is due.
    ///
    /// # Errors
    ///
    /// Returns an error if the source of choices is exhausted, which isn't a violation.
    pub fn run(mut self) -> Result<Findings> {
        let mut at = self.now;
        for number in 0..self.options.requests {
            at.0 += self.choices.int_in_range(0..=MAX_GAP)?;
            self.plan(at, Due::Arrive(number));
        }
        if self.options.faults {
            self.plan_disturbances(at)?;
        }
        while let Some(next) = self.next_due() {
            self.now = next.at;
            match next.planned.and_then(|number| self.due.remove(&number)) {
                Some(due) => self.handle(due)?,
                None => self.perform(Event::Tick)?,
            }
        }
        Ok(self.observer.finish(&self.core))
    }

    fn plan(&mut self, at: Time, due: Due) {
        self.planned += 1;
        self.queue.push(Reverse((at, self.planned)));
        self.due.insert(self.planned, due);
    }

    /// Plans load reports of any content, and settings trees that arrive while requests run.
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

    /// Returns the run's settings tree with a later version and without some of the endpoints.
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

    /// Returns the next event: a planned one, or the core's own timer if it is due earlier.
    fn next_due(&mut self) -> Option<NextDue> {
        let planned = self.queue.peek().map(|Reverse((at, _))| *at);
        let timer = self.core.next_timer();
        if let Some(timer) = timer
            && planned.is_none_or(|planned| timer < planned)
        {
            return Some(NextDue {
                at: timer,
                planned: None,
            });
        }
        let Reverse((at, number)) = self.queue.pop()?;
        Some(NextDue {
            at,
            planned: Some(number),
        })
    }

    fn handle(&mut self, due: Due) -> Result<()> {
        match due {
            Due::Arrive(number) => self.arrive(number),
            Due::Leave(request) => {
                if self.observer.is_finished(request) {
                    return Ok(());
                }
                self.observer.left(request);
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
        self.observer.arrived(id, number);
        let stream = self.options.faults
            && self.observer.ends_with_engine(&target)
            && self.choices.arbitrary()?;
        if self.options.faults && self.choices.ratio(1, 8)? {
            let at = Time(self.now.0 + self.choices.int_in_range(0..=MAX_SERVICE * 4)?);
            self.plan(at, Due::Leave(id));
        }
        let customer = self.tree.customers.keys().next().expect("a customer");
        let arrival = Arrival {
            id,
            customer: customer.clone(),
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
            backlog: WorkMillis(*self.choices.choose(&BACKLOGS)?),
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
                Action::Cancel(attempt) => self.observer.cancelled(attempt),
                Action::Token { request, index, .. } => self.observer.token(request, index),
                Action::Finish { request, result } => self.observer.finished(request, result),
            }
        }
        Ok(())
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
