//! The rules of stages, each checked on its own at and around its thresholds.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use {
    hazelyoke_lib::{
        gateway::{
            rules::{
                admission::EndpointCounts,
                call_fill::{CallFill, Fit},
                call_timing::{CallCost, answer_limit, is_overdue},
                eligibility::AllowedDataCentres,
                piece_order::{DataCentreCounts, WaitingJob, WaitingOrder, preferred_wait},
                piece_retry::{
                    LostSend, PieceRetry, after_loss, is_retry, may_resend, misses_deadline,
                },
                result_capacity::{are_inputs_fetched, free_capacity, is_shortage},
                stage_objective::stage_objective,
                worker_slowdown::{LearntSlowdown, Slowdown, WorkerExclusion},
            },
            stages::job::JobId,
        },
        shared::{
            ids::DataCentreId,
            units::{ByteSize, Millis, Time, WorkMillis},
        },
    },
    std::time::Duration,
};

const NOW: Time = Time(50_000_000);

fn after(ms: u64) -> Time {
    NOW + Millis(ms)
}

fn centre(name: &str) -> DataCentreId {
    name.parse().unwrap()
}

#[test]
fn call_times() {
    let cost = CallCost {
        fixed: WorkMillis(240.0),
        piece: WorkMillis(10.0),
    };
    assert_eq!(cost.expected(0.0), WorkMillis(240.0));
    assert_eq!(cost.expected(7.5), WorkMillis(315.0));
    // 1.7 times the expected time and 120 ms.
    let expected = WorkMillis(100.0);
    assert!(!is_overdue(WorkMillis(289.999), expected));
    assert!(is_overdue(WorkMillis(290.0), expected));
    // 6 times the expected time and 2.5 s.
    assert_eq!(answer_limit(expected), Duration::from_millis(3_100));
    assert_eq!(answer_limit(WorkMillis(0.0)), Duration::from_millis(2_500));
}

#[test]
fn piece_tries() {
    assert!(!is_retry(0) && is_retry(1));
    assert!(may_resend(2) && !may_resend(3));
    let lost = |tries, loss| match after_loss(tries, loss) {
        PieceRetry::Requeue { tries } => Some(tries),
        PieceRetry::GiveUp => None,
    };
    let maybe_run = [1, 2, 3, 4].map(|tries| lost(tries, LostSend::MaybeRun));
    assert_eq!(maybe_run, [Some(1), Some(2), None, None]);
    let not_run = [0, 1, 3, 4].map(|tries| lost(tries, LostSend::NotRun));
    assert_eq!(not_run, [Some(0), Some(0), Some(2), None]);
}

#[test]
fn hopeless_jobs() {
    let call = WorkMillis(200.9);
    assert!(!misses_deadline(NOW, after(200), call));
    assert!(misses_deadline(NOW, after(199), call));
}

#[test]
fn worker_paces() {
    let slow = [1.0, 1.79, 1.8, 20.0, f64::NAN].map(|pace| Slowdown(pace).is_slow());
    assert_eq!(slow, [false, false, true, true, true]);
    let elapsed = Slowdown::of_call(WorkMillis(300.0), WorkMillis(200.0));
    assert_eq!(elapsed, Slowdown(1.5));
    // Moves half of the way to each observation, between 0.5 and 20.
    let mut known = LearntSlowdown::default();
    let mut paces = Vec::new();
    for observed in [2.0, 2.0, 0.25, 0.0, 0.0, 100.0] {
        known = known.after_answer(NOW, Slowdown(observed));
        paces.push(known.at(NOW).0);
    }
    assert_eq!(paces, [1.5, 1.75, 1.0, 0.5, 0.5, 20.0]);
}

#[test]
fn pace_memory() {
    let known = LearntSlowdown::default().after_overdue(NOW, Slowdown(3.0));
    assert_eq!(known.at(after(3_000)), Slowdown(3.0));
    assert_eq!(known.at(Time(after(3_000).0 + 1)), Slowdown::EXPECTED);
    // An overdue call never makes an endpoint look faster than it was.
    let known = known.after_overdue(NOW, Slowdown(2.0));
    assert_eq!(known.at(NOW), Slowdown(3.0));
}

#[test]
fn passed_over() {
    assert_eq!(WorkerExclusion::NoAnswer.until(NOW), after(300));
    assert_eq!(WorkerExclusion::NoCapacity.until(NOW), after(60));
}

#[test]
fn result_room() {
    let room = |stated, taken| free_capacity(ByteSize(stated), ByteSize(taken)).0;
    assert_eq!(room(10_000, 0), 9_200);
    assert_eq!(room(10_000, 9_000), 200);
    assert_eq!(room(10_000, 9_300), 0);
    assert_eq!(room(999, 0), 919);
    assert!(is_shortage(after(999), NOW) && !is_shortage(after(1_000), NOW));
    assert!(!are_inputs_fetched(after(99), NOW) && are_inputs_fetched(after(100), NOW));
}

#[test]
fn call_fill() {
    let size = ByteSize(1_000);
    let mut fill = CallFill::new(2, 3, ByteSize(10_000));
    let mut seen = Vec::new();
    for _ in 0..4 {
        seen.push((fill.takes_job(), fill.fit(size)));
        fill.add(size);
    }
    let expected = [
        (true, Fit::Fits),
        (true, Fit::Fits),
        (false, Fit::Fits),
        (false, Fit::CallFull),
    ];
    assert_eq!(seen, expected);
    let mut small = CallFill::new(9, 9, ByteSize(1_999));
    small.add(size);
    assert_eq!(small.fit(size), Fit::NoCapacity);
    assert_eq!(small.fit(ByteSize(999)), Fit::Fits);
    assert_eq!((small.pieces(), small.reserved()), (1, size));
}

#[test]
fn home_waits() {
    let wait = |crossing_size, endpoints| preferred_wait(ByteSize(crossing_size), endpoints).0;
    // 1.2 s per MB and at most 0.6 s; a quarter of it with one endpoint, all of it from four on.
    assert_eq!(wait(100_000, 4), 120);
    assert_eq!(wait(100_000, 9), 120);
    assert_eq!(wait(100_000, 1), 30);
    assert_eq!(wait(500_000, 4), 600);
    assert_eq!(wait(5_000_000, 3), 450);
    assert_eq!(wait(100, 4), 0);
}

fn job(id: u64, preferred: Option<&DataCentreId>) -> WaitingJob<'_> {
    WaitingJob {
        id: JobId(id),
        waiting: 2,
        added: NOW,
        objective: after(1_000),
        rank: 0,
        preferred,
        allowed: &AllowedDataCentres::Anywhere,
        crossing_size: ByteSize(100_000),
    }
}

fn order_at<'a>(
    now: Time,
    jobs: impl IntoIterator<Item = WaitingJob<'a>>,
) -> (Vec<u64>, usize, usize) {
    let endpoints = [centre("z"), centre("z"), centre("far")];
    let counts = DataCentreCounts::new(endpoints.iter());
    let order = WaitingOrder::new(now, jobs.into_iter(), &centre("z"), &counts);
    let jobs = order.jobs.iter().map(|id| id.0).collect();
    (jobs, order.local, order.shared)
}

#[test]
fn waiting_order() {
    let ranked = |id, rank, objective| WaitingJob {
        rank,
        objective: after(objective),
        ..job(id, None)
    };
    // Ranks are 400 ms apart, and late jobs go 20 s behind.
    let jobs = [
        ranked(1, 1, 1_000),
        ranked(2, 0, 1_401),
        ranked(3, 0, 1_400),
        ranked(4, 0, 0),
    ];
    let (ids, own, shared) = order_at(Time(NOW.0 + 1), jobs);
    assert_eq!(ids, [1, 3, 2, 4]);
    assert_eq!((own, shared), (0, 8));
    assert_eq!(order_at(NOW, jobs).0, [4, 1, 3, 2]);
}

#[test]
fn waiting_homes() {
    let (z, far, none) = (centre("z"), centre("far"), centre("none"));
    let jobs = [
        job(1, Some(&far)),
        job(2, Some(&z)),
        job(3, Some(&none)),
        job(4, None),
    ];
    // Wait of 30 ms for the one endpoint at "far", 60 ms for the two at "z". A preferred data centre without endpoints
    // is ignored. A job outside its preferred data centre goes 200 ms behind.
    assert_eq!(order_at(after(29), jobs), (vec![2, 3, 4], 2, 4));
    assert_eq!(order_at(after(30), jobs), (vec![2, 3, 4, 1], 2, 6));
    assert_eq!(order_at(after(60), jobs), (vec![2, 3, 4, 1], 0, 8));
    let late = WaitingJob {
        objective: after(10),
        ..job(1, Some(&far))
    };
    assert_eq!(order_at(after(10), [late]).0, Vec::<u64>::new());
    assert_eq!(order_at(after(11), [late]).0, [1]);
}

#[test]
fn call_shares() {
    let order = WaitingOrder {
        jobs: Vec::new(),
        local: 5,
        shared: 7,
        ..WaitingOrder::default()
    };
    assert_eq!(order.share(2, 3), 3 + 3);
    assert_eq!(order.share(0, 0), 5 + 7);
}

#[test]
fn stage_objectives() {
    let objective = |later, own| stage_objective(NOW, later, Millis(own));
    assert_eq!(objective(0, 0), NOW);
    assert_eq!(objective(2, 80), Time(NOW.0 - 780_000));
    assert_eq!(stage_objective(Time(1_000), 1, Millis(0)), Time(0));
}

#[test]
fn believed_endpoints() {
    let believed = |local_queue, peers, listed| {
        let counts = EndpointCounts {
            local_queue,
            peers,
            listed,
        };
        counts.usable()
    };
    assert_eq!(believed(Some(2), Some(5), 6), 2);
    assert_eq!(believed(None, Some(5), 6), 5);
    assert_eq!(believed(None, None, 6), 6);
    assert_eq!(believed(Some(8), Some(5), 6), 6);
    assert_eq!(believed(Some(0), None, 6), 0);
}
