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
        collections::BTreeMap,
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
const SLOTS: usize = 64;
const SERVICE: &str = "assist-llm";

/// Bound of DRAIN in the settings.
const DRAIN_MS: u64 = 2_000;

/// Time from the start of traffic until the replica's entry goes.
const WARM_UP: Duration = Duration::from_secs(8);

/// Time for which the replica serves on after its entry went: `drainMs` and some seconds.
const SERVES_ON: Duration = Duration::from_secs(5);

/// Time between two cuts of the waiting watches.
const CUT_INTERVAL: Duration = Duration::from_millis(1_200);

/// Clients at each daemon, and the pause of each between two streams: 24 streams a second in all.
const CLIENTS_EACH: u8 = 8;
const CLIENT_PAUSE: Duration = Duration::from_millis(100);

/// Time between the starts of two clients, so that streams begin all the time.
const CLIENT_STAGGER: Duration = Duration::from_millis(42);

/// A stream of 0.9 s.
const FIRST_EVENT: Duration = Duration::from_millis(300);
const EVENTS: u32 = 12;
const EVENT_PAUSE: Duration = Duration::from_millis(50);

const CONFIG: &str = r#"{"version":7,"routes":[
{"name":"r-levy","host":"pule25.example","pathPrefix":"/levy/","kind":"streaming","timeoutMs":15000,"targetLatencyMs":2000,"priority":0,"service":"assist-llm","maxAttempts":1,"public":false,"affinity":true,"resumable":false,"targetGapMs":400}],
"services":[{"name":"assist-llm","healthPath":"/health","maxConnections":280,"protocol":"h1","tls":false,"engine":{"slots":64,"kvCapacity":509358,"kvTokenBytes":18432,"linkMbps":130000.0,"models":[{"name":"m"}]}}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"tenants":[{"name":"bozi300","apiKeys":["9dnn2ctnfzs989anu6ws"],"priority":1}]}"#;

/// What each request got, by id.
type Outcomes = BTreeMap<String, Outcome>;

/// Runs the case; returns whether DRAIN was broken.
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
    let mut outcomes = Outcomes::new();
    for client in clients {
        outcomes.extend(client.join().map_err(|_| "a client failed".to_owned())?);
    }
    for daemon in &daemons {
        daemon.record_events(&[
            "directory.lost",
            "directory.regained",
            "endpoint.doubted",
            "endpoint.gone",
        ]);
    }
    let mut late = leaving.arrivals();
    late.retain(|_, arrival| arrival.at_ms > gone_ms + DRAIN_MS);
    let last = late.values().map(|arrival| arrival.at_ms - gone_ms).max();
    record.line(format!(
        "{} streams reached the replica more than {DRAIN_MS} ms after its entry went, the last after {} ms",
        late.len(),
        last.unwrap_or(0)
    ));
    let is_lost = |id: &String| outcomes.get(id) != Some(&Outcome::Answered(200));
    record.line(format!(
        "{} streams sent, {} not answered whole with 200; {} of the late ones weren't",
        outcomes.len(),
        outcomes.keys().filter(|id| is_lost(id)).count(),
        late.keys().filter(|id| is_lost(id)).count()
    ));
    if outcomes.len() < 100 {
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

/// Starts the clients; each returns what its requests got.
fn start_clients(
    network: Network,
    record: &Record,
    done: &Arc<AtomicBool>,
) -> Vec<JoinHandle<Outcomes>> {
    let mut clients = Vec::new();
    for daemon in 0..DAEMONS {
        for client in 0..CLIENTS_EACH {
            let (record, done) = (record.clone(), done.clone());
            let name = format!("c{daemon}{client}");
            clients.push(thread::spawn(move || {
                run_client(&name, network, daemon, &record, &done)
            }));
            thread::sleep(CLIENT_STAGGER);
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
) -> Outcomes {
    let mut outcomes = Outcomes::new();
    let mut connection = None;
    while !done.load(Ordering::SeqCst) {
        connection = connection.or_else(|| Connection::open(network.front(daemon)));
        let id = format!("{name}-{:04}", outcomes.len());
        let request = Request {
            method: "POST",
            path: &format!("/levy/{id}"),
            id: &id,
            deadline_ms: 15_000,
            headers: "Hazelyoke-Model: m\r\nHazelyoke-Token-Count: 707,49\r\n",
            body: b"levy",
        };
        let outcome = match &mut connection {
            Some(open) => open.exchange(&request),
            None => Outcome::NotConnected,
        };
        if outcome != Outcome::Answered(200) {
            record.event(format!("client: {id} got {outcome:?}"));
        }
        if !matches!(outcome, Outcome::Answered(_)) {
            connection = None;
        }
        outcomes.insert(id, outcome);
        thread::sleep(CLIENT_PAUSE);
    }
    outcomes
}
