//! A request with several attempts runs at most once unless it may be repeated, and its caller is only told what is
//! proven.

use {
    hazelyoke_lib::{
        gateway::{
            rules::{
                outcome::{AttemptHistory, UnansweredEnd},
                retry::may_retry,
            },
            table::RouteKind,
        },
        shared::{
            problem::{Code, Outcome},
            units::Millis,
        },
    },
    hazelyoke_testutils::seeds::for_seeds,
};

fn end(why: &str, is_late: bool, retry_after: u64) -> UnansweredEnd<'_> {
    UnansweredEnd {
        why,
        last_result: "",
        is_late,
        retry_after: Millis(retry_after),
    }
}

/// A request that may have run is retried only where its route is idempotent.
#[test]
fn unsafe_retry_denied() {
    let mut history = AttemptHistory::default();
    assert!(may_retry(RouteKind::NonIdempotent, 3, &history));
    history.record_sent();
    assert!(!may_retry(RouteKind::NonIdempotent, 3, &history));
    assert!(may_retry(RouteKind::Idempotent, 3, &history));
    history.record_not_run();
    assert!(may_retry(RouteKind::NonIdempotent, 3, &history));
}

/// A request that may have run ends with an unknown outcome and without `Retry-After`.
#[test]
fn unknown_outcome() {
    let mut history = AttemptHistory::default();
    history.record_sent();
    let problem = history.problem(&end("broken", false, 100));
    assert_eq!(problem.outcome, Outcome::Unknown);
    assert_eq!(problem.code, Code::StageFailed);
    assert_eq!(problem.retry_after, None);
    let problem = history.problem(&end("over", true, 100));
    assert_eq!(problem.code, Code::DeadlineExceeded);
}

/// A request that reached no endpoint ends as not run, with a `Retry-After`.
#[test]
fn unsent_retry_after() {
    let mut history = AttemptHistory::default();
    history.record_unreachable();
    let problem = history.problem(&end("none", true, 250));
    assert_eq!(problem.outcome, Outcome::NotRun);
    assert_eq!(problem.code.status(), 503);
    assert_eq!(problem.retry_after, Some(Millis(250)));
}

/// Simulates an observer at the endpoints that counts runs. The daemon learns that some attempts didn't run, but never
/// that one did.
#[test]
fn observed_runs() {
    for_seeds(500, 256, |u| {
        let kind = *u.choose(&[
            RouteKind::NonIdempotent,
            RouteKind::Idempotent,
            RouteKind::Stream {
                resumable: false,
                gap: Millis(400),
            },
        ])?;
        let attempts = u.int_in_range(1..=4)?;
        let mut history = AttemptHistory::default();
        let mut runs = 0;
        for _ in 0..u.int_in_range(1..=12)? {
            if !may_retry(kind, attempts, &history) {
                break;
            }
            if u.ratio(1, 4)? {
                history.record_unreachable();
                continue;
            }
            history.record_sent();
            let ran = u.ratio(1, 2)?;
            runs += u32::from(ran);
            if !ran && u.ratio(2, 3)? {
                history.record_not_run();
            }
        }
        assert!(history.sent() <= attempts);
        if !kind.is_retryable() {
            assert!(runs <= 1);
        }
        let problem = history.problem(&end("end", false, 100));
        if problem.outcome == Outcome::NotRun {
            assert_eq!(runs, 0);
        }
        Ok(())
    });
}
