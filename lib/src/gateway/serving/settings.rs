//! What a forwarding daemon is told at its start.

use {
    crate::{
        gateway::rules::{directory_reads, retry_budget::BudgetLimits, suspect_entry},
        shared::{
            ids::{DataCentreId, HostId},
            units::{Capacity, Millis},
        },
    },
    std::{net::SocketAddr, time::Duration},
};

/// Times that the installation allows or keeps.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Bounds {
    /// Within this after its publication, a table is in force everywhere.
    pub apply: Millis,
    /// Within this after an endpoint said that it leaves, it gets nothing new.
    pub drain: Millis,
    /// Time between two writes of an endpoint's entry.
    pub endpoint_heartbeat: Millis,
}

impl Bounds {
    /// Returns the time for which one call waits for changes of the directory; see
    /// [`directory_reads`](crate::gateway::rules::directory_reads).
    pub fn directory_wait(&self) -> Duration {
        directory_reads::call_wait(self.apply, self.drain)
    }

    /// Returns the time for which a suspect endpoint is used; see
    /// [`suspect_entry`](crate::gateway::rules::suspect_entry).
    pub fn suspect_time(&self) -> Millis {
        suspect_entry::suspect_time(self.endpoint_heartbeat, self.drain)
    }
}

/// Checked settings of a forwarding daemon.
#[derive(Debug, Clone, PartialEq)]
pub struct GatewaySettings {
    /// Name of the host.
    pub host: HostId,
    /// Data centre it stands in.
    pub data_centre: DataCentreId,
    /// Address for callers.
    pub listen: SocketAddr,
    /// Address on which readiness is asked.
    pub ready: SocketAddr,
    /// Address for operators: metrics and state.
    pub operator: Option<SocketAddr>,
    /// Second address for metrics, where they are fetched at a port known beforehand.
    pub metrics: Option<SocketAddr>,
    /// Address for other daemons.
    pub peer: SocketAddr,
    /// Addresses of daemons to meet first.
    pub seeds: Vec<SocketAddr>,
    /// Time from a stop's signal to the end of the process.
    pub grace: Millis,
    /// Budget of repeats over all daemons.
    pub budget: BudgetLimits,
    /// Times that the installation allows or keeps.
    pub bounds: Bounds,
    /// Processor that this daemon may use.
    pub capacity: Capacity,
}
