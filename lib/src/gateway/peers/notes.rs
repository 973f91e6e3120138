//! Entries of heartbeats and other datagrams, each about one daemon, endpoint or service.
//!
//! Plain values without behaviour. Most are arrays without field names on the wire, so that a heartbeat fits into a
//! datagram; `lib/tests/test_message_bytes.rs` pins the bytes.

use {
    crate::{
        gateway::{
            hashes::{EndpointHash, ServiceHash},
            rules::{allowed_regions::RegionHash, backlog::Backlog},
        },
        shared::units::Capacity,
    },
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// Phase of a daemon's lifecycle.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Phase {
    /// The daemon doesn't know its table, the endpoints or the other daemons yet.
    Starting,
    /// The daemon serves requests.
    Ready,
    /// The daemon finishes the requests in flight and then exits.
    Stopping,
}

/// Gossip about one daemon.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerNote {
    /// Address at which other daemons reach the daemon.
    #[serde(rename = "a")]
    pub address: SocketAddr,
    /// Age of the daemon's last sign of life known to the sender, in milliseconds.
    #[serde(rename = "g")]
    pub age_ms: u32,
    /// Phase of the daemon at that time.
    #[serde(rename = "p")]
    pub phase: Phase,
    /// Processor capacity that the daemon may use.
    #[serde(rename = "c")]
    pub capacity: Capacity,
    /// Set if the daemon is suspect: it left a request for a heartbeat unanswered.
    #[serde(rename = "s", default, skip_serializing_if = "is_false")]
    pub suspect: bool,
    /// Region of the daemon; `None` if it is unknown or the installation has only one.
    #[serde(rename = "r", default, skip_serializing_if = "Option::is_none")]
    pub region: Option<RegionHash>,
}

/// Returns whether a flag isn't set and is therefore not serialised.
#[allow(
    clippy::trivially_copy_pass_by_ref,
    reason = "serde passes a reference"
)]
fn is_false(mark: &bool) -> bool {
    !mark
}

/// Load on one endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(into = "(EndpointHash, u32, u32)", from = "(EndpointHash, u32, u32)")]
pub struct LoadNote {
    /// The endpoint.
    pub endpoint: EndpointHash,
    /// Requests in flight.
    pub running: u32,
    /// Prompt tokens that the endpoint hasn't processed yet.
    pub prefill: u32,
}

impl LoadNote {
    /// Returns whether there is no load.
    pub fn is_zero(&self) -> bool {
        self.running == 0 && self.prefill == 0
    }
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

/// State of a stage service in another region, as its coordinator there reports it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(
    into = "(RegionHash, ServiceHash, u32, Backlog)",
    from = "(RegionHash, ServiceHash, u32, Backlog)"
)]
pub struct RemoteNote {
    /// The region.
    pub region: RegionHash,
    /// The service.
    pub service: ServiceHash,
    /// Endpoints that accept calls.
    pub endpoints: u32,
    /// Outstanding pieces of requests at the region's daemons.
    pub backlog: Backlog,
}

impl From<RemoteNote> for (RegionHash, ServiceHash, u32, Backlog) {
    fn from(note: RemoteNote) -> Self {
        (note.region, note.service, note.endpoints, note.backlog)
    }
}

impl From<(RegionHash, ServiceHash, u32, Backlog)> for RemoteNote {
    fn from(note: (RegionHash, ServiceHash, u32, Backlog)) -> Self {
        let (region, service, endpoints, backlog) = note;
        Self {
            region,
            service,
            endpoints,
            backlog,
        }
    }
}

/// State of a stage service, as its coordinator reports it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(
    into = "(ServiceHash, u32, bool, u32)",
    from = "(ServiceHash, u32, bool, u32)"
)]
pub struct QueueNote {
    /// The service.
    pub service: ServiceHash,
    /// Number of endpoints that accept calls at about their usual speed.
    pub endpoints: u32,
    /// Set if the endpoints are short of capacity for results.
    pub short: bool,
    /// Outstanding pieces at all daemons, by the reports that the coordinator has received.
    pub outstanding: u32,
}

impl From<QueueNote> for (ServiceHash, u32, bool, u32) {
    fn from(note: QueueNote) -> Self {
        (note.service, note.endpoints, note.short, note.outstanding)
    }
}

impl From<(ServiceHash, u32, bool, u32)> for QueueNote {
    fn from(note: (ServiceHash, u32, bool, u32)) -> Self {
        let (service, endpoints, short, outstanding) = note;
        Self {
            service,
            endpoints,
            short,
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
    /// Number of admitted pieces that aren't completed.
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

/// Outstanding pieces of a service by the order in which they are scheduled. A daemon of an older release doesn't send
/// it and reports only [`WorkNote`] and [`QueueNote`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(
    into = "(ServiceHash, Backlog, Option<Backlog>)",
    from = "(ServiceHash, Backlog, Option<Backlog>)"
)]
pub struct BacklogNote {
    /// The service.
    pub service: ServiceHash,
    /// Pieces of the sender's requests.
    pub own: Backlog,
    /// Pieces of all daemons' requests; `None` unless the sender coordinates the service.
    pub all: Option<Backlog>,
}

impl From<BacklogNote> for (ServiceHash, Backlog, Option<Backlog>) {
    fn from(note: BacklogNote) -> Self {
        (note.service, note.own, note.all)
    }
}

impl From<(ServiceHash, Backlog, Option<Backlog>)> for BacklogNote {
    fn from((service, own, all): (ServiceHash, Backlog, Option<Backlog>)) -> Self {
        Self { service, own, all }
    }
}
