//! Does a versioned document that was read come into force?
//!
//! Inputs: version and fingerprint of the document in force, if there is one, and of the one that
//! was read.
//!
//! Rule: a newer version is adopted, an older one changes nothing. The version in force with the
//! same content is the one in force; with other content it is refused.
//!
//! Reason: a source may be stale, and two documents under one version mean that a publisher made a
//! mistake, which daemons that read different ones would turn into different behaviour.
//!
//! There is no constant. Both daemons use it: one for settings trees, the other for tables. Tests:
//! `lib/tests/test_config_watch.rs` and `platform/tests/test_directory.rs`.

use std::cmp::Ordering;

/// Version and fingerprint of a document.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ContentMark<V> {
    /// Version that its publisher gave it.
    pub version: V,
    /// Hash over its content.
    pub fingerprint: u64,
}

/// Judgement on a document that was read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum VersionVerdict {
    /// It is newer: put it in force.
    Adopt,
    /// It is the one in force.
    Same,
    /// It is older: its source is stale; nothing changes.
    Older,
    /// It has the version in force but other content: refused.
    Conflict,
}

/// Judges a document against the one in force.
pub fn judge<V: Ord>(current: Option<ContentMark<V>>, read: ContentMark<V>) -> VersionVerdict {
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
