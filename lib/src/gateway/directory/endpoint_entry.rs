//! The entries of endpoints, and lists and changes of them as daemons exchange them.
//!
//! Values only. A message names the era of all its revisions once; a daemon of a release that knows no era reads the
//! numbers as before.

use {
    crate::{
        gateway::revision::{Era, Revision, number_only},
        shared::{
            ids::{DataCentreId, EndpointId, ServiceId},
            units::Millis,
        },
    },
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// When an endpoint started, as it states it itself: Unix time in milliseconds. Two starts under one id
/// differ in it; the later one has the larger value.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Born(pub u64);

/// One life of an endpoint: from one start of its process to the next.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EndpointLife {
    /// The endpoint.
    pub id: EndpointId,
    /// Its start; nothing where endpoints don't state it, and have a new id at each start.
    pub born: Option<Born>,
}

/// One endpoint as the directory publishes it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointEntry {
    /// Its id.
    pub id: EndpointId,
    /// Its service.
    pub service: ServiceId,
    /// Where it listens.
    pub address: SocketAddr,
    /// Data centre it stands in.
    pub data_centre: DataCentreId,
    /// Requests that it runs at the same time.
    pub slots: u32,
    /// It announced that it is leaving.
    pub draining: bool,
    /// Time for which it was still cold when the entry was written: it holds nothing, is slow, and bears few
    /// requests a second.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub cold: Millis,
    /// Its start.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub born: Option<Born>,
    /// Revision of the entry in the directory.
    #[serde(with = "number_only")]
    pub revision: Revision,
}

fn is_zero(time: &Millis) -> bool {
    time.0 == 0
}

impl EndpointEntry {
    /// Returns the life that the entry is about.
    pub fn life(&self) -> EndpointLife {
        EndpointLife {
            id: self.id.clone(),
            born: self.born,
        }
    }

    /// Returns whether this entry says the same as another one, but for its revision.
    pub(super) fn says_same(&self, other: &Self) -> bool {
        let same = Self {
            revision: other.revision,
            ..self.clone()
        };
        same == *other
    }

    /// Returns whether this entry stands against another one of the same endpoint: it is of a later life, or
    /// of the same one and not older. What an earlier life wrote last may arrive after the first entry of the
    /// next one, with a later revision.
    pub fn supersedes(&self, other: &Self) -> bool {
        match (self.born, other.born) {
            (Some(mine), Some(theirs)) if mine != theirs => mine > theirs,
            _ => self.revision >= other.revision,
        }
    }
}

/// A whole list of endpoints, as daemons exchange it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(into = "ListMessage", from = "ListMessage")]
pub struct EndpointList {
    /// Revision of the list.
    pub revision: Revision,
    /// Its entries, those of suspects included.
    pub entries: Vec<EndpointEntry>,
    /// Endpoints whose entries vanished, and that the sender uses for a while yet.
    pub suspects: Vec<EndpointId>,
}

/// A whole list of endpoints in a message.
#[derive(Serialize, Deserialize)]
struct ListMessage {
    revision: u64,
    #[serde(default, skip_serializing_if = "Era::is_unnamed")]
    era: Era,
    entries: Vec<EndpointEntry>,
    /// Nothing from a daemon of a release that doesn't tell them apart.
    #[serde(rename = "doubted", default, skip_serializing_if = "Vec::is_empty")]
    suspects: Vec<EndpointId>,
}

impl From<EndpointList> for ListMessage {
    fn from(list: EndpointList) -> Self {
        let Revision { era, number } = list.revision;
        Self {
            revision: number,
            era,
            entries: entries_in(era, list.entries),
            suspects: list.suspects,
        }
    }
}

impl From<ListMessage> for EndpointList {
    fn from(message: ListMessage) -> Self {
        let ListMessage { revision, era, .. } = message;
        Self {
            revision: Revision::new(era, revision),
            entries: entries_in_message(era, message.entries),
            suspects: message.suspects,
        }
    }
}

/// Returns entries with the numbers that stand for their revisions in a message of an era.
fn entries_in(era: Era, entries: Vec<EndpointEntry>) -> Vec<EndpointEntry> {
    let entries = entries.into_iter().map(|entry| EndpointEntry {
        revision: entry.revision.number_in(era).into(),
        ..entry
    });
    entries.collect()
}

/// Returns the entries of a message of an era with their revisions.
fn entries_in_message(era: Era, entries: Vec<EndpointEntry>) -> Vec<EndpointEntry> {
    let entries = entries.into_iter().map(|entry| EndpointEntry {
        revision: Revision::new(era, entry.revision.number),
        ..entry
    });
    entries.collect()
}

/// Changes of the list of endpoints after a revision, as daemons exchange them.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(into = "ChangesMessage", from = "ChangesMessage")]
pub struct EndpointChanges {
    /// Revision up to which they are complete.
    pub revision: Revision,
    /// Entries that are new or changed.
    pub entries: Vec<EndpointEntry>,
    /// Entries that vanished.
    pub gone: Vec<GoneEndpoint>,
    /// Endpoints may have come and gone meanwhile that aren't told.
    pub has_gap: bool,
}

/// Changes of the list of endpoints in a message.
#[derive(Serialize, Deserialize)]
struct ChangesMessage {
    revision: u64,
    #[serde(default, skip_serializing_if = "Era::is_unnamed")]
    era: Era,
    entries: Vec<EndpointEntry>,
    gone: Vec<GoneEndpoint>,
    /// Unset from a daemon of a release that doesn't tell.
    #[serde(rename = "gap", default, skip_serializing_if = "is_unset")]
    has_gap: bool,
}

fn is_unset(flag: &bool) -> bool {
    !flag
}

impl From<EndpointChanges> for ChangesMessage {
    fn from(changes: EndpointChanges) -> Self {
        let Revision { era, number } = changes.revision;
        let gone = changes.gone.into_iter().map(|gone| GoneEndpoint {
            revision: gone.revision.number_in(era).into(),
            ..gone
        });
        Self {
            revision: number,
            era,
            entries: entries_in(era, changes.entries),
            gone: gone.collect(),
            has_gap: changes.has_gap,
        }
    }
}

impl From<ChangesMessage> for EndpointChanges {
    fn from(message: ChangesMessage) -> Self {
        let ChangesMessage { revision, era, .. } = message;
        let gone = message.gone.into_iter().map(|gone| GoneEndpoint {
            revision: Revision::new(era, gone.revision.number),
            ..gone
        });
        Self {
            revision: Revision::new(era, revision),
            entries: entries_in_message(era, message.entries),
            gone: gone.collect(),
            has_gap: message.has_gap,
        }
    }
}

/// An entry that vanished from the directory.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GoneEndpoint {
    /// The endpoint.
    pub id: EndpointId,
    /// Revision at which it vanished.
    #[serde(with = "number_only")]
    pub revision: Revision,
    /// Its entry may have lapsed although the endpoint lives; daemons exchange it as `doubted`.
    #[serde(rename = "doubted")]
    pub suspect: bool,
}
