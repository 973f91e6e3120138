//! Limits on the requests that all daemons together send to a cold endpoint, without coordination.

use {
    hazelyoke_lib::{
        gateway::rules::cold_share::ColdShare,
        shared::units::{Millis, Time},
    },
    hazelyoke_testutils::draws::Draws,
    std::collections::VecDeque,
};

/// Requests per second that the endpoints of these tests can take.
const CAPACITY: f64 = 20.0;

/// Interval at which a daemon with pending requests checks whether it may send one.
const CHECK_INTERVAL: Millis = Millis(10);

/// Returns the maximum number of requests in any second, and their total, of daemons that send whenever they may. Each
/// daemon assumes a fleet of `assumed` daemons and has a random start time.
fn flood(daemons: usize, assumed: usize, seconds: u64, seed: u64) -> (usize, usize) {
    let mut draws = Draws::new(seed);
    let share = ColdShare::new(Some(CAPACITY), assumed);
    let phases: Vec<f64> = (0..daemons)
        .map(|_| draws.below(1_000_000) as f64 / 1e6)
        .collect();
    let starts: Vec<u64> = (0..daemons).map(|_| draws.below(60_000_000)).collect();
    let mut last: Vec<Option<Time>> = vec![None; daemons];
    let mut window: VecDeque<u64> = VecDeque::new();
    let (mut most, mut all) = (0, 0);
    for check in 0..seconds * 1_000 / CHECK_INTERVAL.0 {
        let at = check * CHECK_INTERVAL.0 * 1_000;
        for daemon in 0..daemons {
            let now = Time(at + starts[daemon]);
            if share.may_send(now, last[daemon], phases[daemon]) {
                last[daemon] = Some(now);
                window.push_back(at);
                all += 1;
            }
        }
        while window.front().is_some_and(|sent| sent + 1_000_000 <= at) {
            window.pop_front();
        }
        most = most.max(window.len());
    }
    (most, all)
}

/// A fleet with no more daemons than requests that the endpoint can take stays within that number in any second.
#[test]
fn small_fleet_shares() {
    for daemons in 1..=20 {
        let (most, all) = flood(daemons, daemons, 20, 1);
        assert!(most <= 20, "{daemons} daemons: {most}");
        // At least nearly half of the endpoint's capacity is used.
        assert!(all >= 180, "{daemons} daemons: {all}");
    }
}

/// A larger fleet takes turns and stays within the same limit.
#[test]
fn large_fleet_turns() {
    for (daemons, seed) in [(21, 1), (59, 2), (59, 3), (120, 4), (295, 5)] {
        let (most, all) = flood(daemons, daemons, 120, seed);
        assert!(most <= 20, "{daemons} daemons: {most}");
        assert!(all >= 360, "{daemons} daemons: {all}");
    }
}

/// Daemons that know only two thirds of the fleet stay within the limit, too.
#[test]
fn too_few_known() {
    for seed in 1..=3 {
        let (most, _) = flood(59, 40, 120, seed);
        assert!(most <= 20, "{most}");
    }
}

/// Unused turns don't accumulate: daemons that all start to send at the same time can't all do so.
#[test]
fn sudden_demand() {
    let share = ColdShare::new(Some(CAPACITY), 295);
    let mut draws = Draws::new(7);
    for second in 0..200 {
        let now = Time(second * 1_000_000);
        let phases = (0..295).map(|_| draws.below(1_000_000) as f64 / 1e6);
        let at_once = phases.filter(|phase| share.may_send(now, None, *phase));
        assert!(at_once.count() <= 20);
    }
}

#[test]
fn no_share() {
    let now = Time(5_000_000);
    assert!(!ColdShare::Nothing.may_send(now, None, 0.0));
    assert_eq!(ColdShare::new(None, 59), ColdShare::Unlimited);
    assert!(ColdShare::Unlimited.may_send(now, Some(now), 0.9));
}
