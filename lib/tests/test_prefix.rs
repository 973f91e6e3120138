//! Assumed content of the engines' prefix caches.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use {
    hazelyoke_lib::{
        pipeline::decision::prefix::{BLOCK_BYTES, CacheEvent, Prefix, PrefixIndex},
        shared::{
            ids::MemberSerial,
            units::{Millis, Time},
        },
    },
    hazelyoke_testutils::{
        expect::{Step, answer},
        fixture::{Fixture, MODEL, TOKENS},
        http_client::CallerRequest,
    },
};

const A: MemberSerial = MemberSerial(1);
const B: MemberSerial = MemberSerial(2);

fn prompt(blocks: usize, end: &str) -> Vec<u8> {
    let mut text = vec![b'x'; blocks * BLOCK_BYTES];
    text.extend_from_slice(end.as_bytes());
    text
}

#[test]
fn longest_beginning() {
    let mut index = PrefixIndex::default();
    let now = Time(1);
    index.record_prompt(now, A, &Prefix::of(&prompt(2, "")));
    index.record_prompt(now, B, &Prefix::of(&prompt(4, "")));
    let holders = index.holders(now, &Prefix::of(&prompt(8, "question")));
    assert_eq!(holders.len(), 1);
    assert_eq!((holders[0].serial, holders[0].blocks), (B, 4));
    let holders = index.holders(now, &Prefix::of(&prompt(2, "question")));
    assert_eq!(holders.len(), 2);
    assert!(index.holders(now, &Prefix::of(b"short")).is_empty());
}

#[test]
fn other_beginning() {
    let mut index = PrefixIndex::default();
    index.record_prompt(Time(1), A, &Prefix::of(&prompt(4, "")));
    let mut other = prompt(4, "");
    other[0] = b'y';
    assert!(index.holders(Time(1), &Prefix::of(&other)).is_empty());
}

#[test]
fn given_up_block() {
    let mut index = PrefixIndex::default();
    let prefix = Prefix::of(&prompt(2, ""));
    index.record_prompt(Time(1), A, &prefix);
    let gone = CacheEvent {
        block: prefix.blocks()[1],
        held: false,
    };
    index.apply_events(Time(2), A, &[gone]);
    let holders = index.holders(Time(2), &prefix);
    assert_eq!((holders[0].serial, holders[0].blocks), (A, 1));
}

#[test]
fn forgotten_beliefs() {
    let mut index = PrefixIndex::default();
    let prefix = Prefix::of(&prompt(2, ""));
    index.record_prompt(Time(1), A, &prefix);
    let later = Time(1) + Millis(61_000);
    assert!(index.holders(later, &prefix).is_empty());
}

#[test]
fn bounded_memory() {
    let mut index = PrefixIndex::default();
    for number in 0..100_000_u64 {
        let event = CacheEvent {
            block: number,
            held: true,
        };
        index.apply_events(Time(number), A, &[event]);
    }
    assert!(index.len() <= 16_384, "{}", index.len());
}

#[tokio::test]
async fn same_engine_again() {
    let fixture = Fixture::start().await;
    let (_daemon, caller) = fixture.daemon().await;
    let engines = &fixture.endpoints["llm"];
    let context = "c".repeat(16 * BLOCK_BYTES);
    for number in 0..8 {
        let body = format!("{{\"context\":\"{context}\",\"n\":{number}}}");
        let expected = answer(&[Step::Engine(MODEL.into(), TOKENS)], body.as_bytes());
        let request = CallerRequest::new("/v1/services/llm", "market", body);
        assert_eq!(caller.post(request).await.unwrap().body, expected);
    }
    // Without the affinity, any engine could get each request. With it, one engine computes the prefix once, and at least
    // one other gets no request.
    let runs: Vec<_> = engines
        .iter()
        .map(|server| server.endpoint.runs().len())
        .collect();
    assert!(runs.contains(&0), "{runs:?}");
    let (prefilled, prompted) = engines
        .iter()
        .map(|server| server.endpoint.prompt_bytes())
        .fold((0, 0), |sum, one| (sum.0 + one.uncached, sum.1 + one.all));
    assert!(prefilled * 4 < prompted, "{prefilled} of {prompted}");
}
