//! Callers of a fleet that is lost and comes back, and how many of their requests are served in each second.

use {
    super::{
        entry::Entry,
        outage::{OutageRun, Return},
        stand_in::{client, connection::Connection},
    },
    rand::{RngExt, rngs::SmallRng},
    std::{
        cell::{Cell, RefCell},
        collections::BTreeMap,
        rc::Rc,
        time::{Duration, Instant},
    },
    tokio::time::timeout,
};

/// Longest time that callers wait for an answer.
const PATIENCE: Duration = Duration::from_millis(5_000);

/// Longest time that callers wait for a connection.
const CONNECT_LIMIT: Duration = Duration::from_secs(1);

/// Number of requests after which a caller opens a new connection.
const MAX_REQUESTS: u32 = 12;

/// Longest pause between two requests of a caller.
const MAX_PAUSE_MS: u64 = 1_200;

/// Pause of a caller that repeats at once.
const REPEAT_PAUSE: Duration = Duration::from_millis(20);

/// Paths of the routes that callers use.
const PATHS: [&str; 5] = ["/p/", "/p/", "/s/", "/r/", "/g/"];

/// What became of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Visit {
    Served,
    /// No connection came about.
    Unconnected,
    /// The connection closed without an answer, or within it.
    Cut,
    /// The caller gave up.
    Left,
    /// An answer of another status than 200.
    Status(u16),
}

/// What became of requests, with the time at which each was sent.
pub type Visits = Rc<RefCell<Vec<(Instant, Visit)>>>;

/// Calls the fleet until `done` is set.
pub async fn run_visitor(
    name: String,
    run: OutageRun,
    entry: Entry,
    visits: Visits,
    mut rng: SmallRng,
    done: Rc<Cell<bool>>,
) {
    let mut count = 0;
    while !done.get() {
        let host = entry.choose(&mut rng);
        let listen = run.world.hosts.borrow()[host].listen;
        let opened = Instant::now();
        let connected = timeout(CONNECT_LIMIT, Connection::open(listen)).await;
        let Ok(Some(mut connection)) = connected else {
            visits.borrow_mut().push((opened, Visit::Unconnected));
            come_back(&run, &mut rng).await;
            continue;
        };
        for _ in 0..MAX_REQUESTS {
            if done.get() {
                return;
            }
            count += 1;
            let id = format!("{name}-{count:04}");
            let path = PATHS[rng.random_range(0..PATHS.len())];
            let request = client::keep_alive_request(&format!("{path}{id}"), &id, PATIENCE);
            let sent = Instant::now();
            let (answer, left) = connection.exchange(&request, PATIENCE).await;
            let visit = match answer.status {
                Some(200) if answer.whole => Visit::Served,
                _ if left => Visit::Left,
                Some(status) if answer.whole => Visit::Status(status),
                _ => Visit::Cut,
            };
            visits.borrow_mut().push((sent, visit));
            if visit != Visit::Served {
                come_back(&run, &mut rng).await;
            }
            if !answer.open {
                break;
            }
            let pause = rng.random_range(0..MAX_PAUSE_MS);
            tokio::time::sleep(Duration::from_millis(pause)).await;
        }
    }
}

/// Waits as a caller does whose request wasn't served.
async fn come_back(run: &OutageRun, rng: &mut SmallRng) {
    let pause = Duration::from_millis(rng.random_range(0..MAX_PAUSE_MS));
    match run.outage.back {
        Return::Spread => tokio::time::sleep(pause).await,
        Return::Repeating => tokio::time::sleep(REPEAT_PAUSE).await,
        Return::AtOnce => {
            // Ends by itself where nothing was lost, or the hosts are back already.
            let _ = timeout(Duration::from_millis(MAX_PAUSE_MS), run.returned.notified()).await;
        }
    }
}

/// Returns the number of requests sent in a time, and the share of them that was served.
pub fn share_served(visits: &[(Instant, Visit)], from: Instant, to: Instant) -> (usize, f64) {
    let sent = visits.iter().filter(|(at, _)| (from..to).contains(at));
    let sent: Vec<Visit> = sent.map(|(_, visit)| *visit).collect();
    let served = sent.iter().filter(|visit| **visit == Visit::Served).count();
    (sent.len(), served as f64 / sent.len().max(1) as f64)
}

/// Prints what became of the requests of each second, counted from `back`, and how many hosts were ready.
pub fn print_seconds(visits: &[(Instant, Visit)], entry: &Entry, back: Instant) {
    let second = |at: Instant| match at.checked_duration_since(back) {
        Some(after) => after.as_secs_f64().floor() as i64,
        None => -((back - at).as_secs_f64().ceil() as i64),
    };
    let mut seconds: BTreeMap<i64, BTreeMap<Visit, usize>> = BTreeMap::new();
    for (at, visit) in visits {
        *seconds
            .entry(second(*at))
            .or_default()
            .entry(*visit)
            .or_default() += 1;
    }
    let mut ready: BTreeMap<i64, usize> = BTreeMap::new();
    ready.extend(
        entry
            .ready
            .borrow()
            .iter()
            .map(|(at, count)| (second(*at), *count)),
    );
    for (second, counts) in seconds {
        let sent: usize = counts.values().sum();
        let served = counts.get(&Visit::Served).copied().unwrap_or(0);
        let ready = ready.get(&second).map_or("-".into(), usize::to_string);
        let rest: Vec<String> = counts
            .iter()
            .filter(|(visit, _)| **visit != Visit::Served)
            .map(|(visit, count)| format!("{visit:?} {count}"))
            .collect();
        println!(
            "  {second:>4} s: ready {ready:>3}, sent {sent:>4}, served {served:>4}  {}",
            rest.join(", ")
        );
    }
}
