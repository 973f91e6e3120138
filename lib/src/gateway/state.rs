//! What a forwarding daemon believes, and how it comes to believe it.

use {
    crate::{
        gateway::{
            dialect::Dialect,
            directory::{
                catalogue::{Catalogue, EndpointChange, EndpointChanges, EndpointEntry},
                contact::DirectoryContact,
                source::Topic,
            },
            peers::{
                links::Links,
                load_sums::LoadSums,
                membership::{Identity, Peers},
                message::Phase,
            },
            routing::endpoint_states::EndpointStates,
            rules::{catch_up, coordinator, retry_budget::WindowBudget},
            serving::{metrics::GatewayMetrics, settings::GatewaySettings},
            stages::{queues::Planning, workload::Workload},
            table::{Table, Version},
        },
        shared::{
            ids::{EndpointId, ServiceId},
            units::{Millis, Time},
        },
    },
    bytes::Bytes,
    foldhash::HashMap,
    std::{
        cell::{Cell, RefCell},
        marker::PhantomData,
        rc::Rc,
        sync::Arc,
        time::Duration,
    },
    tokio::{sync::Notify, time::Instant},
    xxhash_rust::xxh3::xxh3_64,
};

/// Time beyond the wait of a call for changes after which a peer's reading counts as out of date.
const READ_SLACK: Millis = Millis(400);

/// A table together with the bytes it was read from.
#[derive(Debug)]
pub struct PublishedTable {
    /// The table.
    pub table: Table,
    /// Its bytes, to be passed on to other daemons.
    pub bytes: Bytes,
    /// Fingerprint of the bytes.
    pub fingerprint: u64,
}

/// What a daemon believes.
#[derive(Debug)]
pub struct GatewayState {
    /// The table in force.
    pub published: Option<Rc<PublishedTable>>,
    /// The endpoints there are.
    pub catalogue: Catalogue,
    /// The endpoints as they serve.
    pub endpoints: EndpointStates,
    /// The other daemons.
    pub peers: Peers,
    /// Queues of the stage services that this daemon coordinates.
    pub planning: Planning,
    /// How far the directory can be read.
    pub contact: DirectoryContact,
    /// Whether a list of endpoints was ever had.
    pub listed: bool,
    /// The outstanding pieces of this daemon's requests.
    pub workload: Workload,
    /// What all daemons have in flight, as coordinators sum it up.
    pub sums: LoadSums,
    /// Since when a peer is known to have a newer table or list.
    pub behind: Option<Time>,
    budgets: HashMap<ServiceId, WindowBudget>,
}

impl GatewayState {
    /// Returns whether entries that vanish now may have lapsed although their endpoints live: the
    /// directory failed lately, and not for this daemon alone.
    fn is_doubtful(&self, now: Time) -> bool {
        self.contact.is_doubtful(now) && !self.peers.has_steady_peer()
    }

    /// Returns whether peers tell this daemon in time what the directory holds, so that it needn't
    /// read it itself.
    fn is_covered(&self, now: Time, wait: Duration) -> bool {
        let bound = wait + READ_SLACK.to_duration();
        !self.peers.is_small()
            && !self.peers.coordinates()
            && !catch_up::is_behind(now, self.behind)
            && self
                .peers
                .read_age(now)
                .is_some_and(|age| age.to_duration() <= bound)
    }
}

/// One forwarding daemon.
#[derive(Debug)]
pub struct Gateway<D> {
    /// What it was told at its start.
    pub settings: GatewaySettings,
    /// What it believes.
    pub state: RefCell<GatewayState>,
    /// Links to other daemons.
    pub links: Links,
    /// Counters and histograms.
    pub metrics: GatewayMetrics,
    /// Whether a stop was asked for.
    pub stopping: Cell<bool>,
    /// Requests without a final answer.
    pub in_flight: Cell<usize>,
    /// Wakes the loop that plans the calls of stages.
    pub work: Notify,
    /// Tells this life of the process from others.
    pub run: u64,
    start: Instant,
    dialect: PhantomData<D>,
}

/// What came of a table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TableAdoption {
    /// It is in force now.
    Adopted,
    /// It is the one in force, or an older one.
    Known,
    /// It is invalid, or has the version of another one.
    Refused,
}

impl<D: Dialect> Gateway<D> {
    /// Starts without any belief.
    pub fn new(settings: GatewaySettings) -> Rc<Self> {
        let run = rand::random();
        let me = Identity {
            host: settings.host.clone(),
            data_centre: settings.data_centre.clone(),
            address: settings.peer,
            run,
            capacity: settings.capacity,
        };
        let peers = Peers::new(me, &settings.seeds);
        let catalogue = Catalogue::new(settings.bounds.doubt());
        Rc::new(Self {
            settings,
            state: RefCell::new(GatewayState {
                published: None,
                catalogue,
                endpoints: EndpointStates::default(),
                peers,
                planning: Planning::default(),
                contact: DirectoryContact::default(),
                listed: false,
                workload: Workload::default(),
                sums: LoadSums::default(),
                behind: None,
                budgets: HashMap::default(),
            }),
            links: Links::default(),
            metrics: GatewayMetrics::default(),
            stopping: Cell::new(false),
            in_flight: Cell::new(0),
            work: Notify::new(),
            run,
            start: Instant::now(),
            dialect: PhantomData,
        })
    }

    /// Returns the time on the daemon's own clock.
    pub fn now(&self) -> Time {
        Time(self.start.elapsed().as_micros() as u64)
    }

    /// Returns the instant of a time on the daemon's own clock.
    pub fn instant(&self, time: Time) -> Instant {
        self.start + time.since(Time::default())
    }

    /// Returns how far the daemon is.
    pub fn phase(&self) -> Phase {
        let state = self.state.borrow();
        if self.stopping.get() {
            Phase::Stopping
        } else if state.published.is_some() && state.listed {
            Phase::Ready
        } else {
            Phase::Starting
        }
    }

    /// Returns whether this daemon has run long enough to know the others.
    pub fn is_settled(&self) -> bool {
        coordinator::is_settled(self.now())
    }

    /// Returns whether this daemon may coordinate services.
    pub fn may_coordinate(&self) -> bool {
        self.phase() == Phase::Ready && self.is_settled()
    }

    /// Returns the table in force.
    pub fn published(&self) -> Option<Rc<PublishedTable>> {
        self.state.borrow().published.clone()
    }

    /// Takes in a table from `source` if it is newer than the one in force.
    pub fn adopt_table(&self, bytes: &Bytes, source: &str) -> TableAdoption {
        let fingerprint = xxh3_64(bytes);
        let current = self.published();
        if current
            .as_ref()
            .is_some_and(|current| current.fingerprint == fingerprint)
        {
            return TableAdoption::Known;
        }
        let table = match D::read_table(bytes) {
            Ok(table) => table,
            Err(error) => {
                log::error!(source, error:%; "table.refused");
                self.metrics.table_refused();
                return TableAdoption::Refused;
            }
        };
        let old: Version = current.map_or(0, |current| current.table.version);
        let version = table.version;
        if version < old {
            log::info!(source, version, current = old; "table.older");
            return TableAdoption::Known;
        }
        if version == old {
            log::error!(source, version; "table.conflict");
            self.metrics.table_refused();
            return TableAdoption::Refused;
        }
        let routes = table.routes().count();
        let mut state = self.state.borrow_mut();
        state.planning.set_services(&table);
        state.published = Some(Rc::new(PublishedTable {
            table,
            bytes: bytes.clone(),
            fingerprint,
        }));
        drop(state);
        self.sync_planning();
        log::info!(source, version, before = old, routes; "table.adopted");
        TableAdoption::Adopted
    }

    /// Takes in one changed entry of the directory.
    pub fn upsert_endpoint(&self, entry: EndpointEntry, source: &str) {
        let mut state = self.state.borrow_mut();
        let learnt = state.catalogue.put(entry.clone());
        if state
            .catalogue
            .get(&entry.id)
            .is_some_and(|kept| kept.revision == entry.revision)
        {
            state.endpoints.upsert(Arc::new(entry));
        }
        drop(state);
        self.apply_change(learnt, source);
    }

    /// Takes in that an entry vanished from the directory at a revision; `doubted` tells that who
    /// noticed it doubts that the endpoint is gone.
    pub fn remove_endpoint(&self, id: &EndpointId, revision: u64, doubted: bool, source: &str) {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        let doubt = doubted || state.is_doubtful(now);
        let learnt = state.catalogue.remove(now, id, revision, doubt);
        drop(state);
        self.apply_change(learnt, source);
    }

    /// Takes in what a peer knows to have changed in the list of endpoints.
    pub fn apply_changes(&self, changes: EndpointChanges, source: &str) {
        for entry in changes.entries {
            self.upsert_endpoint(entry, source);
        }
        for gone in changes.gone {
            self.remove_endpoint(&gone.id, gone.revision, gone.doubted, source);
        }
        self.reached(changes.revision);
    }

    /// Takes in a whole list of endpoints.
    pub fn replace_endpoints(&self, revision: u64, list: Vec<EndpointEntry>, source: &str) {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        let doubt = state.is_doubtful(now);
        for entry in &list {
            let newer = state
                .catalogue
                .get(&entry.id)
                .is_none_or(|old| old.revision <= entry.revision);
            if newer {
                state.endpoints.upsert(Arc::new(entry.clone()));
            }
        }
        let learnt = state.catalogue.replace(now, revision, list, doubt);
        state.listed = true;
        drop(state);
        for one in learnt {
            self.apply_change(Some(one), source);
        }
        self.sync_planning();
    }

    /// Returns whether the directory has answered this daemon without a failure for a while.
    pub fn is_directory_steady(&self) -> bool {
        let now = self.now();
        let state = self.state.borrow();
        state.contact.is_steady(now) && state.catalogue.doubted() == 0
    }

    /// Returns the revision up to which this daemon knows a topic.
    pub fn known_revision(&self, topic: Topic) -> u64 {
        match topic {
            // What is read again of a table is known by its version.
            Topic::Table => 0,
            Topic::Endpoints => self.state.borrow().catalogue.changed(),
        }
    }

    /// Returns whether the directory needn't be read by this daemon just now.
    pub fn is_covered(&self) -> bool {
        let wait = self.settings.bounds.directory_wait();
        self.phase() == Phase::Ready && self.state.borrow().is_covered(self.now(), wait)
    }

    /// Notes that all changes up to a revision were taken in.
    pub fn reached(&self, revision: u64) {
        self.state.borrow_mut().catalogue.reached(revision);
    }

    /// Drops endpoints that were doubted for long enough, and opens those again that were set aside.
    pub fn settle_doubts(&self) {
        let now = self.now();
        let learnt = self.state.borrow_mut().catalogue.settle(now);
        for one in learnt {
            self.apply_change(Some(one), "doubt over");
        }
        if self.state.borrow_mut().endpoints.reopen_replaced(now) {
            self.sync_planning();
        }
    }

    fn apply_change(&self, learnt: Option<EndpointChange>, source: &str) {
        let Some(learnt) = learnt else {
            return;
        };
        let (event, entry) = match &learnt {
            EndpointChange::Added(entry) => ("endpoint.added", entry),
            EndpointChange::Draining(entry) => ("endpoint.draining", entry),
            EndpointChange::Gone(entry) => ("endpoint.gone", entry),
            EndpointChange::Doubted(entry) => ("endpoint.doubted", entry),
        };
        log::info!(
            endpoint:% = entry.id,
            service:% = entry.service,
            address:% = entry.address,
            revision = entry.revision,
            source;
            "{event}"
        );
        if let EndpointChange::Gone(entry) = &learnt {
            self.state.borrow_mut().endpoints.remove(&entry.id);
        }
        self.sync_planning();
    }

    /// Notes that the directory answered for a topic.
    pub fn directory_answered(&self, topic: Topic) {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        let lost = state.contact.is_lost();
        let failed = state.contact.failed;
        state.contact.heard = Some(now);
        state.contact.topics[topic as usize] = Some(now);
        drop(state);
        if lost {
            let for_ms = failed.map_or(0.0, |failed| now.millis_since(failed));
            log::info!(for_ms; "directory.regained");
        }
    }

    /// Notes that the directory didn't answer.
    pub fn directory_failed(&self, error: &str) {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        let lost = state.contact.is_lost();
        state.contact.failed = Some(now);
        state.catalogue.extend_doubts(now);
        drop(state);
        self.metrics.directory_failed();
        if !lost {
            log::warn!(error; "directory.lost");
        }
    }

    /// Counts a request for a service.
    pub fn deposit(&self, service: &ServiceId) {
        let now = self.now();
        self.with_budget(service, |budget| budget.deposit(now));
    }

    /// Counts one repeat at a service if the budget has it.
    pub fn withdraw(&self, service: &ServiceId) -> bool {
        let now = self.now();
        let daemons = self.state.borrow().peers.daemons();
        self.with_budget(service, |budget| budget.withdraw(now, daemons))
    }

    fn with_budget<R>(&self, service: &ServiceId, act: impl FnOnce(&mut WindowBudget) -> R) -> R {
        let limits = self.settings.budget;
        let mut state = self.state.borrow_mut();
        let budget = state
            .budgets
            .entry(service.clone())
            .or_insert_with(|| WindowBudget::new(limits, Time::default()));
        act(budget)
    }

    /// Returns this daemon's part of the connections that an endpoint of a service accepts.
    pub fn connections_each(&self, service: &ServiceId) -> u32 {
        let published = self.published();
        let accepted = published
            .as_ref()
            .and_then(|published| published.table.service(service))
            .map_or(usize::MAX, |entry| entry.connections);
        let daemons = self.state.borrow().peers.daemons();
        u32::try_from((accepted / daemons).max(1)).unwrap_or(u32::MAX)
    }

    /// Updates which endpoints of stages may be called.
    fn sync_planning(&self) {
        let limits = self.settings.budget;
        let mut guard = self.state.borrow_mut();
        let state = &mut *guard;
        let daemons = state.peers.daemons();
        state.planning.sync(&state.endpoints, limits, daemons);
        self.work.notify_one();
    }
}
