//! Determines which changed settings take effect while the daemon runs.
//!
//! Compares the settings in force with those that were read again, and returns the settings to use from then on.
//! Fields that can't change in a running process keep their value until a restart: host name, data centre, bound
//! addresses, the capacity that was reported to other daemons, and the memory.

use {
    crate::gateway::serving::settings::GatewaySettings,
    std::{fmt, net::SocketAddr},
};

/// A field of the settings. Log entries about a reload contain its display form.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SettingField {
    /// Name of the host that the daemon runs on.
    Host,
    /// Data centre that the host is in.
    DataCentre,
    /// Region of each data centre.
    Regions,
    /// Address for callers.
    Listen,
    /// Address for readiness checks.
    Ready,
    /// Address for operators.
    Operator,
    /// Additional address for metrics.
    Metrics,
    /// Address for other daemons.
    Peer,
    /// Processor capacity that the daemon may use.
    Capacity,
    /// Addresses of the daemons that this one contacts first.
    Seeds,
    /// Grace period of a stop.
    Grace,
    /// Retry budget.
    Budget,
    /// Times and rates that the installation guarantees or allows.
    Bounds,
    /// Memory that the daemon may use.
    Memory,
    /// Bandwidth of the host's network link.
    Link,
}

impl fmt::Display for SettingField {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Host => "host",
            Self::DataCentre => "data_centre",
            Self::Regions => "regions",
            Self::Listen => "listen",
            Self::Ready => "ready",
            Self::Operator => "operator",
            Self::Metrics => "metrics",
            Self::Peer => "peer",
            Self::Capacity => "capacity",
            Self::Seeds => "seeds",
            Self::Grace => "grace",
            Self::Budget => "budget",
            Self::Bounds => "bounds",
            Self::Memory => "memory",
            Self::Link => "link",
        })
    }
}

/// Fields of the settings; displayed with commas between them.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct SettingFields(pub Vec<SettingField>);

impl fmt::Display for SettingFields {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, field) in self.0.iter().enumerate() {
            let comma = if index == 0 { "" } else { "," };
            write!(f, "{comma}{field}")?;
        }
        Ok(())
    }
}

/// Result of reading the settings again.
#[derive(Debug, Clone, PartialEq)]
pub struct Reload {
    /// Settings to use from now on.
    pub settings: GatewaySettings,
    /// Fields with a new value that takes effect.
    pub applied: SettingFields,
    /// Fields with a new value that takes effect only after a restart.
    pub deferred: SettingFields,
}

impl Reload {
    /// Compares the settings in force with those that were read again.
    pub fn new(current: &GatewaySettings, read: &GatewaySettings) -> Self {
        let applied = [
            (SettingField::Regions, current.regions != read.regions),
            (SettingField::Seeds, current.seeds != read.seeds),
            (SettingField::Grace, current.grace != read.grace),
            (SettingField::Budget, current.budget != read.budget),
            (SettingField::Bounds, current.bounds != read.bounds),
            (SettingField::Link, current.link != read.link),
        ];
        let deferred = [
            (SettingField::Host, current.host != read.host),
            (
                SettingField::DataCentre,
                current.data_centre != read.data_centre,
            ),
            (SettingField::Listen, current.listen != read.listen),
            (SettingField::Ready, current.ready != read.ready),
            (SettingField::Operator, current.operator != read.operator),
            (SettingField::Metrics, current.metrics != read.metrics),
            (
                SettingField::Peer,
                is_changed_address(current.peer, read.advertised_address()),
            ),
            (SettingField::Capacity, current.capacity != read.capacity),
            (SettingField::Memory, current.memory != read.memory),
        ];
        Self {
            settings: GatewaySettings {
                regions: read.regions.clone(),
                seeds: read.seeds.clone(),
                grace: read.grace,
                budget: read.budget,
                bounds: read.bounds,
                link: read.link,
                ..current.clone()
            },
            applied: changed_fields(&applied),
            deferred: changed_fields(&deferred),
        }
    }
}

/// Returns whether an address differs from the bound one. Port 0 matches any port, since it lets the system choose one.
fn is_changed_address(bound: SocketAddr, read: SocketAddr) -> bool {
    bound.ip() != read.ip() || (read.port() != 0 && bound.port() != read.port())
}

fn changed_fields(fields: &[(SettingField, bool)]) -> SettingFields {
    let changed = fields.iter().filter(|(_, changed)| *changed);
    SettingFields(changed.map(|(field, _)| *field).collect())
}
