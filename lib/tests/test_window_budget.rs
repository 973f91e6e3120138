//! Retries stay within the limits of the installation, over all daemons and every window.

use {
    hazelyoke_lib::{
        gateway::rules::retry_budget::{BudgetLimits, WindowBudget},
        shared::units::{Millis, Share, Time},
    },
    hazelyoke_testutils::seeds::for_seeds,
};

const LIMITS: BudgetLimits = BudgetLimits {
    ratio: Share(0.2),
    slack: 54.0,
    window: Millis(10_000),
};

/// A daemon that has just started grants retries by the ratio alone and doesn't use the slack.
#[test]
fn fresh_daemon() {
    let mut budget = WindowBudget::new(LIMITS, Time(0));
    assert!(!budget.withdraw(Time(1_000), 1));
    for _ in 0..20 {
        budget.deposit(Time(1_000));
    }
    let granted = (0..20).filter(|_| budget.withdraw(Time(2_000), 1)).count();
    assert_eq!(granted, 3);
}

/// Used retries are available again once the window has passed.
#[test]
fn spent_grants_return() {
    let mut budget = WindowBudget::new(LIMITS, Time(0));
    let late = Time(0) + Millis(20_000);
    let first = (0..100).filter(|_| budget.withdraw(late, 1)).count();
    assert!(first > 0);
    assert!(!budget.withdraw(late + Millis(9_999), 1));
    assert!(budget.withdraw(late + Millis(10_000), 1));
}

/// For any order of requests, retries and restarts at several daemons, no window holds more retries than the ratio of
/// its requests and the slack allow.
#[test]
fn fleet_bound() {
    for_seeds(200, 4096, |u| {
        let daemons = u.int_in_range(1..=7)?;
        let mut budgets: Vec<WindowBudget> = (0..daemons)
            .map(|_| WindowBudget::new(LIMITS, Time(0)))
            .collect();
        let mut now = Time(0) + Millis(30_000);
        let mut requests: Vec<Time> = Vec::new();
        let mut repeats: Vec<Time> = Vec::new();
        let steps = u.int_in_range(50..=400)?;
        for _ in 0..steps {
            now = now + Millis(u.int_in_range(0..=200)?);
            let daemon = u.choose_index(daemons)?;
            match u.int_in_range(0..=9u8)? {
                0..=4 => {
                    budgets[daemon].deposit(now);
                    requests.push(now);
                }
                5..=8 => {
                    if budgets[daemon].withdraw(now, daemons) {
                        repeats.push(now);
                    }
                }
                _ => budgets[daemon] = WindowBudget::new(LIMITS, now),
            }
            let within = |times: &[Time]| {
                let inside = |time: &&Time| now.since(**time) < LIMITS.window.to_duration();
                times.iter().filter(inside).count() as f64
            };
            let allowed = within(&requests) * LIMITS.ratio.0 + LIMITS.slack;
            assert!(within(&repeats) <= allowed);
        }
        Ok(())
    });
}
