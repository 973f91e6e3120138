//! Many users come at once, with bodies of a size that the configuration allows.
//!
//! The platform's part is to kill a process whose memory exceeds `memoryMb`, and to start it again after a short delay.

use {
    crate::{
        CaseResult,
        client::{Connection, Outcome, Request},
        daemon::{Daemon, MEMORY_MB, TemporaryFolder},
        network::Network,
        record::Record,
        replica::{Replica, Work},
        store::Store,
    },
    std::{
        sync::{
            Arc, Mutex,
            atomic::{AtomicBool, Ordering},
        },
        thread::{self, JoinHandle},
        time::{Duration, Instant},
    },
};

const DAEMONS: u8 = 2;
const REPLICAS: u8 = 9;
const SLOTS: usize = 64;
const SERVICE: &str = "assist-llm";

/// Size of a body, which is `maxBodyBytes` of the configuration.
const BODY_BYTES: usize = 4_194_304;

/// Time until the first event of a stream, its events, and the pause after each: 9.65 s in all, within the deadline of
/// 15 s, the pauses of 400 ms, and the 8 s (four times the objective) after which a client gives up without an event.
const FIRST_EVENT: Duration = Duration::from_secs(5);
const EVENTS: u32 = 31;
const EVENT_PAUSE: Duration = Duration::from_millis(150);
const DEADLINE_MS: u64 = 15_000;

/// Requests a second at each daemon, and the factor and time of the burst.
const RATE: f64 = 3.7;
const BURST_FACTOR: f64 = 2.4;
const BURST_START: Duration = Duration::from_secs(10);
const BURST_TIME: Duration = Duration::from_millis(6_500);

/// Time for which requests are sent.
const TRAFFIC: Duration = Duration::from_secs(20);

/// Time between two readings of a process's memory, and from its end to its next start.
const MEMORY_INTERVAL: Duration = Duration::from_millis(20);
const RESTART_DELAY: Duration = Duration::from_millis(500);

/// Number of requests that LOST lets a machine lose.
const MAX_LOST: usize = 3;

const CONFIG: &str = r#"{"version":7,"routes":[
{"name":"r-look","host":"pule25.example","pathPrefix":"/look/","kind":"idempotent","timeoutMs":15000,"targetLatencyMs":1700,"priority":2,"service":"look-up","maxAttempts":2,"public":false,"affinity":false},
{"name":"r-note","host":"pule25.example","pathPrefix":"/note/","kind":"streaming","timeoutMs":15000,"targetLatencyMs":2000,"priority":0,"service":"assist-llm","maxAttempts":1,"public":false,"affinity":true,"resumable":false,"targetGapMs":400}],
"services":[{"name":"assist-llm","healthPath":"/health","maxConnections":280,"protocol":"h1","tls":false,"engine":{"slots":64,"kvCapacity":509358,"kvTokenBytes":18432,"linkMbps":130000.0,"models":[{"name":"m"}]}},
{"name":"look-up","healthPath":"/health","maxConnections":280,"protocol":"h1","tls":false}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"tenants":[{"name":"bozi300","apiKeys":["9dnn2ctnfzs989anu6ws"],"priority":1}]}"#;

/// What became of one request.
struct Sent {
    id: String,
    daemon: u8,
    outcome: Outcome,
    /// Time at which its answer or its end came.
    ended_ms: u64,
}

/// A kill of a daemon whose memory exceeded its limit.
struct Kill {
    daemon: u8,
    at_ms: u64,
}

/// Runs the case; returns whether LOST was broken.
pub fn run(record: &Record, trouble: bool) -> CaseResult {
    let network = Network::draw()?;
    let store = Store::start(network.store(), record)?;
    store.put("op/config", CONFIG);
    let work = Work::Stream {
        first: FIRST_EVENT,
        events: EVENTS,
        pause: EVENT_PAUSE,
    };
    let mut replicas = Vec::new();
    for number in 0..REPLICAS {
        let id = format!("i-{number}");
        let replica = Replica::start(&id, network.replica(number), SLOTS, work, record)?;
        store.put(&format!("servers/{id}"), &replica.entry(SERVICE));
        replicas.push(replica);
    }
    let plain = Work::Plain {
        time: Duration::from_millis(15),
        bytes: 800,
    };
    let look_up = Replica::start("i-look", network.replica(REPLICAS), SLOTS, plain, record)?;
    store.put("servers/i-look", &look_up.entry("look-up"));
    let folder = TemporaryFolder::create()?;
    let mut daemons = Vec::new();
    for number in 0..DAEMONS {
        daemons.push(Daemon::start(number, DAEMONS, network, &folder, record)?);
    }
    for daemon in &daemons {
        daemon.wait_ready()?;
    }
    thread::sleep(Duration::from_secs(3));
    let done = Arc::new(AtomicBool::new(false));
    let kills = Arc::new(Mutex::new(Vec::new()));
    let watchers: Vec<_> = daemons
        .into_iter()
        .map(|daemon| {
            let (record, done, kills) = (record.clone(), done.clone(), kills.clone());
            thread::spawn(move || limit_memory(daemon, &record, &done, &kills))
        })
        .collect();
    let sent = send_traffic(network, record, trouble);
    done.store(true, Ordering::SeqCst);
    for watcher in watchers {
        let (number, peak) = watcher.join().map_err(|_| "a watcher failed".to_owned())?;
        record.line(format!(
            "daemon {number}: {} MB of memory at most, {MEMORY_MB} MB allowed",
            peak >> 20
        ));
    }
    judge(record, &sent, &replicas, &kills.lock().unwrap())
}

/// Kills a daemon when its memory exceeds its limit, and starts it again. Returns its number and its largest memory.
fn limit_memory(
    mut daemon: Daemon,
    record: &Record,
    done: &AtomicBool,
    kills: &Mutex<Vec<Kill>>,
) -> (u8, u64) {
    let mut peak = 0;
    while !done.load(Ordering::SeqCst) {
        let memory = daemon.memory();
        peak = peak.max(memory);
        if memory > MEMORY_MB << 20 {
            let (number, at_ms) = (daemon.number, record.now());
            record.line(format!(
                "{at_ms} ms: the platform kills daemon {number}, whose memory is {} MB",
                memory >> 20
            ));
            kills.lock().unwrap().push(Kill {
                daemon: number,
                at_ms,
            });
            daemon.kill();
            thread::sleep(RESTART_DELAY);
            if let Err(error) = daemon.restart() {
                record.line(error);
            }
        }
        thread::sleep(MEMORY_INTERVAL);
    }
    (daemon.number, peak)
}

/// Sends requests at the rate of the traffic, each from a client of its own, and waits for their ends.
fn send_traffic(network: Network, record: &Record, trouble: bool) -> Vec<Sent> {
    let body = Arc::new(vec![b'x'; BODY_BYTES]);
    let begin = Instant::now();
    let mut clients: Vec<JoinHandle<Sent>> = Vec::new();
    let mut due = Duration::ZERO;
    while due < TRAFFIC {
        thread::sleep(due.saturating_sub(begin.elapsed()));
        for daemon in 0..DAEMONS {
            let (record, body) = (record.clone(), body.clone());
            let id = format!("n{daemon}-{:04}", clients.len());
            clients.push(thread::spawn(move || {
                run_client(id, network, daemon, &record, &body)
            }));
        }
        let is_burst = trouble && due >= BURST_START && due < BURST_START + BURST_TIME;
        let rate = if is_burst { RATE * BURST_FACTOR } else { RATE };
        due += Duration::from_secs_f64(1.0 / rate);
    }
    clients
        .into_iter()
        .filter_map(|client| client.join().ok())
        .collect()
}

/// Looks something up, and sends the large request on the same connection.
fn run_client(id: String, network: Network, daemon: u8, record: &Record, body: &[u8]) -> Sent {
    let mut outcome = Outcome::NotConnected;
    if let Some(mut connection) = Connection::open(network.front(daemon)) {
        let look = format!("{id}-look");
        let first = connection.exchange(&Request {
            method: "GET",
            path: &format!("/look/{look}"),
            id: &look,
            deadline_ms: DEADLINE_MS,
            headers: "",
            body: b"",
        });
        outcome = first;
        if first == Outcome::Answered(200) {
            outcome = connection.exchange(&Request {
                method: "POST",
                path: &format!("/note/{id}"),
                id: &id,
                deadline_ms: DEADLINE_MS,
                headers: "Hazelyoke-Model: m\r\nHazelyoke-Token-Count: 1460,80\r\n",
                body,
            });
        }
    }
    let ended_ms = record.now();
    record.event(format!("client: {id} at daemon {daemon} got {outcome:?}"));
    Sent {
        id,
        daemon,
        outcome,
        ended_ms,
    }
}

/// Counts the requests that a replica had got and whose connection closed without an answer when their daemon ended, and
/// those whose answer was cut.
fn judge(record: &Record, sent: &[Sent], replicas: &[Replica], kills: &[Kill]) -> CaseResult {
    let has_run = |id: &str| {
        let mut runs = replicas.iter().map(Replica::arrivals);
        runs.any(|arrivals| arrivals.contains_key(id))
    };
    let whole = sent
        .iter()
        .filter(|sent| sent.outcome == Outcome::Answered(200));
    record.line(format!(
        "{} requests sent, {} answered with 200",
        sent.len(),
        whole.count()
    ));
    let mut is_broken = false;
    for kill in kills {
        let ended = sent.iter().filter(|sent| {
            let is_then = (kill.at_ms..kill.at_ms + 1_000).contains(&sent.ended_ms);
            is_then && sent.daemon == kill.daemon && has_run(&sent.id)
        });
        let ended: Vec<Outcome> = ended.map(|sent| sent.outcome).collect();
        let lost = ended
            .iter()
            .filter(|outcome| **outcome == Outcome::Closed)
            .count();
        let cut = ended
            .iter()
            .filter(|outcome| matches!(outcome, Outcome::Cut(_)))
            .count();
        record.line(format!(
            "{} ms: daemon {} ended; of the requests that replicas had got, {lost} got no answer and {cut} a part of one",
            kill.at_ms, kill.daemon
        ));
        is_broken |= lost > MAX_LOST;
    }
    if sent.len() < 50 {
        return Err("too few requests were sent".into());
    }
    Ok(is_broken)
}
