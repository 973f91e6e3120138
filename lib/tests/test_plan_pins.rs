//! Snapshot of which pieces go to which endpoint, and when, over a long random sequence of events. A change of the code
//! that isn't meant to change the schedule leaves it as it is.

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
                batch_call::{BatchCall, CallEnd},
                batch_queue::{BatchQueue, EndedJob},
                job::{JobEnd, JobId, PieceEnd, PieceInput, ResultHandle, StageJob},
            },
            table::BatchLimits,
        },
        shared::units::{ByteSize, Millis, Share, Time},
    },
    hazelyoke_testutils::draws::Draws,
    std::{fmt::Write as _, sync::Arc},
    xxhash_rust::xxh3::xxh3_64,
};

const LIMITS: BatchLimits = BatchLimits {
    slots: 1,
    pieces: 8,
    call_ms: 200.0,
    piece_ms: 10.0,
    capacity: ByteSize(600_000),
    retention: Millis(4_000),
};

/// Start of a sequence, late enough for the retry budget's slack to be available.
const START: Time = Time(20_000_000);

const CENTRES: [&str; 2] = ["north", "south"];

fn budget() -> WindowBudget {
    let limits = BudgetLimits {
        ratio: Share(0.2),
        slack: 40.0,
        window: Millis(10_000),
    };
    WindowBudget::new(limits, Time(0))
}

fn entries(count: u64) -> Vec<Arc<EndpointEntry>> {
    let entry = |number: u64| EndpointEntry {
        id: format!("e{number}").parse().unwrap(),
        service: "s".parse().unwrap(),
        address: format!("10.0.0.{}:80", number + 1).parse().unwrap(),
        data_centre: CENTRES[usize::from(number % 3 == 2)].parse().unwrap(),
        slots: 1,
        draining: false,
        cold: Millis(0),
        started: None,
        version: None,
        revision: 1.into(),
    };
    (0..count).map(|number| Arc::new(entry(number))).collect()
}

fn end_name(end: &JobEnd) -> String {
    match end {
        JobEnd::Completed(handles) => format!("{} results", handles.len()),
        JobEnd::Late => "late".into(),
        JobEnd::InputsGone => "inputs gone".into(),
        JobEnd::Failed => "failed".into(),
    }
}

/// A queue under a random sequence of events, scheduled once per tick.
struct Course {
    draws: Draws,
    queue: BatchQueue,
    now: Time,
    /// Calls in flight, with the times at which they end.
    calls: Vec<(Time, BatchCall)>,
    jobs: u64,
    lines: String,
}

impl Course {
    fn new(seed: u64, limits: BatchLimits) -> Self {
        let mut queue = BatchQueue::new(limits, budget());
        queue.set_endpoints(&entries(5));
        Self {
            draws: Draws::new(seed),
            queue,
            now: START,
            calls: Vec::new(),
            jobs: 0,
            lines: String::new(),
        }
    }

    fn run(mut self, ticks: usize) -> String {
        for _ in 0..ticks {
            self.now = self.now + Millis(20);
            self.end_calls();
            if self.draws.percent(45) {
                self.add();
            }
            self.disturb();
            self.plan();
            self.note_ends();
        }
        self.lines
    }

    fn note(&mut self, text: &str) {
        let at = self.now.since(START).as_millis();
        writeln!(self.lines, "{at} {text}").unwrap();
    }

    fn add(&mut self) {
        let id = JobId(self.jobs);
        self.jobs += 1;
        let size = *self.draws.pick(&[1_000, 20_000, 90_000]);
        let centre = self.draws.below(CENTRES.len() as u64 + 1) as usize;
        let input = if self.draws.percent(30) {
            PieceInput::Key("key".into())
        } else {
            let input = format!("10.0.0.9:80/in{}", id.0);
            PieceInput::Results(vec![ResultHandle(input.into())])
        };
        let objective = Millis(self.draws.below(1_500));
        let job = StageJob {
            digest: None,
            customer: None,
            request: format!("r{}", id.0).into(),
            stage: 1,
            pieces: 1 + self.draws.below(6) as u32,
            input,
            deadline: self.now + objective + Millis(self.draws.below(3_000)),
            objective: self.now + objective,
            rank: self.draws.below(3) as u32,
            result: ByteSize(size),
            preferred: CENTRES.get(centre).map(|name| name.parse().unwrap()),
            allowed: AllowedDataCentres::Anywhere,
            crossing_size: ByteSize(size * *self.draws.pick(&[1, 3, 20])),
        };
        self.queue.add(self.now, id, job);
    }

    /// Ends the calls that are due, in the order of their ends.
    fn end_calls(&mut self) {
        let now = self.now;
        let mut due: Vec<(Time, BatchCall)> =
            self.calls.extract_if(.., |(at, _)| *at <= now).collect();
        due.sort_by_key(|(at, call)| (*at, call.id));
        for (_, call) in due {
            let end = match self.draws.below(20) {
                0 => CallEnd::Refused,
                1 => CallEnd::Broken,
                2 => CallEnd::Replaced,
                _ => self.answer(&call),
            };
            self.queue.call_ended(now, call.id, end);
        }
    }

    fn answer(&mut self, call: &BatchCall) -> CallEnd {
        let mut ends = Vec::new();
        for task in &call.pieces {
            let name = format!("{}/{}-{}", call.entry.address, task.request, task.piece);
            let end = match self.draws.below(40) {
                0 => PieceEnd::Late,
                1 => PieceEnd::InputGone,
                2 => PieceEnd::NoCapacity,
                3 => PieceEnd::Failed,
                _ => PieceEnd::Completed(ResultHandle(format!("{name}-{}", call.id).into())),
            };
            ends.push(end);
        }
        CallEnd::Answered(ends)
    }

    fn disturb(&mut self) {
        match self.draws.below(60) {
            0 => self.queue.cancel(JobId(self.draws.below(self.jobs + 1))),
            1 => self.queue.set_endpoints(&entries(1 + self.draws.below(5))),
            2 | 3 => self.queue.set_endpoints(&entries(5)),
            _ => {}
        }
    }

    fn plan(&mut self) {
        for call in self.queue.schedule(self.now) {
            let pieces: Vec<String> = call
                .pieces
                .iter()
                .map(|task| format!("{}/{}", task.request, task.piece))
                .collect();
            let pieces = pieces.join(" ");
            let text = format!(
                "{}: {pieces}, {}ms, {} waiting, {} repeated",
                call.entry.id, call.expected.0, call.waiting, call.retries
            );
            self.note(&text);
            // Sometimes an endpoint is far slower than expected.
            let factor = *self.draws.pick(&[9, 10, 10, 10, 10, 12, 15, 30]);
            let took = Millis(call.expected.0 as u64 * factor / 10);
            self.calls.push((self.now + took, call));
        }
    }

    fn note_ends(&mut self) {
        for EndedJob { id, end } in self.queue.take_ended() {
            let text = format!("  r{}: {}", id.0, end_name(&end));
            self.note(&text);
            // Some callers keep their results until the endpoint drops them.
            if let JobEnd::Completed(handles) = end
                && self.draws.percent(80)
            {
                self.queue.released(&handles);
            }
        }
        let surplus = self.queue.take_surplus();
        let fetched = self.queue.take_fetched(self.now, |_| true);
        if !surplus.is_empty() || !fetched.is_empty() {
            let text = format!("  surplus {}, fetched {}", surplus.len(), fetched.len());
            self.note(&text);
            self.queue.released(&surplus);
        }
        if self.now.0.is_multiple_of(500_000) {
            let text = format!(
                "  {} jobs, {} waiting, {} sound, short of room {}",
                self.queue.jobs(),
                self.queue.waiting(),
                self.queue.available_workers(self.now),
                self.queue.is_short_of_capacity(self.now)
            );
            self.note(&text);
        }
    }
}

#[test]
fn plans_pinned() {
    let mut lines = Course::new(1, LIMITS).run(110);
    for seed in 2..=9 {
        let limits = BatchLimits {
            slots: 1 + seed as usize % 2,
            capacity: ByteSize(100_000 * seed),
            ..LIMITS
        };
        let course = Course::new(seed, limits).run(3_000);
        let hash = xxh3_64(course.as_bytes());
        writeln!(lines, "course {seed}: {hash:016x}").unwrap();
    }
    insta::assert_snapshot!(lines);
}
