//! How the round-trip time to another region affects the choice of an endpoint.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use {
    hazelyoke_lib::{
        gateway::{
            dialect::{Prompt, PromptPart},
            directory::endpoint_entry::EndpointEntry,
            hashes::endpoint_hash,
            routing::{endpoint_state::PeerLoad, endpoint_states::EndpointStates},
            rules::{
                allowed_regions::{RegionHash, Regions, region_hash},
                cold_share::ColdShare,
                distance::RegionWay,
                eligibility::Places,
                endpoint_choice::{InputLocation, Placement},
            },
        },
        shared::{
            ids::DataCentreId,
            units::{ByteSize, Millis, Time, WorkMillis},
        },
    },
    std::sync::Arc,
};

const NOW: Time = Time(60_000_000);

/// Data centres with their regions, two in each of two regions.
const PLACES: [(&str, &str); 4] = [
    ("n1", "north"),
    ("s1", "south"),
    ("n2", "north"),
    ("s2", "south"),
];

/// Number of endpoints in each data centre.
const EACH: usize = 5;

fn regions() -> Regions {
    let places = PLACES.map(|(place, region)| (place.parse().unwrap(), region.parse().unwrap()));
    Regions(places.into_iter().collect())
}

fn region(name: &str) -> RegionHash {
    region_hash(&name.parse().unwrap())
}

fn entry(place: &str, number: usize) -> Arc<EndpointEntry> {
    let host = PLACES.iter().position(|(name, _)| *name == place).unwrap();
    Arc::new(EndpointEntry {
        id: format!("{place}-{number}").parse().unwrap(),
        service: "s".parse().unwrap(),
        address: format!("10.{host}.0.1:{}", 80 + number).parse().unwrap(),
        data_centre: place.parse().unwrap(),
        slots: 4,
        draining: false,
        cold: Millis(0),
        born: None,
        revision: 1.into(),
    })
}

/// Returns the endpoints as a daemon in a data centre knows them.
fn seen_from(place: &str) -> EndpointStates {
    let mut states = EndpointStates::default();
    states.set_regions(&place.parse().unwrap(), &regions());
    for (place, _) in PLACES {
        for number in 0..EACH {
            states.upsert(NOW, entry(place, number));
        }
    }
    states
}

fn prompt(shared: u64) -> Prompt {
    let part = |id, tokens| PromptPart { id, tokens };
    Prompt {
        parts: vec![part(shared, 2_500), part(1_000 + shared, 400)],
        tokens_in: 2_900,
        tokens_out: 10,
    }
}

fn placement<'a>(prompt: &'a Prompt, inputs: &'a [InputLocation]) -> Placement<'a> {
    Placement {
        prompt,
        affinity: true,
        tried: &[],
        inputs,
        connection_limit: u32::MAX,
        places: &Places::Anywhere,
        cold_share: ColdShare::Unlimited,
        cold_start: Millis(0),
        urgency: 0,
    }
}

/// Returns the data centre of the endpoint that a request gets.
fn chosen(
    states: &EndpointStates,
    here: &str,
    prompt: &Prompt,
    inputs: &[InputLocation],
) -> String {
    let here: DataCentreId = here.parse().unwrap();
    let service = "s".parse().unwrap();
    let choice = states.choose(NOW, &here, &service, &placement(prompt, inputs));
    choice.unwrap().entry.data_centre.to_string()
}

/// Guards against a preferred endpoint for shared parts of a prompt that is the same in all regions: half of the
/// requests then go to the other region, at a round trip of 40 ms, although their own region has as many endpoints.
/// Each region has its own preferred endpoint.
#[test]
fn own_region_first() {
    for (here, home) in [("n1", "n"), ("s2", "s")] {
        let states = seen_from(here);
        for shared in 0..40 {
            let place = chosen(&states, here, &prompt(shared), &[]);
            assert!(place.starts_with(home), "{shared} from {here} to {place}");
        }
    }
}

/// Requests go to the other region once the local one has no free slot, and return when it has.
#[test]
fn full_region_spills() {
    let mut states = seen_from("n1");
    let full = |running| PeerLoad {
        running,
        prefill: 0.0,
    };
    let northern = ["n1", "n2"]
        .into_iter()
        .flat_map(|place| (0..EACH).map(move |number| endpoint_hash(&entry(place, number).id)));
    let loads = northern.map(|hash| (hash, full(20))).collect();
    states.set_peer_loads(&loads);
    let plain = Prompt::default();
    assert!(chosen(&states, "n1", &plain, &[]).starts_with('s'));
    states.set_peer_loads(&Default::default());
    assert!(chosen(&states, "n1", &plain, &[]).starts_with('n'));
}

/// A request goes to the region of its large inputs, but small inputs don't matter.
#[test]
fn inputs_decide() {
    let states = seen_from("n1");
    let inputs = |bytes| {
        [InputLocation {
            data_centre: "s1".parse().unwrap(),
            region: Some(region("south")),
            size: ByteSize(bytes),
        }]
    };
    let plain = Prompt::default();
    assert_eq!(chosen(&states, "n1", &plain, &inputs(7_500_000)), "s1");
    assert!(chosen(&states, "n1", &plain, &inputs(10_000)).starts_with('n'));
}

/// The estimate is the shortest time of a connection, and half a minute later that time no longer counts.
#[test]
fn ways_learnt() {
    let mut way = RegionWay::default();
    let first = way.time(NOW);
    for took in [61.0, 40.2, 250.0] {
        way.record(NOW, WorkMillis(took));
    }
    assert_eq!(way.time(NOW), WorkMillis(40.2));
    let later = NOW + Millis(16_000);
    way.record(later, WorkMillis(90.0));
    assert_eq!(way.time(later), WorkMillis(40.2));
    let last = later + Millis(16_000);
    way.record(last, WorkMillis(95.0));
    assert_eq!(way.time(last), WorkMillis(90.0));
    assert_eq!(way.time(last + Millis(60_000)), first);
}

/// Only connections to other regions are recorded, by region.
#[test]
fn ways_of_regions() {
    let mut states = seen_from("n1");
    states.connected(NOW, &entry("s1", 1), WorkMillis(41.0));
    states.connected(NOW, &entry("n2", 1), WorkMillis(1.0));
    let way = |name| states.way(NOW, Some(region(name)));
    assert_eq!(way("south"), Some(WorkMillis(41.0)));
    assert_eq!(way("north"), None);
    assert_eq!(states.way(NOW, None), None);
}

/// There are no other regions in an installation with one region, nor for an unknown data centre.
#[test]
fn one_region() {
    let places = ["a", "b"].map(|place| (place.parse().unwrap(), "only".parse().unwrap()));
    let one = Regions(places.into_iter().collect());
    assert_eq!(one.region(&"a".parse().unwrap()), None);
    assert!(one.others(None).is_empty());
    let two = regions();
    assert_eq!(two.region(&"elsewhere".parse().unwrap()), None);
    assert_eq!(two.others(Some(region("north"))), [region("south")].into());
    let inside = two.within(&Places::Anywhere, Some(region("south")));
    assert_eq!(
        inside,
        Places::of_names(vec!["s1".parse().unwrap(), "s2".parse().unwrap()])
    );
}
