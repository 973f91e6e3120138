//! A daemon process that gets little processor time, in short turns: endpoints that answer in time aren't charged with its
//! own delay.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

#[path = "../../platform/tests/stand_in/mod.rs"]
mod stand_in;

mod process;

use {
    process::{DEFAULT_LIMITS, Process, signal, start},
    rustix::process::{Pid, Signal, kill_process},
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

/// Times for which the daemon runs and stands still in turn. Standing still for longer is a stall.
const TURNS: [(Duration, Duration); 2] = [
    (Duration::from_millis(6), Duration::from_millis(150)),
    (Duration::from_millis(5), Duration::from_millis(150)),
];

/// Time of an endpoint until its answer.
const ANSWER_TIME: Duration = Duration::from_millis(10);

/// Number of bursts, requests of each, and time between two bursts.
const BURSTS: usize = 3;
const REQUESTS: usize = 90;
const INTERVAL: Duration = Duration::from_millis(3_500);

async fn take_turns(process: &Process, (runs, stands): (Duration, Duration)) {
    let id = Pid::from_child(&process.child);
    loop {
        kill_process(id, Signal::STOP).unwrap();
        sleep(stands).await;
        kill_process(id, Signal::CONT).unwrap();
        sleep(runs).await;
    }
}

#[test]
fn short_turns() {
    for turns in TURNS {
        run(async {
            let store = StandInStore::start().await;
            store.publish(&table_of_kinds(1));
            let mut replicas = Vec::new();
            for number in 0..3 {
                let id = format!("i-{number}");
                let replica = Replica::start(&store, &id, "plain").await;
                replica.set_default_act(Act::Wait(ANSWER_TIME, "served".into()));
                replicas.push(replica);
            }
            let process = start("late", &store, DEFAULT_LIMITS).await;
            let requests = (0..BURSTS * REQUESTS).map(async |number| {
                sleep(INTERVAL * (number / REQUESTS) as u32).await;
                let text = client::request("GET", "/r/1", &format!("r{number}"), &[], "");
                client::send(process.listen, &text).await.status
            });
            let statuses = tokio::select! {
                statuses = futures_util::future::join_all(requests) => statuses,
                () = take_turns(&process, turns) => unreachable!("the turns don't end"),
            };
            signal(&process, "CONT");
            let served = statuses.iter().filter(|status| **status == 200).count();
            let ran: usize = replicas.iter().map(|replica| replica.ran().len()).sum();
            println!("{turns:?}: {served} served, {ran} runs");
            assert!(!process.has_logged("endpoint.set_aside"));
            assert!(ran <= statuses.len(), "{ran} runs");
            assert!(served >= REQUESTS, "{served} served");
        });
    }
}
