//! Load patterns at the queue of a stage, simulated in virtual time.

mod load;

use {
    hazelyoke_lib::{
        gateway::{rules::call_spacing::CallSpacing, table::BatchLimits},
        shared::units::{ByteSize, Millis, Time, WorkMillis},
    },
    load::{Outcome, Pattern, play},
};

/// A stage in four data centres at half of its capacity, whose calls have a high fixed cost.
fn busy_stage() -> Pattern {
    Pattern {
        limits: BatchLimits {
            slots: 1,
            pieces: 40,
            call_ms: 240.0,
            piece_ms: 5.1,
            capacity: ByteSize(1_000_000),
            retention: Millis(4_000),
        },
        endpoints: vec![4, 4, 4, 3],
        rate: 100.0,
        pieces: 4,
        seconds: 30,
        jitter: 0.1,
    }
}

/// Returns the mean of a value over three seeds.
fn mean_of(pattern: &Pattern, value: impl Fn(&Outcome) -> f64) -> f64 {
    let seeds = [1, 2, 3];
    let values = seeds.map(|seed| value(&play(pattern.clone(), seed)));
    values.iter().sum::<f64>() / values.len() as f64
}

/// Calls aren't bunched: at half of the stage's capacity, 99 of 100 jobs end within 560 ms (605 ms without spacing).
#[test]
fn spaced_calls() {
    let slowest = mean_of(&busy_stage(), |outcome| outcome.within(0.99));
    assert!(slowest <= 560.0, "{slowest}");
    let mean = mean_of(&busy_stage(), Outcome::mean);
    assert!(mean <= 355.0, "{mean}");
}

/// Spacing delays nothing under low load, with endpoints of different speed, or with few endpoints.
#[test]
fn nothing_held() {
    let calm = Pattern {
        rate: 20.0,
        ..busy_stage()
    };
    let mean = mean_of(&calm, Outcome::mean);
    assert!(mean <= 275.0, "{mean}");
    let unlike = Pattern {
        jitter: 0.5,
        ..busy_stage()
    };
    let mean = mean_of(&unlike, Outcome::mean);
    assert!(mean <= 400.0, "{mean}");
    let single = Pattern {
        endpoints: vec![1],
        rate: 10.0,
        ..busy_stage()
    };
    let mean = mean_of(&single, Outcome::mean);
    assert!(mean <= 490.0, "{mean}");
}

/// Near full load, calls are as full as without spacing, and all jobs end.
#[test]
fn full_load() {
    let full = Pattern {
        rate: 320.0,
        ..busy_stage()
    };
    let fill = mean_of(&full, Outcome::mean_fill);
    assert!(fill >= 35.0, "{fill}");
    let lost = mean_of(&full, |outcome| outcome.lost as f64);
    assert!(lost < 1.0, "{lost}");
}

/// A call that isn't full waits for its share of the average call time, and not at all if half of the endpoints are
/// free.
#[test]
fn due_times() {
    let start = Time(1_000_000);
    let spacing = CallSpacing::new(start, WorkMillis(300.0));
    assert_eq!(spacing.earliest_start(4, 1), start + Millis(60));
    assert_eq!(spacing.earliest_start(4, 2), start);
    assert_eq!(spacing.earliest_start(1, 1), start);
    let later = spacing.after_call(start + Millis(75), WorkMillis(400.0));
    assert_eq!(
        later.earliest_start(10, 1),
        Time((start + Millis(75)).0 + 24_800)
    );
}
