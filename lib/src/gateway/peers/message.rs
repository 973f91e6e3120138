//! What daemons say to each other: heartbeats in datagrams, and frames on links.

use {
    crate::{
        gateway::{
            directory::catalogue::{EndpointChanges, EndpointEntry},
            hashes::{EndpointHash, ServiceHash},
            stages::job::{JobEnd, PieceInput, ResultHandle},
            table::Version,
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

/// Largest message accepted.
pub const MAX_MESSAGE: usize = 8 << 20;

/// Reports bytes that are no message.
#[derive(Debug, Error)]
pub enum MessageError {
    /// The message can't be decoded.
    #[error("not a message: {0}")]
    Decode(String),
    /// The message is of another version.
    #[error("a message of version {0}, not {PROTOCOL}")]
    Version(u16),
}

/// How far a daemon is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Phase {
    /// It doesn't know yet what it needs to serve.
    Starting,
    /// It serves.
    Ready,
    /// It is about to end.
    Stopping,
}

/// A daemon that the sender of a heartbeat knows of.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerNote {
    /// Its address for other daemons.
    #[serde(rename = "a")]
    pub address: SocketAddr,
    /// Milliseconds since its last sign of life, as the sender knows.
    #[serde(rename = "g")]
    pub age_ms: u32,
    /// How far it was then.
    #[serde(rename = "p")]
    pub phase: Phase,
    /// Processor that it may use.
    #[serde(rename = "c")]
    pub capacity: Capacity,
}

/// Load at one endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(into = "(EndpointHash, u32, u32)", from = "(EndpointHash, u32, u32)")]
pub struct LoadNote {
    /// The endpoint.
    pub endpoint: EndpointHash,
    /// Requests in flight.
    pub running: u32,
    /// Prompt tokens that the endpoint hasn't read yet.
    pub prefill: u32,
}

impl From<LoadNote> for (EndpointHash, u32, u32) {
    fn from(note: LoadNote) -> Self {
        (note.endpoint, note.running, note.prefill)
    }
}

impl From<(EndpointHash, u32, u32)> for LoadNote {
    fn from((endpoint, running, prefill): (EndpointHash, u32, u32)) -> Self {
        Self {
            endpoint,
            running,
            prefill,
        }
    }
}

/// State of a stage service, as the daemon reports that plans its calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(
    into = "(ServiceHash, u32, bool, u32)",
    from = "(ServiceHash, u32, bool, u32)"
)]
pub struct QueueNote {
    /// The service.
    pub service: ServiceHash,
    /// Endpoints that accept calls and are about as fast as usual.
    pub endpoints: u32,
    /// Whether they are short of room for results.
    pub short_of_room: bool,
    /// Outstanding pieces at all daemons, as far as the planning one knows.
    pub outstanding: u32,
}

impl From<QueueNote> for (ServiceHash, u32, bool, u32) {
    fn from(note: QueueNote) -> Self {
        (
            note.service,
            note.endpoints,
            note.short_of_room,
            note.outstanding,
        )
    }
}

impl From<(ServiceHash, u32, bool, u32)> for QueueNote {
    fn from(note: (ServiceHash, u32, bool, u32)) -> Self {
        let (service, endpoints, short_of_room, outstanding) = note;
        Self {
            service,
            endpoints,
            short_of_room,
            outstanding,
        }
    }
}

/// Outstanding pieces of a service at one daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(into = "(ServiceHash, u32)", from = "(ServiceHash, u32)")]
pub struct WorkNote {
    /// The service.
    pub service: ServiceHash,
    /// Pieces without a result.
    pub pieces: u32,
}

impl From<WorkNote> for (ServiceHash, u32) {
    fn from(note: WorkNote) -> Self {
        (note.service, note.pieces)
    }
}

impl From<(ServiceHash, u32)> for WorkNote {
    fn from((service, pieces): (ServiceHash, u32)) -> Self {
        Self { service, pieces }
    }
}

/// A datagram that tells that its sender is alive and what it knows.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Version of the messages.
    #[serde(rename = "v")]
    pub protocol: u16,
    /// Name of the host.
    #[serde(rename = "h")]
    pub host: HostId,
    /// Tells one life of the process from another.
    #[serde(rename = "r")]
    pub run: u64,
    /// Counts the heartbeats of this life.
    #[serde(rename = "s")]
    pub sequence: u64,
    /// Address for other daemons.
    #[serde(rename = "a")]
    pub address: SocketAddr,
    /// Data centre.
    #[serde(rename = "d")]
    pub data_centre: DataCentreId,
    /// How far it is.
    #[serde(rename = "p")]
    pub phase: Phase,
    /// Version of its table; 0 for none.
    #[serde(rename = "t")]
    pub table: Version,
    /// Fingerprint of its table.
    #[serde(rename = "f")]
    pub fingerprint: u64,
    /// Revision of its list of endpoints.
    #[serde(rename = "c")]
    pub catalogue: u64,
    /// Whether it has reached the directory without a failure for a while.
    #[serde(rename = "k")]
    pub steady: bool,
    /// Milliseconds since the directory last answered it for every topic; nothing if it doesn't read
    /// the directory itself.
    #[serde(rename = "e")]
    pub read_ms: Option<u32>,
    /// Whether it sends each heartbeat to every daemon it knows.
    #[serde(rename = "b")]
    pub broadcasts: bool,
    /// Processor that it may use.
    #[serde(rename = "m")]
    pub capacity: Capacity,
    /// Whether it has just started, and asks to be told of everybody.
    #[serde(rename = "j")]
    pub joining: bool,
    /// Some daemons that it knows of.
    #[serde(rename = "n")]
    pub peers: Vec<PeerNote>,
    /// What it has in flight.
    #[serde(rename = "l")]
    pub loads: Vec<LoadNote>,
    /// What it plans.
    #[serde(rename = "q")]
    pub queues: Vec<QueueNote>,
    /// What it has taken on.
    #[serde(rename = "w")]
    pub work: Vec<WorkNote>,
}

/// What all daemons together have in flight at endpoints, as a coordinator sums it up; one datagram
/// holds a part of it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadDigest {
    /// Version of the messages.
    #[serde(rename = "v")]
    pub protocol: u16,
    /// The sums; an endpoint that isn't named tells nothing.
    #[serde(rename = "l")]
    pub loads: Vec<LoadNote>,
}

/// Living daemons, in parts that fit into a datagram.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Roster {
    /// Version of the messages.
    #[serde(rename = "v")]
    pub protocol: u16,
    /// The daemons.
    #[serde(rename = "n")]
    pub peers: Vec<PeerNote>,
}

/// A datagram between daemons.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Datagram {
    /// A sign of life.
    #[serde(rename = "h")]
    Heartbeat(Heartbeat),
    /// Sums of loads.
    #[serde(rename = "d")]
    Loads(LoadDigest),
    /// Daemons that are alive, told to one that has just started.
    #[serde(rename = "r")]
    Roster(Roster),
}

impl Datagram {
    /// Returns the version of the messages that its sender speaks.
    pub fn protocol(&self) -> u16 {
        match self {
            Self::Heartbeat(heartbeat) => heartbeat.protocol,
            Self::Loads(digest) => digest.protocol,
            Self::Roster(roster) => roster.protocol,
        }
    }
}

/// A job handed to the daemon that plans for its service; times are relative.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobOrder {
    /// Service that does it.
    pub service: ServiceId,
    /// Request it belongs to.
    pub request: Arc<str>,
    /// Place of its stage in the route.
    pub stage: u32,
    /// Number of pieces.
    pub pieces: u32,
    /// What each is made from.
    pub input: PieceInput,
    /// Time left of the request.
    pub remaining_ms: u64,
    /// Time left for the answer to be worth most; negative if that time is over.
    pub objective_ms: i64,
    /// Rank of the request.
    pub rank: u32,
    /// Usual size of one result.
    pub result: u64,
    /// Data centre where the results will probably be taken.
    pub home: Option<DataCentreId>,
    /// Bytes that cross between data centres if one piece is made elsewhere.
    pub moved: u64,
}

/// What is asked on a link.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum LinkRequest {
    /// Send the table.
    Table,
    /// Send the list of endpoints.
    Endpoints,
    /// Send what changed in the list of endpoints after a revision.
    Changes(u64),
    /// Make the pieces of a stage.
    Job(JobOrder),
    /// Forget a job: the number of its frame.
    Cancel(u64),
    /// Results that are no longer needed.
    Release(ServiceId, Vec<ResultHandle>),
}

/// What is answered on a link.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum LinkReply {
    /// The table as it was published.
    Table {
        /// Its bytes.
        #[serde(with = "serde_bytes_vec")]
        bytes: Vec<u8>,
    },
    /// The list of endpoints as of a revision.
    Endpoints {
        /// The revision.
        revision: u64,
        /// The list.
        entries: Vec<EndpointEntry>,
    },
    /// What changed in the list of endpoints.
    Changes(EndpointChanges),
    /// How a job ended.
    Job(JobEnd),
    /// It is done, and nothing is to be told of it.
    Done,
    /// The daemon can't do what is asked.
    Unable,
}

/// One message of a link; an answer carries the number of what it answers.
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
pub fn encode(message: &impl Serialize) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(512);
    // Writing into memory fails for no message of these types.
    let _ = ciborium::into_writer(message, &mut bytes);
    bytes
}

/// Decodes a message.
///
/// # Errors
///
/// Returns an error when the bytes are no message of the type.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, MessageError> {
    ciborium::from_reader(bytes).map_err(|error| MessageError::Decode(error.to_string()))
}
