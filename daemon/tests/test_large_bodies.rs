//! Bodies of requests hold no more memory than their host has: what doesn't fit is refused, and what was accepted is
//! answered.
//!
//! Guards against a burst of bodies of the largest size that the table allows, after which the platform killed daemons with
//! 43 or 44 requests that got no answer.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

#[path = "../../platform/tests/stand_in/mod.rs"]
mod stand_in;

mod process;

use {
    futures_util::future::join_all,
    process::{DEFAULT_LIMITS, Limits, most_memory_kb, start},
    serde_json::{Value, json},
    stand_in::{
        client::{self, Answer},
        documents::table_of_kinds,
        replica::{Act, Replica},
        run,
        store::StandInStore,
    },
    std::{net::SocketAddr, time::Duration},
};

/// Memory of the smallest hosts, in megabytes.
const MEMORY_MB: u64 = 120;

const BODY_BYTES: usize = 4 << 20;

/// Number of requests of a burst, whose bodies are larger than the memory.
const REQUESTS: usize = 40;

fn table() -> Value {
    let mut table = table_of_kinds(1);
    table["limits"]["maxBodyBytes"] = json!(BODY_BYTES);
    for route in table["routes"].as_array_mut().unwrap() {
        route["timeoutMs"] = json!(12_000);
        route["targetLatencyMs"] = json!(10_000);
    }
    table
}

async fn send(listen: SocketAddr, path: &str, id: String) -> Answer {
    let more = [("Hazelyoke-Deadline-Ms", "12000")];
    let body = "b".repeat(BODY_BYTES);
    client::send(listen, &client::request("POST", path, &id, &more, &body)).await
}

#[test]
fn burst_of_bodies() {
    run(async {
        let store = StandInStore::start().await;
        store.publish(&table());
        let replica = Replica::start(&store, "i-1", "plain").await;
        replica.set_default_act(Act::Wait(Duration::from_secs(2), "done".into()));
        let limits = Limits {
            memory_mb: MEMORY_MB,
            ..DEFAULT_LIMITS
        };
        let process = start("large-bodies", &store, limits).await;
        for (round, path) in ["/r/1", "/g/1"].into_iter().enumerate() {
            let sent = (0..REQUESTS).map(|number| {
                let id = format!("r{round}-{number}");
                send(process.listen, path, id)
            });
            let answers = join_all(sent).await;
            let served = answers.iter().filter(|answer| answer.status == 200);
            assert!(served.count() > 0);
            for answer in &answers {
                assert!(answer.whole, "{}", answer.head);
                if answer.status != 200 {
                    assert_eq!(answer.status, 503, "{}", answer.head);
                    assert!(answer.text().contains("not_run"), "{}", answer.text());
                    assert!(answer.header("retry-after").is_some(), "{}", answer.head);
                }
            }
        }
        let memory = most_memory_kb(&process);
        println!("{memory} kB");
        assert!(memory < MEMORY_MB * 1_024, "{memory} kB");
        // What the burst held is free again.
        replica.set_default_act(Act::Answer("done".into()));
        for number in 0..3 {
            let answer = send(process.listen, "/r/1", format!("later-{number}")).await;
            assert_eq!(answer.status, 200, "{}", answer.text());
        }
    });
}
