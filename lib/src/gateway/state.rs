//! State of a forwarding daemon, and its clock.
//!
//! Owns the table in force, the endpoints, the peers, the planning of stages and the budgets, all of
//! one thread. Other modules change it: `directory` adopts tables and lists, `peers` records what
//! other daemons report, `routing` and `stages` count what is in flight.

use {
    crate::{
        gateway::{
            dialect::Dialect,
            directory::{
                catalogue::Catalogue, contact::DirectoryContact, evacuations::Evacuations,
                refused_entries::RefusedEntries,
            },
            hashes::EndpointHash,
            peers::{
                links::Links,
                load_sums::LoadSums,
                membership::{Identity, Peers},
                message::Phase,
                part_batches::PartBatches,
            },
            quarantine::store::Quarantine,
            rates::permit_queue::PermitQueue,
            revision::{Era, Revision},
            routing::endpoint_states::EndpointStates,
            rules::{catch_up::BehindSince, coordinator, retry_budget::WindowBudget},
            serving::{metrics::GatewayMetrics, reload::Reload, settings::GatewaySettings},
            stages::{queues::Planning, workload::Workload},
            table::{Table, Version},
            table_parts::TableParts,
        },
        shared::{clock::Clock, ids::ServiceId, units::Time},
    },
    bytes::Bytes,
    foldhash::{HashMap, HashSet},
    std::{
        cell::{Cell, OnceCell, RefCell},
        marker::PhantomData,
        rc::Rc,
    },
    tokio::sync::Notify,
};

/// A table together with the bytes it was read from.
#[derive(Debug)]
pub struct PublishedTable {
    /// The table.
    pub table: Table,
    /// Its bytes, to be passed on to other daemons.
    pub bytes: Bytes,
    /// Fingerprint of the bytes.
    pub fingerprint: u64,
    /// The bytes in parts, once they were needed.
    parts: OnceCell<TableParts>,
}

impl PublishedTable {
    /// Builds a table from its bytes and what was read from them.
    pub fn new(table: Table, bytes: Bytes, fingerprint: u64) -> Self {
        Self {
            table,
            bytes,
            fingerprint,
            parts: OnceCell::new(),
        }
    }

    /// Returns the bytes in parts.
    pub fn parts(&self) -> &TableParts {
        self.parts.get_or_init(|| TableParts::new(&self.bytes))
    }
}

/// State of a daemon, as far as it changes while it runs.
#[derive(Debug)]
pub struct GatewayState {
    /// The table in force.
    pub published: Option<Rc<PublishedTable>>,
    /// Entries of the endpoints, as the directory publishes them.
    pub catalogue: Catalogue,
    /// The evacuated data centres.
    pub evacuations: Evacuations,
    /// Entries that couldn't be read.
    pub(crate) refused: RefusedEntries,
    /// The endpoints as requests see them: load, health, time of a call.
    pub endpoints: EndpointStates,
    /// Requests under which endpoints ended.
    pub quarantine: Quarantine,
    /// The other daemons.
    pub peers: Peers,
    /// Queues of the stage services that this daemon coordinates.
    pub planning: Planning,
    /// Times of this daemon's reads of the directory.
    pub contact: DirectoryContact,
    /// This daemon reads the directory for the others, since none that should does.
    pub(crate) substitutes: bool,
    /// A whole list of endpoints has been applied at least once.
    pub has_list: bool,
    /// A part of the first list of endpoints is in use.
    pub(crate) has_part: bool,
    /// The outstanding pieces of this daemon's requests.
    pub workload: Workload,
    /// Requests in flight from all daemons, as coordinators sum them up.
    pub load_sums: LoadSums,
    /// Endpoints that this daemon's last digest of loads named as busy.
    pub(crate) digest_named: HashSet<EndpointHash>,
    /// Since when a peer is known to have a newer table or list.
    pub behind_since: BehindSince,
    /// Since when a peer is known to have a newer table, whatever of it has come.
    pub(crate) newer_since: Option<Time>,
    /// Revision of the directory up to which this daemon itself knows of no newer table.
    pub(crate) table_read: Revision,
    /// Latest era of the directory that this daemon has read or heard of.
    pub(crate) era: Era,
    /// Since when there are orders to evacuate that the directory lacks since it came back from an older copy.
    pub(crate) held_orders: Option<Time>,
    /// Batches of the table's parts that other daemons asked for.
    pub(crate) batches: PartBatches,
    /// Budgets of retries at each service.
    pub(crate) budgets: HashMap<ServiceId, WindowBudget>,
}

impl GatewayState {
    /// Starts without a table and without endpoints.
    fn new(peers: Peers, catalogue: Catalogue) -> Self {
        Self {
            published: None,
            catalogue,
            evacuations: Evacuations::default(),
            refused: RefusedEntries::default(),
            endpoints: EndpointStates::default(),
            quarantine: Quarantine::default(),
            peers,
            planning: Planning::default(),
            contact: DirectoryContact::default(),
            substitutes: false,
            has_list: false,
            has_part: false,
            workload: Workload::default(),
            load_sums: LoadSums::default(),
            digest_named: HashSet::default(),
            behind_since: BehindSince::default(),
            newer_since: None,
            table_read: Revision::default(),
            era: Era::default(),
            held_orders: None,
            batches: PartBatches::default(),
            budgets: HashMap::default(),
        }
    }

    /// Returns whether peers have had something newer than this daemon for too long, while it ran.
    pub(crate) fn lags(&self, now: Time) -> bool {
        let excused = |since| self.peers.standstills.exclude_stalls(since, now);
        let behind = self.behind_since.map_times(excused);
        behind.is_behind(now, self.peers.daemons())
    }

    /// Returns the version of the table in force; 0 if there is none.
    pub(crate) fn table_version(&self) -> Version {
        self.published
            .as_ref()
            .map_or(0, |published| published.table.version)
    }

    /// Returns the revision of the directory up to which there is no newer table, as far as this
    /// daemon or a living one with the same table knows.
    pub(crate) fn table_until(&self) -> Revision {
        let Some(published) = &self.published else {
            return Revision::default();
        };
        let same = self
            .peers
            .table_until(published.table.version, published.fingerprint);
        self.table_read.max(same)
    }

    /// Returns the revision of the directory up to which everything is known that operators published.
    pub(crate) fn operator_until(&self) -> Revision {
        self.table_until().min(self.evacuations.until())
    }
}

/// One forwarding daemon.
#[derive(Debug)]
pub struct Gateway<D> {
    /// Settings in force.
    settings: RefCell<Rc<GatewaySettings>>,
    /// State that changes while it runs. No borrow is held across an await.
    pub state: RefCell<GatewayState>,
    /// Links to other daemons.
    pub links: Links,
    /// Counters and histograms.
    pub metrics: GatewayMetrics,
    /// A signal has asked for a stop.
    pub stopping: Cell<bool>,
    /// Requests without a final answer.
    pub in_flight: Cell<usize>,
    /// Wakes the loop that plans the calls of stages.
    pub work: Notify,
    /// The queues of stages weren't told yet what has changed of endpoints, services or limits.
    stale_planning: Cell<bool>,
    /// Wakes the loop that fetches newer tables: another daemon reports one.
    pub(crate) newer_table: Notify,
    /// Wakes whoever waits for another table to come into force.
    pub(crate) table_changed: Notify,
    /// Wakes the requests that are still without an answer when the time of a stop is over.
    pub(crate) stop_over: Notify,
    /// Wakes whoever waits for an answer of the directory that was asked for while it was lost.
    pub(crate) directory_regained: Notify,
    /// Wakes whoever waits for changes of the directory in an era that has ended.
    pub(crate) restored: Notify,
    /// Wakes the loop that sends heartbeats: there is something that others should know at once.
    pub(crate) announcement: Notify,
    /// Wakes whoever waits for a time that may have come while the host was suspended.
    pub(crate) resumed: Notify,
    /// Wakes the loop that tells others under which requests endpoints ended.
    pub(crate) quarantine_news: Notify,
    /// Wakes the loop that tells others of rates that endpoints name, and asks for permits.
    pub(crate) rate_news: Notify,
    /// Wakes the requests that wait for a permit.
    pub(crate) permits: Notify,
    /// The requests that wait for permits.
    pub(crate) permit_queue: PermitQueue,
    /// Random number that distinguishes this life of the process from others.
    pub run: u64,
    clock: Clock,
    dialect: PhantomData<D>,
}

impl<D: Dialect> Gateway<D> {
    /// Builds a daemon that knows no table and no endpoints.
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
            stopping: Cell::new(false),
            in_flight: Cell::new(0),
            work: Notify::new(),
            stale_planning: Cell::new(false),
            newer_table: Notify::new(),
            table_changed: Notify::new(),
            stop_over: Notify::new(),
            directory_regained: Notify::new(),
            restored: Notify::new(),
            announcement: Notify::new(),
            resumed: Notify::new(),
            quarantine_news: Notify::new(),
            rate_news: Notify::new(),
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

    /// Puts settings that were read again in force, as far as a running daemon can change them.
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
        // The queues of stages take their part of a new retry budget.
        self.sync_planning();
        reload
    }

    /// Returns the time on the daemon's own clock.
    pub fn now(&self) -> Time {
        self.clock.now()
    }

    /// Waits until a time of the daemon's clock, which may come while the host is suspended.
    pub(crate) async fn sleep_until(&self, time: Time) {
        while self.now() < time {
            tokio::select! {
                () = tokio::time::sleep_until(self.clock.instant(time)) => {}
                () = self.resumed.notified() => {}
            }
        }
    }

    /// Waits for a future until a time of the daemon's clock; returns nothing if that comes first.
    pub(crate) async fn before<T>(&self, time: Time, future: impl Future<Output = T>) -> Option<T> {
        tokio::select! {
            biased;
            done = future => Some(done),
            () = self.sleep_until(time) => None,
        }
    }

    /// Returns the daemon's clock, which tests turn.
    pub fn clock(&self) -> &Clock {
        &self.clock
    }

    /// Returns the phase of the daemon, as heartbeats and the ready address report it.
    pub fn phase(&self) -> Phase {
        let state = self.state.borrow();
        if self.stopping.get() {
            Phase::Stopping
        } else if state.published.is_some() && (state.has_list || state.has_part) {
            Phase::Ready
        } else {
            Phase::Starting
        }
    }

    /// Returns whether this daemon has run long enough to coordinate services, also without being ready.
    pub fn is_settled(&self) -> bool {
        let state = self.state.borrow();
        let ran = state.peers.ran(self.now());
        coordinator::may_coordinate(ran, state.peers.has_stronger())
    }

    /// Returns whether this daemon may coordinate services.
    pub fn may_coordinate(&self) -> bool {
        self.phase() == Phase::Ready && self.is_settled()
    }

    /// Returns the table in force.
    pub fn published(&self) -> Option<Rc<PublishedTable>> {
        self.state.borrow().published.clone()
    }

    /// Records that endpoints, services or limits have changed, and wakes the loop that plans calls. However
    /// many have changed, the queues are told once: told of each entry of a first list of 3,001 endpoints, a
    /// daemon compared 3,001 times all endpoints of each stage (worked out).
    pub(crate) fn sync_planning(&self) {
        self.stale_planning.set(true);
        self.work.notify_one();
    }

    /// Tells the queues of stages which endpoints they may call, if that has changed.
    pub(crate) fn refresh_planning(&self) {
        if !self.stale_planning.take() {
            return;
        }
        let limits = self.settings().budget;
        let mut guard = self.state.borrow_mut();
        let state = &mut *guard;
        let daemons = state.peers.daemons();
        state.planning.sync(&state.endpoints, limits, daemons);
    }
}
