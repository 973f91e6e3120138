//! Another attempt is sent only if the request may run again and another endpoint can take it.

use {
    hazelyoke_lib::{
        gateway::{
            rules::{
                attempt_timeout::{AttemptPlan, attempt_timeout},
                outcome::AttemptHistory,
                reply_proof::NotRunReason,
                resume::{Hindrance, check_resume, is_resumable, silence_limit},
                retry::{AfterFailure, AttemptFailure, RetryReason, may_retry, next_step},
            },
            table::RouteKind,
        },
        shared::units::{Millis, WorkMillis},
    },
    std::time::Duration,
};

const RESUMABLE: RouteKind = RouteKind::Stream {
    resumable: true,
    gap: Millis(400),
};
const UNRESUMABLE: RouteKind = RouteKind::Stream {
    resumable: false,
    gap: Millis(400),
};
const KINDS: [RouteKind; 4] = [
    RouteKind::Idempotent,
    RouteKind::NonIdempotent,
    RESUMABLE,
    UNRESUMABLE,
];

fn plan(kind: RouteKind, expected: f64) -> AttemptPlan {
    AttemptPlan {
        kind,
        later_attempts: 1,
        other_endpoints: 1,
        expected: WorkMillis(expected),
    }
}

#[test]
fn attempt_timeouts() {
    for (kind, expected, limit_us) in [
        (RouteKind::Idempotent, 0.0, 120_000),
        (RouteKind::Idempotent, 15.0, 120_000),
        (RouteKind::Idempotent, 15.5, 124_000),
        (RouteKind::Idempotent, 100.0, 800_000),
        (RESUMABLE, 0.0, 2_500_000),
        (RESUMABLE, 15.5, 2_546_500),
        (RESUMABLE, 1_000.0, 5_500_000),
    ] {
        let found = attempt_timeout(&plan(kind, expected));
        assert_eq!(found, Some(Duration::from_micros(limit_us)), "{kind:?}");
    }
}

#[test]
fn no_alternative() {
    for kind in KINDS {
        let mut last = plan(kind, 100.0);
        last.later_attempts = 0;
        assert_eq!(attempt_timeout(&last), None, "{kind:?}");
        let mut alone = plan(kind, 100.0);
        alone.other_endpoints = 0;
        assert_eq!(attempt_timeout(&alone), None, "{kind:?}");
    }
    for kind in [RouteKind::NonIdempotent, UNRESUMABLE] {
        assert_eq!(attempt_timeout(&plan(kind, 100.0)), None, "{kind:?}");
    }
}

#[test]
fn stream_silence() {
    let ms = Duration::from_millis;
    assert_eq!(silence_limit(RESUMABLE, false), Some(ms(3_000)));
    assert_eq!(silence_limit(RESUMABLE, true), Some(ms(1_200)));
    for begun in [false, true] {
        assert_eq!(silence_limit(UNRESUMABLE, begun), None);
    }
}

#[test]
fn resumed_streams() {
    for kind in KINDS {
        let resumable = kind == RESUMABLE;
        assert_eq!(is_resumable(kind), resumable);
        for (sent, allowed) in [(0, 1), (1, 2), (1, 3), (2, 3)] {
            let expected = if resumable {
                Ok(())
            } else {
                Err(Hindrance::Kind)
            };
            assert_eq!(check_resume(kind, sent, allowed), expected, "{kind:?}");
        }
        for (sent, allowed) in [(1, 1), (2, 2), (3, 2)] {
            let expected = if resumable {
                Hindrance::Attempts
            } else {
                Hindrance::Kind
            };
            assert_eq!(check_resume(kind, sent, allowed), Err(expected), "{kind:?}");
        }
    }
}

fn history(sent: u32, not_run: u32, unreachable: u32) -> AttemptHistory {
    let mut history = AttemptHistory::default();
    (0..sent).for_each(|_| history.record_sent());
    (0..not_run).for_each(|_| history.record_not_run());
    (0..unreachable).for_each(|_| history.record_unreachable());
    history
}

#[test]
fn allowed_attempts() {
    for kind in KINDS {
        for (sent, allowed) in [(0, 1), (1, 2), (2, 4), (3, 4)] {
            let proven = history(sent, sent, 0);
            assert!(may_retry(kind, allowed, &proven), "{kind:?}");
        }
        for (sent, allowed) in [(1, 1), (4, 4), (5, 4)] {
            let proven = history(sent, sent, 0);
            assert!(!may_retry(kind, allowed, &proven), "{kind:?}");
        }
    }
}

#[test]
fn possible_runs() {
    for (kind, may_run_twice) in [
        (RouteKind::Idempotent, true),
        (RouteKind::NonIdempotent, false),
        (RESUMABLE, true),
        (UNRESUMABLE, false),
    ] {
        assert_eq!(may_retry(kind, 3, &history(1, 0, 0)), may_run_twice);
        assert_eq!(may_retry(kind, 3, &history(2, 1, 0)), may_run_twice);
        assert!(may_retry(kind, 3, &history(2, 2, 0)));
        // Unreachable endpoints don't count as attempts.
        assert!(may_retry(kind, 1, &history(0, 0, 3)));
    }
}

#[test]
fn unreachable_limit() {
    let failure = AttemptFailure::NotRun(NotRunReason::Unreachable);
    for unreachable in 1..4 {
        let step = next_step(failure, &history(0, 0, unreachable));
        assert_eq!(step, AfterFailure::ChooseAnother);
    }
    for unreachable in 4..6 {
        let step = next_step(failure, &history(0, 0, unreachable));
        assert_eq!(step, AfterFailure::GiveUp);
    }
    // Endpoints that refuse connections cost no time and have no limit.
    let ended = AttemptFailure::NotRun(NotRunReason::Ended);
    let step = next_step(ended, &history(0, 0, 3));
    assert_eq!(step, AfterFailure::ChooseAnother);
}

#[test]
fn next_steps() {
    let not_run = AttemptFailure::NotRun;
    for (failure, step) in [
        (not_run(NotRunReason::InputsGone), AfterFailure::RunStages),
        (
            not_run(NotRunReason::Refused),
            AfterFailure::Retry(RetryReason::NotRun),
        ),
        (
            not_run(NotRunReason::Replaced),
            AfterFailure::Retry(RetryReason::NotRun),
        ),
        (
            AttemptFailure::ServerError,
            AfterFailure::Retry(RetryReason::Failed),
        ),
        (
            AttemptFailure::PossiblyRun,
            AfterFailure::Retry(RetryReason::Failed),
        ),
    ] {
        for unreachable in [0, 4, 9] {
            assert_eq!(next_step(failure, &history(1, 0, unreachable)), step);
        }
    }
}
