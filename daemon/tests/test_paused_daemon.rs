//! A daemon process that stands still while an endpoint of a new software version joins: streams that are taken up there as
//! soon as it goes on don't go on at another version.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

#[path = "../../platform/tests/stand_in/mod.rs"]
mod stand_in;

mod process;

use {
    process::{DEFAULT_LIMITS, signal, start},
    stand_in::{
        client,
        documents::table_of_kinds,
        replica::{Act, Replica},
        run,
        store::StandInStore,
    },
    std::time::Duration,
    tokio::time::sleep,
};

/// Times for which the daemon stands still.
const PAUSES: [Duration; 3] = [
    Duration::from_millis(500),
    Duration::from_millis(1_500),
    Duration::from_millis(5_000),
];

/// Tokens of the last part of the prompt.
const OWN_TOKENS: u64 = 40;

#[test]
fn joined_meanwhile() {
    for pause in PAUSES {
        run(async {
            let store = StandInStore::start().await;
            store.publish(&table_of_kinds(1));
            let whole = Act::Events {
                to: 6,
                pause: Duration::from_millis(5),
                whole: true,
            };
            let old = Replica::start_version(&store, "i-old", "llm", "v1").await;
            old.set_default_act(whole.clone());
            // The engine has read the prompts of attempts that brought no event.
            for number in 0..5 {
                old.set_kept(&format!("a{number}"), OWN_TOKENS + 3);
            }
            let process = start("paused", &store, DEFAULT_LIMITS).await;
            signal(&process, "STOP");
            sleep(pause).await;
            let new = Replica::start_version(&store, "i-new", "llm", "v2").await;
            new.set_default_act(whole);
            for number in 0..5 {
                new.set_kept(&format!("a{number}"), OWN_TOKENS + 2);
            }
            let taken_up = (0..5).map(async |number| {
                let prompt = format!("10:20,a{number}:{OWN_TOKENS}");
                let id = format!("again-{number}");
                let text = client::take_up_request(&id, "first", &prompt);
                client::send(process.listen, &text).await
            });
            let answers = futures_util::future::join_all(taken_up);
            let going_on = async {
                // The requests wait in the sockets of the process.
                sleep(Duration::from_millis(50)).await;
                signal(&process, "CONT");
            };
            let (answers, ()) = tokio::join!(answers, going_on);
            for answer in answers {
                assert_eq!(answer.status, 503, "{}", answer.text());
                assert!(answer.text().contains("not_run"), "{}", answer.text());
            }
            assert!(old.received().is_empty() && new.received().is_empty());
        });
    }
}
