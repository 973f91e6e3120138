//! Pins whole runs of the pipeline daemon's core on drawn events, as a hash of all actions and their counts by kind.
//!
//! If a figure here changes, the behaviour that callers and endpoints see has changed.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use {
    bytes::Bytes,
    hazelyoke_lib::{
        pipeline::decision::{
            core::{Action, Core, CoreConfig, Event},
            endpoint::{
                AttemptEnd, EndpointCall, EndpointReply, FailCause, LoadReport, NotRunCause,
                Prefill,
            },
            prefix::{CacheEvent, Prefix},
            request::{Arrival, Target},
        },
        settings::{
            raw_tree::RawTree,
            tree::{ServiceKind, Tree},
            values::Priority,
        },
        shared::{
            ids::RequestId,
            units::{Millis, Time, WorkMillis},
        },
    },
    hazelyoke_testutils::one_value::OneValue,
    std::{collections::BTreeMap, fmt::Write, sync::Arc},
};

/// Number of tokens of each generation.
const TOKENS: u32 = 4;

/// Random numbers from a seed, the same on every platform.
struct Dice(u64);

impl Dice {
    fn below(&mut self, end: u64) -> u64 {
        self.0 = self
            .0
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) % end
    }

    fn one_in(&mut self, count: u64) -> bool {
        self.below(count) == 0
    }
}

/// Hash of all actions of a run, and their counts by kind.
#[derive(Default)]
struct Record {
    hash: u64,
    counts: BTreeMap<String, u32>,
}

impl Record {
    fn add(&mut self, kind: String, rest: &str) {
        for byte in kind.bytes().chain(rest.bytes()) {
            self.hash = (self.hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
        }
        *self.counts.entry(kind).or_default() += 1;
    }

    fn text(&self) -> String {
        let mut text = format!("{:016x}", self.hash);
        for (kind, count) in &self.counts {
            write!(text, " {kind}={count}").unwrap();
        }
        text
    }
}

fn tree(policy: &str) -> Tree {
    let mut port = 0;
    let mut service = |name: &str, kind: &str, settings: &str| {
        let endpoints: Vec<_> = (0..5)
            .map(|i| {
                port += 1;
                let centre = ["a", "b"][i % 2];
                format!(
                    r#""{name}-{i}": {{ "address": "10.0.0.1:{port}", "data_centre": "{centre}" }}"#
                )
            })
            .collect();
        let endpoints = endpoints.join(", ");
        format!(
            r#""{name}": {{ {kind}, "settings": {{ {settings} }}, "endpoints": {{ {endpoints} }} }}"#
        )
    };
    let plain = r#""kind": "plain""#;
    let services = [
        service("enc", plain, r#""hedge_after": "10ms""#),
        service("rank", plain, r#""retry_budget": "50%""#),
        service("pay", plain, r#""repeatable": false, "guard": "endpoint""#),
        service(
            "llm",
            r#""kind": "engine", "model": "m""#,
            r#""hedge_after": "5ms""#,
        ),
    ]
    .join(",\n");
    let text = format!(
        r#"{{
  "version": 1, "name": "top", "data_centres": ["a", "b"],
  "settings": {{ "policy": "{policy}", "max_tokens": {TOKENS}, "slots": 2, "deadline": "900ms" }},
  "services": {{ {services} }},
  "customers": {{
    "usual": {{}}, "large": {{}},
    "tight": {{ "settings": {{ "rate": "40/s", "concurrency": 3 }} }}
  }},
  "pipelines": {{
    "ask": {{ "settings": {{ "priority": "high" }}, "stages": [
      {{ "name": "encode", "service": "enc" }}, {{ "name": "rerank", "service": "rank" }},
      {{ "name": "generate", "service": "llm" }} ] }},
    "pay": {{ "stages": [
      {{ "name": "encode", "service": "enc" }}, {{ "name": "guarded", "service": "pay" }},
      {{ "name": "rerank", "service": "rank" }} ] }},
    "note": {{ "settings": {{ "priority": "low" }}, "stages": [
      {{ "name": "generate", "service": "llm" }}, {{ "name": "encode", "service": "enc" }} ] }}
  }}
}}"#
    );
    Tree::try_from(RawTree::read(&OneValue::from(text), "root").unwrap()).unwrap()
}

/// A run of one core on drawn events.
struct Run {
    dice: Dice,
    core: Core,
    tree: Tree,
    now: Time,
    open: Vec<EndpointCall>,
    asked: Vec<RequestId>,
    record: Record,
}

impl Run {
    fn new(policy: &str, seed: u64) -> Self {
        let tree = tree(policy);
        let mut run = Self {
            dice: Dice(seed),
            core: Core::new(CoreConfig {
                data_centre: "a".parse().unwrap(),
                hop: Millis(3),
                seed,
            }),
            tree,
            now: Time(1),
            open: Vec::new(),
            asked: Vec::new(),
            record: Record::default(),
        };
        let tree = Arc::new(run.tree.clone());
        run.step(Event::Adopt(tree));
        run
    }

    fn steps(mut self, count: u32) -> String {
        for _ in 0..count {
            self.now.0 += self.dice.below(4_000);
            if self.core.next_timer().is_some_and(|due| due <= self.now) {
                self.step(Event::Tick);
            }
            match self.dice.below(100) {
                0..30 => self.arrive(),
                30..80 => self.end(),
                80..94 => self.load(),
                94..97 => self.cache(),
                97 => self.adopt(),
                _ => self.leave(),
            }
        }
        let counters = self.core.counters();
        let rest = format!(
            "{} {} {} {}",
            counters.answered, counters.late, counters.attempts, counters.extra
        );
        let ejections = counters.ejections;
        self.record.add(format!("ejected-{ejections}"), &rest);
        let costs: Vec<_> = self.core.costs().stages().collect();
        for (pipeline, stage, cost) in costs {
            let (useful, wasted) = (cost.useful.0.to_bits(), cost.wasted.0.to_bits());
            let rest = format!("{pipeline} {stage} {useful} {wasted}");
            self.record.add("cost".into(), &rest);
        }
        self.record.text()
    }

    fn step(&mut self, event: Event) {
        for action in self.core.step(self.now, event) {
            self.act(action);
        }
    }

    fn act(&mut self, action: Action) {
        match action {
            Action::Send(call) => {
                let rest = format!(
                    "{} {} {} {} {} {:?} {}",
                    call.ids.request,
                    call.ids.stage,
                    call.ids.attempt,
                    call.endpoint,
                    call.remaining,
                    call.priority,
                    call.resume.text
                );
                self.record.add("send".into(), &rest);
                self.open.push(*call);
            }
            Action::Cancel(attempt) => {
                self.open.retain(|call| call.ids.attempt != attempt);
                self.record.add("cancel".into(), &attempt.to_string());
            }
            Action::Token { request, index, .. } => {
                let rest = format!("{request} {index}");
                self.record.add("token".into(), &rest);
            }
            Action::Finish { request, result } => match result {
                Ok(answer) => {
                    let rest = format!("{request} {} {}", answer.status, answer.tokens);
                    self.record.add("answer".into(), &rest);
                }
                Err(problem) => {
                    let (code, outcome) = (problem.code, problem.outcome);
                    let rest = format!("{request} {} {:?}", problem.detail, problem.retry_after);
                    self.record.add(format!("{code}/{outcome}"), &rest);
                }
            },
        }
    }

    fn arrive(&mut self) {
        let id = RequestId::from_random(self.asked.len() as u128 + 1);
        self.asked.push(id);
        let customer = ["usual", "large", "large", "large", "tight"][self.dice.below(5) as usize];
        let target = match self.dice.below(8) {
            0..3 => Target::Pipeline("ask".parse().unwrap()),
            3..5 => Target::Pipeline("pay".parse().unwrap()),
            5 => Target::Pipeline("note".parse().unwrap()),
            6 => Target::Service("rank".parse().unwrap()),
            _ => Target::Service("gone".parse().unwrap()),
        };
        let first = b"xyz"[self.dice.below(3) as usize];
        let mut body = vec![first; 512 * self.dice.below(6) as usize];
        body.extend_from_slice(self.asked.len().to_string().as_bytes());
        let remaining = self.dice.one_in(3).then(|| Millis(self.dice.below(1_200)));
        let priority = self.dice.one_in(4).then_some(Priority::Low);
        let key = (!self.dice.one_in(10)).then(|| "key".parse().unwrap());
        let arrival = Arrival {
            id,
            customer: customer.parse().unwrap(),
            target,
            remaining,
            priority,
            key,
            stream: self.dice.one_in(2),
            body: Bytes::from(body),
            trace_parent: None,
        };
        self.step(Event::Arrived(arrival));
    }

    fn end(&mut self) {
        if self.open.is_empty() {
            return;
        }
        let index = self.dice.below(self.open.len() as u64) as usize;
        let call = self.open.swap_remove(index);
        let attempt = call.ids.attempt;
        // One endpoint of each service fails far more often than the others.
        let weak = call.endpoint.as_str().ends_with("-1");
        let end = match self.dice.below(if weak { 14 } else { 60 }) {
            0 => AttemptEnd::NotRun(NotRunCause::Unreachable),
            1 => AttemptEnd::NotRun(NotRunCause::Busy),
            2 => AttemptEnd::NotRun(NotRunCause::Leaving),
            3 => AttemptEnd::Failed(FailCause::Timeout),
            4..8 => AttemptEnd::Failed(FailCause::ServerError),
            _ if matches!(call.kind, ServiceKind::Engine { .. }) => return self.generate(&call),
            kind => AttemptEnd::Answered(EndpointReply {
                status: if kind == 8 { 422 } else { 200 },
                body: call.input.clone(),
                served: (kind % 2 == 0).then(|| WorkMillis(self.dice.below(20) as f64)),
            }),
        };
        self.step(Event::Ended { attempt, end });
    }

    fn generate(&mut self, call: &EndpointCall) {
        let attempt = call.ids.attempt;
        let broken = self.dice.one_in(5);
        for index in call.resume.tokens..TOKENS {
            if broken && index == 2 && self.dice.one_in(2) {
                continue;
            }
            let text = format!("t{index} ");
            self.step(Event::Token {
                attempt,
                index,
                text,
            });
            if broken && index == 2 {
                let end = AttemptEnd::Failed(FailCause::Broken);
                return self.step(Event::Ended { attempt, end });
            }
        }
        let end = AttemptEnd::StreamEnded {
            tokens: TOKENS,
            served: Some(WorkMillis(self.dice.below(30) as f64)),
            prefill: self.dice.one_in(2).then(|| Prefill {
                spent: WorkMillis(self.dice.below(10) as f64),
                cached_bytes: 512 * self.dice.below(3),
            }),
        };
        self.step(Event::Ended { attempt, end });
    }

    fn load(&mut self) {
        let services: Vec<_> = self.tree.services.values().collect();
        let service = services[self.dice.below(services.len() as u64) as usize];
        let spec = &service.endpoints[self.dice.below(service.endpoints.len() as u64) as usize];
        let endpoint = spec.id.clone();
        let backlogs = [0.0, 20.0, 200.0, 900.0, 1e6, f64::NAN];
        let report = LoadReport {
            backlog: WorkMillis(backlogs[self.dice.below(6) as usize]),
            running: self.dice.below(6) as u32,
            slots: self.dice.below(6) as u32,
            age: Millis(self.dice.below(2_500)),
            leaving: self.dice.one_in(10),
        };
        self.step(Event::Load { endpoint, report });
    }

    fn cache(&mut self) {
        let first = b"xyz"[self.dice.below(3) as usize];
        let prefix = Prefix::of(&vec![first; 2_048]);
        let held = self.dice.one_in(2);
        let events = prefix
            .blocks()
            .iter()
            .map(|block| CacheEvent {
                block: *block,
                held,
            })
            .collect();
        let endpoint = format!("llm-{}", self.dice.below(5)).parse().unwrap();
        self.step(Event::Cache { endpoint, events });
    }

    fn adopt(&mut self) {
        self.tree.version.0 += 1;
        let mut tree = self.tree.clone();
        for service in tree.services.values_mut() {
            if self.dice.one_in(3) {
                let index = self.dice.below(5) as usize;
                Arc::make_mut(service).endpoints.remove(index);
            }
        }
        self.step(Event::Adopt(Arc::new(tree)));
    }

    fn leave(&mut self) {
        let recent = self.asked.len().min(20) as u64;
        if recent > 0 {
            let back = self.dice.below(recent) as usize;
            let id = self.asked[self.asked.len() - 1 - back];
            self.step(Event::Left(id));
        }
    }
}

#[test]
fn estimated_run() {
    let found: Vec<_> = (1..=3)
        .map(|seed| Run::new("estimated", seed).steps(20_000))
        .collect();
    assert_eq!(
        found,
        [
            "300b0b77ea0d95aa answer=2308 bad_request/not_run=1412 cancel=561 cost=9 \
         deadline_exceeded/unknown=26 ejected-166=1 key_missing/not_run=153 no_endpoint/not_run=16 \
         no_endpoint/unknown=69 no_time/not_run=138 no_time/unknown=11 over_limit/not_run=125 \
         send=9724 stage_failed/unknown=786 stage_rejected/unknown=136 token=2923 \
         unknown_service/not_run=799",
            "9eb25b13a606292a answer=2224 bad_request/not_run=1448 cancel=473 cost=9 \
         deadline_exceeded/unknown=15 ejected-181=1 key_missing/not_run=152 no_endpoint/not_run=52 \
         no_endpoint/unknown=128 no_time/not_run=130 no_time/unknown=9 over_limit/not_run=76 \
         send=9195 stage_failed/unknown=758 stage_rejected/unknown=129 token=2646 \
         unknown_service/not_run=755",
            "a8828a22fd362b00 answer=2287 bad_request/not_run=1405 cancel=525 cost=9 \
         deadline_exceeded/unknown=17 ejected-177=1 key_missing/not_run=130 no_endpoint/not_run=62 \
         no_endpoint/unknown=45 no_time/not_run=109 no_time/unknown=15 over_limit/not_run=124 \
         send=9353 stage_failed/unknown=769 stage_rejected/unknown=131 token=2964 \
         unknown_service/not_run=795"
        ]
    );
}

#[test]
fn naive_run() {
    let found: Vec<_> = (1..=2)
        .map(|seed| Run::new("naive", seed).steps(20_000))
        .collect();
    assert_eq!(
        found,
        [
            "51b60f8a6af1d018 answer=2474 bad_request/not_run=1385 cancel=2455 cost=9 \
         deadline_exceeded/unknown=344 ejected-0=1 key_missing/not_run=173 no_endpoint/not_run=21 \
         no_endpoint/unknown=25 over_limit/not_run=346 send=12217 stage_failed/unknown=162 \
         stage_rejected/unknown=152 token=3170 unknown_service/not_run=786",
            "6c88626ca7455802 answer=2408 bad_request/not_run=1447 cancel=2342 cost=9 \
         deadline_exceeded/unknown=334 ejected-0=1 key_missing/not_run=152 no_endpoint/not_run=13 \
         no_endpoint/unknown=52 over_limit/not_run=364 send=12019 stage_failed/unknown=149 \
         stage_rejected/unknown=167 token=2820 unknown_service/not_run=756"
        ]
    );
}
