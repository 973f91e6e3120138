//! Another attempt is sent only where the request may run again and another endpoint can take it.

use {
    hazelyoke_lib::{
        gateway::{
            rules::{
                attempt_timeout::{AttemptPlan, attempt_timeout},
                resume::{is_resumable, may_resume, silence_limit},
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
            assert_eq!(may_resume(kind, sent, allowed), resumable, "{kind:?}");
        }
        for (sent, allowed) in [(1, 1), (2, 2), (3, 2)] {
            assert!(!may_resume(kind, sent, allowed), "{kind:?}");
        }
    }
}
