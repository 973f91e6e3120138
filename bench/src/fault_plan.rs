//! The faults of an experiment: what fails, where and when.

use {
    hazelyoke_lib::shared::{
        ids::{DataCentreId, ServiceId},
        units::{Count, Share},
    },
    hazelyoke_testutils::faults::Damage,
    std::time::Duration,
};

/// One fault.
#[derive(Debug, Clone, PartialEq)]
pub struct Fault {
    /// What fails, and where.
    pub kind: FaultKind,
    /// Time from the start of the run to the start of the fault.
    pub from: Duration,
    /// Time from the start of the run to the end of the fault; absent if it lasts until the end of the run.
    pub until: Option<Duration>,
}

/// What fails, and where.
#[derive(Debug, Clone, PartialEq)]
pub enum FaultKind {
    /// Some endpoints of a service misbehave.
    Endpoints {
        /// Service whose endpoints have the fault.
        service: ServiceId,
        /// Number of endpoints with the fault: the first ones in the tree.
        count: Count,
        /// How these endpoints misbehave.
        fault: EndpointFault,
    },
    /// The processes of all endpoints in this data centre end.
    DataCentre(DataCentreId),
    /// The configuration service doesn't answer.
    ConfigSilent,
}

/// How an endpoint misbehaves.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum EndpointFault {
    /// Calls take this many times as long as usual.
    Slow(f64),
    /// This share of the replies is damaged.
    Damage(Damage, Share),
    /// Load reports don't change any more.
    FrozenReports,
    /// The endpoint's process ends.
    Death,
}

/// Parses the name of a kind of damage in an experiment; returns `None` for an unknown name.
pub fn parse_damage(text: &str) -> Option<Damage> {
    match text {
        "garbage" => Some(Damage::Garbage),
        "server_error" => Some(Damage::ServerError),
        _ => None,
    }
}
