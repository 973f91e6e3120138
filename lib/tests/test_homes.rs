//! The data centres in which a request may run if its route or customer is restricted to regions.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use hazelyoke_lib::{
    gateway::{
        rules::{
            allowed_regions::Regions,
            eligibility::Places,
            piece_order::{DataCentreCounts, WaitingJob, WaitingOrder},
        },
        stages::job::JobId,
        table::HomeRegions,
    },
    shared::units::{ByteSize, Millis, Time},
};

fn regions() -> Regions {
    let places = [("a1", "a"), ("a2", "a"), ("b1", "b"), ("c1", "c")];
    let places = places.map(|(place, region)| (place.parse().unwrap(), region.parse().unwrap()));
    Regions(places.into_iter().collect())
}

fn homes(names: &[&str]) -> HomeRegions {
    let regions: Vec<_> = names.iter().map(|name| name.parse().unwrap()).collect();
    Some(regions.into())
}

fn names(places: &Places) -> Vec<String> {
    places.names().iter().map(ToString::to_string).collect()
}

#[test]
fn both_bind() {
    let regions = regions();
    assert_eq!(regions.places(&None, &None), Places::Anywhere);
    assert_eq!(names(&regions.places(&homes(&["a"]), &None)), ["a1", "a2"]);
    assert_eq!(
        names(&regions.places(&None, &homes(&["b", "c"]))),
        ["b1", "c1"]
    );
    let both = regions.places(&homes(&["a", "b"]), &homes(&["b", "c"]));
    assert_eq!(names(&both), ["b1"]);
    assert!(regions.places(&homes(&["a"]), &homes(&["c"])).is_nowhere());
    assert!(regions.places(&homes(&["nowhere"]), &None).is_nowhere());
}

/// A data centre without a region in the settings belongs to no region.
#[test]
fn unknown_place() {
    let places = regions().places(&homes(&["a"]), &None);
    assert!(places.allow(&"a1".parse().unwrap()));
    assert!(!places.allow(&"new".parse().unwrap()));
    assert!(Places::Anywhere.allow(&"new".parse().unwrap()));
}

/// Pieces wait for an endpoint in an allowed data centre, even past their objective.
#[test]
fn pieces_stay() {
    let places = regions().places(&homes(&["a"]), &None);
    let home = "a1".parse().unwrap();
    let job = |added| WaitingJob {
        id: JobId(1),
        waiting: 3,
        added,
        objective: Time(1_000_000),
        rank: 0,
        preferred: Some(&home),
        allowed: &places,
        moved: ByteSize(100),
    };
    let centres = ["a1", "a2", "b1"].map(|name| name.parse().unwrap());
    let counts = DataCentreCounts::new(centres.iter());
    let late = Time(1_000_000) + Millis(9_000);
    for (centre, jobs) in centres.iter().zip([1, 1, 0]) {
        let order = WaitingOrder::new(late, [job(Time(0))].into_iter(), centre, &counts);
        assert_eq!(order.jobs.len(), jobs, "{centre}");
        assert_eq!(order.local + order.shared, jobs * 3);
    }
}
