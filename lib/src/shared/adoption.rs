//! Decides whether a tree that was read comes into force: upward only, one content a version.

use crate::settings::tree::TreeVersion;

/// Version and fingerprint of a tree.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TreeMark {
    /// Version that the operators gave it.
    pub version: TreeVersion,
    /// Hash over its values.
    pub hash: u64,
}

/// What to do with a tree that was read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum VersionVerdict {
    /// It is newer: put it in force.
    Adopt,
    /// It is the one in force.
    Same,
    /// It is older: a stale service; nothing changes.
    Older,
    /// It has the version in force but other content: refused.
    Conflict,
}

/// Judges a tree against the one in force.
pub fn judge(current: Option<TreeMark>, read: TreeMark) -> VersionVerdict {
    let Some(current) = current else {
        return VersionVerdict::Adopt;
    };
    match read.version.cmp(&current.version) {
        std::cmp::Ordering::Greater => VersionVerdict::Adopt,
        std::cmp::Ordering::Less => VersionVerdict::Older,
        std::cmp::Ordering::Equal if read.hash == current.hash => VersionVerdict::Same,
        std::cmp::Ordering::Equal => VersionVerdict::Conflict,
    }
}
