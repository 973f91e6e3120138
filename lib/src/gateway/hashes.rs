//! Short hashes of names, for messages between daemons that have to fit into a datagram.
//!
//! If two names have the same hash, the loads of both endpoints or services count for each of them, and two data
//! centres are evacuated together; two routes share a calibration. This leads to worse choices of endpoints but to no errors.

use {
    crate::{
        gateway::directory::endpoint_entry::EndpointEntry,
        shared::ids::{DataCentreId, EndpointId, ServiceId},
    },
    serde::{Deserialize, Serialize},
    xxhash_rust::xxh3::xxh3_64,
};

/// Hash of an endpoint's name.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct EndpointHash(pub u32);

/// Hash of a service's name.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ServiceHash(pub u32);

/// Hash of a route's name.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RouteHash(pub u32);

/// Hash of a data centre's name.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct DataCentreHash(pub u32);

/// Hash of an endpoint's incarnation: the time from one start of its process to the next.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct IncarnationHash(pub u32);

/// Returns the hash of the incarnation that an entry describes: the lower half of the XXH3 of the endpoint's name and
/// start time.
pub fn incarnation_hash(entry: &EndpointEntry) -> IncarnationHash {
    let mut bytes = entry.id.as_str().as_bytes().to_vec();
    if let Some(started) = entry.started {
        bytes.extend_from_slice(&started.0.to_le_bytes());
    }
    IncarnationHash(xxh3_64(&bytes) as u32)
}

/// Returns the hash of a data centre's name: the lower half of the name's XXH3.
pub fn data_centre_hash(data_centre: &DataCentreId) -> DataCentreHash {
    DataCentreHash(xxh3_64(data_centre.as_str().as_bytes()) as u32)
}

/// Returns the hash of an endpoint's name: the lower half of the name's XXH3.
pub fn endpoint_hash(id: &EndpointId) -> EndpointHash {
    EndpointHash(xxh3_64(id.as_str().as_bytes()) as u32)
}

/// Returns the hash of a route's name: the lower half of the name's XXH3.
pub fn route_hash(name: &str) -> RouteHash {
    RouteHash(xxh3_64(name.as_bytes()) as u32)
}

/// Returns the hash of a service's name: the lower half of the name's XXH3.
pub fn service_hash(service: &ServiceId) -> ServiceHash {
    ServiceHash(xxh3_64(service.as_str().as_bytes()) as u32)
}
