//! A replica leaves without saying `draining`, while the store cuts waiting watches now and then.

use {
    crate::{
        CaseResult,
        client::{Connection, Outcome, Request},
        daemon::{Daemon, TemporaryFolder},
        network::Network,
        record::Record,
        replica::{Replica, Work},
        store::Store,
    },
    std::{
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering},
        },
        thread::{self, JoinHandle},
        time::Duration,
    },
};

const DAEMONS: u8 = 3;
const REPLICAS: u8 = 7;
const SERVICE: &str = "pay-gateway";

/// Bound of DRAIN in the settings.
const DRAIN_MS: u64 = 2_000;

/// Time from the start of traffic until the replica's entry goes.
const WARM_UP: Duration = Duration::from_secs(8);

/// Time for which the replica serves on after its entry went: `drainMs` and a little longer.
const SERVES_ON: Duration = Duration::from_millis(3_000);

/// Time between two cuts of the waiting watches.
const CUT_INTERVAL: Duration = Duration::from_millis(1_200);

/// Pause of a client between two requests.
const CLIENT_PAUSE: Duration = Duration::from_millis(100);
const CLIENTS_EACH: u8 = 5;

/// Time that the replicas work on a request.
const WORK_TIME: Duration = Duration::from_millis(60);

const CONFIG: &str = r#"{"version":7,"routes":[
{"name":"r-pay","host":"pule25.example","pathPrefix":"/pay/","kind":"non_idempotent","timeoutMs":800,"targetLatencyMs":100,"priority":2,"service":"pay-gateway","maxAttempts":1,"public":false,"affinity":false},
{"name":"r-levy","host":"pule25.example","pathPrefix":"/levy/","kind":"idempotent","timeoutMs":800,"targetLatencyMs":100,"priority":2,"service":"pay-gateway","maxAttempts":2,"public":false,"affinity":false}],
"services":[{"name":"pay-gateway","healthPath":"/health","maxConnections":49,"protocol":"h1","tls":false}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"tenants":[{"name":"bozi300","apiKeys":["9dnn2ctnfzs989anu6ws"],"priority":1}]}"#;

/// Runs the case; returns whether DRAIN was broken.
pub fn run(record: &Record, trouble: bool) -> CaseResult {
    let network = Network::draw()?;
    let store = Store::start(network.store(), record)?;
    store.put("op/config", CONFIG);
    let work = Work::Plain {
        time: WORK_TIME,
        bytes: 800,
    };
    let mut replicas = Vec::new();
    for number in 0..REPLICAS {
        let id = format!("i-{number}");
        let replica = Replica::start(&id, network.replica(number), 6, work, record)?;
        store.put(&format!("servers/{id}"), &replica.entry(SERVICE));
        replicas.push(replica);
    }
    let folder = TemporaryFolder::create()?;
    let mut daemons = Vec::new();
    for number in 0..DAEMONS {
        daemons.push(Daemon::start(number, DAEMONS, network, &folder, record)?);
    }
    for daemon in &daemons {
        daemon.wait_ready()?;
    }
    let done = Arc::new(AtomicBool::new(false));
    if trouble {
        cut_watches(&store, &done);
    }
    let clients = start_clients(network, record, &done);
    thread::sleep(WARM_UP);
    let leaving = &replicas[0];
    store.remove(&format!("servers/{}", leaving.id));
    let gone_ms = record.now();
    record.line(format!(
        "{gone_ms} ms: the store has removed the entry of replica {}",
        leaving.id
    ));
    thread::sleep(SERVES_ON);
    record.line(format!("{} ms: replica {} ends", record.now(), leaving.id));
    leaving.end();
    thread::sleep(Duration::from_secs(2));
    done.store(true, Ordering::SeqCst);
    let mut lost = 0;
    let mut sent = 0;
    for client in clients {
        let (requests, failed) = client.join().map_err(|_| "a client failed".to_owned())?;
        sent += requests;
        lost += failed;
    }
    for daemon in &daemons {
        daemon.record_events(&[
            "directory.lost",
            "directory.regained",
            "endpoint.doubted",
            "endpoint.gone",
        ]);
    }
    let late = leaving.arrivals();
    let late = late
        .values()
        .filter(|arrival| arrival.at_ms > gone_ms + DRAIN_MS);
    let late: Vec<u64> = late.map(|arrival| arrival.at_ms - gone_ms).collect();
    let last = late.iter().max().copied().unwrap_or(0);
    record.line(format!(
        "{sent} requests sent, {lost} not answered with 200; {} reached the replica more than {DRAIN_MS} ms after its \
         entry went, the last after {last} ms",
        late.len()
    ));
    if sent < 100 {
        return Err("too few requests were sent".into());
    }
    Ok(!late.is_empty())
}

/// Cuts the waiting watches at an interval until the run is done.
fn cut_watches(store: &Store, done: &Arc<AtomicBool>) {
    let (store, done) = (store.clone(), done.clone());
    thread::spawn(move || {
        while !done.load(Ordering::SeqCst) {
            thread::sleep(CUT_INTERVAL);
            store.cut_watches();
        }
    });
}

/// Starts the clients; each returns the number of its requests and of those that weren't answered with 200.
fn start_clients(
    network: Network,
    record: &Record,
    done: &Arc<AtomicBool>,
) -> Vec<JoinHandle<(usize, usize)>> {
    let mut clients = Vec::new();
    for daemon in 0..DAEMONS {
        for client in 0..CLIENTS_EACH {
            let (record, done) = (record.clone(), done.clone());
            let name = format!("c{daemon}{client}");
            clients.push(thread::spawn(move || {
                run_client(&name, network, daemon, &record, &done)
            }));
        }
    }
    clients
}

fn run_client(
    name: &str,
    network: Network,
    daemon: u8,
    record: &Record,
    done: &AtomicBool,
) -> (usize, usize) {
    let (mut sent, mut failed) = (0, 0);
    let mut connection = None;
    while !done.load(Ordering::SeqCst) {
        connection = connection.or_else(|| Connection::open(network.front(daemon)));
        let id = format!("{name}-{sent:04}");
        let (method, path, body): (&str, String, &[u8]) = match sent % 2 {
            0 => ("POST", format!("/pay/{id}"), b"sale"),
            _ => ("GET", format!("/levy/{id}"), b""),
        };
        let request = Request {
            method,
            path: &path,
            id: &id,
            deadline_ms: 1_500,
            headers: "",
            body,
        };
        let outcome = match &mut connection {
            Some(open) => open.exchange(&request),
            None => Outcome::NotConnected,
        };
        sent += 1;
        if outcome != Outcome::Answered(200) {
            failed += 1;
            record.event(format!("client: {id} got {outcome:?}"));
        }
        if !matches!(outcome, Outcome::Answered(_)) {
            connection = None;
        }
        thread::sleep(CLIENT_PAUSE);
    }
    (sent, failed)
}
