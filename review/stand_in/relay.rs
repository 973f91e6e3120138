//! The daemon that relays a connection to a replica is killed within an answer that ends with its connection.
//!
//! A daemon connects through another one when its own opening packet is lost. Here the replica's queue of new
//! connections is full for a moment, which drops the packet; the packet would be sent again after a second.

use {
    crate::{
        CaseResult,
        client::{Connection, Outcome, Request},
        daemon::{Daemon, TemporaryFolder},
        http::{read_head, read_sized},
        network::Network,
        record::Record,
        store::Store,
    },
    std::{
        io::{BufReader, ErrorKind, Write},
        net::{SocketAddr, TcpListener, TcpStream},
        os::fd::AsRawFd,
        sync::{
            Arc, Mutex,
            atomic::{AtomicBool, Ordering},
            mpsc,
        },
        thread,
        time::Duration,
    },
};

/// Number of daemons, and the one that serves the client. Any of the others may relay.
const DAEMONS: u8 = 7;
const SERVING: u8 = 0;

/// Number of requests that are sent until one is relayed. The run ends with the first of them.
const ROUNDS: u32 = 4;

/// Time for which the replica's queue of new connections stays full after the client has sent its request. A daemon asks
/// for a relay when a connection has taken 100 ms.
const FULL_TIME: Duration = Duration::from_millis(60);

/// Time from the first half of the answer to the kill, and to the second half.
const KILL_DELAY: Duration = Duration::from_millis(100);
const HALF_PAUSE: Duration = Duration::from_millis(400);

const FIRST_HALF: &str = "{\"approved\":true,\"items\":[{\"sku\":\"yam\",\"naira\":1200},";
const SECOND_HALF: &str = "{\"sku\":\"rice\",\"naira\":5400}],\"total\":6600}";

const CONFIG: &str = r#"{"version":7,"routes":[
{"name":"r-pay","host":"pule25.example","pathPrefix":"/pay/","kind":"non_idempotent","timeoutMs":4000,"targetLatencyMs":300,"priority":2,"service":"pay-gateway","maxAttempts":1,"public":false,"affinity":false}],
"services":[{"name":"pay-gateway","healthPath":"/health","maxConnections":49,"protocol":"h1","tls":false}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"tenants":[{"name":"bozi300","apiKeys":["9dnn2ctnfzs989anu6ws"],"priority":1}]}"#;

unsafe extern "C" {
    /// Sets the length of the queue of new connections of a listening socket.
    fn listen(socket: i32, backlog: i32) -> i32;
}

/// A replica that sends its answers in two halves without a length.
#[derive(Clone)]
struct SlowReplica {
    address: SocketAddr,
    accepts: Arc<AtomicBool>,
    /// Receives the id of a request once the first half of its answer was sent.
    half_sent: Arc<Mutex<mpsc::Sender<String>>>,
    record: Record,
}

impl SlowReplica {
    fn start(
        address: SocketAddr,
        record: &Record,
    ) -> Result<(Self, mpsc::Receiver<String>), String> {
        let listener = TcpListener::bind(address).map_err(|error| format!("replica: {error}"))?;
        listener
            .set_nonblocking(true)
            .map_err(|error| error.to_string())?;
        // SAFETY: the descriptor is a listening socket that stays open.
        if unsafe { listen(listener.as_raw_fd(), 0) } != 0 {
            return Err("the queue of new connections couldn't be shortened".into());
        }
        let (half_sent, receiver) = mpsc::channel();
        let replica = Self {
            address,
            accepts: Arc::new(AtomicBool::new(true)),
            half_sent: Arc::new(Mutex::new(half_sent)),
            record: record.clone(),
        };
        let serving = replica.clone();
        thread::spawn(move || serving.accept(&listener));
        Ok((replica, receiver))
    }

    fn accept(&self, listener: &TcpListener) {
        loop {
            if self.accepts.load(Ordering::SeqCst) {
                match listener.accept() {
                    Ok((stream, _)) => {
                        let _ = stream.set_nonblocking(false);
                        let replica = self.clone();
                        thread::spawn(move || replica.serve(stream));
                        continue;
                    }
                    Err(error) if error.kind() == ErrorKind::WouldBlock => {}
                    Err(_) => return,
                }
            }
            thread::sleep(Duration::from_millis(1));
        }
    }

    fn serve(&self, mut stream: TcpStream) {
        let Ok(copy) = stream.try_clone() else { return };
        let mut reader = BufReader::new(copy);
        let Ok(Some(head)) = read_head(&mut reader) else {
            return;
        };
        if read_sized(&mut reader, &head).is_err() {
            return;
        }
        let Some(id) = head.header("hazelyoke-request-id").map(str::to_owned) else {
            let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
            return;
        };
        self.record.event(format!("replica: runs {id}"));
        let text = format!(
            "HTTP/1.1 200 OK\r\nHazelyoke-Request-Id: {id}\r\nHazelyoke-Response-Stamp: i-0.{id}\r\n\
             Hazelyoke-Replica-Load: 1,0,6\r\nConnection: close\r\n\r\n{FIRST_HALF}"
        );
        if stream.write_all(text.as_bytes()).is_err() {
            return;
        }
        self.record.event(format!(
            "replica: sent the first half of the answer to {id}"
        ));
        let _ = self.half_sent.lock().unwrap().send(id.clone());
        thread::sleep(HALF_PAUSE);
        let sent = stream.write_all(SECOND_HALF.as_bytes());
        self.record.event(format!(
            "replica: second half of the answer to {id}: {sent:?}"
        ));
    }
}

/// Runs the case; returns whether MIXED was broken.
pub fn run(record: &Record, trouble: bool) -> CaseResult {
    let network = Network::draw()?;
    let store = Store::start(network.store(), record)?;
    store.put("op/config", CONFIG);
    let (replica, half_sent) = SlowReplica::start(network.replica(0), record)?;
    let address = replica.address;
    store.put(
        "servers/i-0",
        &format!(
            "{{\"service\":\"pay-gateway\",\"address\":\"{address}\",\"zone\":\"ikeja\",\"version\":\"v1\",\
             \"slots\":6,\"state\":\"ready\",\"coldRemainingMs\":0,\"sequence\":1}}"
        ),
    );
    let folder = TemporaryFolder::create()?;
    let start = |number| Daemon::start(number, DAEMONS, network, &folder, record);
    let mut daemons = (0..DAEMONS).map(start).collect::<Result<Vec<_>, _>>()?;
    for daemon in &daemons {
        daemon.wait_ready()?;
    }
    // The daemons get to know each other.
    thread::sleep(Duration::from_secs(4));
    let whole = format!("{FIRST_HALF}{SECOND_HALF}");
    let mut is_broken = false;
    let mut is_relayed = false;
    for round in 0..ROUNDS {
        let id = format!("sale-{round}");
        let connection = Connection::open(network.front(SERVING));
        let connection = connection.ok_or("the client couldn't connect")?;
        replica.accepts.store(false, Ordering::SeqCst);
        let filler = TcpStream::connect_timeout(&address, Duration::from_secs(1));
        let filler = filler.map_err(|error| format!("the queue wasn't filled: {error}"))?;
        let client = {
            let (record, id) = (record.clone(), id.clone());
            thread::spawn(move || send(connection, &id, &record))
        };
        thread::sleep(FULL_TIME);
        replica.accepts.store(true, Ordering::SeqCst);
        drop(filler);
        let half = half_sent.recv_timeout(Duration::from_secs(4));
        let relaying = daemons.iter_mut().find(|daemon| daemon.relays() > 0);
        thread::sleep(KILL_DELAY);
        if half.is_ok()
            && let Some(daemon) = relaying
        {
            is_relayed = true;
            record.line(format!("daemon {} relays {id}", daemon.number));
            if trouble {
                daemon.kill();
                record.event(format!("daemon {}: killed", daemon.number));
            }
        }
        let (outcome, body) = client.join().map_err(|_| "the client failed".to_owned())?;
        record.line(format!(
            "{id} got {outcome:?}, with {} of {} bytes: {body}",
            body.len(),
            whole.len()
        ));
        is_broken |= outcome == Outcome::Answered(200) && body != whole;
        if is_relayed {
            break;
        }
        // The replica is reached directly again.
        thread::sleep(Duration::from_secs(2));
    }
    // The replica sends the rest.
    thread::sleep(HALF_PAUSE);
    daemons[usize::from(SERVING)].record_events(&[
        "endpoint.relayed",
        "endpoint.direct",
        "attempt.ended",
        "request.answered",
        "request.problem",
    ]);
    if !is_relayed {
        return Err("no request was relayed".into());
    }
    Ok(is_broken)
}

fn send(mut connection: Connection, id: &str, record: &Record) -> (Outcome, String) {
    record.event(format!("client: sends {id}"));
    connection.exchange_body(&Request {
        method: "POST",
        path: &format!("/pay/{id}"),
        id,
        deadline_ms: 4_000,
        headers: "",
        body: b"sale",
    })
}
