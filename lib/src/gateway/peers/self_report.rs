//! The state of this daemon that each of its heartbeats reports.

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

/// State of this daemon, as reported in a heartbeat.
#[derive(Debug, Clone, PartialEq)]
pub struct SelfReport {
    /// Phase of the daemon's lifecycle.
    pub phase: Phase,
    /// Version of the daemon's table; 0 for none.
    pub table: Version,
    /// Fingerprint of the daemon's table.
    pub fingerprint: u64,
    /// Directory revision up to which the daemon knows of no newer table.
    pub table_until: Revision,
    /// Directory revision of the last change in the daemon's endpoint list.
    pub catalogue: Revision,
    /// Set if the daemon has read the directory without failures for some time.
    pub steady: bool,
    /// Milliseconds since the directory last answered for every topic; `None` if others shouldn't rely on it.
    pub read_ms: Option<u32>,
    /// The daemon whose read `read_ms` reports; `None` if it is this daemon's own.
    pub read_by: Option<SocketAddr>,
    /// Set if the daemon's processor is used up.
    pub exhausted: bool,
    /// The evacuated data centres as the daemon knows them.
    pub evacuations: Evacuations,
    /// Loads of the daemon's requests in flight, by endpoint.
    pub loads: Vec<LoadNote>,
    /// State of the stage services that the daemon coordinates.
    pub queues: Vec<QueueNote>,
    /// Number of outstanding pieces of the daemon's requests, by service.
    pub work: Vec<WorkNote>,
    /// Outstanding pieces by service and scheduling order.
    pub backlogs: Vec<BacklogNote>,
    /// All services of the daemon's table, each of which has a coordinator. They aren't sent.
    pub services: Vec<ServiceId>,
}

impl GatewayState {
    /// Returns the state of the stage services that this daemon coordinates.
    fn queue_notes(&self, now: Time, ready: bool) -> Vec<QueueNote> {
        let mine = |service: &ServiceId| {
            self.peers.coordinator(now, service, ready, &[]) == Coordinator::Local
        };
        let total = |service: &ServiceId| self.total_backlog(now, service).total();
        self.stage_queues.notes(now, mine, total)
    }

    /// Returns the outstanding pieces of a service that this daemon coordinates: those of its own requests
    /// and those that the others report.
    fn total_backlog(&self, now: Time, service: &ServiceId) -> Backlog {
        let others = self.peers.reported_backlog(service_hash(service));
        self.own_backlog(now, service).plus(&others)
    }

    /// Returns the outstanding pieces of this daemon's requests for a service.
    fn own_backlog(&self, now: Time, service: &ServiceId) -> Backlog {
        self.workload
            .backlog(now, service, self.rank_order(service))
    }

    /// Returns the outstanding pieces by scheduling order of the services that have any; `queues` are the services
    /// that this daemon coordinates.
    fn backlog_notes(&self, now: Time, queues: &[QueueNote]) -> Vec<BacklogNote> {
        let note = |service: &ServiceId| {
            let hash = service_hash(service);
            let coordinates = queues.iter().any(|queue| queue.service == hash);
            BacklogNote {
                service: hash,
                own: self.own_backlog(now, service),
                all: coordinates.then(|| self.total_backlog(now, service)),
            }
        };
        let notes = self.stage_queues.services().map(note);
        let has_pieces =
            |note: &BacklogNote| note.own.plus(&note.all.unwrap_or_default()).total() > 0;
        notes.filter(has_pieces).collect()
    }

    /// Returns the load of this daemon's requests in flight, by endpoint.
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

    /// Returns the read of the directory on which others should rely: the read of a coordinator, of a daemon
    /// whose heartbeats all others receive, or of a substitute, which coordinators forward.
    fn reported_read(&self, now: Time, wait: Duration) -> Option<ReportedRead> {
        let local = self.contact.read_age(now);
        if self.peers.coordinates() {
            return reported_read(local, self.peers.substitute_reads(now), wait);
        }
        let relied_on = self.is_substitute || self.peers.is_small();
        local.filter(|_| relied_on).map(ReportedRead::local)
    }
}

/// Returns an age in the form that heartbeats have: whole milliseconds, limited to 32 bits.
fn to_wire(age: Millis) -> u32 {
    u32::try_from(age.0).unwrap_or(u32::MAX)
}

impl<D: Dialect> Gateway<D> {
    /// Returns the current state of this daemon, to be reported in a heartbeat.
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
            exhausted: self.processor.borrow().is_exhausted(),
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

/// Returns the phase to report. A daemon that may not coordinate yet, since it doesn't know the others, reports itself
/// as starting, so that they don't choose it as a coordinator.
fn reported_phase(phase: Phase, may_coordinate: bool) -> Phase {
    if may_coordinate || phase == Phase::Stopping {
        phase
    } else {
        Phase::Starting
    }
}
