//! A load generator for the queue of a stage: simulates arrivals, endpoints and calls in virtual time, from a seed.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use {
    hazelyoke_lib::{
        gateway::{
            directory::endpoint_entry::EndpointEntry,
            rules::{
                eligibility::AllowedDataCentres,
                retry_budget::{BudgetLimits, WindowBudget},
            },
            stages::{
                batch_call::{BatchCall, CallEnd, CallId},
                batch_queue::BatchQueue,
                job::{JobEnd, JobId, PieceEnd, PieceInput, ResultHandle, StageJob},
            },
            table::BatchLimits,
        },
        shared::units::{ByteSize, Millis, Share, Time, WorkMillis},
    },
    hazelyoke_testutils::draws::Draws,
    std::{
        collections::{BTreeMap, BTreeSet},
        sync::Arc,
    },
};

/// A load pattern at one stage.
#[derive(Debug, Clone)]
pub struct Pattern {
    /// Limits of the service.
    pub limits: BatchLimits,
    /// Number of endpoints in each data centre.
    pub endpoints: Vec<usize>,
    /// Jobs per second, spread evenly over all data centres.
    pub rate: f64,
    /// Number of pieces of a job.
    pub pieces: u32,
    /// Time during which jobs arrive (seconds).
    pub seconds: u64,
    /// Largest fraction by which a call takes longer or shorter than expected.
    pub jitter: f64,
}

/// Results of a simulation.
#[derive(Debug, Clone)]
pub struct Outcome {
    /// Time from the arrival of each completed job to its end (milliseconds), in ascending order.
    pub times: Vec<f64>,
    /// Number of pieces of each call.
    pub fills: Vec<usize>,
    /// Number of jobs that weren't completed.
    pub lost: usize,
}

impl Outcome {
    pub fn mean(&self) -> f64 {
        self.times.iter().sum::<f64>() / self.times.len() as f64
    }

    /// Returns the time within which this fraction of the jobs ended.
    pub fn within(&self, part: f64) -> f64 {
        let place = (self.times.len() as f64 * part) as usize;
        self.times[place.min(self.times.len() - 1)]
    }

    pub fn mean_fill(&self) -> f64 {
        self.fills.iter().sum::<usize>() as f64 / self.fills.len() as f64
    }
}

/// An event of a simulation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival,
    CallEnd(u64),
    /// The coordinator schedules without another event, unless it has scheduled since this was set.
    Reschedule(u64),
}

/// A simulation of a pattern.
struct Run {
    pattern: Pattern,
    queue: BatchQueue,
    draws: Draws,
    events: BTreeSet<(Time, Event)>,
    calls: BTreeMap<u64, BatchCall>,
    arrived: BTreeMap<JobId, Time>,
    schedulings: u64,
    outcome: Outcome,
}

/// Start, late enough for the retry budget's slack to be available.
const START: Time = Time(20_000_000);

/// Time between two schedulings without another event.
const RESCHEDULE_INTERVAL: Millis = Millis(25);

fn entry(centre: usize, number: usize) -> Arc<EndpointEntry> {
    Arc::new(EndpointEntry {
        id: format!("e{centre}-{number}").parse().unwrap(),
        service: "s".parse().unwrap(),
        address: format!("10.{centre}.0.1:{}", number + 1).parse().unwrap(),
        data_centre: format!("dc{centre}").parse().unwrap(),
        slots: 1,
        draining: false,
        cold: Millis(0),
        started: None,
        revision: 1.into(),
    })
}

/// Simulates a pattern.
pub fn play(pattern: Pattern, seed: u64) -> Outcome {
    let budget = BudgetLimits {
        ratio: Share(0.2),
        slack: 1_000.0,
        window: Millis(10_000),
    };
    let mut queue = BatchQueue::new(pattern.limits, WindowBudget::new(budget, Time(0)));
    let centres = pattern.endpoints.iter().enumerate();
    let entries: Vec<_> = centres
        .flat_map(|(centre, count)| (0..*count).map(move |number| entry(centre, number)))
        .collect();
    queue.set_endpoints(&entries);
    let mut run = Run {
        pattern,
        queue,
        draws: Draws::new(seed),
        events: BTreeSet::from([(START, Event::Arrival)]),
        calls: BTreeMap::new(),
        arrived: BTreeMap::new(),
        schedulings: 0,
        outcome: Outcome {
            times: Vec::new(),
            fills: Vec::new(),
            lost: 0,
        },
    };
    while let Some((now, event)) = run.events.pop_first() {
        run.step(now, event);
    }
    run.outcome.lost += run.arrived.len();
    run.outcome.times.sort_by(f64::total_cmp);
    run.outcome
}

impl Run {
    fn step(&mut self, now: Time, event: Event) {
        match event {
            Event::Arrival => self.arrive(now),
            Event::CallEnd(id) => self.end_call(now, id),
            Event::Reschedule(scheduling) if scheduling != self.schedulings => return,
            Event::Reschedule(_) => {}
        }
        self.plan(now);
    }

    fn fraction(&mut self) -> f64 {
        (self.draws.below(1_000_000) as f64 + 1.0) / 1_000_001.0
    }

    fn arrive(&mut self, now: Time) {
        let id = JobId(self.outcome.times.len() as u64 + self.draws.below(u64::MAX / 2));
        let centre = self.draws.below(self.pattern.endpoints.len() as u64);
        let job = StageJob {
            digest: None,
            request: "r".into(),
            stage: 0,
            pieces: self.pattern.pieces,
            input: PieceInput::Key("k".into()),
            deadline: now + Millis(12_000),
            objective: now + Millis(600),
            rank: 0,
            result: ByteSize(1_000),
            preferred: Some(format!("dc{centre}").parse().unwrap()),
            allowed: AllowedDataCentres::Anywhere,
            crossing_size: ByteSize(1_000_000),
        };
        self.queue.add(now, id, job);
        self.arrived.insert(id, now);
        let gap_s = -self.fraction().ln() / self.pattern.rate;
        let next = Time(now.0 + (gap_s * 1e6) as u64);
        if next < START + Millis(self.pattern.seconds * 1_000) {
            self.events.insert((next, Event::Arrival));
        }
    }

    fn end_call(&mut self, now: Time, id: u64) {
        let call = self.calls.remove(&id).unwrap();
        let made = |piece| {
            let name = format!("{}/{}-{piece}", call.entry.address, call.id);
            PieceEnd::Completed(ResultHandle(name.into()))
        };
        let ends = (0..call.pieces.len()).map(made).collect();
        self.queue
            .call_ended(now, CallId(id), CallEnd::Answered(ends));
        for ended in self.queue.take_ended() {
            let arrived = self.arrived.remove(&ended.id).unwrap();
            match ended.end {
                JobEnd::Completed(handles) => {
                    self.queue.released(&handles);
                    self.outcome.times.push(now.millis_since(arrived));
                }
                _ => self.outcome.lost += 1,
            }
        }
    }

    fn plan(&mut self, now: Time) {
        self.schedulings += 1;
        for call in self.queue.schedule(now) {
            self.outcome.fills.push(call.pieces.len());
            let spread = (self.fraction() * 2.0 - 1.0) * self.pattern.jitter;
            let ends = now + WorkMillis(call.expected.0 * (1.0 + spread));
            self.events.insert((ends, Event::CallEnd(call.id.0)));
            self.calls.insert(call.id.0, call);
        }
        if self.queue.waiting() > 0 {
            let held = self.queue.held_until();
            let next = held.map_or(now + RESCHEDULE_INTERVAL, |held| {
                held.min(now + RESCHEDULE_INTERVAL)
            });
            self.events.insert((
                next.max(Time(now.0 + 1)),
                Event::Reschedule(self.schedulings),
            ));
        }
    }
}
