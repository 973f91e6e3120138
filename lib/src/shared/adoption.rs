//! Decides whether a versioned document that was read replaces the one in force.
//!
//! Inputs: version and fingerprint of the document in force, if there is one, and of the document that was read.
//! Output: a [`VersionVerdict`].
//!
//! Rule: a newer version is adopted, an older one changes nothing. If the version is the one in force, equal content
//! changes nothing, and different content is refused.
//!
//! Reason: a source may be stale. Two documents with the same version mean that a publisher made a mistake; daemons
//! that read different ones would then behave differently.
//!
//! Both daemons use this rule: one for settings trees, the other for tables. Tests:
//! `lib/tests/test_config_watch.rs` and `platform/tests/test_directory.rs`.

use std::cmp::Ordering;

/// Version and fingerprint of a document.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DocumentIdentity<V> {
    /// Version that the publisher gave the document.
    pub version: V,
    /// Hash of the document's content.
    pub fingerprint: u64,
}

/// What to do with a document that was read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum VersionVerdict {
    /// Put the document in force: it is newer.
    Adopt,
    /// Do nothing: the document is the one in force.
    Same,
    /// Do nothing: the document is older, so its source is stale.
    Older,
    /// Refuse the document: it has the version in force but different content.
    Conflict,
}

/// Compares a document that was read with the one in force.
pub fn compare_versions<V: Ord>(
    current: Option<DocumentIdentity<V>>,
    read: DocumentIdentity<V>,
) -> VersionVerdict {
    let Some(current) = current else {
        return VersionVerdict::Adopt;
    };
    match read.version.cmp(&current.version) {
        Ordering::Greater => VersionVerdict::Adopt,
        Ordering::Less => VersionVerdict::Older,
        Ordering::Equal if read.fingerprint == current.fingerprint => VersionVerdict::Same,
        Ordering::Equal => VersionVerdict::Conflict,
    }
}
