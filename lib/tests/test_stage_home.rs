//! In which data centre a stage's pieces should run.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use {
    arbtest::arbtest,
    hazelyoke_lib::{
        gateway::rules::{endpoint_choice::InputLocation, stage_placement::StagePlacement},
        shared::{ids::DataCentreId, units::ByteSize},
    },
};

fn centre(name: &str) -> DataCentreId {
    name.parse().unwrap()
}

fn inputs(located: &[(&str, u64)]) -> Vec<InputLocation> {
    let input = |(name, size): &(&str, u64)| InputLocation {
        data_centre: centre(name),
        region: None,
        size: ByteSize(*size),
    };
    located.iter().map(input).collect()
}

fn home(
    located: &[(&str, u64)],
    pieces: u32,
    result: u64,
    request: Option<&str>,
) -> Option<String> {
    let request = request.map(centre);
    let place = StagePlacement {
        inputs: &inputs(located),
        pieces,
        result_size: ByteSize(result),
        request: request.as_ref(),
    };
    place.preferred().map(ToString::to_string)
}

#[test]
fn first_stage() {
    assert_eq!(home(&[], 3, 1_500_000, Some("a")).as_deref(), Some("a"));
    assert_eq!(home(&[], 3, 1_500_000, None), None);
}

/// Many pieces with large inputs run near these; few pieces with a large result run near the request.
#[test]
fn fewest_bytes() {
    let located = [("b", 60_000); 6];
    assert_eq!(home(&located, 10, 6_000, Some("a")).as_deref(), Some("b"));
    let located = [("b", 8_000)];
    assert_eq!(home(&located, 6, 60_000, Some("a")).as_deref(), Some("a"));
    let split = [("b", 60_000), ("c", 60_000), ("c", 60_000)];
    assert_eq!(home(&split, 10, 6_000, None).as_deref(), Some("c"));
}

#[test]
fn request_on_tie() {
    let located = [("b", 6_000)];
    assert_eq!(home(&located, 2, 6_000, Some("a")).as_deref(), Some("a"));
}

/// No other data centre needs fewer bytes to cross.
#[test]
fn least_crossing() {
    arbtest(|u| {
        let names = ["a", "b", "c"];
        let mut located = Vec::new();
        for _ in 0..u.int_in_range(0..=6u8)? {
            located.push((*u.choose(&names)?, u.int_in_range(0..=90_000u64)?));
        }
        let pieces = u.int_in_range(1..=20u32)?;
        let result = u.int_in_range(0..=90_000u64)?;
        let chosen = home(&located, pieces, result, Some("a")).unwrap();
        let crossing = |place: &str| {
            let fetched = located.iter().filter(|(name, _)| *name != place);
            let fetched: u64 = fetched.map(|(_, size)| size).sum();
            let sent = if place == "a" { 0 } else { result };
            (fetched + sent) * u64::from(pieces)
        };
        let least = names.into_iter().map(crossing).min().unwrap();
        assert_eq!(crossing(&chosen), least);
        Ok(())
    });
}
