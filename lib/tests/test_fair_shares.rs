//! Wait allowances of customers under overload.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use hazelyoke_lib::{
    pipeline::decision::fair::FairShares,
    shared::{
        ids::CustomerId,
        units::{Share, Time, WorkMillis},
    },
};

const SECOND: u64 = 1_000_000;

fn customer(name: &str) -> CustomerId {
    name.parse().unwrap()
}

#[test]
fn large_has_less() {
    let mut shares = FairShares::default();
    for i in 0..100 {
        let now = Time(i * SECOND / 100);
        shares.record_requested(now, WorkMillis(200.0));
        shares.record_completed(now, WorkMillis(100.0));
        shares.record_admitted(now, &customer("large"), WorkMillis(100.0));
        if i % 10 == 0 {
            shares.record_admitted(now, &customer("small"), WorkMillis(100.0));
        }
    }
    let now = Time(SECOND);
    assert_eq!(shares.wait_allowance(now, &customer("small")), Share(1.0));
    assert_eq!(shares.wait_allowance(now, &customer("new")), Share(1.0));
    let large = shares.wait_allowance(now, &customer("large"));
    assert!((0.4..0.7).contains(&large.0), "{large}");
}

#[test]
fn drained_queue() {
    let mut shares = FairShares::default();
    for i in 0..100 {
        let now = Time(i * SECOND / 100);
        // More work is completed than requested, so no customer's allowance is reduced.
        shares.record_requested(now, WorkMillis(70.0));
        shares.record_completed(now, WorkMillis(100.0));
        shares.record_admitted(now, &customer("large"), WorkMillis(60.0));
        shares.record_admitted(now, &customer("small"), WorkMillis(10.0));
    }
    assert_eq!(
        shares.wait_allowance(Time(SECOND), &customer("large")),
        Share(1.0)
    );
}

#[test]
fn alone_has_all() {
    let mut shares = FairShares::default();
    for i in 0..100 {
        shares.record_admitted(Time(i * SECOND / 100), &customer("only"), WorkMillis(100.0));
    }
    assert_eq!(
        shares.wait_allowance(Time(SECOND), &customer("only")),
        Share(1.0)
    );
}

#[test]
fn gone_are_forgotten() {
    let mut shares = FairShares::default();
    for i in 0..21_000 {
        shares.record_admitted(Time(i), &customer(&format!("c{i}")), WorkMillis(10.0));
    }
    assert_eq!(shares.len(), 21_000);
    for i in 0..1_000 {
        let now = Time(60 * SECOND + i);
        shares.record_admitted(now, &customer("still-here"), WorkMillis(10.0));
    }
    assert_eq!(shares.len(), 1);
}
