//! Applies changes of the list of endpoints to the daemon's state, and logs each of them.
//!
//! Changes come from the directory and from peers. The catalogue decides which of them take effect, with
//! the rule [`unconfirmed_entry`](crate::gateway::rules::unconfirmed_entry). This module applies them to
//! the endpoints that requests are sent to and to the queues of stages.

use {
    crate::{
        gateway::{
            dialect::Dialect,
            directory::{
                catalogue::EndpointChange,
                endpoint_entry::{EndpointChanges, EndpointEntry, EndpointList},
                source::Topic,
            },
            revision::Revision,
            rules::unconfirmed_entry::{is_dark, is_outage},
            state::{Gateway, GatewayState},
        },
        shared::{ids::EndpointId, units::Time},
    },
    foldhash::HashSet,
    std::sync::Arc,
};

/// Source in the log of the removal of an endpoint whose unconfirmed time is over.
const UNCONFIRMED_TIME_OVER: &str = "doubt over";

/// Source in the log when a departed endpoint is added since its entry, listed by an older copy of the directory, has
/// lasted.
const ENTRY_LASTS: &str = "entry lasts";

impl GatewayState {
    /// Returns whether entries that vanish now may have lapsed although their endpoints are alive.
    fn is_outage(&self, now: Time) -> bool {
        is_outage(now, self.contact.reads, self.peers.has_steady_peer(now))
    }

    /// Returns whether living endpoints can't write their entries now, as far as this daemon and its peers can tell.
    fn is_dark(&self, now: Time) -> bool {
        let since = self.contact.lost_since();
        since.is_some_and(|since| is_dark(now, since, self.peers.read_age(now)))
    }
}

impl<D: Dialect> Gateway<D> {
    /// Applies a new or changed entry. An entry older than the known one changes nothing.
    pub fn upsert_endpoint(&self, entry: EndpointEntry, source: &str) {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        let (id, revision) = (entry.id.clone(), entry.revision);
        let change = state.catalogue.upsert(entry);
        let known = state.catalogue.get(&id).cloned();
        if let Some(known) = known.filter(|known| known.revision == revision) {
            state.endpoints.upsert(now, known);
        }
        drop(state);
        if let Some(change) = change {
            self.apply_change(&change, source);
        }
    }

    /// Records that an entry vanished at a revision. `unconfirmed` is set if the endpoint is unconfirmed at the peer
    /// that reports it.
    pub fn remove_endpoint(
        &self,
        id: &EndpointId,
        revision: Revision,
        unconfirmed: bool,
        source: &str,
    ) {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        let is_outage = unconfirmed || state.is_outage(now);
        let change = state.catalogue.remove(now, id, revision, is_outage);
        drop(state);
        if let Some(change) = change {
            self.apply_change(&change, source);
        }
    }

    /// Applies changes received from a peer.
    pub fn apply_changes(&self, changes: EndpointChanges, source: &str) {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        state.catalogue.begin_era(now, changes.revision);
        drop(state);
        for entry in changes.entries {
            self.upsert_endpoint(entry, source);
        }
        for gone in changes.gone {
            self.remove_endpoint(&gone.id, gone.revision, gone.unconfirmed, source);
        }
        let catalogue = &mut self.state.borrow_mut().catalogue;
        catalogue.hold_reported(now, changes.held);
        if changes.has_gap {
            catalogue.advance_with_gap(changes.revision);
        } else {
            catalogue.advance_to(changes.revision);
        }
    }

    /// Uses the endpoints of the first pages of the first list before the rest has arrived. Without this, 299 daemons
    /// that start together refuse all requests for the 2.5 s in which they receive a list of 3,001 endpoints. One page
    /// holds a sixth of the endpoints of each service.
    pub(crate) fn add_partial_list(&self, entries: Vec<EndpointEntry>) {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        if state.has_list || entries.is_empty() {
            return;
        }
        for entry in entries {
            state.endpoints.upsert(now, Arc::new(entry));
        }
        state.has_partial = true;
        drop(state);
        self.invalidate_stage_queues();
    }

    /// Uses the entries of a list whose rest can't be read. A daemon without a list uses these endpoints only; one that
    /// has a list applies them as changes, since the list says nothing about others.
    pub(crate) fn end_partial_list(&self, entries: Vec<EndpointEntry>, source: &str) {
        let mut state = self.state.borrow_mut();
        if state.has_list {
            drop(state);
            for entry in entries {
                self.upsert_endpoint(entry, source);
            }
            return;
        }
        let listed: HashSet<&EndpointId> = entries.iter().map(|entry| &entry.id).collect();
        state.endpoints.retain(|id| listed.contains(id));
        drop(state);
        self.add_partial_list(entries);
    }

    /// Applies a whole list of endpoints.
    pub fn replace_endpoints(&self, list: EndpointList, source: &str) {
        let (revision, entries) = (list.revision, list.entries.len());
        let now = self.now();
        let mut state = self.state.borrow_mut();
        let is_outage = state.is_outage(now);
        let changes = state.catalogue.replace(now, list, is_outage);
        let is_first = !state.has_list;
        let GatewayState {
            catalogue,
            endpoints,
            ..
        } = &mut *state;
        for entry in catalogue.entries() {
            endpoints.upsert(now, entry.clone());
        }
        if is_first {
            // Endpoints of an earlier list that was only partly read may have been removed since.
            endpoints.retain(|id| catalogue.get(id).is_some());
        }
        state.has_list = true;
        drop(state);
        log::info!(revision:%, entries, changes = changes.len(), source; "endpoints.listed");
        if is_first {
            // Other daemons choose a coordinator among those that are ready, so this one reports at once that it has a
            // list.
            self.announcement.notify_one();
        }
        // Additions of the first list aren't logged one by one: that would be 3,001 lines at each daemon.
        let logged = changes
            .iter()
            .filter(|change| !is_first || !change.is_added());
        for change in logged {
            self.apply_change(change, source);
        }
        self.invalidate_stage_queues();
    }

    /// Ends what is over by now: removes endpoints whose unconfirmed time is over, adds departed endpoints whose
    /// entries have lasted, drops evacuation orders of an earlier era, and ends exclusions and cooldowns of endpoints.
    pub fn apply_timeouts(&self) {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        if state.is_dark(now) {
            state.catalogue.extend_unconfirmed(now);
        }
        let changes = state.catalogue.expire_unconfirmed(now);
        drop(state);
        for change in changes {
            self.apply_change(&change, UNCONFIRMED_TIME_OVER);
        }
        self.readmit_endpoints(now);
        self.expire_earlier_orders();
        if self.state.borrow_mut().endpoints.reopen_replaced(now) {
            self.invalidate_stage_queues();
        }
        self.end_cooldowns();
    }

    /// Adds departed endpoints whose entries have lasted since the directory was restored from an older copy.
    fn readmit_endpoints(&self, now: Time) {
        let mut state = self.state.borrow_mut();
        let changes = state.catalogue.readmit(now);
        for change in &changes {
            if let EndpointChange::Added(entry) = change {
                state.endpoints.upsert(now, entry.clone());
            }
        }
        drop(state);
        for change in changes {
            self.apply_change(&change, ENTRY_LASTS);
        }
    }

    /// Records that all changes up to a revision are applied.
    pub fn advance_revision(&self, revision: Revision) {
        self.state.borrow_mut().catalogue.advance_to(revision);
    }

    /// Returns the revision after which this daemon still has to read changes of a topic; reports of peers may have
    /// advanced it.
    pub fn known_revision(&self, topic: Topic) -> Revision {
        match topic {
            Topic::Operator => self.state.borrow().operator_until(),
            Topic::Endpoints => self.state.borrow().catalogue.revision(),
        }
    }

    fn apply_change(&self, change: &EndpointChange, source: &str) {
        log_change(change, source);
        if let EndpointChange::Gone(entry) = change {
            self.state.borrow_mut().endpoints.remove(&entry.id);
        }
        self.invalidate_stage_queues();
    }
}

fn log_change(change: &EndpointChange, source: &str) {
    let (event, entry) = match change {
        EndpointChange::Added(entry) => ("endpoint.added", entry),
        EndpointChange::Restarted(entry) => ("endpoint.restarted", entry),
        EndpointChange::Draining(entry) => ("endpoint.draining", entry),
        EndpointChange::Gone(entry) => ("endpoint.gone", entry),
        EndpointChange::Unconfirmed(entry) => ("endpoint.doubted", entry),
    };
    log::info!(
        endpoint:% = entry.id,
        service:% = entry.service,
        address:% = entry.address,
        version = entry.version_name(),
        revision:% = entry.revision,
        source;
        "{event}"
    );
}
