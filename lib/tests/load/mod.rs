//! A load generator for the queue of a stage: simulates arrivals, endpoints and calls in virtual time, from a seed.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]
#![allow(dead_code, reason = "each test file uses a part of the generator")]

use {
    hazelyoke_lib::{
        gateway::{
            directory::endpoint_entry::EndpointEntry,
            rules::{
                backlog::{Backlog, DeadlineBucket},
                eligibility::AllowedDataCentres,
                piece_order::RankOrder,
                retry_budget::{BudgetLimits, WindowBudget},
            },
            stages::{
                batch_call::{BatchCall, CallEnd, CallId},
                batch_queue::{BatchQueue, EndedJob},
                job::{CustomerHash, JobEnd, JobId, PieceEnd, PieceInput, ResultHandle, StageJob},
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

/// Requests of one route and customer.
#[derive(Debug, Clone)]
pub struct Source {
    /// Jobs per second.
    pub rate: f64,
    /// Number of pieces of a job.
    pub pieces: u32,
    pub rank: u32,
    pub customer: Option<&'static str>,
    /// Time from the arrival of a job to its objective.
    pub objective: Millis,
    /// Time from the arrival of a job to its deadline.
    pub deadline: Millis,
    /// Size of a result, the kind of the pieces.
    pub result: ByteSize,
    /// Time that a piece takes, as a multiple of the table's.
    pub cost: f64,
}

/// A load from several sources.
#[derive(Debug, Clone)]
pub struct Mix {
    /// The service; `rate` and `pieces` of the pattern are those of its sources.
    pub service: Pattern,
    pub sources: Vec<Source>,
    /// Set if the service is tight.
    pub tight: bool,
    /// Set if jobs that would end after their objective are refused.
    pub admission: bool,
}

impl Mix {
    /// Returns the number of pieces per second that full calls of pieces with the table's cost complete.
    pub fn capacity(&self) -> f64 {
        let limits = &self.service.limits;
        let call_s = (limits.call_ms + limits.piece_ms * limits.pieces as f64) / 1_000.0;
        let endpoints: usize = self.service.endpoints.iter().sum();
        endpoints as f64 * limits.pieces as f64 / call_s
    }
}

/// Pieces of one source, by the end of their jobs.
#[derive(Debug, Clone, Copy, Default)]
pub struct Tally {
    pub arrived: u32,
    pub refused: u32,
    pub in_time: u32,
    pub late: u32,
    pub lost: u32,
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
    /// The pieces of each source.
    pub sources: Vec<Tally>,
    /// Number of calls that were kept short.
    pub shortened: usize,
    /// Expected and true time of each call (milliseconds).
    pub call_times: Vec<(f64, f64)>,
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
    Arrival(usize),
    CallEnd(u64),
    /// The coordinator schedules without another event, unless it has scheduled since this was set.
    Reschedule(u64),
}

/// A simulation of a pattern.
struct Run {
    pattern: Pattern,
    mix: Mix,
    queue: BatchQueue,
    draws: Draws,
    /// Draws of the times of calls in a mix, so that arrivals don't depend on the calls; `None` for a single pattern.
    jitter: Option<Draws>,
    events: BTreeSet<(Time, Event)>,
    calls: BTreeMap<u64, BatchCall>,
    arrived: BTreeMap<JobId, Arrived>,
    schedulings: u64,
    outcome: Outcome,
}

/// A job that has arrived and not ended.
#[derive(Debug, Clone, Copy)]
struct Arrived {
    at: Time,
    source: usize,
    /// Number of pieces that no call has taken yet.
    waiting: u32,
}

/// Share of the capacity that the estimate of the admission counts on.
const THROUGHPUT_SHARE: f64 = 0.85;

/// Start, late enough for the retry budget's slack to be available.
pub const START: Time = Time(20_000_000);

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
        version: None,
        revision: 1.into(),
    })
}

/// Returns the queue of a service without jobs.
pub fn queue_of(pattern: &Pattern) -> BatchQueue {
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
    queue
}

/// Returns a job of a source that arrives now, without a preferred data centre.
pub fn source_job(now: Time, request: &str, source: &Source) -> StageJob {
    let hash = |name: &str| CustomerHash::of(Some(&name.parse().unwrap()));
    StageJob {
        digest: None,
        customer: source.customer.map(hash),
        request: request.into(),
        stage: 0,
        pieces: source.pieces,
        input: PieceInput::Key("k".into()),
        deadline: now + source.deadline,
        objective: now + source.objective,
        rank: source.rank,
        result: source.result,
        preferred: None,
        allowed: AllowedDataCentres::Anywhere,
        crossing_size: ByteSize(1_000_000),
    }
}

/// Simulates a pattern.
pub fn play(pattern: Pattern, seed: u64) -> Outcome {
    let source = Source {
        rate: pattern.rate,
        pieces: pattern.pieces,
        rank: 0,
        customer: None,
        objective: Millis(600),
        deadline: Millis(12_000),
        result: ByteSize(1_000),
        cost: 1.0,
    };
    let mix = Mix {
        service: pattern,
        sources: vec![source],
        tight: false,
        admission: false,
    };
    run_mix(mix, seed, None)
}

/// Simulates the load of several sources.
pub fn play_mix(mix: Mix, seed: u64) -> Outcome {
    run_mix(mix, seed, Some(Draws::new(seed + 1_000)))
}

fn run_mix(mix: Mix, seed: u64, jitter: Option<Draws>) -> Outcome {
    let pattern = mix.service.clone();
    let mut queue = queue_of(&pattern);
    queue.set_tight(mix.tight);
    let sources = mix.sources.len();
    let mut run = Run {
        pattern,
        mix,
        queue,
        draws: Draws::new(seed),
        jitter,
        events: (0..sources)
            .map(|source| (START, Event::Arrival(source)))
            .collect(),
        calls: BTreeMap::new(),
        arrived: BTreeMap::new(),
        schedulings: 0,
        outcome: Outcome {
            times: Vec::new(),
            fills: Vec::new(),
            lost: 0,
            sources: vec![Tally::default(); sources],
            shortened: 0,
            call_times: Vec::new(),
        },
    };
    while let Some((now, event)) = run.events.pop_first() {
        run.step(now, event);
    }
    run.outcome.lost += run.arrived.len();
    run.outcome.times.sort_by(f64::total_cmp);
    run.outcome
}

fn fraction(draws: &mut Draws) -> f64 {
    (draws.below(1_000_000) as f64 + 1.0) / 1_000_001.0
}

impl Run {
    fn step(&mut self, now: Time, event: Event) {
        match event {
            Event::Arrival(source) => self.arrive(now, source),
            Event::CallEnd(id) => self.end_call(now, id),
            Event::Reschedule(scheduling) if scheduling != self.schedulings => return,
            Event::Reschedule(_) => {}
        }
        self.plan(now);
    }

    fn fraction(&mut self) -> f64 {
        fraction(&mut self.draws)
    }

    /// Returns the factor by which a call takes longer or shorter than expected.
    fn jitter(&mut self) -> f64 {
        let drawn = fraction(self.jitter.as_mut().unwrap_or(&mut self.draws));
        1.0 + (drawn * 2.0 - 1.0) * self.pattern.jitter
    }

    fn arrive(&mut self, now: Time, index: usize) {
        let source = self.mix.sources[index].clone();
        let id = JobId(self.outcome.times.len() as u64 + self.draws.below(u64::MAX / 2));
        let centre = self.draws.below(self.pattern.endpoints.len() as u64);
        let job = StageJob {
            preferred: Some(format!("dc{centre}").parse().unwrap()),
            ..source_job(now, &id.0.to_string(), &source)
        };
        self.outcome.sources[index].arrived += source.pieces;
        if self.mix.admission && !self.is_admitted(now, &source) {
            self.outcome.sources[index].refused += source.pieces;
        } else {
            self.queue.add(now, id, job);
            self.arrived.insert(
                id,
                Arrived {
                    at: now,
                    source: index,
                    waiting: source.pieces,
                },
            );
        }
        let gap_s = -self.fraction().ln() / source.rate;
        let next = Time(now.0 + (gap_s * 1e6) as u64);
        if next < START + Millis(self.pattern.seconds * 1_000) {
            self.events.insert((next, Event::Arrival(index)));
        }
    }

    /// Returns whether a job can end by its objective behind the pieces that go ahead of it.
    fn is_admitted(&self, now: Time, source: &Source) -> bool {
        let order = RankOrder::of_service(self.mix.tight);
        let bucket = |at: Time, source: &Source| {
            DeadlineBucket::of_job(now, order, at + source.objective, source.rank)
        };
        let mut backlog = Backlog::default();
        for arrived in self.arrived.values() {
            let other = &self.mix.sources[arrived.source];
            backlog.add(bucket(arrived.at, other), arrived.waiting);
        }
        let ahead = f64::from(backlog.ahead(bucket(now, source)));
        let wait_ms = ahead / (self.mix.capacity() * THROUGHPUT_SHARE) * 1_000.0;
        let limits = &self.pattern.limits;
        let call_ms = limits.call_ms + limits.piece_ms * limits.pieces as f64;
        wait_ms + call_ms <= source.objective.0 as f64
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
            self.end_job(now, ended);
        }
    }

    fn end_job(&mut self, now: Time, ended: EndedJob) {
        let arrived = self.arrived.remove(&ended.id).unwrap();
        let source = &self.mix.sources[arrived.source];
        let tally = &mut self.outcome.sources[arrived.source];
        match ended.end {
            JobEnd::Completed(handles) => {
                self.queue.released(&handles);
                self.outcome.times.push(now.millis_since(arrived.at));
                if now <= arrived.at + source.objective {
                    tally.in_time += source.pieces;
                } else {
                    tally.late += source.pieces;
                }
            }
            _ => {
                self.outcome.lost += 1;
                tally.lost += source.pieces;
            }
        }
    }

    /// Returns the time that a call takes as expected of its pieces, without jitter.
    fn true_time(&mut self, call: &BatchCall) -> f64 {
        let mut costs = 0.0;
        for piece in &call.pieces {
            let id = JobId(piece.request.parse().unwrap());
            // A retried piece may belong to a job that has ended.
            let Some(arrived) = self.arrived.get_mut(&id) else {
                continue;
            };
            arrived.waiting = arrived.waiting.saturating_sub(1);
            costs += self.mix.sources[arrived.source].cost;
        }
        let limits = &self.pattern.limits;
        limits.call_ms + limits.piece_ms * costs
    }

    fn plan(&mut self, now: Time) {
        self.schedulings += 1;
        let calls = self.queue.schedule(now);
        for ended in self.queue.take_ended() {
            self.end_job(now, ended);
        }
        for call in calls {
            self.outcome.fills.push(call.pieces.len());
            let took = self.true_time(&call) * self.jitter();
            self.outcome.call_times.push((call.expected.0, took));
            self.outcome.shortened += usize::from(call.shortened.is_some());
            let ends = now + WorkMillis(took);
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
