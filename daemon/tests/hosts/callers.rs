//! Callers of the fleet, and what each of their requests got.

use {
    super::{
        fleet::Host,
        stand_in::{client, connection::Connection},
    },
    rand::{RngExt, rngs::SmallRng},
    std::{
        cell::{Cell, RefCell},
        rc::Rc,
        time::{Duration, Instant},
    },
};

/// Longest time that callers wait, which is less than any timeout of a route.
pub const PATIENCE: Duration = Duration::from_millis(6_500);

/// Number of requests after which a caller opens a new connection.
const MAX_REQUESTS: u32 = 12;

/// Number of requests on a connection to a host that gets all new connections.
const HERDED_REQUESTS: u32 = 2;

/// Time after which a caller that was refused comes back.
const REFUSED_PAUSE: Duration = Duration::from_millis(200);

/// Paths of the routes that callers use, most of them of streams with stages.
const PATHS: [&str; 4] = ["/p/", "/p/", "/s/", "/r/"];

/// What one request got.
#[derive(Debug, Clone)]
pub struct Outcome {
    pub id: String,
    pub path: &'static str,
    /// Index of the host that got it.
    pub host: usize,
    /// Whether new connections went to that host alone when it was connected.
    pub is_herded: bool,
    pub status: Option<u16>,
    pub body: String,
    pub whole: bool,
    /// Whether the caller gave up.
    pub left: bool,
    pub sent: Instant,
    pub took: Duration,
}

pub type Outcomes = Rc<RefCell<Vec<Outcome>>>;

/// Calls hosts until `done` is set: new connections go to the one that `herd` names, or else to any. Connections are kept
/// until their daemon closes them, also while it stops; those to a herded host carry few requests.
pub async fn run_caller(
    name: String,
    hosts: Rc<RefCell<Vec<Host>>>,
    herd: Rc<Cell<Option<usize>>>,
    outcomes: Outcomes,
    mut rng: SmallRng,
    done: Rc<Cell<bool>>,
) {
    let mut count = 0;
    while !done.get() {
        let (host, listen) = {
            let hosts = hosts.borrow();
            let any = rng.random_range(0..hosts.len());
            let host = herd.get().unwrap_or(any);
            (host, hosts[host].listen)
        };
        let Some(mut connection) = Connection::open(listen).await else {
            tokio::time::sleep(Duration::from_millis(30)).await;
            continue;
        };
        let is_herded = herd.get().is_some();
        let requests = if is_herded {
            HERDED_REQUESTS
        } else {
            MAX_REQUESTS
        };
        for _ in 0..requests {
            if done.get() {
                return;
            }
            count += 1;
            let id = format!("{name}-{count:03}");
            let path = PATHS[rng.random_range(0..PATHS.len())];
            let request = client::keep_alive_request(&format!("{path}{id}"), &id, PATIENCE);
            let sent = Instant::now();
            let (answer, left) = connection.exchange(&request, PATIENCE).await;
            outcomes.borrow_mut().push(Outcome {
                id,
                path,
                host,
                is_herded,
                status: answer.status,
                body: String::from_utf8_lossy(&answer.body).into_owned(),
                whole: answer.whole,
                left,
                sent,
                took: sent.elapsed(),
            });
            if !answer.open {
                break;
            }
            if answer.status != Some(200) {
                tokio::time::sleep(REFUSED_PAUSE).await;
            }
            tokio::time::sleep(Duration::from_millis(rng.random_range(0..400))).await;
        }
    }
}
