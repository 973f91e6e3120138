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
                distance::RegionRoundTrip,
                eligibility::AllowedDataCentres,
                endpoint_choice::{EndpointRequest, InputLocation},
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
const DATA_CENTRES: [(&str, &str); 4] = [
    ("n1", "north"),
    ("s1", "south"),
    ("n2", "north"),
    ("s2", "south"),
];

/// Number of endpoints in each data centre.
const ENDPOINTS_EACH: usize = 5;

fn regions() -> Regions {
    let data_centres = DATA_CENTRES
        .map(|(data_centre, region)| (data_centre.parse().unwrap(), region.parse().unwrap()));
    Regions(data_centres.into_iter().collect())
}

fn region(name: &str) -> RegionHash {
    region_hash(&name.parse().unwrap())
}

fn entry(data_centre: &str, number: usize) -> Arc<EndpointEntry> {
    let host = DATA_CENTRES
        .iter()
        .position(|(name, _)| *name == data_centre)
        .unwrap();
    Arc::new(EndpointEntry {
        id: format!("{data_centre}-{number}").parse().unwrap(),
        service: "s".parse().unwrap(),
        address: format!("10.{host}.0.1:{}", 80 + number).parse().unwrap(),
        data_centre: data_centre.parse().unwrap(),
        slots: 4,
        draining: false,
        cold: Millis(0),
        started: None,
        version: None,
        revision: 1.into(),
    })
}

/// Returns the endpoints as a daemon in a data centre knows them.
fn seen_from(data_centre: &str) -> EndpointStates {
    let mut states = EndpointStates::default();
    states.set_regions(&data_centre.parse().unwrap(), &regions());
    for (data_centre, _) in DATA_CENTRES {
        for number in 0..ENDPOINTS_EACH {
            states.upsert(NOW, entry(data_centre, number));
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

fn request<'a>(prompt: &'a Prompt, inputs: &'a [InputLocation]) -> EndpointRequest<'a> {
    EndpointRequest {
        prompt,
        affinity: true,
        tried: &[],
        inputs,
        connection_limit: u32::MAX,
        allowed: &AllowedDataCentres::Anywhere,
        origin: None,
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
    let choice = states.choose(NOW, &here, &service, &request(prompt, inputs));
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
            let data_centre = chosen(&states, here, &prompt(shared), &[]);
            assert!(
                data_centre.starts_with(home),
                "{shared} from {here} to {data_centre}"
            );
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
    let northern = ["n1", "n2"].into_iter().flat_map(|data_centre| {
        (0..ENDPOINTS_EACH).map(move |number| endpoint_hash(&entry(data_centre, number).id))
    });
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
    let mut round_trip = RegionRoundTrip::default();
    let first = round_trip.time(NOW);
    for took in [61.0, 40.2, 250.0] {
        round_trip.record(NOW, WorkMillis(took));
    }
    assert_eq!(round_trip.time(NOW), WorkMillis(40.2));
    let later = NOW + Millis(16_000);
    round_trip.record(later, WorkMillis(90.0));
    assert_eq!(round_trip.time(later), WorkMillis(40.2));
    let last = later + Millis(16_000);
    round_trip.record(last, WorkMillis(95.0));
    assert_eq!(round_trip.time(last), WorkMillis(90.0));
    assert_eq!(round_trip.time(last + Millis(60_000)), first);
}

/// Only connections to other regions are recorded, by region.
#[test]
fn ways_of_regions() {
    let mut states = seen_from("n1");
    states.record_connected(NOW, &entry("s1", 1), WorkMillis(41.0));
    states.record_connected(NOW, &entry("n2", 1), WorkMillis(1.0));
    let round_trip = |name| states.round_trip(NOW, Some(region(name)));
    assert_eq!(round_trip("south"), Some(WorkMillis(41.0)));
    assert_eq!(round_trip("north"), None);
    assert_eq!(states.round_trip(NOW, None), None);
}

/// There are no other regions in an installation with one region, nor for an unknown data centre.
#[test]
fn one_region() {
    let data_centres =
        ["a", "b"].map(|data_centre| (data_centre.parse().unwrap(), "only".parse().unwrap()));
    let one = Regions(data_centres.into_iter().collect());
    assert_eq!(one.region(&"a".parse().unwrap()), None);
    assert!(one.others(None).is_empty());
    let two = regions();
    assert_eq!(two.region(&"elsewhere".parse().unwrap()), None);
    assert_eq!(two.others(Some(region("north"))), [region("south")].into());
    let inside = two.within(&AllowedDataCentres::Anywhere, Some(region("south")));
    assert_eq!(
        inside,
        AllowedDataCentres::of_names(vec!["s1".parse().unwrap(), "s2".parse().unwrap()])
    );
}
