//! For how long a process ran since a time, although it stalled in between.

use hazelyoke_lib::{
    gateway::rules::stall::{CLOCK_CHECK, StallLog},
    shared::units::{Millis, Time},
};

fn at(ms: u64) -> Time {
    Time::default() + Millis(ms)
}

/// Checks the clock as a running daemon does, from one time to another.
fn run(stalls: &mut StallLog, from: u64, until: u64) {
    for ms in (from..=until).step_by(CLOCK_CHECK.0 as usize) {
        stalls.check(at(ms));
    }
}

fn ran_ms(stalls: &StallLog, since: u64, now: u64) -> u64 {
    stalls.ran_since(at(since), at(now)).as_millis() as u64
}

/// A running process has no stalls; gaps of up to two checks are none.
#[test]
fn running() {
    let mut stalls = StallLog::default();
    run(&mut stalls, 0, 5_000);
    stalls.check(at(5_200));
    assert_eq!(ran_ms(&stalls, 0, 5_200), 5_200);
    assert_eq!(ran_ms(&stalls, 4_000, 5_250), 1_250);
    assert_eq!(stalls.exclude_stalls(at(4_000), at(5_250)), at(4_000));
}

/// A stall and the grace period after it don't count, before and after the process has checked the clock again.
#[test]
fn one_standstill() {
    let mut stalls = StallLog::default();
    run(&mut stalls, 0, 2_000);
    // The clock is checked again only after this query.
    assert_eq!(ran_ms(&stalls, 1_500, 3_000), 500);
    run(&mut stalls, 3_000, 3_500);
    assert_eq!(ran_ms(&stalls, 1_500, 3_000), 500);
    assert_eq!(ran_ms(&stalls, 1_500, 3_100), 500);
    assert_eq!(ran_ms(&stalls, 1_500, 3_500), 900);
    assert_eq!(stalls.exclude_stalls(at(1_500), at(3_500)), at(2_600));
    // From a time within the stall, and from one after it.
    assert_eq!(ran_ms(&stalls, 2_500, 3_500), 400);
    assert_eq!(ran_ms(&stalls, 3_200, 3_500), 300);
}

/// Of repeated stalls, the time between two of them counts, except for the grace period.
#[test]
fn many_standstills() {
    let mut stalls = StallLog::default();
    let mut now = 0;
    for _ in 0..5 {
        run(&mut stalls, now, now + 300);
        now += 300 + 700;
    }
    run(&mut stalls, now, now);
    assert_eq!(ran_ms(&stalls, 0, now), 300 + 4 * 200);
    // Time shorter than the grace period doesn't count at all.
    let begun = now;
    for _ in 0..5 {
        stalls.check(at(now));
        stalls.check(at(now + 50));
        now += 500;
    }
    assert_eq!(ran_ms(&stalls, begun, now), 0);
}

/// Old stalls are forgotten, and don't count twice before.
#[test]
fn old_standstill() {
    let mut stalls = StallLog::default();
    run(&mut stalls, 0, 1_000);
    run(&mut stalls, 4_000, 13_900);
    assert_eq!(ran_ms(&stalls, 3_900, 13_900), 9_800);
    assert_eq!(ran_ms(&stalls, 0, 13_900), 10_800);
    run(&mut stalls, 13_900, 15_000);
    assert_eq!(ran_ms(&stalls, 14_000, 15_000), 1_000);
}
