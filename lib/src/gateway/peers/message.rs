//! Messages between daemons: datagrams such as heartbeats, and frames of requests and replies on
//! links.
//!
//! All are encoded as CBOR. Fields of datagrams have one-letter names and most entries are arrays without
//! field names, so that a heartbeat fits into a datagram; `lib/tests/test_message_bytes.rs` pins the bytes.
//! Daemons share no clock, so every time in a message is relative to when it was sent.

pub use crate::gateway::peers::notes::{
    BacklogNote, LoadNote, PeerNote, Phase, QueueNote, RemoteNote, WorkNote,
};

use {
    crate::{
        gateway::{
            calibration::note::CalibrationNote,
            directory::{
                endpoint_entry::{EndpointChanges, EndpointList, is_unset},
                evacuations::Evacuations,
            },
            engines::note::EngineNote,
            loans::note::{AskNote, LoanNote, Stamp},
            quarantine::note::{EvidenceNote, TrialNote},
            rates::note::{PermitNote, RateNote},
            request_digest::RequestDigest,
            reservations::note::{AnswerNote, ReservationNote},
            revision::{Era, Revision},
            rules::allowed_regions::RegionHash,
            stages::job::{CustomerHash, JobEnd, PieceInput, ResultHandle},
            stream_origins::note::OriginNote,
            table::Version,
            table_chunks::{ChunkHash, ChunkList},
        },
        shared::{
            ids::{DataCentreId, HostId, ServiceId},
            units::Capacity,
        },
    },
    serde::{Deserialize, Serialize, de::DeserializeOwned},
    std::{iter, net::SocketAddr, sync::Arc},
    thiserror::Error,
};

/// Version of this protocol. A daemon ignores datagrams of any other version.
pub const PROTOCOL: u16 = 2;

/// Largest message accepted on a link, in bytes: well above the usual size of a table or an endpoint list.
pub const MAX_MESSAGE: usize = 8 << 20;

/// Initial capacity of the buffer for an encoded message, in bytes: about the size of a heartbeat.
const BUFFER_CAPACITY: usize = 512;

/// Error for bytes that aren't a message.
#[derive(Debug, Error)]
pub enum MessageError {
    /// The bytes can't be decoded; the sender may use another version of the protocol.
    #[error("the peer's message can't be decoded: {0}")]
    Decode(String),
}

/// A sign of life of the sender, with its state and gossip about some other daemons.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Version of the protocol that the sender uses.
    #[serde(rename = "v")]
    pub protocol: u16,
    /// Name of the sender's host.
    #[serde(rename = "h")]
    pub host: HostId,
    /// Random number drawn when the process starts, which distinguishes it from an earlier process at the same address.
    #[serde(rename = "r")]
    pub run: u64,
    /// Sequence number of the heartbeat, counted from the start of the process.
    #[serde(rename = "s")]
    pub sequence: u64,
    /// Address at which other daemons reach the sender.
    #[serde(rename = "a")]
    pub address: SocketAddr,
    /// Data centre of the sender's host.
    #[serde(rename = "d")]
    pub data_centre: DataCentreId,
    /// Region of the data centre; `None` if it is unknown or the installation has only one.
    #[serde(rename = "g", default, skip_serializing_if = "Option::is_none")]
    pub region: Option<RegionHash>,
    /// Phase of the sender's lifecycle.
    #[serde(rename = "p")]
    pub phase: Phase,
    /// Version of the sender's table; 0 for none.
    #[serde(rename = "t")]
    pub table: Version,
    /// Fingerprint of the sender's table.
    #[serde(rename = "f")]
    pub fingerprint: u64,
    /// Number of the directory revision up to which the sender knows of no newer table; `None` from a daemon of an
    /// older release, which doesn't send tables in chunks.
    #[serde(rename = "u", default, skip_serializing_if = "Option::is_none")]
    pub table_until: Option<u64>,
    /// Number of the directory revision of the last change in the sender's endpoint list.
    #[serde(rename = "c")]
    pub catalogue: u64,
    /// Set if the sender has read the directory without failures for some time.
    #[serde(rename = "k")]
    pub steady: bool,
    /// Milliseconds since the directory last answered for every topic; `None` if others
    /// shouldn't rely on the sender's reads.
    #[serde(rename = "e")]
    pub read_ms: Option<u32>,
    /// The daemon whose read `read_ms` reports; `None` if it is the sender's own.
    #[serde(rename = "x", default, skip_serializing_if = "Option::is_none")]
    pub read_by: Option<SocketAddr>,
    /// Set if the sender, as a coordinator, sends its heartbeats to every daemon of its region.
    #[serde(rename = "b")]
    pub broadcasts: bool,
    /// Processor capacity that the sender may use.
    #[serde(rename = "m")]
    pub capacity: Capacity,
    /// Set if the sender's processor is used up.
    #[serde(rename = "P", default, skip_serializing_if = "is_unset")]
    pub exhausted: bool,
    /// Set if the sender has just started; the receiver then sends it a roster.
    #[serde(rename = "j")]
    pub joining: bool,
    /// Gossip about some other daemons.
    #[serde(rename = "n")]
    pub peers: Vec<PeerNote>,
    /// Silent daemons that the sender asks for a heartbeat.
    #[serde(rename = "i", default, skip_serializing_if = "Vec::is_empty")]
    pub asked: Vec<SocketAddr>,
    /// The evacuated data centres as the sender knows them; `None` if it has received no report of them yet, or if they
    /// are too many for a heartbeat.
    #[serde(rename = "z", default, skip_serializing_if = "Option::is_none")]
    pub evacuations: Option<Evacuations>,
    /// Eras of the revisions in this heartbeat; absent from a daemon of an older release, which knows no eras.
    #[serde(
        rename = "y",
        default,
        skip_serializing_if = "HeartbeatEras::are_unnamed"
    )]
    pub eras: HeartbeatEras,
    /// Loads of the sender's requests in flight, by endpoint; only the largest if not all fit.
    #[serde(rename = "l")]
    pub loads: Vec<LoadNote>,
    /// State of the stage services that the sender coordinates.
    #[serde(rename = "q")]
    pub queues: Vec<QueueNote>,
    /// Number of outstanding pieces of the sender's requests, by service.
    #[serde(rename = "w")]
    pub work: Vec<WorkNote>,
    /// Outstanding pieces by service and scheduling order.
    #[serde(rename = "o", default, skip_serializing_if = "Vec::is_empty")]
    pub backlogs: Vec<BacklogNote>,
}

impl Heartbeat {
    /// Returns the directory revision of the last change in the sender's endpoint list.
    pub fn list_revision(&self) -> Revision {
        Revision::reported(self.eras.list, self.catalogue)
    }

    /// Returns the directory revision up to which the sender knows of no newer table.
    pub fn table_revision(&self) -> Option<Revision> {
        let number = self.table_until?;
        Some(Revision::reported(self.eras.table, number))
    }

    /// Returns the evacuated data centres as the sender knows them.
    pub fn known_evacuations(&self) -> Option<Evacuations> {
        let numbers = self.evacuations.as_ref()?;
        Some(numbers.in_era(self.eras.evacuations))
    }
}

/// Eras of the revisions of which a heartbeat contains only the numbers.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeartbeatEras {
    /// Era of the revision up to which there is no newer table.
    #[serde(rename = "u")]
    pub table: Era,
    /// Era of the endpoint list.
    #[serde(rename = "c")]
    pub list: Era,
    /// Era of the evacuated data centres.
    #[serde(rename = "z")]
    pub evacuations: Era,
}

impl HeartbeatEras {
    /// Returns whether no era is set, since the directory doesn't report any.
    pub(super) fn are_unnamed(&self) -> bool {
        *self == Self::default()
    }
}

/// Loads of all daemons, summed by a coordinator. The sums may be split over several datagrams.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadDigest {
    /// Version of the protocol that the sender uses.
    #[serde(rename = "v")]
    pub protocol: u16,
    /// Sums by endpoint; the receiver keeps its sums of endpoints that aren't listed.
    #[serde(rename = "l")]
    pub loads: Vec<LoadNote>,
}

/// Living daemons, sent to one that has just started. They may be split over several datagrams.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Roster {
    /// Version of the protocol that the sender uses.
    #[serde(rename = "v")]
    pub protocol: u16,
    /// One gossip entry per daemon.
    #[serde(rename = "n")]
    pub peers: Vec<PeerNote>,
}

/// Requests under which endpoints terminated. They may be split over several datagrams.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantineReport {
    /// Version of the protocol that the sender uses.
    #[serde(rename = "v")]
    pub protocol: u16,
    /// The sender's evidence, one entry per request.
    #[serde(rename = "n")]
    pub notes: Vec<EvidenceNote>,
    /// Time since each request was sent to each of its endpoints in `notes`, in milliseconds.
    #[serde(rename = "s", default, skip_serializing_if = "Vec::is_empty")]
    pub sent_ms: Vec<Vec<Option<u32>>>,
    /// Trials that run at some daemon.
    #[serde(rename = "t", default, skip_serializing_if = "Vec::is_empty")]
    pub trials: Vec<TrialNote>,
}

impl QuarantineReport {
    /// Builds a report.
    pub fn new(notes: &[EvidenceNote], trials: Vec<TrialNote>) -> Self {
        Self {
            protocol: PROTOCOL,
            notes: notes.to_vec(),
            sent_ms: notes.iter().map(|note| note.sent_ms.clone()).collect(),
            trials,
        }
    }

    /// Returns the evidence, with the times at which requests were sent.
    pub fn into_notes(self) -> Vec<EvidenceNote> {
        let sent = self.sent_ms.into_iter().chain(iter::repeat(Vec::new()));
        let notes = self.notes.into_iter().zip(sent);
        notes
            .map(|(note, sent_ms)| EvidenceNote { sent_ms, ..note })
            .collect()
    }
}

/// Reports about endpoints that advertise a rate limit. They may be split over several datagrams.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RateReport {
    /// Version of the protocol that the sender uses.
    #[serde(rename = "v")]
    pub protocol: u16,
    /// Address at which other daemons reach the sender.
    #[serde(rename = "a")]
    pub address: SocketAddr,
    /// Advertised limits as the sender knows them, with its shares and claims if the receiver is the coordinator.
    #[serde(rename = "n", default, skip_serializing_if = "Vec::is_empty")]
    pub notes: Vec<RateNote>,
    /// Permits that the sender grants the receiver.
    #[serde(rename = "g", default, skip_serializing_if = "Vec::is_empty")]
    pub permits: Vec<PermitNote>,
}

/// The sender's own samples of first events at engines of tight services.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineReport {
    /// Version of the protocol that the sender uses.
    #[serde(rename = "v")]
    pub protocol: u16,
    /// Address at which other daemons reach the sender.
    #[serde(rename = "a")]
    pub address: SocketAddr,
    /// Samples by service.
    #[serde(rename = "n")]
    pub notes: Vec<EngineNote>,
}

/// Calibration of tight routes. It may be split over several datagrams.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CalibrationReport {
    /// Version of the protocol that the sender uses.
    #[serde(rename = "v")]
    pub protocol: u16,
    /// The sender's samples, or its state if the receiver has just started, one entry per route.
    #[serde(rename = "n")]
    pub notes: Vec<CalibrationNote>,
}

/// State of stage services in other regions, sent by a coordinator to its own region. The entries may be split over
/// several datagrams.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RegionReport {
    /// Version of the protocol that the sender uses.
    #[serde(rename = "v")]
    pub protocol: u16,
    /// State as the coordinators in the other regions report it.
    #[serde(rename = "n")]
    pub notes: Vec<RemoteNote>,
}

/// Reservations of refused callers. The entries may be split over several datagrams.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReservationReport {
    /// Version of the protocol that the sender uses.
    #[serde(rename = "v")]
    pub protocol: u16,
    /// Address at which other daemons reach the sender.
    #[serde(rename = "a")]
    pub address: SocketAddr,
    /// New reservations of the sender that the receiver holds.
    #[serde(rename = "n", default, skip_serializing_if = "Vec::is_empty")]
    pub made: Vec<ReservationNote>,
    /// Digests of requests that the sender would refuse.
    #[serde(rename = "c", default, skip_serializing_if = "Vec::is_empty")]
    pub claims: Vec<RequestDigest>,
    /// Answers to the receiver's claims.
    #[serde(rename = "g", default, skip_serializing_if = "Vec::is_empty")]
    pub answers: Vec<AnswerNote>,
    /// Digests of requests whose reservations have ended.
    #[serde(rename = "r", default, skip_serializing_if = "Vec::is_empty")]
    pub releases: Vec<RequestDigest>,
}

/// Origins of streams. The entries may be split over several datagrams.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OriginReport {
    /// Version of the protocol that the sender uses.
    #[serde(rename = "v")]
    pub protocol: u16,
    /// Address at which other daemons reach the sender.
    #[serde(rename = "a")]
    pub address: SocketAddr,
    /// Origins that the receiver holds, and answers to its questions.
    #[serde(rename = "n", default, skip_serializing_if = "Vec::is_empty")]
    pub notes: Vec<OriginNote>,
    /// Digests of the streams whose origins the sender asks for.
    #[serde(rename = "c", default, skip_serializing_if = "Vec::is_empty")]
    pub lookups: Vec<RequestDigest>,
}

/// Connections of endpoints that daemons lend each other: a borrower's report, or the lender's answer to it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoanReport {
    /// Version of the protocol that the sender uses.
    #[serde(rename = "v")]
    pub protocol: u16,
    /// Address at which other daemons reach the sender.
    #[serde(rename = "a")]
    pub address: SocketAddr,
    /// Run of the borrower's process.
    #[serde(rename = "r")]
    pub run: u64,
    /// Time of the report by the borrower's clock.
    #[serde(rename = "s")]
    pub stamp: Stamp,
    /// Set if this is the lender's answer, which repeats `run` and `stamp`.
    #[serde(rename = "g", default, skip_serializing_if = "std::ops::Not::not")]
    pub is_answer: bool,
    /// All connections of the receiver that the sender keeps; in an answer, all that the sender lends to the receiver.
    #[serde(rename = "n", default, skip_serializing_if = "Vec::is_empty")]
    pub loans: Vec<LoanNote>,
    /// Services of which the sender needs more connections.
    #[serde(rename = "c", default, skip_serializing_if = "Vec::is_empty")]
    pub asks: Vec<AskNote>,
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
    /// Living daemons.
    #[serde(rename = "r")]
    Roster(Roster),
    /// Requests under which endpoints terminated. An older release that doesn't know this variant ignores it.
    #[serde(rename = "q")]
    Quarantine(QuarantineReport),
    /// Endpoints that advertise a rate limit. An older release that doesn't know this variant ignores it.
    #[serde(rename = "e")]
    Rates(RateReport),
    /// Stage services in other regions. An older release that doesn't know this variant ignores it.
    #[serde(rename = "g")]
    Regions(RegionReport),
    /// First events at engines. An older release that doesn't know this variant ignores it.
    #[serde(rename = "m")]
    Engines(EngineReport),
    /// Calibration of tight routes. An older release that doesn't know this variant ignores it.
    #[serde(rename = "c")]
    Calibration(CalibrationReport),
    /// Reservations of refused callers. An older release that doesn't know this variant ignores it.
    #[serde(rename = "p")]
    Reservations(ReservationReport),
    /// Origins of streams. An older release that doesn't know this variant ignores it.
    #[serde(rename = "o")]
    Origins(OriginReport),
    /// Connections that daemons lend each other. An older release that doesn't know this variant ignores it.
    #[serde(rename = "l")]
    Loans(LoanReport),
}

impl Datagram {
    /// Returns the protocol version of the sender.
    pub fn protocol(&self) -> u16 {
        match self {
            Self::Heartbeat(heartbeat) => heartbeat.protocol,
            Self::Loads(digest) => digest.protocol,
            Self::Roster(roster) => roster.protocol,
            Self::Quarantine(report) => report.protocol,
            Self::Rates(report) => report.protocol,
            Self::Regions(report) => report.protocol,
            Self::Engines(report) => report.protocol,
            Self::Calibration(report) => report.protocol,
            Self::Reservations(report) => report.protocol,
            Self::Origins(report) => report.protocol,
            Self::Loans(report) => report.protocol,
        }
    }
}

/// A job, as it is sent to the coordinator of its service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobOrder {
    /// Service that runs the job.
    pub service: ServiceId,
    /// Request that the job belongs to.
    pub request: Arc<str>,
    /// Index of the job's stage in the route.
    pub stage: u32,
    /// Number of pieces.
    pub pieces: u32,
    /// Input of each piece.
    pub input: PieceInput,
    /// Time left until the deadline of the request, in milliseconds.
    pub remaining_ms: u64,
    /// Time left until the objective of the stage, in milliseconds; negative if it has passed.
    pub objective_ms: i64,
    /// Rank of the request; 0 is scheduled first.
    pub rank: u32,
    /// Usual size of one result, in bytes.
    pub result: u64,
    /// Data centre where the results will probably be used.
    pub home: Option<DataCentreId>,
    /// Data centres where the pieces may run; empty for any. An older release that doesn't know this field
    /// runs them anywhere.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub places: Vec<DataCentreId>,
    /// Bytes transferred between data centres if one piece runs outside `home`: its inputs, and its result once for
    /// each piece that uses it.
    pub moved: u64,
    /// Digest of the request, which is the same when the request is sent again; `None` from a daemon of an older
    /// release.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub digest: Option<RequestDigest>,
    /// Hash of the request's customer, by which capacity is shared within a rank; `None` for a route that isn't tight,
    /// and from a daemon of an older release.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub customer: Option<CustomerHash>,
}

/// A request on a link, made by the daemon that opened it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum LinkRequest {
    /// Send the table.
    Table,
    /// Send the endpoint list.
    Endpoints,
    /// Send the changes in the endpoint list after a revision of a directory without eras.
    Changes(u64),
    /// Run the pieces of a stage.
    Job(JobOrder),
    /// Cancel the request whose frame has this number.
    Cancel(u64),
    /// Release results that are no longer needed.
    Release(ServiceId, Vec<ResultHandle>),
    /// Send the list of the table's chunks.
    #[serde(rename = "PartList")]
    ChunkList,
    /// Send these chunks of the table.
    #[serde(rename = "Parts")]
    Chunks(Vec<ChunkHash>),
    /// Send the changes in the endpoint list after a revision, given as era and number. Only sent to daemons that have
    /// reported this era or a later one.
    ChangesInEra(Era, u64),
}

impl LinkRequest {
    /// Returns the request for the changes in the endpoint list after a revision.
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
        /// Bytes of the table.
        #[serde(with = "serde_bytes_vec")]
        bytes: Vec<u8>,
    },
    /// The endpoint list as of a revision.
    Endpoints(EndpointList),
    /// Changes in the endpoint list.
    Changes(EndpointChanges),
    /// Outcome of a job.
    Job(JobEnd),
    /// The request was carried out and has no result.
    Done,
    /// The daemon can't serve the request, for example because it has no table or endpoint list.
    Unable,
    /// The list of the table's chunks.
    #[serde(rename = "PartList")]
    ChunkList(ChunkList),
    /// The requested chunks of the table in the requested order, compressed together.
    #[serde(rename = "Parts")]
    Chunks {
        /// The compressed bytes.
        #[serde(with = "serde_bytes_vec")]
        batch: Vec<u8>,
    },
    /// The daemon's network link is fully used by what it already sends; another daemon may have the table too.
    Busy,
}

/// One message on a link. A reply has the number of its request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Frame<T> {
    /// Number of the request, counted for each link.
    pub number: u64,
    /// The request or reply.
    pub content: T,
}

/// Serialises bytes as a CBOR byte string instead of a list of numbers.
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
/// Never for the messages of this module: CBOR can represent each of their values, and writing
/// to memory can't fail.
pub fn encode(message: &impl Serialize) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(BUFFER_CAPACITY);
    ciborium::into_writer(message, &mut bytes).expect("CBOR can represent every message");
    bytes
}

/// Decodes a message.
///
/// # Errors
///
/// Returns an error if the bytes aren't a message of type `T`.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, MessageError> {
    ciborium::from_reader(bytes).map_err(|error| MessageError::Decode(error.to_string()))
}
