//! Follows the directory: reads a topic whole, then its changes, and starts over when history is
//! gone. Silence changes nothing that is in force.

use {
    crate::gateway::{
        catalogue::EndpointEntry,
        dialect::Dialect,
        directory::{Directory, DirectoryError, Item, Items, Topic},
        state::Gateway,
    },
    std::{rc::Rc, time::Duration},
};

/// First and longest pause after a failure.
const FIRST_PAUSE: Duration = Duration::from_millis(60);
const LONGEST_PAUSE: Duration = Duration::from_millis(400);

/// Follows one topic for good.
pub async fn follow<D: Dialect>(
    gateway: Rc<Gateway<D>>,
    directory: Rc<impl Directory>,
    topic: Topic,
) {
    let wait = gateway.settings.bounds.directory_wait();
    let mut since = None;
    let mut pause = FIRST_PAUSE;
    loop {
        let read = match since {
            None => directory.list(topic).await,
            Some(since) => directory.changes(topic, since, wait).await,
        };
        match read {
            Ok(items) => {
                gateway.directory_answered();
                let whole = since.is_none();
                since = Some(items.revision);
                take(&gateway, topic, items, whole);
                pause = FIRST_PAUSE;
            }
            Err(DirectoryError::Compacted) => {
                log::info!(topic:? = topic; "directory.compacted");
                since = None;
            }
            Err(error) => {
                gateway.directory_failed(&error.to_string());
                tokio::time::sleep(jittered(pause)).await;
                pause = (pause * 2).min(LONGEST_PAUSE);
            }
        }
    }
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
            gateway.put_endpoint(entry, "directory");
        }
    } else if let Ok(id) = item.name.parse() {
        gateway.remove_endpoint(&id);
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
