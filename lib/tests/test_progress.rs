//! At most once, and no promise that isn't proven, whatever happens to a request's attempts.

use {
    hazelyoke_lib::{
        gateway::{rules::progress::Progress, table::RouteKind},
        shared::{
            problem::{Code, Outcome},
            units::Millis,
        },
    },
    hazelyoke_testutils::seeds::for_seeds,
};

#[test]
fn a_request_that_may_have_run_is_not_sent_again() {
    let mut progress = Progress::default();
    assert!(progress.may_send(RouteKind::NonIdempotent, 3));
    progress.sending();
    assert!(!progress.may_send(RouteKind::NonIdempotent, 3));
    assert!(progress.may_send(RouteKind::Idempotent, 3));
    progress.proven_not_run();
    assert!(progress.may_send(RouteKind::NonIdempotent, 3));
}

#[test]
fn a_request_that_may_have_run_gets_no_promise() {
    let mut progress = Progress::default();
    progress.sending();
    let problem = progress.problem("broken", false, Millis(100));
    assert_eq!(problem.outcome, Outcome::Unknown);
    assert_eq!(problem.code, Code::StageFailed);
    assert_eq!(problem.retry_after, None);
    let problem = progress.problem("over", true, Millis(100));
    assert_eq!(problem.code, Code::DeadlineExceeded);
}

#[test]
fn a_request_that_never_left_is_told_when_to_come_back() {
    let mut progress = Progress::default();
    progress.unreachable();
    let problem = progress.problem("none", true, Millis(250));
    assert_eq!(problem.outcome, Outcome::NotRun);
    assert_eq!(problem.code.status(), 503);
    assert_eq!(problem.retry_after, Some(Millis(250)));
}

/// An observer at the endpoints counts runs; the daemon learns of some attempts that they didn't
/// run, and of none that they did.
#[test]
fn runs_and_promises_agree_with_an_observer() {
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
        let mut progress = Progress::default();
        let mut runs = 0;
        for _ in 0..u.int_in_range(1..=12)? {
            if !progress.may_send(kind, attempts) {
                break;
            }
            if u.ratio(1, 4)? {
                progress.unreachable();
                continue;
            }
            progress.sending();
            let ran = u.ratio(1, 2)?;
            runs += u32::from(ran);
            if !ran && u.ratio(2, 3)? {
                progress.proven_not_run();
            }
        }
        assert!(progress.sent() <= attempts);
        if !kind.is_retryable() {
            assert!(runs <= 1);
        }
        let problem = progress.problem("end", false, Millis(100));
        if problem.outcome == Outcome::NotRun {
            assert_eq!(runs, 0);
        }
        Ok(())
    });
}
