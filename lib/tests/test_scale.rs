//! How the cost of scheduling and the size of digests grow with the fleet: counted for 30 to 1,000 daemons with ten
//! endpoints each.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use {
    hazelyoke_lib::{
        gateway::{
            directory::endpoint_entry::EndpointEntry,
            hashes::EndpointHash,
            peers::message::LoadNote,
            rules::{
                eligibility::AllowedDataCentres,
                gossip::{MAX_DIGEST_LOADS, digest_loads},
                retry_budget::{BudgetLimits, WindowBudget},
            },
            stages::{
                batch_queue::BatchQueue,
                job::{JobId, PieceInput, StageJob},
            },
            table::BatchLimits,
        },
        shared::units::{ByteSize, Millis, Share, Time},
    },
    std::{collections::HashSet, sync::Arc},
};

/// Sizes of the fleets, in daemons.
const FLEETS: [u64; 4] = [30, 100, 300, 1_000];

/// Number of endpoints per daemon.
const ENDPOINTS: u64 = 10;

/// Number of data centres of the endpoints.
const DATA_CENTRES: u64 = 4;

const NOW: Time = Time(20_000_000);

const LIMITS: BatchLimits = BatchLimits {
    slots: 1,
    pieces: 8,
    call_ms: 240.0,
    piece_ms: 15.0,
    capacity: ByteSize(17_000_000),
    retention: Millis(4_000),
};

fn entry(number: u64) -> Arc<EndpointEntry> {
    Arc::new(EndpointEntry {
        id: format!("e{number}").parse().unwrap(),
        service: "s".parse().unwrap(),
        address: format!("10.0.0.1:{}", number + 1).parse().unwrap(),
        data_centre: format!("dc{}", number % DATA_CENTRES).parse().unwrap(),
        slots: 1,
        draining: false,
        cold: Millis(0),
        started: None,
        version: None,
        revision: 1.into(),
    })
}

fn job(number: u64) -> StageJob {
    StageJob {
        digest: None,
        customer: None,
        request: format!("r{number}").into(),
        stage: 0,
        pieces: 2,
        input: PieceInput::Key("k".into()),
        deadline: NOW + Millis(10_000),
        objective: NOW + Millis(1_000 + number % 7),
        rank: 0,
        result: ByteSize(8_000),
        preferred: Some(format!("dc{}", number % DATA_CENTRES).parse().unwrap()),
        allowed: AllowedDataCentres::Anywhere,
        crossing_size: ByteSize(60_000),
    }
}

fn queue(endpoints: u64) -> BatchQueue {
    let limits = BudgetLimits {
        ratio: Share(0.2),
        slack: 1_000.0,
        window: Millis(10_000),
    };
    let mut queue = BatchQueue::new(LIMITS, WindowBudget::new(limits, Time(0)));
    let entries: Vec<_> = (0..endpoints).map(entry).collect();
    queue.set_endpoints(&entries);
    queue
}

/// Scheduling orders the jobs once for each data centre, however many calls result.
#[test]
fn planning_cost() {
    for (daemons, tight) in FLEETS
        .into_iter()
        .flat_map(|fleet| [(fleet, false), (fleet, true)])
    {
        let endpoints = daemons * ENDPOINTS;
        let mut queue = queue(endpoints);
        queue.set_tight(tight);
        for number in 0..endpoints {
            queue.add(NOW, JobId(number), job(number));
        }
        let calls = queue.schedule(NOW);
        assert!(calls.len() as u64 >= endpoints / 4, "{}", calls.len());
        let ordered = queue.ordered_jobs();
        assert!(ordered <= DATA_CENTRES * endpoints, "{daemons}: {ordered}");
    }
}

/// A load digest keeps its size however many endpoints a service has. It lists the busiest endpoints, and those that
/// have become less busy.
#[test]
fn digest_size() {
    for daemons in FLEETS {
        let endpoints = (daemons * ENDPOINTS) as u32;
        let load = |number: u32, running| LoadNote {
            endpoint: EndpointHash(number),
            running,
            prefill: number % 977,
        };
        let loads: Vec<LoadNote> = (0..endpoints).map(|number| load(number, 1)).collect();
        let first = digest_loads(loads.clone(), |_| false);
        assert!(first.len() <= MAX_DIGEST_LOADS);
        let least_named = first.iter().map(|load| load.prefill).min().unwrap();
        let named: HashSet<EndpointHash> = first.iter().map(|load| load.endpoint).collect();
        let larger = loads.iter().filter(|load| load.prefill > least_named);
        assert!(larger.clone().all(|load| named.contains(&load.endpoint)));
        let calm: Vec<LoadNote> = (0..endpoints)
            .map(|number| LoadNote {
                prefill: 0,
                ..load(number, 0)
            })
            .collect();
        let second = digest_loads(calm, |load| named.contains(&load.endpoint));
        assert_eq!(second.len(), named.len());
        assert!(second.iter().all(LoadNote::is_zero));
    }
}
