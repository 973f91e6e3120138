//! Time that the stages of a request need.

use hazelyoke_lib::{
    pipeline::decision::admission::RequiredTime,
    shared::units::{Millis, WorkMillis},
};

#[test]
fn sum_of_stages() {
    let mut required = RequiredTime::default();
    required.add_stage(Millis(1), WorkMillis(20.0), Some(WorkMillis(50.0)));
    // The minimum counts as work and doesn't shorten the wait.
    required.add_stage(Millis(40), WorkMillis(10.0), Some(WorkMillis(15.0)));
    // An endpoint that is faster than usual adds no wait, nor does a stage without endpoints.
    required.add_stage(Millis(1), WorkMillis(10.0), Some(WorkMillis(5.0)));
    required.add_stage(Millis(1), WorkMillis(10.0), None);
    required.add_unknown_stage(Millis(7));
    assert_eq!(required.work, WorkMillis(20.0 + 40.0 + 10.0 + 10.0 + 7.0));
    assert_eq!(required.wait, WorkMillis(30.0 + 5.0));
}
