//! Follows the directory: reads a topic whole, then its changes, and starts over when history is
//! gone. Silence changes nothing that is in force.

use {
    crate::gateway::{
        dialect::Dialect,
        directory::{
            catalogue::EndpointEntry,
            source::{Directory, DirectoryError, Item, Items, Topic},
        },
        state::Gateway,
    },
    std::{rc::Rc, time::Duration},
};

/// First and longest pause after a failure.
const FIRST_PAUSE: Duration = Duration::from_millis(60);
const LONGEST_PAUSE: Duration = Duration::from_millis(400);

/// Longest pause of a daemon that others tell of the directory's return.
const LONGEST_PAUSE_TOLD: Duration = Duration::from_millis(1_200);

/// Time between two looks at whether peers still read the directory for this daemon.
const COVER_LOOK: Duration = Duration::from_millis(100);

/// Pause between two calls for changes of endpoints while the directory answers well: entries that
/// their endpoints write again and again would answer every call at once.
const ENDPOINTS_PAUSE: Duration = Duration::from_millis(300);

/// Follows one topic for good.
pub async fn follow<D: Dialect>(
    gateway: Rc<Gateway<D>>,
    directory: Rc<impl Directory>,
    topic: Topic,
) {
    let wait = match topic {
        Topic::Table => gateway.settings.bounds.directory_wait(),
        // The pause and the wait together stay below the time after which silence is noticed.
        Topic::Endpoints => gateway.settings.bounds.directory_wait() / 2,
    };
    let mut since = None;
    let mut pause = FIRST_PAUSE;
    let mut first = false;
    loop {
        if gateway.is_covered() {
            wait_uncovered(&gateway, topic).await;
            since = since.map(|known| gateway.known_revision(topic).max(known));
            first = true;
        }
        // The first call only looks, so that peers soon hear how fresh this daemon's knowledge is.
        let wait = if std::mem::take(&mut first) {
            Duration::ZERO
        } else {
            wait
        };
        let read = match since {
            None => directory.list(topic).await,
            Some(since) => directory.changes(topic, since, wait).await,
        };
        match read {
            Ok(items) => {
                gateway.directory_answered(topic);
                let whole = since.is_none();
                since = Some(items.revision);
                take(&gateway, topic, items, whole);
                pause = FIRST_PAUSE;
                if topic == Topic::Endpoints && gateway.is_directory_steady() {
                    tokio::time::sleep(ENDPOINTS_PAUSE).await;
                }
            }
            Err(DirectoryError::Compacted) => {
                log::info!(topic:? = topic; "directory.compacted");
                since = None;
            }
            Err(error) => {
                gateway.directory_failed(&error.to_string());
                tokio::time::sleep(jittered(pause)).await;
                pause = (pause * 2).min(longest_pause(&gateway));
            }
        }
    }
}

/// Waits until peers don't tell this daemon any more what the directory holds.
async fn wait_uncovered<D: Dialect>(gateway: &Gateway<D>, topic: Topic) {
    log::info!(topic:? = topic, read_ms = read_ms(gateway); "directory.covered");
    while gateway.is_covered() {
        tokio::time::sleep(COVER_LOOK).await;
    }
    let state = gateway.state.borrow();
    log::info!(
        topic:? = topic,
        read_ms = read_ms(gateway),
        coordinates = state.peers.coordinates(),
        behind = state.behind.is_some(),
        peers = state.peers.daemons() - 1;
        "directory.uncovered"
    );
}

/// Returns the longest pause after failures: a daemon that others soon tell of the directory's return
/// needn't look as often.
fn longest_pause<D: Dialect>(gateway: &Gateway<D>) -> Duration {
    let state = gateway.state.borrow();
    let told = !state.peers.is_small() && !state.peers.coordinates() && state.listed;
    if told {
        LONGEST_PAUSE_TOLD
    } else {
        LONGEST_PAUSE
    }
}

/// Returns the milliseconds since the directory answered a peer that tells what it read; the largest
/// number if there is no such peer.
fn read_ms<D: Dialect>(gateway: &Gateway<D>) -> u64 {
    let age = gateway.state.borrow().peers.read_age(gateway.now());
    age.map_or(u64::MAX, |age| age.0)
}

/// Spreads daemons that failed together.
fn jittered(pause: Duration) -> Duration {
    pause.mul_f64(rand::random_range(0.5..1.0))
}

fn take<D: Dialect>(gateway: &Gateway<D>, topic: Topic, items: Items, whole: bool) {
    match topic {
        Topic::Table => {
            for value in items.items.iter().filter_map(|item| item.value.as_ref()) {
                gateway.adopt_table(value, "directory");
            }
        }
        Topic::Endpoints if whole => {
            let list = items.items.iter().filter_map(read_entry::<D>).collect();
            gateway.replace_endpoints(items.revision, list, "directory");
        }
        Topic::Endpoints => {
            for item in &items.items {
                take_entry(gateway, item);
            }
            gateway.reached(items.revision);
        }
    }
}

fn take_entry<D: Dialect>(gateway: &Gateway<D>, item: &Item) {
    if item.value.is_some() {
        if let Some(entry) = read_entry::<D>(item) {
            gateway.upsert_endpoint(entry, "directory");
        }
    } else if let Ok(id) = item.name.parse() {
        gateway.remove_endpoint(&id, item.revision, false, "directory");
    }
}

/// Reads an entry; one that can't be read is told and passed over.
fn read_entry<D: Dialect>(item: &Item) -> Option<EndpointEntry> {
    let value = item.value.as_ref()?;
    match D::read_endpoint(&item.name, item.revision, value) {
        Ok(entry) => Some(entry),
        Err(error) => {
            log::error!(endpoint = item.name.as_str(), revision = item.revision, error:%; "endpoint.refused");
            None
        }
    }
}
