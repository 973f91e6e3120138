//! The daemon program as a process: a log pipe that nobody reads, descriptor limits, signals, reloads and a clean exit.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

#[path = "../../platform/tests/stand_in/mod.rs"]
mod stand_in;

mod process;

use {
    process::{
        DEFAULT_LIMITS, Limits, Log, LogFile, Process, is_ready, settings_file, signal, start,
        start_with,
    },
    serde_json::{Value, json},
    stand_in::{
        client,
        documents::{free_ports, plain_table},
        replica::{Act, Replica},
        run,
        store::StandInStore,
        test_ip, until,
    },
    std::{net::SocketAddr, process::Command, time::Duration},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpStream,
    },
};

/// Size of a reply that sockets don't hold, in bytes.
const LARGE_REPLY: usize = 7 << 20;

/// Returns a table with one route, whose requests may take up to 8 s.
fn config() -> Value {
    let mut table = plain_table(1, "/x/");
    let route = &mut table["routes"][0];
    route["timeoutMs"] = json!(8_000);
    route["maxAttempts"] = json!(1);
    table
}

async fn get(listen: SocketAddr, id: &str) -> u16 {
    let text = client::request("GET", "/x/1", id, &[], "");
    client::send(listen, &text).await.status
}

/// Requests are answered while nobody reads the pipe that the log is written to.
#[test]
fn unread_log() {
    run(async {
        let store = StandInStore::start().await;
        store.publish(&config());
        let _replica = Replica::start(&store, "i-1", "s").await;
        let process = start_with("blocked", &store, Log::Unread, DEFAULT_LIMITS).await;
        // Writes far more log lines than the pipe and the queue of lines hold together.
        for round in 0..250 {
            let requests = (0..20).map(|n| format!("r{round}-{n}"));
            let requests = requests.map(|id| async move { get(process.listen, &id).await });
            let tasks: Vec<_> = requests.collect();
            for status in futures_util::future::join_all(tasks).await {
                assert_eq!(status, 200);
            }
            log::info!(round; "answered");
        }
    });
}

/// A daemon that reports that it is ready accepts new connections, also while callers hold more idle ones than it may
/// open descriptors.
#[test]
fn idle_connections_make_room() {
    run(async {
        let store = StandInStore::start().await;
        store.publish(&config());
        let _replica = Replica::start(&store, "i-1", "s").await;
        let limits = Limits {
            descriptors: 64,
            ..DEFAULT_LIMITS
        };
        let process = start("idle", &store, limits).await;
        let mut idle = Vec::new();
        for _ in 0..100 {
            idle.push(TcpStream::connect(process.listen).await.unwrap());
        }
        let reply = tokio::time::timeout(Duration::from_secs(8), get(process.listen, "r1"));
        assert_eq!(reply.await.expect("the daemon didn't answer in time"), 200);
        assert!(is_ready(process.ready).await);
    });
}

/// Soak seed 116: a signal received while the daemon started terminated it.
#[test]
fn hangup_during_start() {
    run(async {
        let store = StandInStore::start().await;
        store.publish(&config());
        let _replica = Replica::start(&store, "i-1", "s").await;
        let [front, ready, peer] = free_ports(test_ip());
        // The daemon reads its settings from a pipe, so that its start blocks until they are written.
        let pipe = std::env::temp_dir().join(format!("hazelyoked-{}-pipe", std::process::id()));
        let _ = std::fs::remove_file(&pipe);
        let made = Command::new("mkfifo").arg(&pipe).status();
        assert!(made.unwrap().success());
        let log = LogFile::new("starting");
        let child = Command::new(env!("CARGO_BIN_EXE_hazelyoked"))
            .arg("--platform")
            .arg(&pipe)
            .stdout(log.stdout())
            .spawn()
            .unwrap();
        let process = Process {
            child,
            settings: pipe.clone(),
            listen: SocketAddr::new(test_ip(), front),
            ready: SocketAddr::new(test_ip(), ready),
            peer: SocketAddr::new(test_ip(), peer),
            log: Log::File(log),
        };
        // Opening the pipe for writing waits until the starting daemon has opened it for reading.
        let opened = pipe.clone();
        let writer = tokio::task::spawn_blocking(|| std::fs::File::create(opened).unwrap());
        let mut writer = writer.await.unwrap();
        signal(&process, "HUP");
        let ports = [front, ready, peer];
        let text = settings_file("starting", ports, store.address, DEFAULT_LIMITS).text();
        std::io::Write::write_all(&mut writer, text.as_bytes()).unwrap();
        // The reload that the signal causes reads an ordinary file.
        std::fs::remove_file(&pipe).unwrap();
        std::fs::write(&pipe, &text).unwrap();
        drop(writer);
        until(|| is_ready(process.ready), true).await;
        assert_eq!(get(process.listen, "r1").await, 200);
    });
}

/// After `SIGHUP` with an invalid settings file the daemon keeps serving; `SIGTERM` ends readiness first, then the process.
#[test]
fn reload_and_stop() {
    run(async {
        let store = StandInStore::start().await;
        store.publish(&config());
        let _replica = Replica::start(&store, "i-1", "s").await;
        let mut process = start("signals", &store, DEFAULT_LIMITS).await;
        signal(&process, "HUP");
        std::fs::write(&process.settings, "not = [settings").unwrap();
        signal(&process, "HUP");
        assert_eq!(get(process.listen, "r1").await, 200);
        signal(&process, "TERM");
        until(|| is_ready(process.ready), false).await;
        assert_eq!(get(process.listen, "r2").await, 200);
        let status = loop {
            if let Some(status) = process.child.try_wait().unwrap() {
                break status;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        };
        assert!(status.success(), "{status}");
    });
}

/// An answer whose caller reads slowly is sent to its end although the daemon stops: the process ended once its requests
/// had their answers, of which the connection had sent only a part.
#[test]
fn slow_reader_at_stop() {
    run(async {
        let store = StandInStore::start().await;
        store.publish(&config());
        let replica = Replica::start(&store, "i-1", "s").await;
        replica.set_default_act(Act::Answer("x".repeat(LARGE_REPLY)));
        let limits = Limits {
            grace_s: 7.5,
            ..DEFAULT_LIMITS
        };
        let mut process = start("slow-reader", &store, limits).await;
        let mut caller = TcpStream::connect(process.listen).await.unwrap();
        let text = client::request("GET", "/x/1", "r1", &[], "");
        caller.write_all(text.as_bytes()).await.unwrap();
        let mut received = caller.read(&mut [0; 1_024]).await.unwrap();
        signal(&process, "TERM");
        // Longer than the daemon accepts callers after the signal.
        tokio::time::sleep(Duration::from_millis(3_200)).await;
        let mut rest = Vec::new();
        received += caller.read_to_end(&mut rest).await.unwrap();
        assert!(received > LARGE_REPLY, "{received} bytes");
        let status = process.child.wait().unwrap();
        assert!(status.success(), "{status}");
    });
}

/// A reload raises the grace period of a stop: a request that takes longer than the earlier period is answered completely
/// although the daemon stops.
#[test]
fn reload_takes_effect() {
    run(async {
        let store = StandInStore::start().await;
        store.publish(&config());
        let replica = Replica::start(&store, "i-1", "s").await;
        let limits = Limits {
            grace_s: 1.0,
            ..DEFAULT_LIMITS
        };
        let process = start("reload", &store, limits).await;
        let before = std::fs::read_to_string(&process.settings).unwrap();
        let changed = before.replace("graceS = 1\n", "graceS = 20\n");
        assert_ne!(changed, before);
        std::fs::write(&process.settings, changed).unwrap();
        signal(&process, "HUP");
        until(|| async { process.has_logged("settings.reloaded") }, true).await;
        replica.push_act(Act::Wait(Duration::from_secs(3), "late".into()));
        let text = client::request("GET", "/x/1", "r1", &[], "");
        let stop = async {
            until(|| async { replica.received().len() }, 1).await;
            signal(&process, "TERM");
        };
        let (answer, ()) = tokio::join!(client::send(process.listen, &text), stop);
        assert_eq!((answer.status, answer.whole), (200, true));
        assert_eq!(answer.text(), "late");
    });
}
