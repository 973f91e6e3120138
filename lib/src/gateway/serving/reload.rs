//! Which changes of the settings take effect while the daemon runs?
//!
//! Owns nothing: compares the settings in force with those that were read again, and returns the
//! settings to go on with. Fields that a running process can't change (its name, its data centre, the
//! addresses that it has bound, the capacity that others were told) keep their value until a restart.

use {
    crate::gateway::serving::settings::GatewaySettings,
    std::{fmt, net::SocketAddr},
};

/// A field of the settings, as reports of a reload name it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SettingField {
    /// Name of the host.
    Host,
    /// Data centre of the host.
    DataCentre,
    /// Regions of the data centres.
    Regions,
    /// Address for callers.
    Listen,
    /// Address on which readiness is asked.
    Ready,
    /// Address for operators.
    Operator,
    /// Second address for operators.
    Metrics,
    /// Address for other daemons.
    Peer,
    /// Processing capacity.
    Capacity,
    /// Daemons that are contacted first.
    Seeds,
    /// Grace period of a stop.
    Grace,
    /// Budget of retries.
    Budget,
    /// Times that the installation promises or allows.
    Bounds,
    /// Bandwidth of the host's link.
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
            Self::Link => "link",
        })
    }
}

/// Fields of the settings, written with commas between them.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct SettingFields(pub Vec<SettingField>);

impl fmt::Display for SettingFields {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (place, field) in self.0.iter().enumerate() {
            let comma = if place == 0 { "" } else { "," };
            write!(f, "{comma}{field}")?;
        }
        Ok(())
    }
}

/// What a reload changes.
#[derive(Debug, Clone, PartialEq)]
pub struct Reload {
    /// The settings to go on with.
    pub settings: GatewaySettings,
    /// Fields with a new value that takes effect.
    pub applied: SettingFields,
    /// Fields with a new value that takes effect at a restart only.
    pub refused: SettingFields,
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
        let refused = [
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
                is_moved(current.peer, read.reached_at()),
            ),
            (SettingField::Capacity, current.capacity != read.capacity),
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
            applied: changed(&applied),
            refused: changed(&refused),
        }
    }
}

/// Returns whether an address differs from the bound one; port 0 leaves the port to the system.
fn is_moved(bound: SocketAddr, read: SocketAddr) -> bool {
    bound.ip() != read.ip() || (read.port() != 0 && bound.port() != read.port())
}

fn changed(fields: &[(SettingField, bool)]) -> SettingFields {
    let changed = fields.iter().filter(|(_, changed)| *changed);
    SettingFields(changed.map(|(field, _)| *field).collect())
}
