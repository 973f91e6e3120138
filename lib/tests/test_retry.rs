//! When a stage is sent again, and which retries the budget has to grant.

use hazelyoke_lib::{
    pipeline::decision::retry::{AttemptKind, NextStep, StageProgress, hedge_wait},
    settings::values::Settings,
    shared::units::{Count, Millis, Optional},
};

/// A stage whose only attempt so far has just ended.
const ENDED: StageProgress = StageProgress {
    attempts_sent: 1,
    in_flight: 0,
    max_attempts: Count(3),
    repeatable: true,
    tokens: 0,
    abandoned: false,
};

/// Returns all states with one to four attempts sent, and with and without another attempt in flight.
fn states() -> Vec<StageProgress> {
    let mut states = Vec::new();
    for bits in 0..64_u32 {
        states.push(StageProgress {
            attempts_sent: 1 + bits % 4,
            in_flight: (bits as usize >> 2) % 2,
            repeatable: bits & 8 > 0,
            abandoned: bits & 16 > 0,
            tokens: bits >> 5,
            ..ENDED
        });
    }
    states
}

#[test]
fn not_run() {
    for state in states() {
        let expected = match state {
            StageProgress { in_flight: 1, .. } => NextStep::Wait,
            StageProgress {
                attempts_sent: 1 | 2,
                abandoned: false,
                ..
            } => NextStep::Retry,
            _ => NextStep::GiveUp,
        };
        assert_eq!(state.after_not_run(), expected, "{state:?}");
    }
}

#[test]
fn may_have_run() {
    for state in states() {
        let expected = match state {
            StageProgress { in_flight: 1, .. } => NextStep::Wait,
            StageProgress {
                attempts_sent: 1 | 2,
                repeatable: true,
                abandoned: false,
                ..
            } => NextStep::RetryFromBudget,
            _ => NextStep::GiveUp,
        };
        assert_eq!(state.after_failure(), expected, "{state:?}");
    }
}

#[test]
fn guarded_ends() {
    for state in states() {
        let expected = !state.repeatable && state.in_flight == 1;
        assert_eq!(state.must_complete(), expected, "{state:?}");
    }
}

#[test]
fn hedges() {
    for state in states() {
        let expected = state.tokens == 0 && state.attempts_sent < 3;
        assert_eq!(state.may_hedge(false), expected, "{state:?}");
        assert!(!state.may_hedge(true), "{state:?}");
    }
}

#[test]
fn hedge_waits() {
    let mut settings = Settings::built_in();
    assert_eq!(hedge_wait(&settings, AttemptKind::Regular), None);
    settings.hedge_after.value = Optional(Some(Millis(40)));
    assert_eq!(
        hedge_wait(&settings, AttemptKind::Regular),
        Some(Millis(40))
    );
    assert_eq!(hedge_wait(&settings, AttemptKind::Hedge), None);
    settings.repeatable.value = false;
    assert_eq!(hedge_wait(&settings, AttemptKind::Regular), None);
}
