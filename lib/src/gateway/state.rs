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
            rules::{catch_up, coordinator, retry_budget::WindowBudget, suspect_entry::is_outage},
            serving::{metrics::GatewayMetrics, settings::GatewaySettings},
            stages::{queues::Planning, workload::Workload},
            table::Table,
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
    },
    tokio::{sync::Notify, time::Instant},
};

/// Source that the log names when an endpoint is removed because it was suspect for long enough.
const SUSPECT_TIME_OVER: &str = "doubt over";

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
    /// Jobs of services that this daemon plans for.
    pub planning: Planning,
    /// How far the directory can be read.
    pub contact: DirectoryContact,
    /// Whether a list of endpoints was ever had.
    pub listed: bool,
    /// What this daemon has taken on.
    pub workload: Workload,
    /// What all daemons have in flight, as coordinators sum it up.
    pub sums: LoadSums,
    /// Since when a peer is known to have a newer table or list.
    pub behind: Option<Time>,
    /// Budgets of retries at each service.
    pub(crate) budgets: HashMap<ServiceId, WindowBudget>,
}

impl GatewayState {
    /// Returns whether entries that vanish now may have lapsed although their endpoints live.
    fn is_outage(&self, now: Time) -> bool {
        is_outage(now, self.contact.reads, self.peers.has_steady_peer())
    }

    /// Returns whether peers have had something newer than this daemon for too long.
    pub(crate) fn lags(&self, now: Time) -> bool {
        catch_up::is_behind(now, self.behind)
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
    /// Wakes the planner of stages.
    pub work: Notify,
    /// Tells this life of the process from others.
    pub run: u64,
    start: Instant,
    dialect: PhantomData<D>,
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
        let catalogue = Catalogue::new(settings.bounds.suspect_time());
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

    /// Records that an entry vanished from the directory at a revision; `suspect` says that the
    /// daemon that noticed it takes the endpoint for suspect.
    pub fn remove_endpoint(&self, id: &EndpointId, revision: u64, suspect: bool, source: &str) {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        let is_outage = suspect || state.is_outage(now);
        let learnt = state.catalogue.remove(now, id, revision, is_outage);
        drop(state);
        self.apply_change(learnt, source);
    }

    /// Takes in what a peer knows to have changed in the list of endpoints.
    pub fn apply_changes(&self, changes: EndpointChanges, source: &str) {
        for entry in changes.entries {
            self.upsert_endpoint(entry, source);
        }
        for gone in changes.gone {
            self.remove_endpoint(&gone.id, gone.revision, gone.suspect, source);
        }
        self.reached(changes.revision);
    }

    /// Takes in a whole list of endpoints.
    pub fn replace_endpoints(&self, revision: u64, list: Vec<EndpointEntry>, source: &str) {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        let is_outage = state.is_outage(now);
        for entry in &list {
            let newer = state
                .catalogue
                .get(&entry.id)
                .is_none_or(|old| old.revision <= entry.revision);
            if newer {
                state.endpoints.upsert(Arc::new(entry.clone()));
            }
        }
        let learnt = state.catalogue.replace(now, revision, list, is_outage);
        state.listed = true;
        drop(state);
        for one in learnt {
            self.apply_change(Some(one), source);
        }
        self.sync_planning();
    }

    /// Returns the revision up to which this daemon knows a topic.
    pub fn known_revision(&self, topic: Topic) -> u64 {
        match topic {
            // What is read again of a table is known by its version.
            Topic::Table => 0,
            Topic::Endpoints => self.state.borrow().catalogue.changed(),
        }
    }

    /// Notes that all changes up to a revision were taken in.
    pub fn reached(&self, revision: u64) {
        self.state.borrow_mut().catalogue.reached(revision);
    }

    /// Removes suspect endpoints whose time is over, and opens those again that were set aside.
    pub fn apply_timeouts(&self) {
        let now = self.now();
        let learnt = self.state.borrow_mut().catalogue.expire_suspects(now);
        for one in learnt {
            self.apply_change(Some(one), SUSPECT_TIME_OVER);
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
            EndpointChange::Suspect(entry) => ("endpoint.doubted", entry),
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

    /// Gives the planner of stages the endpoints that may be called, and wakes it.
    pub(crate) fn sync_planning(&self) {
        let limits = self.settings.budget;
        let mut guard = self.state.borrow_mut();
        let state = &mut *guard;
        let daemons = state.peers.daemons();
        state.planning.sync(&state.endpoints, limits, daemons);
        self.work.notify_one();
    }
}
