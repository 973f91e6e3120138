//! Tests that a harmful piece, which terminates every endpoint that runs it, is isolated after few endpoints and
//! fails few other pieces. Runs in virtual time.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use {
    hazelyoke_lib::{
        gateway::{
            directory::endpoint_entry::EndpointEntry,
            rules::{
                eligibility::AllowedDataCentres,
                piece_group::max_pieces_after_termination,
                retry_budget::{BudgetLimits, WindowBudget},
            },
            stages::{
                batch_call::{BatchCall, CallEnd},
                batch_queue::BatchQueue,
                job::{JobEnd, JobId, PieceEnd, PieceInput, ResultHandle, StageJob},
            },
            table::BatchLimits,
        },
        shared::units::{ByteSize, Millis, Share, Time, WorkMillis},
    },
    std::sync::Arc,
};

/// Numbers of endpoints of the service: with few, failed pieces are sent together again; with many, they are spread.
const ENDPOINTS: [u32; 3] = [1, 2, 12];

/// The largest of these numbers of endpoints.
const MOST_ENDPOINTS: u32 = 12;

/// Time after which an endpoint that terminated is back, under another id.
const RESTART_TIME: Millis = Millis(2_000);

/// Time from the start of a harmful call until its endpoint terminates.
const TIME_TO_HARM: Millis = Millis(20);

/// Time between two scheduling rounds.
const SCHEDULE_INTERVAL: Millis = Millis(25);

const LIMITS: BatchLimits = BatchLimits {
    slots: 1,
    pieces: 50,
    call_ms: 240.0,
    piece_ms: 4.1,
    capacity: ByteSize(1_000_000),
    retention: Millis(4_000),
};

fn entry(number: u32) -> Arc<EndpointEntry> {
    Arc::new(EndpointEntry {
        id: format!("e{number}").parse().unwrap(),
        service: "s".parse().unwrap(),
        address: format!("10.0.0.1:{}", number + 1).parse().unwrap(),
        data_centre: "z".parse().unwrap(),
        slots: 1,
        draining: false,
        cold: Millis(0),
        started: None,
        version: None,
        revision: 1.into(),
    })
}

fn job(number: u64, now: Time) -> StageJob {
    StageJob {
        customer: None,
        request: number.to_string().into(),
        digest: None,
        stage: 0,
        pieces: 1,
        input: PieceInput::Key("k".into()),
        deadline: now + Millis(15_000),
        objective: now + Millis(2_000),
        rank: 0,
        result: ByteSize(1_000),
        preferred: None,
        allowed: AllowedDataCentres::Anywhere,
        crossing_size: ByteSize(0),
    }
}

/// The outcomes of all jobs, and what they cost.
#[derive(Debug, Default)]
struct Outcome {
    completed: usize,
    failed: usize,
    terminated: u32,
    calls: usize,
    /// Time from the start until the last job ended.
    last: Millis,
}

/// A run of a queue whose endpoints terminate when they run a piece of a harmful job.
struct Run {
    queue: BatchQueue,
    now: Time,
    /// Jobs with smaller numbers are harmful.
    harmful: u64,
    endpoints: Vec<Arc<EndpointEntry>>,
    next: u32,
    running: Vec<(Time, BatchCall)>,
    returning: Vec<Time>,
    outcome: Outcome,
}

impl Run {
    /// Runs `jobs` jobs of one piece, of which the first `harmful` terminate endpoints. All jobs are queued while one
    /// endpoint is free.
    fn outcome(endpoints: u32, jobs: u64, harmful: u64) -> Outcome {
        let limits = BudgetLimits {
            ratio: Share(0.2),
            slack: 1_000.0,
            window: Millis(10_000),
        };
        // Late enough for the retry budget's slack to have accrued.
        let now = Time::default() + Millis(20_000);
        let mut run = Self {
            queue: BatchQueue::new(LIMITS, WindowBudget::new(limits, Time(0))),
            now,
            harmful,
            endpoints: vec![entry(0)],
            next: 1,
            running: Vec::new(),
            returning: Vec::new(),
            outcome: Outcome::default(),
        };
        run.queue.set_endpoints(&run.endpoints);
        for number in 0..jobs {
            run.queue.add(now, JobId(number), job(number, now));
        }
        // All pieces go into one call.
        run.schedule();
        assert_eq!(run.running.len(), 1);
        for _ in 1..endpoints {
            run.add_endpoint();
        }
        while run.outcome.completed + run.outcome.failed < jobs as usize {
            run.step();
        }
        run.outcome.last = Millis(run.now.since(now).as_millis() as u64);
        run.outcome
    }

    fn add_endpoint(&mut self) {
        self.endpoints.push(entry(self.next));
        self.next += 1;
        self.queue.set_endpoints(&self.endpoints);
    }

    fn schedule(&mut self) {
        for call in self.queue.schedule(self.now) {
            let takes = if self.is_harmful(&call) {
                TIME_TO_HARM
            } else {
                let WorkMillis(ms) = call.expected;
                Millis(ms as u64)
            };
            self.outcome.calls += 1;
            self.running.push((self.now + takes, call));
        }
    }

    fn is_harmful(&self, call: &BatchCall) -> bool {
        let number = |request: &str| request.parse::<u64>().unwrap();
        call.pieces
            .iter()
            .any(|piece| number(&piece.request) < self.harmful)
    }

    fn step(&mut self) {
        self.now = self.now + SCHEDULE_INTERVAL;
        let now = self.now;
        let (over, running) = std::mem::take(&mut self.running)
            .into_iter()
            .partition(|(end, _)| *end <= now);
        self.running = running;
        for (_, call) in over {
            self.end(&call);
        }
        let back = self.returning.iter().filter(|time| **time <= now).count();
        self.returning.retain(|time| *time > now);
        for _ in 0..back {
            self.add_endpoint();
        }
        self.schedule();
        for job in self.queue.take_ended() {
            match job.end {
                JobEnd::Completed(_) => self.outcome.completed += 1,
                _ => self.outcome.failed += 1,
            }
        }
    }

    fn end(&mut self, call: &BatchCall) {
        if !self.is_harmful(call) {
            let completed = |piece| {
                let name = format!("{}/{}-{piece}", call.entry.address, call.id);
                PieceEnd::Completed(ResultHandle(name.into()))
            };
            let ends = (0..call.pieces.len()).map(completed).collect();
            return self
                .queue
                .call_ended(self.now, call.id, CallEnd::Answered(ends));
        }
        self.outcome.terminated += 1;
        self.endpoints.retain(|entry| entry.id != call.entry.id);
        self.returning.push(self.now + RESTART_TIME);
        self.queue.call_ended(self.now, call.id, CallEnd::Ended);
        self.queue.set_endpoints(&self.endpoints);
    }
}

/// If one of 1, 8 or 50 pieces in a call is harmful, only this piece fails, after it terminated three endpoints.
#[test]
fn harmful_piece() {
    for endpoints in ENDPOINTS {
        for jobs in [1, 8, 50] {
            let outcome = Run::outcome(endpoints, jobs, 1);
            assert_eq!(outcome.failed, 1, "{endpoints} {outcome:?}");
            assert_eq!(outcome.terminated, 3, "{endpoints} {outcome:?}");
        }
    }
}

/// If two pieces in a call are harmful, only these two fail.
#[test]
fn two_harmful_pieces() {
    for endpoints in ENDPOINTS {
        let outcome = Run::outcome(endpoints, 50, 2);
        assert_eq!(outcome.failed, 2, "{endpoints} {outcome:?}");
        assert!(outcome.terminated <= 5, "{endpoints} {outcome:?}");
    }
}

/// A harmful piece delays the other pieces by seconds at most, and costs few additional calls.
#[test]
fn cost_for_others() {
    let calm = Run::outcome(MOST_ENDPOINTS, 50, 0);
    let outcome = Run::outcome(MOST_ENDPOINTS, 50, 1);
    assert!(outcome.calls <= calm.calls + 16, "{outcome:?}");
    assert!(outcome.last <= Millis(2_500), "{outcome:?}");
}

/// After two terminated endpoints a piece is alone in its call, however large the first call was.
#[test]
fn group_sizes() {
    let sizes: Vec<usize> = [1, 2, 8, 15, 16, 50, 64]
        .map(max_pieces_after_termination)
        .to_vec();
    assert_eq!(sizes, [1, 1, 1, 1, 2, 6, 8]);
    assert!(
        (1..=64)
            .all(|pieces| max_pieces_after_termination(max_pieces_after_termination(pieces)) == 1)
    );
}
