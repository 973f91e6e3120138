//! Callers whose new connections go to one host at a time, at a steady rate whatever the answers.

use {
    super::stand_in::{client, connection::Connection},
    rand::{RngExt, rngs::SmallRng},
    std::{
        cell::{Cell, RefCell},
        collections::BTreeMap,
        io::ErrorKind,
        net::SocketAddr,
        rc::Rc,
        time::{Duration, Instant},
    },
    tokio::{task::JoinHandle, time::timeout},
};

/// Longest time that callers wait for a connection.
const CONNECT_LIMIT: Duration = Duration::from_secs(1);

/// Tries of a request whose connections close before it is read.
const TRIES: usize = 2;

/// Share of the new connections that goes to the herded host; the others go to any.
const HERD_SHARE: f64 = 0.9;

/// Share of the callers that keep their connections, and the number of requests on one.
const KEEPING_SHARE: f64 = 0.2;
const KEPT_REQUESTS: usize = 3;

/// Longest pause between two requests on a connection.
const MAX_PAUSE_MS: u64 = 600;

/// The requests: streams with stages, streams, and whole answers.
const MIX: [Kind; 4] = [
    Kind::new("/p/", 50, 9_000, 6_000),
    Kind::new("/s/", 25, 2_400, 5_000),
    Kind::new("/r/", 10, 0, 1_500),
    Kind::new("/g/", 15, 600, 1_500),
];

/// A kind of request.
#[derive(Debug, Clone, Copy)]
struct Kind {
    path: &'static str,
    weight: u32,
    /// Size of the body, in bytes.
    size: usize,
    /// Time that callers wait for an answer.
    patience: Duration,
}

impl Kind {
    const fn new(path: &'static str, weight: u32, size: usize, patience_ms: u64) -> Self {
        Self {
            path,
            weight,
            size,
            patience: Duration::from_millis(patience_ms),
        }
    }

    fn draw(rng: &mut SmallRng) -> Self {
        let all: u32 = MIX.iter().map(|kind| kind.weight).sum();
        let mut drawn = rng.random_range(0..all);
        for kind in MIX {
            if drawn < kind.weight {
                return kind;
            }
            drawn -= kind.weight;
        }
        unreachable!("the draw is less than the sum of the weights")
    }
}

/// How the first try of a request that was read ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Ending {
    Served,
    Status(u16),
    /// The connection closed within the answer, or without one after a kept connection's earlier answers.
    Cut,
    /// The caller gave up.
    Left,
    /// No connection came about.
    Unconnected,
    /// All connections closed without an answer.
    Unread,
}

/// A request, from its first attempt on.
#[derive(Debug, Clone)]
pub struct Request {
    pub ending: Ending,
    pub took: Duration,
}

/// What became of the requests of one spell.
#[derive(Debug, Clone, Default)]
pub struct Spell {
    pub requests: Rc<RefCell<Vec<Request>>>,
    /// Ids of tries whose connections closed without an answer.
    pub unread: Rc<RefCell<Vec<String>>>,
    /// Number of connections that were reset before anything was sent.
    pub resets: Rc<Cell<usize>>,
}

impl Spell {
    /// Returns the share of the requests that were served at the first try that was read.
    pub fn share_served(&self) -> f64 {
        let requests = self.requests.borrow();
        let served = requests
            .iter()
            .filter(|one| one.ending == Ending::Served)
            .count();
        served as f64 / requests.len().max(1) as f64
    }

    /// Returns the time within which this share of the served requests was served.
    pub fn time_served(&self, share: f64) -> Duration {
        let requests = self.requests.borrow();
        let served = requests.iter().filter(|one| one.ending == Ending::Served);
        let mut times: Vec<_> = served.map(|one| one.took).collect();
        times.sort_unstable();
        let last = times.len().saturating_sub(1) as f64;
        times
            .get((last * share) as usize)
            .copied()
            .unwrap_or_default()
    }

    /// Prints what became of the requests.
    pub fn print(&self, name: &str) {
        let requests = self.requests.borrow();
        let mut endings: BTreeMap<Ending, usize> = BTreeMap::new();
        for request in requests.iter() {
            *endings.entry(request.ending).or_default() += 1;
        }
        let [median, last] = [0.5, 0.95].map(|share| self.time_served(share).as_millis());
        println!(
            "{name}: {} requests, {} unread tries, median {median} ms, 95% {last} ms: {endings:?}",
            requests.len(),
            self.unread.borrow().len() + self.resets.get()
        );
    }
}

/// The callers of a fleet.
#[derive(Debug, Clone)]
pub struct Callers {
    pub hosts: Vec<SocketAddr>,
    /// New connections a second.
    pub rate: f64,
}

impl Callers {
    /// Sends requests for a time, most of them to one host if `herded` names it. Returns them with the tasks that wait for
    /// their answers.
    pub async fn send(
        &self,
        name: &str,
        herded: Option<usize>,
        time: Duration,
        rng: &mut SmallRng,
    ) -> (Spell, Vec<JoinHandle<()>>) {
        let spell = Spell::default();
        let begun = Instant::now();
        let count = (time.as_secs_f64() * self.rate) as usize;
        let mut tasks = Vec::with_capacity(count);
        for number in 0..count {
            let due = begun + Duration::from_secs_f64(number as f64 / self.rate);
            tokio::time::sleep_until(due.into()).await;
            let herded = herded.filter(|_| rng.random_bool(HERD_SHARE));
            let first = herded.unwrap_or_else(|| rng.random_range(0..self.hosts.len()));
            let caller = Caller {
                name: format!("{name}-{number:05}"),
                first: self.hosts[first],
                second: self.hosts[self.other(first, rng)],
                keeps: rng.random_bool(KEEPING_SHARE),
                kinds: (0..KEPT_REQUESTS).map(|_| Kind::draw(rng)).collect(),
                pause: Duration::from_millis(rng.random_range(0..MAX_PAUSE_MS)),
            };
            tasks.push(tokio::task::spawn_local(caller.run(spell.clone())));
        }
        (spell, tasks)
    }

    fn other(&self, first: usize, rng: &mut SmallRng) -> usize {
        let step = rng.random_range(1..self.hosts.len());
        (first + step) % self.hosts.len()
    }
}

struct Caller {
    name: String,
    first: SocketAddr,
    /// Host of a try after one that wasn't read.
    second: SocketAddr,
    keeps: bool,
    kinds: Vec<Kind>,
    pause: Duration,
}

impl Caller {
    async fn run(self, spell: Spell) {
        let begun = Instant::now();
        let hosts = [self.first, self.second];
        for (number, host) in hosts.into_iter().enumerate().take(TRIES) {
            let mut connection = match timeout(CONNECT_LIMIT, Connection::try_open(host)).await {
                Ok(Ok(connection)) => connection,
                // A daemon that closes a connection at once may do so before its caller has noticed that it is open.
                Ok(Err(error)) if error.kind() == ErrorKind::ConnectionReset => {
                    spell.resets.set(spell.resets.get() + 1);
                    continue;
                }
                _ => {
                    self.record(&spell, Ending::Unconnected, begun);
                    return;
                }
            };
            let id = format!("{}-{number}", self.name);
            let (ending, open) = self.exchange(&mut connection, &id, self.kinds[0]).await;
            if ending == Ending::Unread {
                spell.unread.borrow_mut().push(id);
                continue;
            }
            self.record(&spell, ending, begun);
            if open && self.keeps {
                self.send_more(connection, &spell).await;
            }
            return;
        }
        self.record(&spell, Ending::Unread, begun);
    }

    /// Sends further requests on a connection that was kept.
    async fn send_more(&self, mut connection: Connection, spell: &Spell) {
        for (number, kind) in self.kinds.iter().enumerate().skip(1) {
            tokio::time::sleep(self.pause).await;
            let begun = Instant::now();
            let id = format!("{}-k{number}", self.name);
            let (ending, open) = self.exchange(&mut connection, &id, *kind).await;
            let ending = match ending {
                Ending::Unread => Ending::Cut,
                other => other,
            };
            self.record(spell, ending, begun);
            if !open {
                return;
            }
        }
    }

    async fn exchange(&self, connection: &mut Connection, id: &str, kind: Kind) -> (Ending, bool) {
        let path = format!("{}{id}", kind.path);
        let request = client::sized_request(&path, id, kind.patience, kind.size);
        let (answer, left) = connection.exchange(&request, kind.patience).await;
        let ending = match answer.status {
            Some(200) if answer.whole => Ending::Served,
            _ if left => Ending::Left,
            Some(status) if answer.whole => Ending::Status(status),
            None if answer.body.is_empty() => Ending::Unread,
            _ => Ending::Cut,
        };
        (ending, answer.open)
    }

    fn record(&self, spell: &Spell, ending: Ending, begun: Instant) {
        let took = begun.elapsed();
        spell.requests.borrow_mut().push(Request { ending, took });
    }
}
