//! Callers that send requests over persistent connections and record what they received.

use {
    super::{
        fleet::Daemon,
        stand_in::{
            client,
            connection::{Answer, Connection},
        },
    },
    rand::{RngExt, rngs::SmallRng},
    std::{
        cell::{Cell, RefCell},
        net::SocketAddr,
        rc::Rc,
        time::Duration,
    },
};

/// Longest wait for a reply before a caller gives up; also the deadline that its requests carry.
const REPLY_TIMEOUT: Duration = Duration::from_millis(3_000);

/// Number of requests after which a caller opens a new connection.
const MAX_REQUESTS: u32 = 40;

/// A kind of request; each has a route of its own in the soak's table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    Repeatable,
    Guarded,
    Stream,
    Staged,
}

impl Kind {
    pub const ALL: [Kind; 4] = [Kind::Repeatable, Kind::Guarded, Kind::Stream, Kind::Staged];

    pub fn path(self) -> &'static str {
        match self {
            Kind::Repeatable => "/r/",
            Kind::Guarded => "/g/",
            Kind::Stream => "/s/",
            Kind::Staged => "/p/",
        }
    }

    pub fn is_stream(self) -> bool {
        matches!(self, Kind::Stream | Kind::Staged)
    }
}

/// One request as its caller saw it.
#[derive(Debug, Clone)]
#[allow(dead_code, reason = "findings print the daemon by Debug")]
pub struct Outcome {
    pub id: String,
    pub kind: Kind,
    /// Index of the daemon that got the request.
    pub daemon: usize,
    /// `None` if the caller got no complete head.
    pub status: Option<u16>,
    pub stamp: Option<String>,
    pub body: String,
    /// Whether the body is complete according to its framing.
    pub whole: bool,
    /// Whether the caller gave up before the end of the reply.
    pub left: bool,
    /// The stream that the request takes up; `None` if it takes up none.
    pub taken_up: Option<BrokenStream>,
}

/// A stream that broke off.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BrokenStream {
    /// Id of the request that brought its first event.
    pub first: String,
    /// Number of the last event that came.
    pub last_event: u64,
}

impl Outcome {
    /// Returns the stream that the caller can take up after this outcome, if it broke off after an event.
    fn broken_stream(&self) -> Option<BrokenStream> {
        let is_broken = self.kind == Kind::Stream && self.status == Some(200) && !self.whole;
        let last_event = event_ids(&self.body).last().copied()?;
        let first = match &self.taken_up {
            Some(stream) => stream.first.clone(),
            None => self.id.clone(),
        };
        (is_broken && !self.left).then_some(BrokenStream { first, last_event })
    }
}

/// Returns the ids of the events in a body.
pub fn event_ids(body: &str) -> Vec<u64> {
    body.lines()
        .filter_map(|line| line.strip_prefix("id: ")?.parse().ok())
        .collect()
}

/// The outcomes of all callers' requests, shared by the callers.
pub type Outcomes = Rc<RefCell<Vec<Outcome>>>;

/// Sends one request on a connection; returns the reply, and whether the caller gave up before its end.
async fn send(
    connection: &mut Connection,
    id: &str,
    kind: Kind,
    taken_up: Option<&BrokenStream>,
    timeout: Duration,
) -> (Answer, bool) {
    let mut text = client::keep_alive_request(&format!("{}{id}", kind.path()), id, REPLY_TIMEOUT);
    if let Some(BrokenStream { first, last_event }) = taken_up {
        let lines = format!("\r\nResumes: {first}\r\nLast-Event-Id: {last_event}\r\n");
        text = text.replacen("\r\n", &lines, 1);
    }
    connection.exchange(&text, timeout).await
}

/// Connects to a daemon and sends one request; returns the status of a complete reply.
pub async fn send_once(listen: SocketAddr, id: &str, kind: Kind) -> Option<u16> {
    let mut connection = Connection::open(listen).await?;
    let (answer, _) = send(&mut connection, id, kind, None, REPLY_TIMEOUT).await;
    answer.status.filter(|_| answer.whole)
}

/// Calls daemons until `stop` is set: the one that `herd` names, or else randomly chosen ones. A stream that breaks off
/// is taken up at another daemon.
pub async fn run_caller(
    name: String,
    daemons: Rc<RefCell<Vec<Daemon>>>,
    herd: Rc<Cell<Option<usize>>>,
    outcomes: Outcomes,
    mut rng: SmallRng,
    stop: Rc<Cell<bool>>,
) {
    let mut count = 0;
    let mut broken: Option<BrokenStream> = None;
    while !stop.get() {
        let drawn = rng.random_range(0..daemons.borrow().len());
        let chosen = herd.get().filter(|_| broken.is_none()).unwrap_or(drawn);
        let listen = daemons.borrow()[chosen].listen;
        let Some(mut connection) = Connection::open(listen).await else {
            tokio::time::sleep(Duration::from_millis(20)).await;
            continue;
        };
        for _ in 0..MAX_REQUESTS {
            if stop.get() {
                break;
            }
            count += 1;
            let id = format!("{name}{count:04}");
            let taken_up = broken.take();
            let kind = match taken_up {
                Some(_) => Kind::Stream,
                None => Kind::ALL[rng.random_range(0..Kind::ALL.len())],
            };
            // Some callers give up early.
            let timeout = if rng.random_bool(0.05) {
                Duration::from_millis(rng.random_range(1..60))
            } else {
                REPLY_TIMEOUT
            };
            let (answer, left) = send(&mut connection, &id, kind, taken_up.as_ref(), timeout).await;
            let open = answer.open;
            let outcome = Outcome {
                id,
                kind,
                daemon: chosen,
                status: answer.status,
                stamp: answer.stamp,
                body: String::from_utf8_lossy(&answer.body).into_owned(),
                whole: answer.whole,
                left,
                taken_up,
            };
            broken = outcome.broken_stream();
            outcomes.borrow_mut().push(outcome);
            if !open {
                break;
            }
            tokio::time::sleep(Duration::from_millis(rng.random_range(0..15))).await;
        }
    }
}
