//! Applies what was read from the directory: tables, evacuations and entries of endpoints.

use crate::gateway::{
    dialect::{Dialect, FormatError},
    directory::{
        endpoint_entry::{EndpointEntry, EndpointList},
        source::{Item, ItemKey, Items},
    },
    revision::Revision,
    serving::metrics::TableSource,
    state::Gateway,
};

/// Source in the log for what was read from the directory.
pub(super) const DIRECTORY_SOURCE: &str = "directory";

/// Maximum number of characters that are logged of a refused entry's name, and of the reason. An entry may be as large
/// as the directory allows.
const MAX_LOGGED_CHARS: usize = 200;

/// Applies the operator topic, whole or its changes. Evacuations are applied first, since they need no decoding.
pub(super) fn apply_operator<D: Dialect>(gateway: &Gateway<D>, items: &Items, whole: bool) {
    if whole {
        gateway.apply_listed_evacuations(items, DIRECTORY_SOURCE);
    } else {
        gateway.apply_changed_evacuations(items, DIRECTORY_SOURCE);
    }
    apply_tables(gateway, &items.items);
    gateway.record_newest_table(items.revision);
}

pub(super) fn apply_tables<D: Dialect>(gateway: &Gateway<D>, items: &[Item]) {
    let tables = items.iter().filter(|item| item.key == ItemKey::Table);
    for value in tables.filter_map(|item| item.value.as_ref()) {
        gateway
            .metrics
            .count_table_bytes(TableSource::Directory, value.len());
        // `adopt_table` logs a table that it doesn't adopt; the one in force stays.
        gateway.adopt_table(value, DIRECTORY_SOURCE);
    }
}

pub(super) fn apply_list<D: Dialect>(gateway: &Gateway<D>, items: &Items) {
    let list = EndpointList {
        revision: items.revision,
        entries: read_entries(gateway, &items.items),
        unconfirmed: Vec::new(),
        held: Vec::new(),
    };
    gateway.replace_endpoints(list, DIRECTORY_SOURCE);
}

pub(super) fn apply_changes<D: Dialect>(gateway: &Gateway<D>, items: &Items) {
    for item in &items.items {
        apply_change(gateway, item);
    }
    gateway.advance_revision(items.revision);
}

/// Applies one changed entry. If it can't be read, its endpoint is removed as if the entry had vanished, as it is by a
/// whole list. If the endpoint is alive, it writes its entry again with its next heartbeat.
fn apply_change<D: Dialect>(gateway: &Gateway<D>, item: &Item) {
    if let Some(entry) = read_entry(gateway, item) {
        gateway.upsert_endpoint(entry, DIRECTORY_SOURCE);
        return;
    }
    let ItemKey::Endpoint(name) = &item.key else {
        return;
    };
    // A name that isn't an id never had an entry in use, so there is nothing to remove.
    if let Ok(id) = name.parse() {
        gateway.remove_endpoint(&id, item.revision, false, DIRECTORY_SOURCE);
    }
}

/// Reads entries, see [`read_entry`]. Borrows the state for those that can't be read.
pub(super) fn read_entries<D: Dialect>(gateway: &Gateway<D>, items: &[Item]) -> Vec<EndpointEntry> {
    let entries = items.iter();
    entries
        .filter_map(|item| read_entry(gateway, item))
        .collect()
}

/// Reads an entry. One that can't be read is skipped, and logged each time that it changes.
fn read_entry<D: Dialect>(gateway: &Gateway<D>, item: &Item) -> Option<EndpointEntry> {
    let name = match &item.key {
        ItemKey::Endpoint(name) => name,
        ItemKey::Unreadable => "",
        ItemKey::Table | ItemKey::Evacuation(_) => return None,
    };
    let value = item.value.as_ref()?;
    match D::read_endpoint(name, item.revision, value) {
        Ok(entry) => Some(entry),
        Err(error) => {
            refuse_entry(gateway, name, item.revision, &error);
            None
        }
    }
}

/// Logs and counts an entry that can't be read, unless this revision of it was logged before.
fn refuse_entry<D: Dialect>(
    gateway: &Gateway<D>,
    name: &str,
    revision: Revision,
    error: &FormatError,
) {
    let is_new = gateway.state.borrow_mut().refused.record(name, revision);
    if !is_new {
        return;
    }
    gateway.metrics.count_refused_entry();
    let endpoint = truncated(name);
    let error = truncated(&error.to_string());
    log::error!(endpoint, revision:%, error; "endpoint.refused");
}

/// Returns a text cut to the characters that are logged at most.
fn truncated(text: &str) -> String {
    text.chars().take(MAX_LOGGED_CHARS).collect()
}
