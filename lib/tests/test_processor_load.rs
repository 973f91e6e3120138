//! When a daemon's processor counts as used up, and what it did lately.

use {
    hazelyoke_lib::{
        gateway::rules::processor_load::{ProcessorChange, ProcessorLoad, ProcessorSample},
        shared::units::{Capacity, Time},
    },
    std::time::Duration,
};

/// A host's share of a core, in millicores.
const CAPACITY: Capacity = Capacity(100);

/// Delay of a check on a host that stands still in each period.
const LATE: Duration = Duration::from_millis(60);

/// Time between two checks, in milliseconds.
const CHECK_MS: u64 = 100;

/// A daemon whose clock is checked at regular intervals.
#[derive(Default)]
struct Host {
    load: ProcessorLoad,
    at: Time,
    used: Duration,
    checks: u64,
}

impl Host {
    /// Checks the clock `checks` times, each a little late, with this share of the capacity used before each. Returns the
    /// changes.
    fn run(&mut self, checks: u64, usage: f64) -> Vec<ProcessorChange> {
        self.run_late(checks, usage, LATE)
    }

    fn run_late(&mut self, checks: u64, usage: f64, delay: Duration) -> Vec<ProcessorChange> {
        let mut changes = Vec::new();
        for _ in 0..checks {
            let time = Duration::from_millis(CHECK_MS) + delay;
            self.at = self.at + time;
            self.used += time.mul_f64(usage * CAPACITY.cores());
            self.checks += 1;
            let sample = ProcessorSample {
                at: self.at,
                used: self.used,
                delay,
                in_flight: self.checks as usize,
            };
            changes.extend(self.load.record(sample, CAPACITY));
        }
        changes
    }
}

#[test]
fn exhausted_once() {
    let mut host = Host::default();
    assert_eq!(host.run(30, 0.8), []);
    assert!(!host.load.is_exhausted());
    assert_eq!(host.run(30, 0.9), [ProcessorChange::Exhausted]);
    assert!(host.load.is_exhausted());
}

/// Use alone makes nobody wait.
#[test]
fn busy_in_time() {
    let mut host = Host::default();
    assert_eq!(host.run_late(30, 1.0, Duration::ZERO), []);
    assert_eq!(host.run(30, 1.0), [ProcessorChange::Exhausted]);
    assert!(matches!(
        host.run_late(30, 1.0, Duration::ZERO)[..],
        [ProcessorChange::Recovered(_)]
    ));
}

/// Answers of others seem late by a few turns of a late event loop, and in time otherwise.
#[test]
fn own_delay() {
    let mut host = Host::default();
    host.run_late(30, 1.0, Duration::ZERO);
    assert_eq!(host.load.own_delay(), Duration::ZERO);
    host.run_late(1, 0.1, LATE);
    assert_eq!(host.load.own_delay(), 4 * LATE);
    // A pause of the whole process.
    host.run_late(1, 0.1, Duration::from_secs(5));
    assert_eq!(host.load.own_delay(), Duration::from_secs(1));
    host.run_late(30, 0.1, Duration::ZERO);
    assert_eq!(host.load.own_delay(), Duration::ZERO);
}

#[test]
fn recovers_later() {
    let mut host = Host::default();
    host.run(20, 1.0);
    assert_eq!(host.run(20, 0.75), []);
    assert!(matches!(
        host.run(20, 0.3)[..],
        [ProcessorChange::Recovered(_)]
    ));
    assert!(!host.load.is_exhausted());
}

#[test]
fn short_bursts() {
    let mut host = Host::default();
    for _ in 0..20 {
        assert_eq!(host.run(1, 1.0), []);
        assert_eq!(host.run(3, 0.5), []);
    }
}

#[test]
fn closed_connections_count() {
    let mut host = Host::default();
    host.run(20, 1.0);
    for _ in 0..20 {
        host.load.record_closed(host.at);
        assert_eq!(host.run(1, 0.3), []);
    }
    assert!(matches!(
        host.run(20, 0.3)[..],
        [ProcessorChange::Recovered(_)]
    ));
}

#[test]
fn mean_of_window() {
    let mut host = Host::default();
    host.run_late(20, 0.5, Duration::ZERO);
    let recent = host.load.recent();
    assert!((recent.usage - 0.5).abs() < 1e-6, "{recent:?}");
    // The last five intervals, from 15 to 20 requests.
    assert!((recent.in_flight - 17.5).abs() < 1e-6, "{recent:?}");
    assert_eq!(recent.delay, Duration::ZERO);
    host.run_late(1, 0.5, Duration::from_millis(300));
    assert_eq!(host.load.recent().delay, Duration::from_millis(300));
}

/// Without a capacity nothing is known of the use.
#[test]
fn no_capacity() {
    let mut load = ProcessorLoad::default();
    for second in 0..10 {
        let sample = ProcessorSample {
            at: Time(second * 1_000_000),
            used: Duration::from_secs(second),
            delay: Duration::ZERO,
            in_flight: 1,
        };
        assert_eq!(load.record(sample, Capacity(0)), None);
    }
    assert!(!load.is_exhausted());
}
