//! What the parts that engines keep prove about where a stream began.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use {
    arbtest::arbtest,
    hazelyoke_lib::{
        gateway::{
            dialect::{KeptPart, PromptPart},
            directory::endpoint_entry::{EndpointEntry, StartTime},
            kept_parts::store::KeptParts,
            revision::Revision,
            rules::{
                kept_origin::{Kept, Witness, ask_interval, kept_origin},
                stream_origin::StreamOrigin,
            },
        },
        shared::units::{Millis, Time},
    },
    std::sync::Arc,
};

const START: Time = Time(1_000_000);

const INTERVAL: Millis = Millis(1_000);

const OWN: PromptPart = PromptPart { id: 7, tokens: 40 };

const ONE: StreamOrigin = StreamOrigin(1);
const TWO: StreamOrigin = StreamOrigin(2);

fn witness(origin: Option<StreamOrigin>, kept: Kept) -> Witness {
    Witness { origin, kept }
}

fn entry(version: &str, started: u64) -> Arc<EndpointEntry> {
    Arc::new(EndpointEntry {
        id: "i-1".parse().unwrap(),
        service: "llm".parse().unwrap(),
        address: ([127, 0, 0, 1], 80).into(),
        data_centre: "here".parse().unwrap(),
        slots: 4,
        draining: false,
        cold: Millis(0),
        started: Some(StartTime(started)),
        version: Some(version.parse().unwrap()),
        revision: Revision::default(),
    })
}

#[test]
fn proofs() {
    use Kept::{Nothing, Tokens, Unknown};
    let one = |kept| witness(Some(ONE), kept);
    let two = |kept| witness(Some(TWO), kept);
    let cases = [
        (vec![], None),
        (vec![one(Tokens(45)), two(Nothing)], Some(ONE)),
        (vec![two(Nothing), one(Tokens(46)), one(Unknown)], Some(ONE)),
        (
            vec![one(Tokens(45)), one(Tokens(41)), two(Nothing)],
            Some(ONE),
        ),
        // Fewer tokens than the caller has events.
        (vec![one(Tokens(44)), two(Nothing)], None),
        (vec![one(Tokens(40)), two(Nothing)], None),
        // The other version may have written the events.
        (vec![one(Tokens(45)), two(Tokens(45))], None),
        (vec![one(Tokens(45)), two(Tokens(3))], None),
        (vec![one(Tokens(45)), two(Unknown)], None),
        (vec![one(Tokens(45)), witness(None, Unknown)], None),
        (vec![witness(None, Tokens(45)), two(Nothing)], None),
        (vec![one(Nothing), two(Nothing)], None),
    ];
    for (engines, wanted) in cases {
        assert_eq!(kept_origin(OWN, 5, &engines), wanted, "{engines:?}");
    }
}

/// Whatever the order of the engines, at most one origin is proven, and an engine of it wrote enough.
#[test]
fn drawn_witnesses() {
    arbtest(|u| {
        let count = u.int_in_range(0..=6)?;
        let mut engines = Vec::new();
        for _ in 0..count {
            let origin = [None, Some(ONE), Some(TWO)][u.choose_index(3)?];
            let kept = match u.int_in_range(0..=3)? {
                0 => Kept::Unknown,
                1 => Kept::Nothing,
                _ => Kept::Tokens(u.int_in_range(38..=48)?),
            };
            engines.push(witness(origin, kept));
        }
        let proven = kept_origin(OWN, 5, &engines);
        engines.reverse();
        assert_eq!(proven, kept_origin(OWN, 5, &engines));
        if let Some(origin) = proven {
            let is_same = |one: &Witness| one.origin == Some(origin);
            let wrote = |one: &Witness| matches!(one.kept, Kept::Tokens(45..));
            assert!(engines.iter().any(|one| is_same(one) && wrote(one)));
            let others = engines.iter().filter(|one| !is_same(one));
            assert!(others.into_iter().all(|one| one.kept == Kept::Nothing));
        }
        Ok(())
    });
}

/// An answer proves nothing once the engine's entry shows another version or start.
#[test]
fn changed_entry() {
    let mut store = KeptParts::default();
    let old = entry("v1", 1);
    assert_eq!(store.begin(START, INTERVAL, vec![old.clone()]).len(), 1);
    assert!(store.is_waiting(std::slice::from_ref(&old.id)));
    let kept = KeptPart { id: 7, tokens: 45 };
    store.record(&old, Some(vec![kept]));
    assert_eq!(store.witness(&old, 7).kept, Kept::Tokens(45));
    assert_eq!(store.witness(&old, 8).kept, Kept::Nothing);
    for new in [entry("v2", 1), entry("v1", 2)] {
        assert_eq!(store.witness(&new, 7).kept, Kept::Unknown);
    }
    // An answer that comes after the question was put to the next incarnation belongs to nobody.
    let new = entry("v2", 2);
    assert_eq!(store.begin(START, INTERVAL, vec![new.clone()]).len(), 1);
    store.record(&old, Some(vec![kept]));
    assert_eq!(store.witness(&new, 7).kept, Kept::Unknown);
}

/// Engines are asked once in an interval, and less often by each daemon of a large fleet.
#[test]
fn few_questions() {
    let mut store = KeptParts::default();
    let engine = entry("v1", 1);
    let ask = |store: &mut KeptParts, now| store.begin(now, INTERVAL, vec![engine.clone()]).len();
    assert_eq!(ask(&mut store, START), 1);
    assert_eq!(ask(&mut store, START + Millis(999)), 0);
    assert_eq!(ask(&mut store, START + INTERVAL), 1);
    store.record(&engine, None);
    assert_eq!(store.witness(&engine, 7).kept, Kept::Unknown);
    assert_eq!(ask_interval(7), INTERVAL);
    assert_eq!(ask_interval(400), Millis(20_000));
}
