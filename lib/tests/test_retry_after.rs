//! When a refused caller may try again.

use hazelyoke_lib::{
    pipeline::decision::retry_after::retry_after,
    shared::units::{Millis, WorkMillis},
};

#[test]
fn waits() {
    let waits = [
        (Some(f64::NAN), 50),
        (Some(-1.0), 50),
        (Some(0.0), 50),
        (Some(50.9), 50),
        (Some(51.0), 51),
        (Some(4_999.9), 4_999),
        (Some(5_000.5), 5_000),
        (Some(1e300), 5_000),
        (Some(f64::INFINITY), 5_000),
        (None, 1_000),
    ];
    for (finish, wait) in waits {
        assert_eq!(retry_after(finish.map(WorkMillis)), Millis(wait));
    }
}
