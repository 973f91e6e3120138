//! What a forwarding daemon is told at its start.

use {
    crate::{
        gateway::budget::BudgetLimits,
        ids::{DataCentreId, HostId},
        units::Millis,
    },
    std::net::SocketAddr,
};

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
}
