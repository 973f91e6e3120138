//! Notes: what a heartbeat says of one daemon, endpoint or service.
//!
//! Values only. Most are arrays without names on the wire, so that a heartbeat fits into a datagram;
//! `lib/tests/test_message_bytes.rs` pins the bytes.

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

/// Phase of a daemon's life.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Phase {
    /// It doesn't know its table or the endpoints yet, or not the other daemons.
    Starting,
    /// It serves.
    Ready,
    /// It finishes what is in flight, and ends.
    Stopping,
}

/// Gossip about a daemon that the sender knows.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerNote {
    /// Its address for other daemons.
    #[serde(rename = "a")]
    pub address: SocketAddr,
    /// Age of its last sign of life that the sender knows, in milliseconds.
    #[serde(rename = "g")]
    pub age_ms: u32,
    /// Its phase then.
    #[serde(rename = "p")]
    pub phase: Phase,
    /// Processor that it may use.
    #[serde(rename = "c")]
    pub capacity: Capacity,
    /// Set if it should have been heard since then.
    #[serde(rename = "s", default, skip_serializing_if = "is_false")]
    pub suspect: bool,
    /// Its region; nothing if that isn't known, or the installation has one region.
    #[serde(rename = "r", default, skip_serializing_if = "Option::is_none")]
    pub region: Option<RegionHash>,
}

/// Returns whether a mark isn't set, so that it can be left out.
#[allow(
    clippy::trivially_copy_pass_by_ref,
    reason = "serde passes a reference"
)]
fn is_false(mark: &bool) -> bool {
    !mark
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

/// How a stage service stands in a region, as its coordinator there reports it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(
    into = "(RegionHash, ServiceHash, u32, Backlog)",
    from = "(RegionHash, ServiceHash, u32, Backlog)"
)]
pub struct FarNote {
    /// The region.
    pub region: RegionHash,
    /// The service.
    pub service: ServiceHash,
    /// Endpoints that accept calls.
    pub endpoints: u32,
    /// Outstanding pieces of the region's daemons.
    pub backlog: Backlog,
}

impl From<FarNote> for (RegionHash, ServiceHash, u32, Backlog) {
    fn from(note: FarNote) -> Self {
        (note.region, note.service, note.endpoints, note.backlog)
    }
}

impl From<(RegionHash, ServiceHash, u32, Backlog)> for FarNote {
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
    /// Set if they are short of room for results.
    pub short: bool,
    /// Outstanding pieces at all daemons, as far as the planning one knows.
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

/// Outstanding pieces of a service by the order in which they go. A daemon of an earlier release sends
/// none and reports [`WorkNote`] and [`QueueNote`] alone.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(
    into = "(ServiceHash, Backlog, Option<Backlog>)",
    from = "(ServiceHash, Backlog, Option<Backlog>)"
)]
pub struct BacklogNote {
    /// The service.
    pub service: ServiceHash,
    /// Those of the sender's requests.
    pub own: Backlog,
    /// Those of all daemons, if the sender coordinates the service.
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
