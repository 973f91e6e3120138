//! Daemons as processes that are killed and start again while entries of other writers stand in a list of several pages.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

#[path = "../../platform/tests/stand_in/mod.rs"]
mod stand_in;

mod process;

use {
    process::{DEFAULT_LIMITS, PROGRAM, Process, start, start_joined},
    serde_json::json,
    stand_in::{client, documents::plain_table, replica::Replica, run, store::StandInStore},
};

/// Names of other writers that operators reported.
const NAMES: [&str; 5] = ["a00%#", "a01%#", "a02&b=", "a03+", "a04%C3%A9"];

/// Sends requests to a daemon and returns how many of them were served.
async fn served(process: &Process) -> usize {
    let mut served = 0;
    for number in 0..10 {
        let text = client::request("GET", "/x/1", &format!("r{number}"), &[], "");
        served += usize::from(client::send(process.listen, &text).await.status == 200);
    }
    served
}

/// Nothing was served after a restart.
#[test]
fn killed_daemons() {
    run(async {
        let store = StandInStore::start().await;
        store.publish(&plain_table(1, "/x/"));
        let mut replicas = Vec::new();
        for number in 0..6 {
            replicas.push(Replica::start(&store, &format!("i-{number}"), "s").await);
        }
        for page in 1..=3 {
            store.set_page(page);
            for round in 0..2 {
                let name = format!("first-{page}-{round}");
                let first = start(&name, &store, DEFAULT_LIMITS).await;
                let name = format!("second-{page}-{round}");
                let second = start_joined(PROGRAM, &name, &store, &first).await;
                assert_eq!((served(&first).await, served(&second).await), (10, 10));
                for process in [&first, &second] {
                    let faults = ["daemon.panicked", "task.ended"];
                    assert!(!faults.iter().any(|event| process.has_logged(event)));
                }
                // The processes are killed as they are dropped.
                for name in NAMES {
                    store.put(&format!("servers/{name}"), &json!(["of another writer"]));
                }
            }
        }
    });
}
