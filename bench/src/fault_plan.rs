//! The faults that an experiment names: what goes wrong, where and when.

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
    /// What goes wrong.
    pub kind: FaultKind,
    /// When it begins, since the start of the run.
    pub from: Duration,
    /// When it ends, since the start of the run; never, if absent.
    pub until: Option<Duration>,
}

/// What goes wrong, and where.
#[derive(Debug, Clone, PartialEq)]
pub enum FaultKind {
    /// Some endpoints of a service misbehave.
    Endpoints {
        /// The service.
        service: ServiceId,
        /// Number of its endpoints that are hit.
        count: Count,
        /// How they misbehave.
        fault: EndpointFault,
    },
    /// All endpoints of a data centre end.
    DataCentre(DataCentreId),
    /// The configuration service is silent.
    ConfigSilent,
}

/// How an endpoint misbehaves.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum EndpointFault {
    /// Everything takes so many times as long.
    Slow(f64),
    /// This share of its replies is damaged.
    Damage(Damage, Share),
    /// Its load reports stay what they are.
    FrozenReports,
    /// Its process ends.
    Death,
}

/// Returns the damage that an experiment names.
pub fn parse_damage(text: &str) -> Option<Damage> {
    match text {
        "garbage" => Some(Damage::Garbage),
        "server_error" => Some(Damage::ServerError),
        _ => None,
    }
}
