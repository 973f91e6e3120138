//! Checked settings of a forwarding daemon. [`reload`](super::reload) says which of them change while it
//! runs.
//!
//! The installation's own file is read elsewhere; times that follow from the settings are computed by
//! the rules.

use {
    crate::{
        gateway::rules::{
            allowed_regions::Regions, directory_reads, retry_budget::BudgetLimits,
            unconfirmed_entry,
        },
        shared::{
            ids::{DataCentreId, HostId},
            units::{BitRate, Capacity, Millis, Rate},
        },
    },
    std::{net::SocketAddr, time::Duration},
};

/// Times that the installation promises or allows.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bounds {
    /// Within this after its publication, a table is in force everywhere.
    pub apply: Millis,
    /// Within this after an endpoint announced that it is leaving, it gets nothing new.
    pub drain: Millis,
    /// Time between two writes of an endpoint's entry.
    pub endpoint_heartbeat: Millis,
    /// What a cold endpoint bears.
    pub cold: ColdBounds,
}

/// What a cold endpoint bears from all daemons together, beside the rate that its service states.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdBounds {
    /// Requests within one second, as a multiple of the rate.
    pub overage: f64,
    /// Requests within one second beside those.
    pub slack: f64,
}

impl ColdBounds {
    /// Returns the requests that a cold endpoint of a stated rate bears within one second.
    pub fn bearable(self, rate: Rate) -> f64 {
        rate.0 * self.overage + self.slack
    }
}

impl Bounds {
    /// Returns the time for which one call waits for changes of the directory; see
    /// [`directory_reads`].
    pub fn directory_wait(&self) -> Duration {
        directory_reads::call_wait(self.apply, self.drain)
    }

    /// Returns the time for which a suspect endpoint is used; see
    /// [`unconfirmed_entry`].
    pub fn unconfirmed_time(&self) -> Millis {
        unconfirmed_entry::unconfirmed_time(self.endpoint_heartbeat, self.drain)
    }

    /// Returns the time after which an entry that nobody writes any more has lapsed for certain; see
    /// [`unconfirmed_entry`].
    pub fn lapse_time(&self) -> Millis {
        unconfirmed_entry::lapse_time(self.endpoint_heartbeat)
    }
}

impl GatewaySettings {
    /// Returns the address at which other daemons reach this one.
    pub fn reached_at(&self) -> SocketAddr {
        self.advertised.unwrap_or(self.peer)
    }
}

/// Checked settings of a forwarding daemon.
#[derive(Debug, Clone, PartialEq)]
pub struct GatewaySettings {
    /// Name of the host.
    pub host: HostId,
    /// Data centre of the host.
    pub data_centre: DataCentreId,
    /// Regions of all data centres.
    pub regions: Regions,
    /// Address for callers.
    pub listen: SocketAddr,
    /// Address on which readiness is asked.
    pub ready: SocketAddr,
    /// Address for operators: readiness, metrics and state.
    pub operator: Option<SocketAddr>,
    /// Second address for operators, at a port known beforehand, from which metrics are fetched.
    pub metrics: Option<SocketAddr>,
    /// Address for other daemons.
    pub peer: SocketAddr,
    /// Address at which other daemons reach `peer`, where it is another one: behind a translation of
    /// addresses, or a proxy that harms links in a test. Its IP number has to be that of `peer`.
    pub advertised: Option<SocketAddr>,
    /// Addresses of the daemons that are contacted first.
    pub seeds: Vec<SocketAddr>,
    /// Grace period: time from a stop's signal to the end of the process.
    pub grace: Millis,
    /// Budget of retries over all daemons.
    pub budget: BudgetLimits,
    /// Times that the installation promises or allows.
    pub bounds: Bounds,
    /// Processing capacity that this daemon may use.
    pub capacity: Capacity,
    /// Bandwidth of the host's link; nothing if it isn't known, and counts as unlimited.
    pub link: Option<BitRate>,
}
