//! Validated settings of a forwarding daemon. [`reload`](super::reload) determines which of them can change while it
//! runs.
//!
//! The adapter of the installation reads and checks the settings file. Times that are derived from the settings are
//! computed by the rules.

use {
    crate::{
        gateway::rules::{
            allowed_regions::Regions, directory_reads, retry_budget::BudgetLimits,
            unconfirmed_entry,
        },
        shared::{
            ids::{DataCentreId, HostId},
            units::{BitRate, ByteSize, Capacity, Millis, Rate},
        },
    },
    std::{net::SocketAddr, time::Duration},
};

/// Times and rates that the installation guarantees or allows.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bounds {
    /// Maximum time from the publication of a table until it is in force on all daemons.
    pub apply: Millis,
    /// Maximum time from an endpoint's announcement that it is leaving until no daemon sends it new requests.
    pub drain: Millis,
    /// Interval at which an endpoint writes its entry in the directory.
    pub endpoint_heartbeat: Millis,
    /// Number of requests that a cold endpoint can handle.
    pub cold: ColdBounds,
}

/// Number of requests that a cold endpoint can handle from all daemons together within one second, relative to the rate
/// of its service for cold endpoints.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdBounds {
    /// Requests within one second, as a multiple of that rate.
    pub overage: f64,
    /// Requests within one second in addition to those.
    pub slack: f64,
}

impl ColdBounds {
    /// Returns the number of requests that a cold endpoint can handle within one second, if `rate` is the rate of its
    /// service for cold endpoints.
    pub fn max_requests(self, rate: Rate) -> f64 {
        rate.0 * self.overage + self.slack
    }
}

impl Bounds {
    /// Returns the time for which one call to the directory waits for changes; see [`directory_reads`].
    pub fn directory_wait(&self) -> Duration {
        directory_reads::call_wait(self.apply, self.drain)
    }

    /// Returns the time for which an endpoint with an unconfirmed entry is still used; see [`unconfirmed_entry`].
    pub fn unconfirmed_time(&self) -> Millis {
        unconfirmed_entry::unconfirmed_time(self.endpoint_heartbeat, self.drain)
    }

    /// Returns the time after which an entry that its endpoint no longer renews has certainly lapsed; see
    /// [`unconfirmed_entry`].
    pub fn lapse_time(&self) -> Millis {
        unconfirmed_entry::lapse_time(self.endpoint_heartbeat)
    }
}

impl GatewaySettings {
    /// Returns the address that other daemons use to reach this one.
    pub fn advertised_address(&self) -> SocketAddr {
        self.advertised.unwrap_or(self.peer)
    }
}

/// Validated settings of a forwarding daemon.
#[derive(Debug, Clone, PartialEq)]
pub struct GatewaySettings {
    /// Name of the host that the daemon runs on.
    pub host: HostId,
    /// Data centre that the host is in.
    pub data_centre: DataCentreId,
    /// Region of each data centre.
    pub regions: Regions,
    /// Address for callers.
    pub listen: SocketAddr,
    /// Address for readiness checks.
    pub ready: SocketAddr,
    /// Address for operators: readiness, metrics and status. `None` if the settings have none.
    pub operator: Option<SocketAddr>,
    /// Additional address for metrics, with a port that the collector knows beforehand. Serves the same as `operator`.
    pub metrics: Option<SocketAddr>,
    /// Address for other daemons.
    pub peer: SocketAddr,
    /// Address that other daemons use to reach `peer`, if it differs: behind address translation, or behind a proxy
    /// that injects faults into links in a test. It must have the same IP address as `peer`.
    pub advertised: Option<SocketAddr>,
    /// Addresses of the daemons that this one contacts first to join the others.
    pub seeds: Vec<SocketAddr>,
    /// Grace period: time from the signal to stop until the process must have ended.
    pub grace: Millis,
    /// Retry budget of all daemons together.
    pub budget: BudgetLimits,
    /// Times and rates that the installation guarantees or allows.
    pub bounds: Bounds,
    /// Processor capacity that this daemon may use.
    pub capacity: Capacity,
    /// Memory that the process may use.
    pub memory: ByteSize,
    /// Bandwidth of the host's network link; `None` if unknown, which counts as unlimited.
    pub link: Option<BitRate>,
}
