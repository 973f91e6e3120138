//! The data centres in which a request may run if its route or customer is restricted to regions.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use hazelyoke_lib::{
    gateway::{
        rules::{
            allowed_regions::Regions,
            eligibility::AllowedDataCentres,
            piece_order::{DataCentreCounts, WaitingJob, WaitingOrder},
        },
        stages::job::JobId,
        table::AllowedRegions,
    },
    shared::units::{ByteSize, Millis, Time},
};

fn regions() -> Regions {
    let data_centres = [("a1", "a"), ("a2", "a"), ("b1", "b"), ("c1", "c")];
    let data_centres = data_centres
        .map(|(data_centre, region)| (data_centre.parse().unwrap(), region.parse().unwrap()));
    Regions(data_centres.into_iter().collect())
}

fn regions_named(names: &[&str]) -> AllowedRegions {
    let regions: Vec<_> = names.iter().map(|name| name.parse().unwrap()).collect();
    Some(regions.into())
}

fn names(allowed: &AllowedDataCentres) -> Vec<String> {
    allowed.names().iter().map(ToString::to_string).collect()
}

#[test]
fn both_bind() {
    let regions = regions();
    assert_eq!(regions.allowed(&None, &None), AllowedDataCentres::Anywhere);
    assert_eq!(
        names(&regions.allowed(&regions_named(&["a"]), &None)),
        ["a1", "a2"]
    );
    assert_eq!(
        names(&regions.allowed(&None, &regions_named(&["b", "c"]))),
        ["b1", "c1"]
    );
    let both = regions.allowed(&regions_named(&["a", "b"]), &regions_named(&["b", "c"]));
    assert_eq!(names(&both), ["b1"]);
    assert!(
        regions
            .allowed(&regions_named(&["a"]), &regions_named(&["c"]))
            .is_nowhere()
    );
    assert!(
        regions
            .allowed(&regions_named(&["nowhere"]), &None)
            .is_nowhere()
    );
}

/// A data centre without a region in the settings belongs to no region.
#[test]
fn unknown_place() {
    let allowed = regions().allowed(&regions_named(&["a"]), &None);
    assert!(allowed.allow(&"a1".parse().unwrap()));
    assert!(!allowed.allow(&"new".parse().unwrap()));
    assert!(AllowedDataCentres::Anywhere.allow(&"new".parse().unwrap()));
}

/// Pieces wait for an endpoint in an allowed data centre, even past their objective.
#[test]
fn pieces_stay() {
    let allowed = regions().allowed(&regions_named(&["a"]), &None);
    let home = "a1".parse().unwrap();
    let job = |added| WaitingJob {
        id: JobId(1),
        waiting: 3,
        added,
        objective: Time(1_000_000),
        rank: 0,
        preferred: Some(&home),
        allowed: &allowed,
        crossing_size: ByteSize(100),
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
