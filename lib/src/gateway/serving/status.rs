//! Status report of a forwarding daemon, as JSON for operators.
//!
//! [`StatusBody`] has the fields that all daemons report; the others are specific to forwarding daemons.
//! `hazelyoke status` and operators' scripts read the report, so its field names must stay.

use {
    crate::{
        gateway::{
            dialect::Dialect,
            peers::message::Phase,
            rules::allowed_regions::region_hash,
            state::{Gateway, GatewayState},
        },
        shared::{
            ids::RegionId,
            status::{EndpointStatus, RegionStatus, StatusBody},
            units::Time,
        },
    },
    serde::Serialize,
};

/// Status report of one forwarding daemon.
#[derive(Debug, Serialize)]
pub(crate) struct GatewayStatus {
    #[serde(flatten)]
    common: StatusBody,
    phase: Phase,
    /// Revision of the directory up to which the endpoint list is complete.
    catalogue: u64,
    /// Era of the directory that `catalogue` belongs to; 0 if the directory states none.
    era: u64,
    /// Number of jobs of stages that this daemon coordinates.
    jobs: usize,
    directory_lost: bool,
    peers: Vec<PeerStatus>,
}

/// Status of another daemon according to its last heartbeat.
#[derive(Debug, Serialize)]
struct PeerStatus {
    host: String,
    address: String,
    phase: Phase,
    table: u64,
    catalogue: u64,
}

impl GatewayStatus {
    /// Builds the status report of a daemon from its current state.
    pub(crate) fn new<D: Dialect>(gateway: &Gateway<D>) -> Self {
        let phase = gateway.phase();
        let state = gateway.state.borrow();
        Self {
            common: common_status(gateway, &state, phase),
            phase,
            catalogue: state.catalogue.revision().number,
            era: state.catalogue.revision().era.0,
            jobs: state.stage_queues.jobs(),
            directory_lost: state.contact.reads.is_lost(),
            peers: peer_statuses(&state),
        }
    }
}

fn common_status<D: Dialect>(
    gateway: &Gateway<D>,
    state: &GatewayState,
    phase: Phase,
) -> StatusBody {
    let endpoints = state.endpoints.members().map(|member| EndpointStatus {
        service: member.entry.service.to_string(),
        endpoint: member.entry.id.to_string(),
        open: member.is_open(),
        in_flight: member.running,
    });
    StatusBody {
        host: gateway.settings().host.to_string(),
        ready: phase == Phase::Ready,
        evacuated: evacuated(state),
        regions: region_statuses(gateway, state),
        quarantined: quarantined(state, gateway.now()),
        version: state.published.as_ref().map_or(0, |p| p.table.version),
        in_flight: gateway.in_flight.get() as u64,
        answered: gateway.metrics.answers(),
        // Forwarding daemons don't count answers that missed their objective.
        late: 0,
        problems: gateway.metrics.problems(),
        attempts: gateway.metrics.attempts(),
        extra: gateway.metrics.retries(),
        endpoints: endpoints.collect(),
    }
}

fn evacuated(state: &GatewayState) -> Vec<String> {
    let data_centres = state.evacuations.data_centres();
    data_centres
        .map(|data_centre| state.data_centre_name(data_centre))
        .collect()
}

/// Returns the status of all regions, the daemon's own region first; empty if the installation has only one region.
fn region_statuses<D: Dialect>(gateway: &Gateway<D>, state: &GatewayState) -> Vec<RegionStatus> {
    let local_region = state.endpoints.local_region();
    if local_region.is_none() {
        return Vec::new();
    }
    let now = gateway.now();
    let settings = gateway.settings();
    let mut names: Vec<&RegionId> = settings.regions.0.values().collect();
    names.sort_unstable();
    names.dedup();
    names.sort_by_key(|name| Some(region_hash(name)) != local_region);
    let statuses = names.into_iter().map(|name| {
        let region = Some(region_hash(name));
        RegionStatus {
            region: name.to_string(),
            daemons: state.peers.daemons_in(region),
            way_ms: state
                .endpoints
                .round_trip(now, region)
                .map_or(0.0, |time| time.0),
        }
    });
    statuses.collect()
}

fn quarantined(state: &GatewayState, now: Time) -> Vec<String> {
    let digests = state.quarantine.digests(now);
    let mut names: Vec<String> = digests.map(|digest| digest.to_string()).collect();
    names.sort_unstable();
    names
}

fn peer_statuses(state: &GatewayState) -> Vec<PeerStatus> {
    let peers = state.peers.heartbeats().map(|peer| PeerStatus {
        host: peer.host.to_string(),
        address: peer.address.to_string(),
        phase: peer.phase,
        table: peer.table,
        catalogue: peer.catalogue,
    });
    peers.collect()
}
