//! Ejection of endpoints that fail, and their return to service by probes.

use hazelyoke_lib::shared::{
    health::{Health, HealthState, can_spare},
    units::{Millis, Time},
};

#[test]
fn eject_and_probe() {
    let mut health = Health::default();
    let now = Time(1);
    assert!(!health.failed(now, true));
    assert!(!health.failed(now, true));
    assert!(health.failed(now, true));
    assert_eq!(health.state(now), HealthState::Ejected);
    let later = now + Millis(500);
    assert_eq!(health.state(later), HealthState::Probing);
    // A failed probe doubles the ejection time, and a successful one returns the endpoint to service.
    assert!(health.failed(later, true));
    assert_eq!(health.state(later + Millis(999)), HealthState::Ejected);
    let later = later + Millis(1_000);
    assert_eq!(health.state(later), HealthState::Probing);
    health.succeeded();
    assert_eq!(health.state(later), HealthState::Healthy);
}

#[test]
fn pool_spares_none() {
    let mut health = Health::default();
    for _ in 0..10 {
        assert!(!health.failed(Time(1), false));
    }
    assert_eq!(health.state(Time(1)), HealthState::Healthy);
}

#[test]
fn some_succeed() {
    let mut health = Health::default();
    let ejected = (0..200).any(|i| {
        if i % 5 < 2 {
            return health.failed(Time(1), true);
        }
        health.succeeded();
        false
    });
    assert!(ejected, "two of five calls fail");
    let mut health = Health::default();
    let ejected = (0..200).any(|i| {
        if i % 20 == 0 {
            return health.failed(Time(1), true);
        }
        health.succeeded();
        false
    });
    assert!(!ejected, "one of twenty calls fails");
}

#[test]
fn spared_endpoints() {
    for endpoints in 0..40 {
        for out in 0..=endpoints {
            let spares = (out + 1) * 2 <= endpoints;
            assert_eq!(can_spare(out, endpoints), spares, "{out} of {endpoints}");
        }
    }
}
