//! The report of this daemon about itself that goes out with each heartbeat.

use {
    crate::{
        gateway::{
            dialect::Dialect,
            directory::evacuations::Evacuations,
            hashes::service_hash,
            peers::message::{BacklogNote, LoadNote, Phase, QueueNote, WorkNote},
            revision::Revision,
            rules::{
                backlog::Backlog,
                coordinator::Coordinator,
                directory_reads::{ReportedRead, reported_read},
            },
            state::{Gateway, GatewayState},
            table::Version,
        },
        shared::{
            ids::ServiceId,
            units::{Millis, Time},
        },
    },
    std::{net::SocketAddr, time::Duration},
};

/// Report of this daemon about itself.
#[derive(Debug, Clone, PartialEq)]
pub struct SelfReport {
    /// Phase of its life.
    pub phase: Phase,
    /// Version of its table; 0 for none.
    pub table: Version,
    /// Fingerprint of its table.
    pub fingerprint: u64,
    /// Revision of the directory up to which it knows of no newer table.
    pub table_until: Revision,
    /// Revision of the last change in its list of endpoints.
    pub catalogue: Revision,
    /// Set if it has read the directory without a failure for a while.
    pub steady: bool,
    /// Milliseconds since the directory last answered it for every topic.
    pub read_ms: Option<u32>,
    /// The daemon that read the directory in its place.
    pub read_by: Option<SocketAddr>,
    /// The data centres that it knows to be evacuated.
    pub evacuations: Evacuations,
    /// Its requests in flight.
    pub loads: Vec<LoadNote>,
    /// The stage services that it plans for.
    pub queues: Vec<QueueNote>,
    /// Its outstanding pieces.
    pub work: Vec<WorkNote>,
    /// The outstanding pieces by their order.
    pub backlogs: Vec<BacklogNote>,
    /// The services that have a coordinator.
    pub services: Vec<ServiceId>,
}

impl GatewayState {
    /// Returns what others should know of the stage services that this daemon coordinates.
    fn queue_notes(&self, now: Time, ready: bool) -> Vec<QueueNote> {
        let mine = |service: &ServiceId| {
            self.peers.coordinator(now, service, ready, &[]) == Coordinator::Me
        };
        let total = |service: &ServiceId| self.whole_backlog(now, service).total();
        self.stage_queues.notes(now, mine, total)
    }

    /// Adds up the outstanding pieces of a service that this daemon coordinates: those of its own requests,
    /// and those that the others report.
    fn whole_backlog(&self, now: Time, service: &ServiceId) -> Backlog {
        let others = self.peers.reported_backlog(service_hash(service));
        self.workload.backlog(now, service).plus(&others)
    }

    /// Returns the outstanding pieces by their order, of services that have any; `queues` are those that
    /// this daemon coordinates.
    fn backlog_notes(&self, now: Time, queues: &[QueueNote]) -> Vec<BacklogNote> {
        let note = |service: &ServiceId| {
            let hash = service_hash(service);
            let coordinates = queues.iter().any(|queue| queue.service == hash);
            BacklogNote {
                service: hash,
                own: self.workload.backlog(now, service),
                all: coordinates.then(|| self.whole_backlog(now, service)),
            }
        };
        let notes = self.stage_queues.services().map(note);
        let has_pieces =
            |note: &BacklogNote| note.own.plus(&note.all.unwrap_or_default()).total() > 0;
        notes.filter(has_pieces).collect()
    }

    /// Returns what this daemon has in flight at endpoints.
    fn load_notes(&self) -> Vec<LoadNote> {
        self.endpoints
            .members()
            .filter(|member| member.running > 0)
            .map(|member| LoadNote {
                endpoint: member.hash,
                running: member.running,
                prefill: member.prefill as u32,
            })
            .collect()
    }

    /// Returns the read of the directory on which others should rely: that of a coordinator, of a daemon
    /// whose heartbeats everybody receives, or of a substitute, which coordinators pass on.
    fn reported_read(&self, now: Time, wait: Duration) -> Option<ReportedRead> {
        let own = self.contact.read_age(now);
        if self.peers.coordinates() {
            return reported_read(own, self.peers.substitute_reads(now), wait);
        }
        let relied_on = self.is_substitute || self.peers.is_small();
        own.filter(|_| relied_on).map(ReportedRead::local)
    }
}

/// Returns an age as heartbeats carry it.
fn to_wire(age: Millis) -> u32 {
    u32::try_from(age.0).unwrap_or(u32::MAX)
}

impl<D: Dialect> Gateway<D> {
    /// Gathers the report of this daemon about itself.
    pub fn self_report(&self) -> SelfReport {
        self.refresh_stage_queues();
        let now = self.now();
        let wait = self.settings().bounds.directory_wait();
        let ready = self.may_coordinate();
        let phase = reported_phase(self.phase(), ready);
        let state = self.state.borrow();
        let published = state.published.as_ref();
        let queues = state.queue_notes(now, ready);
        let backlogs = state.backlog_notes(now, &queues);
        let read = state.reported_read(now, wait);
        SelfReport {
            phase,
            table: published.map_or(0, |published| published.table.version),
            fingerprint: published.map_or(0, |published| published.fingerprint),
            table_until: state.table_until(),
            catalogue: state.catalogue.last_change(),
            steady: state.contact.reads.is_steady(now),
            read_ms: read.map(|read| to_wire(read.age)),
            read_by: read.and_then(|read| read.substitute),
            evacuations: state.evacuations.clone(),
            loads: state.load_notes(),
            queues,
            work: state.workload.notes(),
            backlogs,
            services: published
                .iter()
                .flat_map(|published| published.table.services())
                .map(|service| service.id.clone())
                .collect(),
        }
    }
}

/// Returns the phase as others should know it: they don't choose a daemon as a coordinator that
/// doesn't know them yet.
fn reported_phase(phase: Phase, may_coordinate: bool) -> Phase {
    if may_coordinate || phase == Phase::Stopping {
        phase
    } else {
        Phase::Starting
    }
}
