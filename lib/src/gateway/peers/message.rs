//! Messages between daemons: datagrams with heartbeats, and frames of requests and replies on
//! links.
//!
//! All are CBOR. Fields of datagrams have names of one letter, and notes are arrays without names,
//! so that a heartbeat fits into a datagram; `lib/tests/test_message_bytes.rs` pins the bytes.
//! Daemons share no clock, so that every time in a message is relative to when it was sent.

pub use crate::gateway::peers::notes::{
    BacklogNote, FarNote, LoadNote, PeerNote, Phase, QueueNote, WorkNote,
};

use {
    crate::{
        gateway::{
            directory::{
                endpoint_entry::{EndpointChanges, EndpointList},
                evacuations::Evacuations,
            },
            quarantine::note::EvidenceNote,
            rates::note::{PermitNote, RateNote},
            request_digest::RequestDigest,
            revision::{Era, Revision},
            rules::allowed_regions::RegionHash,
            stages::job::{JobEnd, PieceInput, ResultHandle},
            table::Version,
            table_parts::{PartHash, PartList},
        },
        shared::{
            ids::{DataCentreId, HostId, ServiceId},
            units::Capacity,
        },
    },
    serde::{Deserialize, Serialize, de::DeserializeOwned},
    std::{net::SocketAddr, sync::Arc},
    thiserror::Error,
};

/// Version of these messages; a daemon ignores all others.
pub const PROTOCOL: u16 = 2;

/// Largest message accepted on a link, in bytes: well above a table or a list.
pub const MAX_MESSAGE: usize = 8 << 20;

/// Capacity reserved for a message before it is encoded, in bytes: about the size of a heartbeat.
const CAPACITY: usize = 512;

/// Reports bytes that aren't a message.
#[derive(Debug, Error)]
pub enum MessageError {
    /// The bytes can't be decoded; the sender may be of another version.
    #[error("not a message: {0}")]
    Decode(String),
}

/// A sign of life of its sender, with what it reports of itself and of some other daemons.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Version of the messages.
    #[serde(rename = "v")]
    pub protocol: u16,
    /// Name of the host.
    #[serde(rename = "h")]
    pub host: HostId,
    /// Number drawn at the start of the process, to tell it from the one before.
    #[serde(rename = "r")]
    pub run: u64,
    /// Counts the heartbeats of this process.
    #[serde(rename = "s")]
    pub sequence: u64,
    /// Address for other daemons.
    #[serde(rename = "a")]
    pub address: SocketAddr,
    /// Data centre.
    #[serde(rename = "d")]
    pub data_centre: DataCentreId,
    /// Its region; nothing if that isn't known, or the installation has one region.
    #[serde(rename = "g", default, skip_serializing_if = "Option::is_none")]
    pub region: Option<RegionHash>,
    /// Phase of its life.
    #[serde(rename = "p")]
    pub phase: Phase,
    /// Version of its table; 0 for none.
    #[serde(rename = "t")]
    pub table: Version,
    /// Fingerprint of its table.
    #[serde(rename = "f")]
    pub fingerprint: u64,
    /// Revision of the directory up to which it knows of no newer table; nothing from a daemon of a
    /// release that doesn't send tables in parts.
    #[serde(rename = "u", default, skip_serializing_if = "Option::is_none")]
    pub table_until: Option<u64>,
    /// Revision of the last change in its list of endpoints.
    #[serde(rename = "c")]
    pub catalogue: u64,
    /// Set if it has read the directory without a failure for a while.
    #[serde(rename = "k")]
    pub steady: bool,
    /// Milliseconds since the directory last answered it for every topic; nothing if others
    /// shouldn't rely on its reading.
    #[serde(rename = "e")]
    pub read_ms: Option<u32>,
    /// The daemon that read it in the place of the sender; nothing if the sender did itself.
    #[serde(rename = "x", default, skip_serializing_if = "Option::is_none")]
    pub read_by: Option<SocketAddr>,
    /// Set if it sends each heartbeat to every daemon it knows.
    #[serde(rename = "b")]
    pub broadcasts: bool,
    /// Processor that it may use.
    #[serde(rename = "m")]
    pub capacity: Capacity,
    /// Set if it has just started; the receiver sends it a roster.
    #[serde(rename = "j")]
    pub joining: bool,
    /// Gossip about some living daemons.
    #[serde(rename = "n")]
    pub peers: Vec<PeerNote>,
    /// Daemons that are asked for a heartbeat, since they have been silent.
    #[serde(rename = "i", default, skip_serializing_if = "Vec::is_empty")]
    pub asked: Vec<SocketAddr>,
    /// The data centres that it knows to be evacuated; nothing if it knows nothing of that.
    #[serde(rename = "z", default, skip_serializing_if = "Option::is_none")]
    pub evacuations: Option<Evacuations>,
    /// The eras of the revisions above; a daemon of a release that knows no era sends none.
    #[serde(
        rename = "y",
        default,
        skip_serializing_if = "HeartbeatEras::are_unnamed"
    )]
    pub eras: HeartbeatEras,
    /// Its requests in flight, the largest loads.
    #[serde(rename = "l")]
    pub loads: Vec<LoadNote>,
    /// The stage services that it plans for.
    #[serde(rename = "q")]
    pub queues: Vec<QueueNote>,
    /// Its outstanding pieces.
    #[serde(rename = "w")]
    pub work: Vec<WorkNote>,
    /// The outstanding pieces by their order.
    #[serde(rename = "o", default, skip_serializing_if = "Vec::is_empty")]
    pub backlogs: Vec<BacklogNote>,
}

impl Heartbeat {
    /// Returns the revision of the last change in its list of endpoints.
    pub fn list_revision(&self) -> Revision {
        Revision::new(self.eras.list, self.catalogue)
    }

    /// Returns the revision of the directory up to which it knows of no newer table.
    pub fn table_revision(&self) -> Option<Revision> {
        let number = self.table_until?;
        Some(Revision::new(self.eras.table, number))
    }

    /// Returns the data centres that it knows to be evacuated.
    pub fn known_evacuations(&self) -> Option<Evacuations> {
        let numbers = self.evacuations.as_ref()?;
        Some(numbers.in_era(self.eras.evacuations))
    }
}

/// Eras of what a heartbeat reports by numbers.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeartbeatEras {
    /// Of the revision up to which there is no newer table.
    #[serde(rename = "u")]
    pub table: Era,
    /// Of the list of endpoints.
    #[serde(rename = "c")]
    pub list: Era,
    /// Of the evacuated data centres.
    #[serde(rename = "z")]
    pub evacuations: Era,
}

impl HeartbeatEras {
    /// Returns whether the directory names no era.
    pub(super) fn are_unnamed(&self) -> bool {
        *self == Self::default()
    }
}

/// Loads of all daemons together, as a coordinator sums them up; one datagram holds a part of
/// them.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadDigest {
    /// Version of the messages.
    #[serde(rename = "v")]
    pub protocol: u16,
    /// The sums; those of endpoints that aren't named stay as they are.
    #[serde(rename = "l")]
    pub loads: Vec<LoadNote>,
}

/// Living daemons, for one that has just started; one datagram holds a part of them.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Roster {
    /// Version of the messages.
    #[serde(rename = "v")]
    pub protocol: u16,
    /// The daemons.
    #[serde(rename = "n")]
    pub peers: Vec<PeerNote>,
}

/// Requests under which endpoints ended; one datagram holds a part of them.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantineReport {
    /// Version of the messages.
    #[serde(rename = "v")]
    pub protocol: u16,
    /// What the sender knows of each.
    #[serde(rename = "n")]
    pub notes: Vec<EvidenceNote>,
}

/// What daemons tell each other of endpoints that name a rate; one datagram holds a part of it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RateReport {
    /// Version of the messages.
    #[serde(rename = "v")]
    pub protocol: u16,
    /// Address of the sender for other daemons.
    #[serde(rename = "a")]
    pub address: SocketAddr,
    /// What the sender knows of endpoints, and its part in what they take.
    #[serde(rename = "n", default, skip_serializing_if = "Vec::is_empty")]
    pub notes: Vec<RateNote>,
    /// Permits of the sender for the receiver.
    #[serde(rename = "g", default, skip_serializing_if = "Vec::is_empty")]
    pub permits: Vec<PermitNote>,
}

/// How stage services stand in other regions, from a coordinator to its own region; one datagram holds a part of it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RegionReport {
    /// Version of the messages.
    #[serde(rename = "v")]
    pub protocol: u16,
    /// What the coordinators there report.
    #[serde(rename = "n")]
    pub notes: Vec<FarNote>,
}

/// A datagram between daemons.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Datagram {
    /// A sign of life.
    #[serde(rename = "h")]
    Heartbeat(Box<Heartbeat>),
    /// Sums of loads.
    #[serde(rename = "d")]
    Loads(LoadDigest),
    /// Daemons that are alive.
    #[serde(rename = "r")]
    Roster(Roster),
    /// Requests under which endpoints ended. A daemon of a release that doesn't know it ignores it.
    #[serde(rename = "q")]
    Quarantine(QuarantineReport),
    /// Endpoints that name a rate. A daemon of a release that doesn't know it ignores it.
    #[serde(rename = "e")]
    Rates(RateReport),
    /// Services in other regions. A daemon of a release that doesn't know it ignores it.
    #[serde(rename = "g")]
    Regions(RegionReport),
}

impl Datagram {
    /// Returns the version of the messages that its sender uses.
    pub fn protocol(&self) -> u16 {
        match self {
            Self::Heartbeat(heartbeat) => heartbeat.protocol,
            Self::Loads(digest) => digest.protocol,
            Self::Roster(roster) => roster.protocol,
            Self::Quarantine(report) => report.protocol,
            Self::Rates(report) => report.protocol,
            Self::Regions(report) => report.protocol,
        }
    }
}

/// A job, as it is handed to the coordinator of its service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobOrder {
    /// Service that runs it.
    pub service: ServiceId,
    /// Request it belongs to.
    pub request: Arc<str>,
    /// Place of its stage in the route.
    pub stage: u32,
    /// Number of pieces.
    pub pieces: u32,
    /// Input of each.
    pub input: PieceInput,
    /// Time left to the deadline of the request, in milliseconds.
    pub remaining_ms: u64,
    /// Time left to the objective of the stage, in milliseconds; negative if it has passed.
    pub objective_ms: i64,
    /// Rank of the request; 0 goes first.
    pub rank: u32,
    /// Usual size of one result, in bytes.
    pub result: u64,
    /// Data centre where the results will probably be used.
    pub home: Option<DataCentreId>,
    /// Data centres where the pieces may run; empty for any. A daemon of a release that doesn't know the field
    /// runs them anywhere.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub places: Vec<DataCentreId>,
    /// Bytes that cross between data centres if one piece runs elsewhere.
    pub moved: u64,
    /// The same for the same request sent again; nothing from a daemon of a release that doesn't tell it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub digest: Option<RequestDigest>,
}

/// A request on a link.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum LinkRequest {
    /// Send the table.
    Table,
    /// Send the list of endpoints.
    Endpoints,
    /// Send the changes in the list of endpoints after a revision of a directory that names no era.
    Changes(u64),
    /// Run the pieces of a stage.
    Job(JobOrder),
    /// Cancel the request in the frame of this number.
    Cancel(u64),
    /// Release results that are no longer needed.
    Release(ServiceId, Vec<ResultHandle>),
    /// Send the list of the table's parts.
    PartList,
    /// Send these parts of the table.
    Parts(Vec<PartHash>),
    /// Send the changes in the list of endpoints after a number of an era. It is asked of daemons alone that have told of
    /// that era or a later one.
    ChangesInEra(Era, u64),
}

impl LinkRequest {
    /// Asks for the changes in the list of endpoints after a revision.
    pub fn changes(since: Revision) -> Self {
        if since.era.is_unnamed() {
            Self::Changes(since.number)
        } else {
            Self::ChangesInEra(since.era, since.number)
        }
    }
}

/// A reply on a link.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum LinkReply {
    /// The table as it was published.
    Table {
        /// Its bytes.
        #[serde(with = "serde_bytes_vec")]
        bytes: Vec<u8>,
    },
    /// The list of endpoints as of a revision.
    Endpoints(EndpointList),
    /// Changes in the list of endpoints.
    Changes(EndpointChanges),
    /// How a job ended.
    Job(JobEnd),
    /// It is done, and there is nothing to report.
    Done,
    /// The daemon can't, because it lacks a table or a list.
    Unable,
    /// The parts of the table.
    PartList(PartList),
    /// Parts of the table in the order in which they were asked for, compressed together.
    Parts {
        /// The compressed bytes.
        #[serde(with = "serde_bytes_vec")]
        batch: Vec<u8>,
    },
    /// The daemon's link is taken by what it already sends; another daemon may have the table too.
    Busy,
}

/// One message on a link; a reply has the number of its request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Frame<T> {
    /// Its number.
    pub number: u64,
    /// Its content.
    pub content: T,
}

/// Keeps a table's bytes as a byte string instead of a list of numbers.
mod serde_bytes_vec {
    use serde::{Deserializer, Serializer, de::Visitor};

    pub fn serialize<S: Serializer>(bytes: &[u8], serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_bytes(bytes)
    }

    pub fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Vec<u8>, D::Error> {
        struct Bytes;

        impl Visitor<'_> for Bytes {
            type Value = Vec<u8>;

            fn expecting(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                f.write_str("a byte string")
            }

            fn visit_bytes<E>(self, bytes: &[u8]) -> Result<Vec<u8>, E> {
                Ok(bytes.to_vec())
            }

            fn visit_byte_buf<E>(self, bytes: Vec<u8>) -> Result<Vec<u8>, E> {
                Ok(bytes)
            }
        }

        deserializer.deserialize_byte_buf(Bytes)
    }
}

/// Encodes a message.
///
/// # Panics
///
/// Never for the messages of this module: each of their values has a form in CBOR, and writing
/// into memory can't fail.
pub fn encode(message: &impl Serialize) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(CAPACITY);
    ciborium::into_writer(message, &mut bytes).expect("a message has a form in CBOR");
    bytes
}

/// Decodes a message.
///
/// # Errors
///
/// Returns an error when the bytes aren't a message of the type.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, MessageError> {
    ciborium::from_reader(bytes).map_err(|error| MessageError::Decode(error.to_string()))
}
