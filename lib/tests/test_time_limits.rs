//! A request's time limit follows from its caller, its route and the kind of its answer; its urgency follows from the
//! ranks of customer and route.

use hazelyoke_lib::{
    gateway::{
        rules::{
            time_limits::{caller_time, first_event_time, taken_up_time, work_time},
            urgency::urgency,
        },
        table::RouteKind,
    },
    shared::units::Millis,
};

#[test]
fn shorter_time() {
    for (remaining, timeout, time) in [
        (None, 60_000, 30_000),
        (None, 3_000, 3_000),
        (Some(900), 3_000, 900),
        (Some(9_000), 3_000, 3_000),
        (Some(0), 3_000, 0),
    ] {
        let found = caller_time(remaining.map(Millis), Millis(timeout));
        assert_eq!(found, Millis(time), "{remaining:?} of {timeout}");
    }
}

#[test]
fn answer_transit() {
    for (caller, work) in [(30_000, 29_985), (900, 885), (16, 1), (15, 0), (3, 0)] {
        assert_eq!(work_time(Millis(caller)), Millis(work));
    }
}

#[test]
fn first_event() {
    for (objective, gap, time) in [
        (100, 50, 2_000),
        (500, 250, 2_000),
        (600, 50, 2_400),
        (600, 400, 3_200),
        (1_000, 500, 4_000),
    ] {
        for resumable in [true, false] {
            let gap = Millis(gap);
            let kind = RouteKind::Stream { resumable, gap };
            let found = first_event_time(kind, Millis(objective));
            assert_eq!(found, Some(Millis(time)), "{kind:?} in {objective}");
        }
    }
    for kind in [RouteKind::Idempotent, RouteKind::NonIdempotent] {
        assert_eq!(first_event_time(kind, Millis(600)), None);
    }
}

/// Guards against streams that are taken up and refused because their first event would come too late, which has come
/// before.
#[test]
fn taken_up() {
    for (objective, gap, remaining, time) in [
        (1_700, 400, 12_000, 3_400),
        (1_700, 400, 5_000, 2_500),
        (1_700, 400, 900, 1_700),
        (600, 400, 12_000, 1_600),
        (100, 50, 12_000, 1_000),
    ] {
        let gap = Millis(gap);
        let kind = RouteKind::Stream {
            resumable: true,
            gap,
        };
        let found = taken_up_time(kind, Millis(objective), Millis(remaining));
        assert_eq!(found, Millis(time), "{kind:?} in {objective}");
    }
}

#[test]
fn customer_before_route() {
    for (customer, route, expected) in [
        (None, 0, 0),
        (None, 2, 2),
        (Some(0), 2, 2),
        (Some(1), 0, 3),
        (Some(1), 1, 4),
        (Some(2), 2, 8),
        (Some(3), 0, 9),
        (Some(7), 5, 9),
    ] {
        assert_eq!(urgency(customer, route), expected);
    }
}
