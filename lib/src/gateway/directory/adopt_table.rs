//! Adopts a published table if it is newer than the one in force.
//!
//! Relies on the rule [`adoption`](crate::shared::adoption). The table in force is part of the
//! daemon's state.

use {
    crate::{
        gateway::{
            dialect::Dialect,
            revision::Revision,
            state::{Gateway, PublishedTable},
            table::{Table, Version},
        },
        shared::adoption::{DocumentIdentity, VersionVerdict, compare_versions},
    },
    bytes::Bytes,
    std::rc::Rc,
    xxhash_rust::xxh3::xxh3_64,
};

/// Result of offering a table to this daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TableAdoption {
    /// The table is in force now.
    Adopted,
    /// The table is the one in force, or an older one.
    Known,
    /// The table is invalid, or has the version of the one in force but other content.
    Refused,
}

impl<D: Dialect> Gateway<D> {
    /// Adopts a table from `source` if it is newer than the one in force.
    pub fn adopt_table(&self, bytes: &Bytes, source: &str) -> TableAdoption {
        let current = self.published();
        let fingerprint = xxh3_64(bytes);
        if current
            .as_ref()
            .is_some_and(|current| current.fingerprint == fingerprint)
        {
            // The same bytes aren't parsed again.
            return TableAdoption::Known;
        }
        let table = match D::read_table(bytes) {
            Ok(table) => table,
            Err(error) => {
                log::error!(source, error:%; "table.refused");
                self.metrics.count_refused_table();
                return TableAdoption::Refused;
            }
        };
        let version = table.version;
        let read = DocumentIdentity {
            version,
            fingerprint,
        };
        let current = identity(current.as_deref());
        match compare_versions(Some(current), read) {
            VersionVerdict::Adopt => {
                log::info!(
                    source,
                    version,
                    before = current.version,
                    routes = table.routes().count(),
                    bytes = bytes.len(),
                    behind_ms = self.behind_ms();
                    "table.adopted"
                );
                self.put_in_force(table, bytes, fingerprint);
                TableAdoption::Adopted
            }
            VersionVerdict::Same => TableAdoption::Known,
            VersionVerdict::Older => {
                log::info!(source, version, current = current.version; "table.older");
                TableAdoption::Known
            }
            VersionVerdict::Conflict => {
                log::error!(source, version; "table.conflict");
                self.metrics.count_refused_table();
                TableAdoption::Refused
            }
        }
    }

    /// Records that the directory has no table newer than the one in force up to a revision.
    pub(crate) fn record_newest_table(&self, revision: Revision) {
        let mut state = self.state.borrow_mut();
        state.table_read = state.table_read.max(revision);
    }

    /// Returns the milliseconds since a peer first reported a newer table; 0 if no peer has one.
    fn behind_ms(&self) -> f64 {
        let now = self.now();
        let since = self.state.borrow().newer_since;
        since.map_or(0.0, |since| now.millis_since(since))
    }

    fn put_in_force(&self, table: Table, bytes: &Bytes, fingerprint: u64) {
        self.metrics.set_table_version(table.version);
        let mut state = self.state.borrow_mut();
        let published = PublishedTable::new(table, bytes.clone(), fingerprint);
        state.engines.set_services(published.tight());
        state
            .stage_queues
            .set_services(&published.table, published.tight());
        let published = Rc::new(published);
        state.published = Some(published.clone());
        drop(state);
        self.retain_reply_times(&published.table);
        self.invalidate_stage_queues();
        self.table_changed.notify_waiters();
        // Daemons that rely on this one would otherwise receive the change up to 200 ms later.
        self.announcement.notify_one();
    }
}

/// Returns the version and fingerprint of the table in force. Before the first table they are those of an empty document
/// of version 0, so that a table needs a version above 0.
fn identity(current: Option<&PublishedTable>) -> DocumentIdentity<Version> {
    current.map_or_else(
        || DocumentIdentity {
            version: Version::default(),
            fingerprint: xxh3_64(&[]),
        },
        |current| DocumentIdentity {
            version: current.table.version,
            fingerprint: current.fingerprint,
        },
    )
}
