//! Daemons as processes that read an entry of another writer with a number larger than any sound one. They have to learn of
//! endpoints and tables that come later.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

#[path = "../../platform/tests/stand_in/mod.rs"]
mod stand_in;

mod process;

use {
    process::{DEFAULT_LIMITS, PROGRAM, Process, start, start_joined},
    rand::{RngExt, SeedableRng, rngs::SmallRng},
    serde_json::{Value, json},
    stand_in::{client, documents::plain_table, replica::Replica, run, store::StandInStore},
    std::time::{Duration, Instant},
};

/// Time in which daemons learn of a change.
const LEARN_LIMIT: Duration = Duration::from_secs(3);

/// The largest numbers of the usual sizes, and those around them.
const LARGE: [u64; 5] = [
    u32::MAX as u64,
    1 << 53,
    i64::MAX as u64,
    u64::MAX - 1,
    u64::MAX,
];

/// Unix time at which a sound endpoint started, in milliseconds.
const BORN: u64 = 1_790_000_000_000;

/// Base64 of an empty object.
const EMPTY_VALUE: &str = "e30=";

/// What the daemons do when the odd entry comes.
#[derive(Debug, Clone, Copy)]
enum Moment {
    /// They start afterwards.
    Start,
    /// They run.
    Change,
    /// They run, and one of them is killed and starts again, which has the list from the other one.
    Restart,
}

/// Two daemons, one of which has what it knows partly from the other.
struct Fleet {
    name: String,
    store: StandInStore,
    daemons: Vec<Process>,
    starts: u32,
}

impl Fleet {
    fn new(name: &str, store: &StandInStore) -> Self {
        Self {
            name: name.into(),
            store: store.clone(),
            daemons: Vec::new(),
            starts: 0,
        }
    }

    /// Starts a daemon, which joins one that runs.
    async fn start(&mut self) {
        self.starts += 1;
        let name = format!("{}-{}", self.name, self.starts);
        let daemon = match self.daemons.last() {
            Some(other) => start_joined(PROGRAM, &name, &self.store, other).await,
            None => start(&name, &self.store, DEFAULT_LIMITS).await,
        };
        self.daemons.push(daemon);
    }

    /// Waits until all daemons answer a request with this path with 200; returns false if they don't in time.
    async fn serves(&self, path: &str) -> bool {
        for daemon in &self.daemons {
            let begun = Instant::now();
            loop {
                let text = client::request("GET", path, "r", &[], "");
                if client::send(daemon.listen, &text).await.status == 200 {
                    break;
                }
                if begun.elapsed() > LEARN_LIMIT {
                    return false;
                }
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        }
        true
    }
}

/// Plays an odd entry that `put` writes, and returns what isn't served afterwards.
async fn play(name: &str, moment: Moment, put: impl Fn(&StandInStore)) -> Vec<String> {
    let store = StandInStore::start().await;
    store.publish(&plain_table(1, "/x/"));
    let first = Replica::start(&store, "i-first", "s").await;
    let mut fleet = Fleet::new(name, &store);
    match moment {
        Moment::Start => {
            put(&store);
            fleet.start().await;
            fleet.start().await;
        }
        Moment::Change => {
            fleet.start().await;
            fleet.start().await;
            put(&store);
        }
        Moment::Restart => {
            fleet.start().await;
            fleet.start().await;
            put(&store);
            // Processes are killed as they are dropped.
            drop(fleet.daemons.pop());
            fleet.start().await;
        }
    }
    let mut missing = Vec::new();
    let mut check = async |what: &str, path: &str| {
        if !fleet.serves(path).await {
            missing.push(format!("{name}, {moment:?}: {what}"));
        }
    };
    check("the endpoint before", "/x/1").await;
    let later = Replica::start_behind("i-later", async |address| address).await;
    later.restart_as(&store, "s", "v1", BORN);
    store.remove("servers/i-first");
    first.end();
    check("a later endpoint", "/x/1").await;
    store.publish(&plain_table(2, "/y/"));
    check("a later table", "/y/1").await;
    missing
}

/// Plays an odd entry at each moment.
async fn play_all(name: &str, put: impl Fn(&StandInStore)) -> Vec<String> {
    let mut missing = Vec::new();
    for moment in [Moment::Start, Moment::Change, Moment::Restart] {
        let name = format!("{name}-{moment:?}").to_lowercase();
        missing.extend(play(&name, moment, &put).await);
    }
    missing
}

fn put_item(store: &StandInStore, key: &str, item: &Value) {
    store.put_raw_item(key, item.to_string().as_bytes());
}

/// An entry of another writer, or of a sound endpoint's id.
fn entry(id: &str) -> (String, Value) {
    let key = format!("servers/{id}");
    let value = json!({"service": "s", "address": "127.0.0.9:9", "zone": "here", "version": "1",
        "slots": 4, "state": "ready", "coldRemainingMs": 0, "sequence": 1});
    (key, value)
}

/// Endpoints that came later stayed unknown to all daemons.
#[test]
fn large_revisions() {
    run(async {
        let mut missing = Vec::new();
        for (number, revision) in LARGE.into_iter().enumerate() {
            let item = json!({"key": "servers/odd", "value": EMPTY_VALUE, "revision": revision});
            let name = format!("odd-revision-{number}");
            missing.extend(play_all(&name, |store| put_item(store, "servers/odd", &item)).await);
        }
        assert!(missing.is_empty(), "{}", missing.join("\n"));
    });
}

/// A readable entry, a removal and an evacuation with such a revision.
#[test]
fn large_revisions_read() {
    run(async {
        let (key, value) = entry("odd");
        let text = base64(&value);
        let items = [
            json!({"key": key, "value": text, "revision": u64::MAX}),
            json!({"key": "servers/odd", "revision": u64::MAX, "gone": true}),
            json!({"key": "op/odd", "value": EMPTY_VALUE, "revision": u64::MAX}),
            json!({"key": "op/evacuate/nowhere", "value": EMPTY_VALUE, "revision": u64::MAX}),
        ];
        let mut missing = Vec::new();
        for (number, item) in items.iter().enumerate() {
            let key = item["key"].as_str().unwrap();
            let name = format!("odd-item-{number}");
            // Requests that go to the odd entry's address are sent to a sound endpoint next.
            missing.extend(play_all(&name, |store| put_item(store, key, item)).await);
        }
        assert!(missing.is_empty(), "{}", missing.join("\n"));
    });
}

/// An endpoint stayed unknown for good after another writer had written an entry under its id that started later than it.
#[test]
fn late_starts() {
    run(async {
        let mut missing = Vec::new();
        for (number, born) in LARGE.into_iter().skip(1).enumerate() {
            let put = |store: &StandInStore| {
                let (key, mut value) = entry("i-later");
                value["born"] = json!(born);
                store.put(&key, &value);
            };
            missing.extend(play_all(&format!("odd-start-{number}"), put).await);
        }
        assert!(missing.is_empty(), "{}", missing.join("\n"));
    });
}

/// Tables that came later weren't adopted.
#[test]
fn large_versions() {
    run(async {
        let put = |store: &StandInStore| store.publish(&plain_table(u64::MAX, "/x/"));
        let missing = play("odd-version", Moment::Change, put).await;
        assert!(missing.is_empty(), "{}", missing.join("\n"));
    });
}

/// Numbers, kinds and depths drawn for each field of an entry.
#[test]
fn drawn_entries() {
    run(async {
        let mut missing = Vec::new();
        for seed in 0..6 {
            let mut rng = SmallRng::seed_from_u64(seed);
            let (key, mut value) = entry("odd");
            for field in [
                "slots",
                "coldRemainingMs",
                "sequence",
                "born",
                "address",
                "more",
            ] {
                if rng.random_bool(0.5) {
                    value[field] = draw(&mut rng);
                }
            }
            let revision = draw_number(&mut rng);
            let item = json!({"key": key, "value": base64(&value), "revision": revision});
            let moment = [Moment::Start, Moment::Change, Moment::Restart][rng.random_range(0..3)];
            let name = format!("odd-drawn-{seed}");
            missing.extend(play(&name, moment, |store| put_item(store, &key, &item)).await);
        }
        assert!(missing.is_empty(), "{}", missing.join("\n"));
    });
}

fn draw_number(rng: &mut SmallRng) -> Value {
    match rng.random_range(0..4) {
        0 => json!(LARGE[rng.random_range(0..LARGE.len())]),
        1 => json!(rng.random::<u64>()),
        2 => json!(1e300),
        _ => json!(-1),
    }
}

fn draw(rng: &mut SmallRng) -> Value {
    match rng.random_range(0..3) {
        0 => draw_number(rng),
        1 => json!(format!("127.0.0.9:{}", rng.random_range(0..99_999))),
        _ => (0..rng.random_range(1..100)).fold(json!(0), |inner, _| json!([inner])),
    }
}

fn base64(value: &Value) -> String {
    use base64::{Engine, engine::general_purpose::STANDARD};
    STANDARD.encode(value.to_string())
}
