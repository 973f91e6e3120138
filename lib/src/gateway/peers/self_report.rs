//! What a daemon tells others of itself, and what it sums up of them as a coordinator.

use {
    crate::{
        gateway::{
            dialect::Dialect,
            peers::{
                membership::{Coordinator, SelfReport},
                message::{LoadNote, Phase, QueueNote},
            },
            routing::endpoint_state::{PeerLoad, endpoint_hash, service_hash},
            state::{Gateway, GatewayState},
        },
        shared::{ids::ServiceId, units::Time},
    },
    foldhash::HashMap,
};

impl GatewayState {
    /// Returns what others should know of the stage services that this daemon coordinates.
    fn queue_notes(&self, now: Time, ready: bool) -> Vec<QueueNote> {
        let mine = |service: &ServiceId| {
            self.peers.coordinator(now, service, ready, &[]) == Coordinator::Me
        };
        let total = |service: &ServiceId| {
            let told = self.peers.told_outstanding(service_hash(service));
            self.workload.outstanding(service).saturating_add(told)
        };
        self.planning.notes(now, mine, total)
    }

    /// Returns what all daemons have in flight at the endpoints of the services that this daemon
    /// coordinates.
    pub fn coordinated_loads(&self, now: Time, ready: bool) -> Vec<LoadNote> {
        let Some(published) = &self.published else {
            return Vec::new();
        };
        let told = self.peers.loads();
        published
            .table
            .services()
            .filter(|service| {
                self.peers.coordinator(now, &service.id, ready, &[]) == Coordinator::Me
            })
            .flat_map(|service| self.endpoints.service(&service.id))
            .map(|member| {
                let id = endpoint_hash(&member.entry.id);
                let others = told.get(&id).copied().unwrap_or_default();
                let prefill = member.prefill + others.prefill;
                LoadNote(id, member.running + others.running, prefill as u32)
            })
            .collect()
    }

    /// Takes in what other daemons have in flight: as each of them told it, or as coordinators
    /// summed it up, this daemon's part left out.
    pub fn update_peer_loads(&mut self, now: Time) {
        if self.peers.is_small() {
            let loads = self.peers.loads();
            self.endpoints.set_peer_loads(&loads);
            return;
        }
        self.sums.expire(now);
        let loads: HashMap<u32, PeerLoad> = self.sums.all().collect();
        self.endpoints.set_total_loads(&loads);
    }
}

impl<D: Dialect> Gateway<D> {
    /// Returns what this daemon tells others of itself.
    pub fn beliefs(&self) -> SelfReport {
        let now = self.now();
        let phase = self.phase();
        let state = self.state.borrow();
        let published = state.published.as_ref();
        let loads = state
            .endpoints
            .members()
            .filter(|member| member.running > 0)
            .map(|member| {
                let id = endpoint_hash(&member.entry.id);
                LoadNote(id, member.running, member.prefill as u32)
            })
            .collect();
        let ready = self.may_coordinate();
        let services: Vec<ServiceId> = published
            .iter()
            .flat_map(|published| published.table.services())
            .map(|service| service.id.clone())
            .collect();
        let queues = state.queue_notes(now, ready);
        let reads = state.peers.coordinates() || state.peers.is_small();
        let read_age = state.contact.read_age(now).filter(|_| reads);
        // Others leave a daemon alone as a coordinator that doesn't know them yet.
        let phase = if ready || phase == Phase::Stopping {
            phase
        } else {
            Phase::Starting
        };
        SelfReport {
            phase,
            table: published.map_or(0, |published| published.table.version),
            fingerprint: published.map_or(0, |published| published.fingerprint),
            catalogue: state.catalogue.changed(),
            steady: state.contact.is_steady(now),
            read_ms: read_age.map(|age| u32::try_from(age.0).unwrap_or(u32::MAX)),
            loads,
            queues,
            work: state.workload.notes(),
            services,
        }
    }
}
