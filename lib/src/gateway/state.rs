//! The state of a forwarding daemon, and its clock.
//!
//! Owns the table in force, the endpoints, the peers, the queues of stage services and the retry budgets. All of it
//! belongs to one thread. Other modules change it: `directory` adopts tables and endpoint lists, `peers` records the
//! reports of other daemons, `routing` and `stages` count requests and calls in flight.

use {
    crate::{
        gateway::{
            calibration::store::Calibration,
            dialect::Dialect,
            directory::{
                catalogue::Catalogue, contact::DirectoryContact, evacuations::Evacuations,
                refused_entries::RefusedEntries,
            },
            engines::{join_reports::JoinReports, store::EngineModels},
            hashes::EndpointHash,
            kept_parts::store::KeptParts,
            peers::{
                chunk_batches::ChunkBatches,
                links::Links,
                load_sums::LoadSums,
                membership::{Identity, Peers},
                message::Phase,
            },
            quarantine::store::Quarantine,
            rates::permit_queue::PermitQueue,
            reservations::store::Reservations,
            revision::{Era, Revision},
            routing::endpoint_states::EndpointStates,
            rules::{
                body_memory::BodyBounds, catch_up::BehindSince,
                connection_shedding::ConnectionBound, coordinator, endpoint_reach::EndpointReach,
                processor_load::ProcessorLoad, reply_time::ReplyTime, retry_budget::WindowBudget,
                tight_objective::TightServices,
            },
            serving::{metrics::GatewayMetrics, reload::Reload, settings::GatewaySettings},
            stages::{queues::StageQueues, workload::Workload},
            stream_origins::store::StreamOrigins,
            table::{Table, Version},
            table_chunks::TableChunks,
            wire::body_memory::BodyMemory,
        },
        shared::{clock::Clock, ids::ServiceId, units::Time},
    },
    bytes::Bytes,
    foldhash::{HashMap, HashSet},
    std::{
        cell::{Cell, OnceCell, RefCell},
        marker::PhantomData,
        rc::Rc,
        time::Duration,
    },
    tokio::{net::UdpSocket, sync::Notify},
};

/// A table and the bytes from which it was read.
#[derive(Debug)]
pub struct PublishedTable {
    /// The table as read from the bytes.
    pub table: Table,
    /// Bytes of the published document, which are passed on to other daemons.
    pub bytes: Bytes,
    /// Fingerprint of the bytes, which distinguishes different documents of the same version.
    pub fingerprint: u64,
    /// Chunks of the bytes; computed when first needed.
    chunks: OnceCell<TableChunks>,
    /// Services with short objectives; computed when first needed.
    tight: OnceCell<TightServices>,
}

impl PublishedTable {
    /// Creates a published table.
    pub fn new(table: Table, bytes: Bytes, fingerprint: u64) -> Self {
        Self {
            table,
            bytes,
            fingerprint,
            chunks: OnceCell::new(),
            tight: OnceCell::new(),
        }
    }

    /// Returns the services of the table with short objectives.
    pub fn tight(&self) -> &TightServices {
        self.tight
            .get_or_init(|| TightServices::new(self.table.routes()))
    }

    /// Returns the chunks of the bytes.
    pub fn chunks(&self) -> &TableChunks {
        self.chunks.get_or_init(|| TableChunks::new(&self.bytes))
    }
}

/// The state of a daemon that changes while it runs.
#[derive(Debug)]
pub struct GatewayState {
    /// The table in force; `None` before the first one is adopted.
    pub published: Option<Rc<PublishedTable>>,
    /// Entries of the endpoints as published in the directory.
    pub catalogue: Catalogue,
    /// Data centres that operators have evacuated.
    pub evacuations: Evacuations,
    /// Directory entries that couldn't be read.
    pub(crate) refused: RefusedEntries,
    /// State of the endpoints that decides where requests are sent: load, health, response times.
    pub endpoints: EndpointStates,
    /// What this host knows of its paths to the endpoints.
    pub reach: EndpointReach,
    /// Models of the engines of tight services.
    pub engines: EngineModels,
    /// Daemons that have just started and got a report about engines lately.
    pub(crate) join_reports: JoinReports,
    /// Requests under which endpoints terminated.
    pub quarantine: Quarantine,
    /// How far the expected times of admitted requests were from the true ones, for each tight route.
    pub calibration: Calibration,
    /// Reservations of refused callers.
    pub reservations: Reservations,
    /// Software versions at which streams began.
    pub origins: StreamOrigins,
    /// What engines keep of the prompts of earlier requests.
    pub kept_parts: KeptParts,
    /// Other daemons.
    pub peers: Peers,
    /// Queues of the stage services that this daemon coordinates.
    pub stage_queues: StageQueues,
    /// Times at which this daemon read the directory.
    pub contact: DirectoryContact,
    /// Set if this daemon reads the directory for the others, because no daemon that is meant to read it does.
    pub(crate) is_substitute: bool,
    /// Set if a complete endpoint list was applied at least once.
    pub has_list: bool,
    /// Set if some entries of the first endpoint list are in use before the list is complete.
    pub(crate) has_partial: bool,
    /// The outstanding pieces of this daemon's requests.
    pub workload: Workload,
    /// Sums of all daemons' loads on the endpoints, as reported by coordinators.
    pub load_sums: LoadSums,
    /// Endpoints that the last load digest of this daemon reported as busy.
    pub(crate) reported_busy: HashSet<EndpointHash>,
    /// Time since which a peer has had a newer table or endpoint list than this daemon.
    pub behind_since: BehindSince,
    /// Time since which a peer has had a newer table than this daemon, whether or not some of its bytes have arrived.
    pub(crate) newer_since: Option<Time>,
    /// Directory revision up to which this daemon has read and found no newer table.
    pub(crate) table_read: Revision,
    /// Latest era of the directory that this daemon has read or that a peer has reported.
    pub(crate) era: Era,
    /// Time since which the directory lacks evacuation orders that this daemon holds, because the directory was
    /// restored from an older copy; `None` if it lacks none.
    pub(crate) earlier_orders: Option<Time>,
    /// Batches of table chunks that other daemons requested.
    pub(crate) chunk_batches: ChunkBatches,
    /// Retry budget of each service.
    pub(crate) budgets: HashMap<ServiceId, WindowBudget>,
    /// Usual time of the answers of each service.
    pub(crate) reply_times: HashMap<ServiceId, ReplyTime>,
}

impl GatewayState {
    /// Creates the state of a daemon without a table and without endpoints.
    fn new(peers: Peers, catalogue: Catalogue) -> Self {
        Self {
            published: None,
            catalogue,
            evacuations: Evacuations::default(),
            refused: RefusedEntries::default(),
            endpoints: EndpointStates::default(),
            reach: EndpointReach::default(),
            engines: EngineModels::default(),
            join_reports: JoinReports::default(),
            quarantine: Quarantine::default(),
            calibration: Calibration::default(),
            reservations: Reservations::new(peers.local_address()),
            origins: StreamOrigins::default(),
            kept_parts: KeptParts::default(),
            peers,
            stage_queues: StageQueues::default(),
            contact: DirectoryContact::default(),
            is_substitute: false,
            has_list: false,
            has_partial: false,
            workload: Workload::default(),
            load_sums: LoadSums::default(),
            reported_busy: HashSet::default(),
            behind_since: BehindSince::default(),
            newer_since: None,
            table_read: Revision::default(),
            era: Era::default(),
            earlier_orders: None,
            chunk_batches: ChunkBatches::default(),
            budgets: HashMap::default(),
            reply_times: HashMap::default(),
        }
    }

    /// Returns whether peers have had a newer table or endpoint list for too long, not counting stalls of this process.
    pub(crate) fn lags(&self, now: Time) -> bool {
        let without_stalls = |since| self.peers.stalls.exclude_stalls(since, now);
        let behind = self.behind_since.map_times(without_stalls);
        behind.is_behind(now, self.peers.daemons())
    }

    /// Returns the version of the table in force, or 0 if there is none.
    pub(crate) fn table_version(&self) -> Version {
        self.published
            .as_ref()
            .map_or(0, |published| published.table.version)
    }

    /// Returns the directory revision up to which this daemon, or a live peer with the same table, found no newer
    /// table.
    pub(crate) fn table_until(&self) -> Revision {
        let Some(published) = &self.published else {
            return Revision::default();
        };
        let same = self
            .peers
            .table_until(published.table.version, published.fingerprint);
        self.table_read.max(same)
    }

    /// Returns the directory revision up to which this daemon knows all tables and evacuations that operators
    /// published.
    pub(crate) fn operator_until(&self) -> Revision {
        self.table_until().min(self.evacuations.until())
    }
}

/// A forwarding daemon.
#[derive(Debug)]
pub struct Gateway<D> {
    /// Settings in force.
    settings: RefCell<Rc<GatewaySettings>>,
    /// State that changes while the daemon runs. No borrow is held across an await.
    pub state: RefCell<GatewayState>,
    /// Links to other daemons.
    pub links: Links,
    /// Metrics of the daemon.
    pub metrics: GatewayMetrics,
    /// Time at which this daemon ends, once a signal has requested a stop.
    pub(crate) stop_end: Cell<Option<Time>>,
    /// Use of the processor.
    pub(crate) processor: RefCell<ProcessorLoad>,
    /// Bound on new connections of callers.
    pub(crate) bound: RefCell<ConnectionBound>,
    /// Number of callers' connections that have had no request yet.
    pub(crate) fresh: Cell<usize>,
    /// Memory for the bodies of requests and replies.
    pub(crate) bodies: BodyMemory,
    /// Number of accepted requests without a final answer.
    pub in_flight: Cell<usize>,
    /// Number of open connections of callers.
    pub(crate) callers: Cell<usize>,
    /// Number of connections that this daemon relays for others.
    pub(crate) relays: Cell<usize>,
    /// Wakes the loop that schedules calls of stage services.
    pub stage_work: Notify,
    /// Set if endpoints, services or limits have changed since the queues of stage services were last updated.
    stale_queues: Cell<bool>,
    /// Wakes the loop that fetches newer tables, when another daemon reports one.
    pub(crate) newer_table: Notify,
    /// Wakes the tasks that wait for another table to come into force.
    pub(crate) table_changed: Notify,
    /// Wakes the requests that have no answer when the grace time of a stop is over.
    pub(crate) stop_expired: Notify,
    /// Wakes the tasks that wait for the directory to answer again after it was lost.
    pub(crate) directory_regained: Notify,
    /// Wakes the task that follows the endpoints, when a request needs their present list.
    pub(crate) list_wanted: Notify,
    /// Wakes the requests that wait for the present list of endpoints.
    pub(crate) list_read: Notify,
    /// Wakes the tasks that wait for directory changes of an era that has ended.
    pub(crate) era_ended: Notify,
    /// Wakes the loop that sends heartbeats, when other daemons should be informed immediately.
    pub(crate) announcement: Notify,
    /// Wakes the tasks that wait for a time, since it may have passed while the host was suspended.
    pub(crate) host_resumed: Notify,
    /// Wakes the loop that reports the requests under which endpoints terminated to other daemons.
    pub(crate) quarantine_reports: Notify,
    /// Wakes the requests that end when they are quarantined.
    pub(crate) quarantine_began: Notify,
    /// Wakes the loop that reports advertised rate limits to other daemons and requests permits.
    pub(crate) rate_reports: Notify,
    /// Wakes the loop that sends the messages about reservations.
    pub(crate) reservation_reports: Notify,
    /// Wakes the requests that wait for answers to their claims.
    pub(crate) reservation_answers: Notify,
    /// Wakes the loop that sends the messages about origins of streams.
    pub(crate) origin_reports: Notify,
    /// Wakes the requests that wait for the origins of their streams.
    pub(crate) origin_answers: Notify,
    /// Wakes the requests that wait for what engines keep.
    pub(crate) kept_answers: Notify,
    /// Wakes the loop that reports borrowed connections to their lenders.
    pub(crate) loan_reports: Notify,
    /// Wakes the requests that wait for a permit or a borrowed connection.
    pub(crate) permits: Notify,
    /// Requests that wait for a permit.
    pub(crate) permit_queue: PermitQueue,
    /// Socket for datagrams to other daemons; unset until the daemon has joined them.
    pub(crate) datagrams: OnceCell<Rc<UdpSocket>>,
    /// Random number that distinguishes this run of the process from others.
    pub run: u64,
    clock: Clock,
    dialect: PhantomData<D>,
}

impl<D: Dialect> Gateway<D> {
    /// Creates a daemon without a table and without endpoints.
    pub fn new(settings: GatewaySettings) -> Rc<Self> {
        let run = rand::random();
        let me = Identity {
            host: settings.host.clone(),
            data_centre: settings.data_centre.clone(),
            region: settings.regions.region(&settings.data_centre),
            address: settings.peer,
            run,
            capacity: settings.capacity,
        };
        let bodies = BodyMemory::new(BodyBounds::new(settings.memory));
        let peers = Peers::new(me, &settings.seeds);
        let mut catalogue = Catalogue::new(settings.bounds.unconfirmed_time());
        catalogue.set_lapse_time(settings.bounds.lapse_time());
        let mut state = GatewayState::new(peers, catalogue);
        let here = &settings.data_centre;
        state.endpoints.set_regions(here, &settings.regions);
        state.endpoints.set_seed(run);
        Rc::new(Self {
            settings: RefCell::new(Rc::new(settings)),
            state: RefCell::new(state),
            links: Links::default(),
            metrics: GatewayMetrics::default(),
            stop_end: Cell::default(),
            processor: RefCell::default(),
            bound: RefCell::default(),
            fresh: Cell::new(0),
            bodies,
            in_flight: Cell::new(0),
            callers: Cell::new(0),
            relays: Cell::new(0),
            stage_work: Notify::new(),
            stale_queues: Cell::new(false),
            newer_table: Notify::new(),
            table_changed: Notify::new(),
            stop_expired: Notify::new(),
            directory_regained: Notify::new(),
            list_wanted: Notify::new(),
            list_read: Notify::new(),
            era_ended: Notify::new(),
            announcement: Notify::new(),
            host_resumed: Notify::new(),
            quarantine_reports: Notify::new(),
            quarantine_began: Notify::new(),
            rate_reports: Notify::new(),
            reservation_reports: Notify::new(),
            reservation_answers: Notify::new(),
            origin_reports: Notify::new(),
            datagrams: OnceCell::new(),
            origin_answers: Notify::new(),
            kept_answers: Notify::new(),
            loan_reports: Notify::new(),
            permits: Notify::new(),
            permit_queue: PermitQueue::default(),
            run,
            clock: Clock::default(),
            dialect: PhantomData,
        })
    }

    /// Returns the settings in force; a reload replaces them.
    pub fn settings(&self) -> Rc<GatewaySettings> {
        self.settings.borrow().clone()
    }

    /// Applies settings that were read again, if a running daemon can change them. Returns which changes were applied
    /// and which need a restart.
    pub fn reload(&self, read: &GatewaySettings) -> Reload {
        let reload = Reload::new(&self.settings(), read);
        let settings = Rc::new(reload.settings.clone());
        {
            let mut state = self.state.borrow_mut();
            state.peers.set_seeds(&settings.seeds);
            state
                .catalogue
                .set_unconfirmed_time(settings.bounds.unconfirmed_time());
            state.catalogue.set_lapse_time(settings.bounds.lapse_time());
            let here = &settings.data_centre;
            state.endpoints.set_regions(here, &settings.regions);
            state.peers.set_region(settings.regions.region(here));
        }
        *self.settings.borrow_mut() = settings;
        // The queues of stage services apply a new retry budget.
        self.invalidate_stage_queues();
        reload
    }

    /// Returns the current time of the daemon's clock.
    pub fn now(&self) -> Time {
        self.clock.now()
    }

    /// Waits until a time of the daemon's clock, also if it passes while the host is suspended.
    pub(crate) async fn sleep_until(&self, time: Time) {
        while self.now() < time {
            tokio::select! {
                () = tokio::time::sleep_until(self.clock.instant(time)) => {}
                () = self.host_resumed.notified() => {}
            }
        }
    }

    /// Waits until this process has run for `time` since `since`, without its stalls; forever if `time` is absent.
    pub(crate) async fn run_for(&self, since: Time, time: Option<Duration>) {
        let Some(time) = time else {
            return std::future::pending().await;
        };
        loop {
            let now = self.now();
            let ran = self.state.borrow().peers.stalls.ran_since(since, now);
            match time.checked_sub(ran) {
                Some(left) if !left.is_zero() => tokio::time::sleep(left).await,
                _ => return,
            }
        }
    }

    /// Waits for a future, at most until a time of the daemon's clock. Returns `None` if the time comes first.
    pub(crate) async fn timeout_at<T>(
        &self,
        time: Time,
        future: impl Future<Output = T>,
    ) -> Option<T> {
        tokio::select! {
            biased;
            done = future => Some(done),
            () = self.sleep_until(time) => None,
        }
    }

    /// Returns the daemon's clock, which tests can set.
    pub fn clock(&self) -> &Clock {
        &self.clock
    }

    /// Returns whether a signal has requested a stop.
    pub fn is_stopping(&self) -> bool {
        self.stop_end.get().is_some()
    }

    /// Returns the phase of the daemon, as reported in heartbeats and by the readiness endpoint.
    pub fn phase(&self) -> Phase {
        let state = self.state.borrow();
        if self.is_stopping() {
            Phase::Stopping
        } else if state.published.is_some() && (state.has_list || state.has_partial) {
            Phase::Ready
        } else {
            Phase::Starting
        }
    }

    /// Returns whether this daemon has run long enough to coordinate services, whether or not it is ready.
    pub fn is_settled(&self) -> bool {
        let state = self.state.borrow();
        let ran = state.peers.running_time(self.now());
        coordinator::may_coordinate(ran, state.peers.has_stronger())
    }

    /// Returns whether this daemon is ready and has run long enough to coordinate services.
    pub fn may_coordinate(&self) -> bool {
        self.phase() == Phase::Ready && self.is_settled()
    }

    /// Returns the table in force.
    pub fn published(&self) -> Option<Rc<PublishedTable>> {
        self.state.borrow().published.clone()
    }

    /// Records that endpoints, services or limits have changed, and wakes the loop that schedules calls. The queues are
    /// updated once for any number of changes: updated for each entry of a first list of 3,001 endpoints, a daemon
    /// would compare all endpoints of each stage 3,001 times.
    pub(crate) fn invalidate_stage_queues(&self) {
        self.stale_queues.set(true);
        self.stage_work.notify_one();
    }

    /// Updates the queues of stage services if endpoints, services or limits have changed.
    pub(crate) fn refresh_stage_queues(&self) {
        if !self.stale_queues.take() {
            return;
        }
        let limits = self.settings().budget;
        let mut guard = self.state.borrow_mut();
        let state = &mut *guard;
        let daemons = state.peers.daemons();
        state
            .stage_queues
            .update_endpoints(&state.endpoints, limits, daemons);
    }
}
