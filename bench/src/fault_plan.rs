//! The faults that an experiment names.

use {hazelyoke_testutils::faults::Damage, std::time::Duration};

/// One fault.
#[derive(Debug, Clone, PartialEq)]
pub struct Fault {
    /// What goes wrong.
    pub kind: FaultKind,
    /// Service whose endpoints are hit.
    pub service: Option<String>,
    /// Number of endpoints that are hit.
    pub count: usize,
    /// When it begins.
    pub from: Duration,
    /// When it ends; never, if absent.
    pub until: Option<Duration>,
}

/// What goes wrong.
#[derive(Debug, Clone, PartialEq)]
pub enum FaultKind {
    /// Everything takes so many times as long.
    Slow(f64),
    /// This share of replies is damaged.
    Damage(Damage, f64),
    /// Load reports stay what they are.
    FrozenReports,
    /// The endpoint's process ends.
    Death,
    /// All endpoints of a data centre end.
    DataCentre(String),
    /// The configuration service is silent.
    ConfigSilent,
}

/// Returns the damage that an experiment names.
pub fn parse_damage(text: &str) -> Option<Damage> {
    Some(match text {
        "garbage" => Damage::Garbage,
        "server_error" => Damage::ServerError,
        _ => return None,
    })
}
