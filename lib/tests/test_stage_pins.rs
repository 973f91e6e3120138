//! Records the decisions of a stage service's queue step by step, for random jobs, endpoints and outcomes of calls.
//! A change that isn't meant to affect decisions must leave the snapshots unchanged.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use {
    arbtest::{
        arbitrary::{Result, Unstructured},
        arbtest,
    },
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
    std::{
        fmt::{Display, Write as _},
        sync::Arc,
    },
    xxhash_rust::xxh3::xxh3_64,
};

const LIMITS: BatchLimits = BatchLimits {
    slots: 1,
    pieces: 8,
    call_ms: 180.5,
    piece_ms: 7.25,
    capacity: ByteSize(24_000),
    retention: Millis(2_500),
};

/// Data centre of each endpoint.
const CENTRES: [&str; 6] = ["z", "far", "z", "far", "z", "alone"];

/// Bytes of random choices for one run, and the number of low bits of a seed that hold this size.
const CHOICES: u64 = 2_048;
const SIZE_BITS: u32 = 32;

fn entries(count: usize) -> Vec<Arc<EndpointEntry>> {
    let entry = |i: usize| EndpointEntry {
        id: format!("e{i}").parse().unwrap(),
        service: "s".parse().unwrap(),
        address: format!("10.0.0.{}:80", i + 1).parse().unwrap(),
        data_centre: CENTRES[i].parse().unwrap(),
        slots: 1,
        draining: false,
        cold: Millis(0),
        started: None,
        version: None,
        revision: 1.into(),
    };
    (0..count).map(|i| Arc::new(entry(i))).collect()
}

/// Limits of the retry budget.
const BUDGET: BudgetLimits = BudgetLimits {
    ratio: Share(0.2),
    slack: 20.0,
    window: Millis(10_000),
};

fn joined<T: Display>(values: impl IntoIterator<Item = T>) -> String {
    let texts: Vec<String> = values.into_iter().map(|value| value.to_string()).collect();
    texts.join(" ")
}

/// Returns a handle that contains the call's id and the piece's index.
fn handle(call: &BatchCall, piece: usize) -> ResultHandle {
    ResultHandle(format!("{}/{}-{piece}", call.entry.address, call.id).into())
}

/// A run of a queue, and the log of its decisions.
struct Run {
    queue: BatchQueue,
    now: Time,
    calls: Vec<BatchCall>,
    jobs: u64,
    lines: String,
}

impl Run {
    fn new(slots: usize) -> Self {
        let limits = BatchLimits { slots, ..LIMITS };
        let mut queue = BatchQueue::new(limits, WindowBudget::new(BUDGET, Time(0)));
        queue.set_endpoints(&entries(4));
        Self {
            queue,
            now: Time(0) + Millis(20_000),
            calls: Vec::new(),
            jobs: 0,
            lines: String::new(),
        }
    }

    fn note(&mut self, line: &str) {
        writeln!(self.lines, "{:>9} {line}", self.now.0).unwrap();
    }

    fn step(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        self.now = Time(self.now.0 + u.int_in_range(0..=140_000)?);
        match u.int_in_range(0..=15u8)? {
            0..=5 => self.add(u)?,
            6..=11 => self.end_call(u)?,
            12 => self.cancel(u)?,
            13 => {
                let left = u.int_in_range(1..=CENTRES.len())?;
                self.queue.set_endpoints(&entries(left));
                self.note(&format!("{left} endpoints"));
            }
            14 => {
                let daemons = u.int_in_range(1..=4)?;
                self.queue.set_limits(LIMITS, BUDGET, daemons);
                self.note(&format!("{daemons} daemons"));
            }
            _ => self.release(),
        }
        self.schedule();
        self.note_ends();
        Ok(())
    }

    fn add(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        self.jobs += 1;
        let homes = [None, Some("z"), Some("far"), Some("alone"), Some("none")];
        let home = *u.choose(&homes)?;
        let crossing_size = *u.choose(&[100, 20_000, 150_000, 400_000, 2_000_000])?;
        let objective = u.int_in_range(0..=1_500)?;
        let job = StageJob {
            digest: None,
            customer: None,
            request: format!("r{}", self.jobs).into(),
            stage: 1,
            pieces: u.int_in_range(1..=9)?,
            input: PieceInput::Results(vec![ResultHandle(
                format!("10.1.0.{}:80/in", self.jobs).into(),
            )]),
            deadline: self.now + Millis(objective + u.int_in_range(100..=2_500)?),
            objective: self.now + Millis(objective),
            rank: u.int_in_range(0..=3)?,
            result: ByteSize(*u.choose(&[900, 2_500])?),
            preferred: home.map(|home| home.parse().unwrap()),
            allowed: AllowedDataCentres::Anywhere,
            crossing_size: ByteSize(crossing_size),
        };
        let asked = format!(
            "job {}: {} pieces, {} to move, {home:?}, rank {}, {objective} ms",
            self.jobs, job.pieces, job.crossing_size, job.rank
        );
        self.note(&asked);
        self.queue.add(self.now, JobId(self.jobs), job);
        Ok(())
    }

    fn end_call(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        if self.calls.is_empty() {
            return Ok(());
        }
        let at = u.choose_index(self.calls.len())?;
        let call = self.calls.swap_remove(at);
        let end = match u.int_in_range(0..=11u8)? {
            0 => CallEnd::Refused,
            1 => CallEnd::Replaced,
            2 => CallEnd::Broken,
            _ => CallEnd::Answered(Self::ends(u, &call)?),
        };
        let text = match &end {
            CallEnd::Answered(ends) => joined(ends.iter().map(piece_text)),
            CallEnd::Refused => "refused".into(),
            CallEnd::Unconnected => "unconnected".into(),
            CallEnd::Replaced => "replaced".into(),
            CallEnd::Broken => "broken".into(),
            CallEnd::Ended => "ended".into(),
        };
        self.note(&format!("call {} ended: {text}", call.id));
        self.queue.call_ended(self.now, call.id, end);
        Ok(())
    }

    fn ends(u: &mut Unstructured<'_>, call: &BatchCall) -> Result<Vec<PieceEnd>> {
        let mut ends = Vec::new();
        for piece in 0..call.pieces.len() {
            ends.push(match u.int_in_range(0..=39u8)? {
                0..=3 => PieceEnd::Failed,
                4 | 5 => PieceEnd::NoCapacity,
                6 => PieceEnd::InputGone,
                7 => PieceEnd::Late,
                _ => PieceEnd::Completed(handle(call, piece)),
            });
        }
        Ok(ends)
    }

    fn cancel(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        if self.jobs > 0 {
            let id = u.int_in_range(1..=self.jobs)?;
            self.queue.cancel(JobId(id));
            self.note(&format!("job {id} cancelled"));
        }
        Ok(())
    }

    fn release(&mut self) {
        let surplus = self.queue.take_surplus();
        self.note(&format!("released: {}", joined(&surplus)));
        self.queue.released(&surplus);
    }

    fn schedule(&mut self) {
        for call in self.queue.schedule(self.now) {
            let piece = |task: &hazelyoke_lib::gateway::stages::job::PieceTask| {
                format!("{}.{}", task.request, task.piece)
            };
            let line = format!(
                "call {} to {}: {}; {} ms, {} waited, {} again",
                call.id,
                call.entry.id,
                joined(call.pieces.iter().map(piece)),
                call.expected.0,
                call.waiting,
                call.retries
            );
            self.note(&line);
            self.calls.push(call);
        }
    }

    fn note_ends(&mut self) {
        for EndedJob { id, end } in self.queue.take_ended() {
            let end = match end {
                JobEnd::Completed(handles) => joined(&handles),
                JobEnd::Late => "late".into(),
                JobEnd::InputsGone => "inputs gone".into(),
                JobEnd::Failed => "failed".into(),
            };
            self.note(&format!("job {} ended: {end}", id.0));
        }
        let is_short = |handle: &ResultHandle| handle.0.len().is_multiple_of(2);
        let fetched = self.queue.take_fetched(self.now, is_short);
        let line = format!(
            "{} jobs, {} waiting, {} available, short {}, fetched {}",
            self.queue.jobs(),
            self.queue.waiting(),
            self.queue.available_workers(self.now),
            self.queue.is_short_of_capacity(self.now),
            joined(&fetched)
        );
        self.note(&line);
    }
}

fn piece_text(end: &PieceEnd) -> String {
    match end {
        PieceEnd::Completed(handle) => handle.to_string(),
        PieceEnd::Late => "late".into(),
        PieceEnd::InputGone => "gone".into(),
        PieceEnd::NoCapacity => "room".into(),
        PieceEnd::Failed => "failed".into(),
    }
}

fn trace(number: u64) -> String {
    let mut lines = String::new();
    arbtest(|u| {
        let mut run = Run::new(1 + (number % 2) as usize);
        while !u.is_empty() {
            run.step(u)?;
        }
        lines = run.lines;
        Ok(())
    })
    .seed((number << SIZE_BITS) | CHOICES)
    .run();
    lines
}

#[test]
fn queue_steps() {
    insta::assert_snapshot!(trace(1));
}

#[test]
fn queue_hashes() {
    let mut lines = String::new();
    for number in 2..=200 {
        let trace = trace(number);
        writeln!(lines, "{number}: {:016x}", xxh3_64(trace.as_bytes())).unwrap();
    }
    insta::assert_snapshot!(lines);
}
