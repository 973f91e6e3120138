//! The entries of endpoints, and the lists and changes of entries that daemons exchange.
//!
//! Holds values only. A message names the era of all its revisions once. Daemons of a release without eras ignore it
//! and read the numbers.

use {
    crate::{
        gateway::revision::{Era, Revision, number_only},
        shared::{
            ids::{DataCentreId, EndpointId, ServiceId},
            units::Millis,
        },
    },
    serde::{Deserialize, Deserializer, Serialize, Serializer, de::Error as _},
    std::{fmt, net::SocketAddr, str::FromStr, sync::Arc},
    thiserror::Error,
};

/// Longest accepted software version, in bytes.
const MAX_VERSION_LENGTH: usize = 64;

/// Version of an endpoint's software, as the endpoint states it. Versions have no order.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct SoftwareVersion(Arc<str>);

/// Reports a text that isn't a valid software version.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("{0:?} isn't a software version of 1 to {MAX_VERSION_LENGTH} bytes")]
pub struct VersionError(String);

impl SoftwareVersion {
    /// Returns the version as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl FromStr for SoftwareVersion {
    type Err = VersionError;

    fn from_str(text: &str) -> Result<Self, VersionError> {
        if (1..=MAX_VERSION_LENGTH).contains(&text.len()) {
            Ok(Self(text.into()))
        } else {
            Err(VersionError(text.to_owned()))
        }
    }
}

impl fmt::Display for SoftwareVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl Serialize for SoftwareVersion {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&self.0)
    }
}

impl<'de> Deserialize<'de> for SoftwareVersion {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        text.parse().map_err(D::Error::custom)
    }
}

/// Time at which an endpoint started, as it states itself: Unix time in milliseconds. Two starts under one id differ in
/// it; the later one has the larger value.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct StartTime(pub u64);

/// One incarnation of an endpoint: from one start of its process to the next.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EndpointIncarnation {
    /// Id of the endpoint.
    pub id: EndpointId,
    /// Time of the start; `None` if endpoints don't state it and get a new id at each start.
    pub started: Option<StartTime>,
}

/// One endpoint as the directory publishes it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointEntry {
    /// Id of the endpoint.
    pub id: EndpointId,
    /// Service that the endpoint belongs to.
    pub service: ServiceId,
    /// Address on which the endpoint accepts requests.
    pub address: SocketAddr,
    /// Data centre in which the endpoint runs.
    pub data_centre: DataCentreId,
    /// Number of requests that the endpoint runs at the same time.
    pub slots: u32,
    /// The endpoint announced that it is leaving.
    pub draining: bool,
    /// Time for which the endpoint remains cold after the entry was written: its caches are empty, it is slow, and it
    /// takes few requests a second.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub cold: Millis,
    /// Time at which the endpoint started; `None` if it doesn't state it.
    #[serde(rename = "born", default, skip_serializing_if = "Option::is_none")]
    pub started: Option<StartTime>,
    /// Version of the endpoint's software; `None` if the entry states none, or comes from a daemon of an older release.
    #[serde(rename = "version", default, skip_serializing_if = "Option::is_none")]
    pub version: Option<SoftwareVersion>,
    /// Revision of the entry in the directory.
    #[serde(with = "number_only")]
    pub revision: Revision,
}

fn is_zero(time: &Millis) -> bool {
    time.0 == 0
}

impl EndpointEntry {
    /// Returns the software version for logs; `-` if it isn't known.
    pub fn version_name(&self) -> &str {
        self.version.as_ref().map_or("-", SoftwareVersion::as_str)
    }

    /// Returns the incarnation that the entry describes.
    pub fn incarnation(&self) -> EndpointIncarnation {
        EndpointIncarnation {
            id: self.id.clone(),
            started: self.started,
        }
    }

    /// Returns whether this entry equals another one in all fields except the revision.
    pub(super) fn equals_except_revision(&self, other: &Self) -> bool {
        let same = Self {
            revision: other.revision,
            ..self.clone()
        };
        same == *other
    }

    /// Returns whether this entry takes precedence over another one of the same endpoint: it is of a later incarnation,
    /// or of the same one and not older. The last entry of an earlier incarnation may arrive after the first entry of
    /// the next one, and with a later revision.
    pub fn supersedes(&self, other: &Self) -> bool {
        match (self.started, other.started) {
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
    /// Entries of all endpoints, including the unconfirmed ones.
    pub entries: Vec<EndpointEntry>,
    /// Endpoints that are unconfirmed at the sender: their entries vanished, and the sender still uses them for a time.
    pub unconfirmed: Vec<EndpointId>,
    /// Entries that the sender holds back: their endpoints had departed before the directory was restored.
    pub held: Vec<EndpointEntry>,
}

/// A whole list of endpoints in a message.
#[derive(Serialize, Deserialize)]
struct ListMessage {
    revision: u64,
    #[serde(default, skip_serializing_if = "Era::is_unnamed")]
    era: Era,
    entries: Vec<EndpointEntry>,
    /// Empty if the sender's release doesn't distinguish unconfirmed endpoints.
    #[serde(rename = "doubted", default, skip_serializing_if = "Vec::is_empty")]
    unconfirmed: Vec<EndpointId>,
    /// Empty if the sender's release doesn't pass on what it holds back.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    held: Vec<EndpointEntry>,
}

impl From<EndpointList> for ListMessage {
    fn from(list: EndpointList) -> Self {
        let Revision { era, number } = list.revision;
        Self {
            revision: number,
            era,
            entries: to_message(era, list.entries),
            unconfirmed: list.unconfirmed,
            held: to_message(era, list.held),
        }
    }
}

impl From<ListMessage> for EndpointList {
    fn from(message: ListMessage) -> Self {
        let ListMessage { revision, era, .. } = message;
        Self {
            revision: Revision::reported(era, revision),
            entries: from_message(era, message.entries),
            unconfirmed: message.unconfirmed,
            held: from_message(era, message.held),
        }
    }
}

/// Converts entries for a message of an era: their revisions become numbers in that era.
fn to_message(era: Era, entries: Vec<EndpointEntry>) -> Vec<EndpointEntry> {
    let entries = entries.into_iter().map(|entry| EndpointEntry {
        revision: entry.revision.number_in(era).into(),
        ..entry
    });
    entries.collect()
}

/// Converts entries from a message of an era: their numbers become revisions of that era.
fn from_message(era: Era, entries: Vec<EndpointEntry>) -> Vec<EndpointEntry> {
    let entries = entries.into_iter().map(|entry| EndpointEntry {
        revision: Revision::reported(era, entry.revision.number),
        ..entry
    });
    entries.collect()
}

/// Changes of the list of endpoints after a revision, as daemons exchange them.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(into = "ChangesMessage", from = "ChangesMessage")]
pub struct EndpointChanges {
    /// Revision up to which the changes are complete.
    pub revision: Revision,
    /// New or changed entries.
    pub entries: Vec<EndpointEntry>,
    /// Entries that vanished.
    pub gone: Vec<GoneEndpoint>,
    /// The changes may lack endpoints that were added and removed in between.
    pub has_gap: bool,
    /// Entries that the sender holds back, whenever they were written.
    pub held: Vec<EndpointEntry>,
}

/// Changes of the list of endpoints in a message.
#[derive(Serialize, Deserialize)]
struct ChangesMessage {
    revision: u64,
    #[serde(default, skip_serializing_if = "Era::is_unnamed")]
    era: Era,
    entries: Vec<EndpointEntry>,
    gone: Vec<GoneEndpoint>,
    /// False if the sender's release doesn't report gaps.
    #[serde(rename = "gap", default, skip_serializing_if = "is_unset")]
    has_gap: bool,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    held: Vec<EndpointEntry>,
}

/// Returns whether a flag is left out of a message.
pub(crate) fn is_unset(flag: &bool) -> bool {
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
            entries: to_message(era, changes.entries),
            gone: gone.collect(),
            has_gap: changes.has_gap,
            held: to_message(era, changes.held),
        }
    }
}

impl From<ChangesMessage> for EndpointChanges {
    fn from(message: ChangesMessage) -> Self {
        let ChangesMessage { revision, era, .. } = message;
        let gone = message.gone.into_iter().map(|gone| GoneEndpoint {
            revision: Revision::reported(era, gone.revision.number),
            ..gone
        });
        Self {
            revision: Revision::reported(era, revision),
            entries: from_message(era, message.entries),
            gone: gone.collect(),
            has_gap: message.has_gap,
            held: from_message(era, message.held),
        }
    }
}

/// An entry that vanished from the directory.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GoneEndpoint {
    /// Id of the endpoint.
    pub id: EndpointId,
    /// Revision at which the entry vanished.
    #[serde(with = "number_only")]
    pub revision: Revision,
    /// The endpoint is unconfirmed: its entry may have lapsed although the endpoint is alive. Messages name this field
    /// `doubted`.
    #[serde(rename = "doubted")]
    pub unconfirmed: bool,
}
