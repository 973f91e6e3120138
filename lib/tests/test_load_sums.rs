//! Sums of loads from coordinators: the newest sum replaces earlier ones, and is dropped when it is stale.

use hazelyoke_lib::{
    gateway::{
        hashes::EndpointHash,
        peers::{load_sums::LoadSums, message::LoadNote},
    },
    shared::units::{Millis, Time},
};

fn load(endpoint: u32, running: u32, prefill: u32) -> LoadNote {
    LoadNote {
        endpoint: EndpointHash(endpoint),
        running,
        prefill,
    }
}

#[test]
fn newest_sums() {
    let mut sums = LoadSums::default();
    sums.merge(Time(0), &[load(1, 2, 300), load(2, 4, 0)]);
    sums.merge(Time(1), &[load(1, 3, 100)]);
    let loads = sums.by_endpoint();
    assert_eq!(loads.len(), 2);
    assert_eq!(loads[&EndpointHash(1)].running, 3);
    assert_eq!(loads[&EndpointHash(1)].prefill, 100.0);
    assert_eq!(loads[&EndpointHash(2)].running, 4);
}

#[test]
fn stale_sums() {
    let mut sums = LoadSums::default();
    sums.merge(Time(0), &[load(1, 2, 300)]);
    sums.merge(Time(7), &[load(2, 4, 0)]);
    let end = Time(0) + Millis(1_500);
    sums.expire(Time(end.0 - 1));
    assert_eq!(sums.by_endpoint().len(), 2);
    sums.expire(end);
    assert!(sums.by_endpoint().contains_key(&EndpointHash(2)));
    assert_eq!(sums.by_endpoint().len(), 1);
}
