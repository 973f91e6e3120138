//! Tests that the queue of a stage service schedules calls, retries pieces and returns each result to the right job,
//! whatever endpoints answer.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use {
    arbtest::arbitrary::{Result, Unstructured},
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
    hazelyoke_testutils::seeds::for_seeds,
    std::{
        collections::{BTreeMap, BTreeSet},
        sync::Arc,
    },
};

const LIMITS: BatchLimits = BatchLimits {
    slots: 1,
    pieces: 8,
    call_ms: 200.0,
    piece_ms: 10.0,
    capacity: ByteSize(20_000),
    retention: Millis(4_000),
};

fn budget() -> WindowBudget {
    let limits = BudgetLimits {
        ratio: Share(0.2),
        slack: 1_000.0,
        window: Millis(10_000),
    };
    WindowBudget::new(limits, Time(0))
}

fn queue(limits: BatchLimits, endpoints: usize) -> BatchQueue {
    let mut queue = BatchQueue::new(limits, budget());
    queue.set_endpoints(&entries(endpoints));
    queue
}

fn entries(count: usize) -> Vec<Arc<EndpointEntry>> {
    let entry = |i: usize| EndpointEntry {
        id: format!("e{i}").parse().unwrap(),
        service: "s".parse().unwrap(),
        address: format!("10.0.0.{}:80", i + 1).parse().unwrap(),
        data_centre: "z".parse().unwrap(),
        slots: 1,
        draining: false,
        cold: Millis(0),
        started: None,
        version: None,
        revision: 1.into(),
    };
    (0..count).map(|i| Arc::new(entry(i))).collect()
}

fn job(request: &str, pieces: u32, now: Time) -> StageJob {
    StageJob {
        digest: None,
        customer: None,
        request: request.into(),
        stage: 1,
        pieces,
        input: PieceInput::Results(vec![ResultHandle("10.0.0.9:80/in".into())]),
        deadline: now + Millis(10_000),
        objective: now + Millis(2_000),
        rank: 0,
        result: ByteSize(1_000),
        preferred: None,
        allowed: AllowedDataCentres::Anywhere,
        crossing_size: ByteSize(1_000),
    }
}

fn handle(call: &BatchCall, piece: usize) -> ResultHandle {
    let task = &call.pieces[piece];
    let name = format!(
        "{}/{}-{}-{}",
        call.entry.address, task.request, task.piece, call.id
    );
    ResultHandle(name.into())
}

fn all_completed(call: &BatchCall) -> CallEnd {
    let completed = |piece| PieceEnd::Completed(handle(call, piece));
    CallEnd::Answered((0..call.pieces.len()).map(completed).collect())
}

/// Returns the time at which a test starts: late enough for the retry budget's slack to have accrued.
fn start() -> Time {
    Time(0) + Millis(20_000)
}

#[test]
fn shared_call() {
    let now = start();
    let mut queue = queue(LIMITS, 1);
    queue.add(now, JobId(1), job("a", 3, now));
    queue.add(now, JobId(2), job("b", 2, now));
    let calls = queue.schedule(now);
    assert_eq!(calls.len(), 1);
    assert_eq!(calls[0].pieces.len(), 5);
    queue.call_ended(now + Millis(250), calls[0].id, all_completed(&calls[0]));
    let ended = queue.take_ended();
    assert_eq!(ended.len(), 2);
    let JobEnd::Completed(handles) = &ended[0].end else {
        panic!("the first job wasn't completed: {ended:?}");
    };
    assert_eq!(handles.len(), 3);
}

/// An endpoint gets at most as many concurrent calls as it has slots.
#[test]
fn endpoint_slots() {
    let now = start();
    let mut queue = queue(LIMITS, 1);
    queue.add(now, JobId(1), job("a", 1, now));
    assert_eq!(queue.schedule(now).len(), 1);
    queue.add(now, JobId(2), job("b", 1, now));
    assert!(queue.schedule(now).is_empty());
}

/// Waiting pieces are distributed evenly over the idle endpoints.
#[test]
fn idle_endpoints_share() {
    let now = start();
    let mut queue = queue(LIMITS, 4);
    for id in 0..4 {
        queue.add(now, JobId(id), job("a", 2, now));
    }
    let sizes: Vec<usize> = queue.schedule(now).iter().map(|c| c.pieces.len()).collect();
    assert_eq!(sizes, [2, 2, 2, 2]);
}

/// The results of a call fit into the free capacity of its endpoint. Results take up capacity until released.
#[test]
fn result_room() {
    let now = start();
    let limits = BatchLimits {
        capacity: ByteSize(4_400),
        ..LIMITS
    };
    let mut queue = queue(limits, 1);
    queue.add(now, JobId(1), job("a", 8, now));
    let calls = queue.schedule(now);
    assert_eq!(calls[0].pieces.len(), 4);
    assert!(queue.is_short_of_capacity(now));
    queue.call_ended(now + Millis(250), calls[0].id, all_completed(&calls[0]));
    // The endpoint stores the results until they are released.
    assert!(queue.schedule(now + Millis(251)).is_empty());
    let kept: Vec<ResultHandle> = (0..4).map(|piece| handle(&calls[0], piece)).collect();
    queue.released(&kept);
    assert_eq!(queue.schedule(now + Millis(252))[0].pieces.len(), 4);
}

/// The pieces of an overdue call are sent to another endpoint; only the first result counts.
#[test]
fn overdue_call_retried() {
    let now = start();
    let mut queue = queue(LIMITS, 2);
    queue.add(now, JobId(1), job("a", 1, now));
    let slow = queue.schedule(now).remove(0);
    assert!(queue.schedule(now + Millis(400)).is_empty());
    let again = queue.schedule(now + Millis(600)).remove(0);
    assert_ne!(again.entry.id, slow.entry.id);
    assert_eq!(again.retries, 1);
    queue.call_ended(now + Millis(810), again.id, all_completed(&again));
    assert_eq!(
        queue.take_ended(),
        [EndedJob {
            id: JobId(1),
            end: JobEnd::Completed(vec![handle(&again, 0)])
        }]
    );
    queue.call_ended(now + Millis(2_000), slow.id, all_completed(&slow));
    assert!(queue.take_ended().is_empty());
    assert_eq!(queue.take_surplus(), [handle(&slow, 0)]);
}

/// A job that can't end before its deadline ends at once.
#[test]
fn late_job() {
    let now = start();
    let mut queue = queue(LIMITS, 1);
    let late = StageJob {
        deadline: now + Millis(150),
        ..job("a", 1, now)
    };
    queue.add(now, JobId(1), late);
    assert!(queue.schedule(now).is_empty());
    assert_eq!(
        queue.take_ended(),
        [EndedJob {
            id: JobId(1),
            end: JobEnd::Late
        }]
    );
}

/// Inputs of a running call are released early only if their endpoint is short of result capacity, and only once.
#[test]
fn early_input_release() {
    let now = start();
    let mut queue = queue(LIMITS, 1);
    queue.add(now, JobId(1), job("a", 1, now));
    queue.schedule(now);
    let later = now + Millis(150);
    assert!(queue.take_fetched(now, |_| true).is_empty());
    assert!(queue.take_fetched(later, |_| false).is_empty());
    assert_eq!(queue.take_fetched(later, |_| true).len(), 1);
    assert!(queue.take_fetched(later, |_| true).is_empty());
}

/// Results of a cancelled job become surplus, which is released at the endpoints.
#[test]
fn cancelled_job() {
    let now = start();
    let mut queue = queue(LIMITS, 1);
    queue.add(now, JobId(1), job("a", 2, now));
    let call = queue.schedule(now).remove(0);
    queue.cancel(JobId(1));
    queue.call_ended(now + Millis(250), call.id, all_completed(&call));
    assert!(queue.take_ended().is_empty());
    assert_eq!(queue.take_surplus().len(), 2);
    assert_eq!(queue.jobs(), 0);
}

/// An endpoint that broke off a call gets no calls for a time.
#[test]
fn broken_endpoint_avoided() {
    let now = start();
    let mut queue = queue(LIMITS, 1);
    queue.add(now, JobId(1), job("a", 1, now));
    let call = queue.schedule(now).remove(0);
    queue.call_ended(now, call.id, CallEnd::Broken);
    assert!(queue.schedule(now + Millis(200)).is_empty());
    assert_eq!(queue.schedule(now + Millis(301)).len(), 1);
}

/// A queue with random jobs, answers, failures, cancellations and departures of endpoints.
struct Run {
    queue: BatchQueue,
    now: Time,
    /// Calls in flight.
    calls: Vec<BatchCall>,
    /// Request and number of pieces of each job that hasn't ended.
    open: BTreeMap<JobId, (String, u32)>,
    ended: BTreeSet<JobId>,
    next: u64,
}

impl Run {
    fn new() -> Self {
        Self {
            queue: queue(LIMITS, 4),
            now: start(),
            calls: Vec::new(),
            open: BTreeMap::new(),
            ended: BTreeSet::new(),
            next: 0,
        }
    }

    fn step(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        self.now = self.now + Millis(u.int_in_range(0..=120)?);
        match u.int_in_range(0..=9u8)? {
            0..=2 => self.add(u)?,
            3..=6 => self.end_call(u)?,
            7 => self.cancel(u)?,
            8 => {
                let left = u.int_in_range(1..=4)?;
                self.queue.set_endpoints(&entries(left));
            }
            _ => {}
        }
        self.schedule();
        self.check();
        Ok(())
    }

    fn add(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        self.next += 1;
        let id = JobId(self.next);
        let request = format!("r{}", self.next);
        let pieces = u.int_in_range(1..=10)?;
        self.queue
            .add(self.now, id, job(&request, pieces, self.now));
        self.open.insert(id, (request, pieces));
        Ok(())
    }

    fn end_call(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        if self.calls.is_empty() {
            return Ok(());
        }
        let at = u.choose_index(self.calls.len())?;
        let call = self.calls.swap_remove(at);
        let end = match u.int_in_range(0..=9u8)? {
            0 => CallEnd::Refused,
            1 => CallEnd::Replaced,
            2 => CallEnd::Broken,
            _ => {
                let mut ends = Vec::new();
                for piece in 0..call.pieces.len() {
                    ends.push(match u.int_in_range(0..=19u8)? {
                        0 => PieceEnd::Failed,
                        1 => PieceEnd::NoCapacity,
                        2 => PieceEnd::InputGone,
                        3 => PieceEnd::Late,
                        _ => PieceEnd::Completed(handle(&call, piece)),
                    });
                }
                CallEnd::Answered(ends)
            }
        };
        self.queue.call_ended(self.now, call.id, end);
        Ok(())
    }

    fn cancel(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        let ids: Vec<JobId> = self.open.keys().copied().collect();
        if !ids.is_empty() {
            let id = *u.choose(&ids)?;
            self.queue.cancel(id);
            self.open.remove(&id);
            self.ended.insert(id);
        }
        Ok(())
    }

    fn schedule(&mut self) {
        for call in self.queue.schedule(self.now) {
            assert!(!call.pieces.is_empty() && call.pieces.len() <= LIMITS.pieces);
            let busy = self.calls.iter().filter(|c| c.entry.id == call.entry.id);
            assert_eq!(
                busy.count(),
                0,
                "an endpoint got more calls than it has slots"
            );
            self.calls.push(call);
        }
    }

    fn check(&mut self) {
        for EndedJob { id, end } in self.queue.take_ended() {
            let (request, pieces) = self.open.remove(&id).expect("a job ends once");
            assert!(self.ended.insert(id));
            let JobEnd::Completed(handles) = end else {
                continue;
            };
            assert_eq!(handles.len(), pieces as usize);
            for (piece, handle) in handles.iter().enumerate() {
                let own = format!("/{request}-{piece}-");
                assert!(
                    handle.0.contains(&own),
                    "{handle} isn't piece {piece} of {request}"
                );
            }
        }
    }
}

/// Each job ends exactly once, with the results of its own pieces, in any order of events.
#[test]
fn jobs_end_once() {
    for_seeds(400, 1_024, |u| {
        let mut run = Run::new();
        while !u.is_empty() {
            run.step(u)?;
        }
        // If endpoints answer from now on, all jobs end.
        run.queue.set_endpoints(&entries(4));
        let mut rounds = 0;
        while !run.open.is_empty() && rounds < 2_000 {
            rounds += 1;
            run.now = run.now + Millis(100);
            run.schedule();
            for call in std::mem::take(&mut run.calls) {
                let end = all_completed(&call);
                run.queue.call_ended(run.now, call.id, end);
            }
            let surplus = run.queue.take_surplus();
            run.queue.released(&surplus);
            run.check();
        }
        assert!(run.open.is_empty(), "jobs never ended: {:?}", run.open);
        Ok(())
    });
}

/// Returns a queue with two data centres of one endpoint each.
fn two_centres() -> BatchQueue {
    let limits = BatchLimits {
        capacity: ByteSize(10_000_000),
        ..LIMITS
    };
    let mut queue = BatchQueue::new(limits, budget());
    let mut all = entries(2);
    Arc::make_mut(&mut all[1]).data_centre = "far".parse().unwrap();
    queue.set_endpoints(&all);
    queue
}

fn job_at(request: &str, preferred: &str, crossing_size: u64, now: Time) -> StageJob {
    StageJob {
        preferred: Some(preferred.parse().unwrap()),
        crossing_size: ByteSize(crossing_size),
        ..job(request, 1, now)
    }
}

/// Pieces with large results run in their preferred data centre, in which the results are used.
#[test]
fn large_result_home() {
    let now = start();
    let mut queue = two_centres();
    queue.add(now, JobId(1), job_at("a", "far", 20_000, now));
    queue.add(now, JobId(2), job_at("b", "z", 20_000, now));
    let calls = queue.schedule(now);
    assert_eq!(calls.len(), 2);
    for call in &calls {
        let preferred = if &*call.pieces[0].request == "a" {
            "far"
        } else {
            "z"
        };
        assert_eq!(call.pieces.len(), 1);
        assert_eq!(call.entry.data_centre.to_string(), preferred);
    }
}

/// A piece with a large result waits a limited time for an endpoint of its preferred data centre.
#[test]
fn home_endpoint_wait() {
    let now = start();
    let mut queue = two_centres();
    queue.add(now, JobId(1), job_at("a", "z", 500_000, now));
    assert_eq!(queue.schedule(now).len(), 1);
    queue.add(now, JobId(2), job_at("b", "z", 500_000, now));
    assert!(
        queue.schedule(now + Millis(140)).is_empty(),
        "the endpoint in the preferred data centre is busy"
    );
    let calls = queue.schedule(now + Millis(160));
    assert_eq!(
        calls.len(),
        1,
        "the wait for the preferred data centre is over"
    );
    assert_eq!(calls[0].entry.data_centre.to_string(), "far");
}

/// A piece with a small result runs at once in any data centre.
#[test]
fn small_result_anywhere() {
    let now = start();
    let mut queue = two_centres();
    queue.add(now, JobId(1), job_at("a", "z", 500_000, now));
    queue.schedule(now);
    queue.add(now, JobId(2), job_at("b", "z", 100, now));
    assert_eq!(queue.schedule(now).len(), 1);
}

/// A piece doesn't wait for its preferred data centre if this has no endpoints.
#[test]
fn empty_data_centre() {
    let now = start();
    let mut queue = two_centres();
    queue.set_endpoints(&entries(1));
    queue.add(now, JobId(1), job_at("a", "far", 500_000, now));
    assert_eq!(queue.schedule(now).len(), 1);
}

/// A piece that has passed its objective doesn't wait for its preferred data centre.
#[test]
fn late_piece_anywhere() {
    let now = start();
    let mut queue = two_centres();
    queue.add(now, JobId(1), job_at("a", "z", 500_000, now));
    queue.schedule(now);
    let late = StageJob {
        objective: now + Millis(10),
        ..job_at("b", "z", 500_000, now)
    };
    queue.add(now, JobId(2), late);
    assert!(queue.schedule(now + Millis(5)).is_empty());
    assert_eq!(queue.schedule(now + Millis(11)).len(), 1);
}

/// While all endpoints are cooling down, jobs that can't be run after the cooldown end at once; others wait.
#[test]
fn endpoints_at_rest() {
    let now = start();
    let mut queue = queue(LIMITS, 0);
    queue.set_cooldown_end(Some(now + Millis(9_900)));
    queue.add(now, JobId(1), job("a", 1, now));
    queue.add(now, JobId(2), job("b", 1, now + Millis(1_000)));
    assert!(queue.schedule(now).is_empty());
    let ended: Vec<JobId> = queue.take_ended().iter().map(|ended| ended.id).collect();
    assert_eq!(ended, [JobId(1)]);
}
