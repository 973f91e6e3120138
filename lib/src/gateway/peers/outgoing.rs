//! Builds this daemon's heartbeat and chooses its recipients.

use {
    crate::{
        gateway::{
            directory::evacuations::Evacuations,
            peers::{
                membership::Peers,
                message::{Heartbeat, HeartbeatEras, PROTOCOL, PeerNote, Phase},
                record::Peer,
                self_report::SelfReport,
            },
            revision::Revision,
            rules::{
                allowed_regions::RegionHash,
                coordinator::{self, Coordinator},
                endpoint_reach::RelayPreference,
                gossip::{self, HeartbeatExtras},
                liveness,
            },
        },
        shared::{ids::ServiceId, units::Time},
    },
    rand::seq::{IndexedRandom, SliceRandom},
    std::{collections::BTreeSet, mem, net::SocketAddr},
};

/// A heartbeat and its recipients.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OutgoingHeartbeat {
    /// The heartbeat.
    pub heartbeat: Heartbeat,
    /// Addresses of the daemons that it is sent to, each once.
    pub targets: Vec<SocketAddr>,
}

impl Peers {
    /// Returns whether this daemon coordinated a service when it built its last heartbeat.
    pub fn coordinates(&self) -> bool {
        gossip::did_coordinate(self.broadcasts_left)
    }

    /// Returns whether this daemon read the directory as a coordinator when it built its last heartbeat.
    pub fn reads_directory(&self) -> bool {
        self.reads_directory
    }

    /// Returns whether this daemon has just started; `now` counts from the start of the process.
    pub fn is_joining(&self, now: Time) -> bool {
        liveness::is_joining(now)
    }

    /// Builds the next heartbeat.
    pub fn heartbeat(&mut self, now: Time, report: SelfReport) -> OutgoingHeartbeat {
        self.sequence += 1;
        let coordinators = self.coordinators(now, &report);
        let coordinates =
            report.phase == Phase::Ready && coordinators.contains(&Coordinator::Local);
        self.broadcasts_left = gossip::broadcasts_left(coordinates, self.broadcasts_left);
        self.coordinates_since = coordinates.then(|| self.coordinates_since.unwrap_or(now));
        self.reads_directory = self
            .coordinates_since
            .map(|since| self.stalls.exclude_stalls(since, now))
            .is_some_and(|since| self.is_reader(now, since, &report));
        let asked = self.probe_silent(now);
        let targets = self.targets(now, &report.services, &coordinators, &asked);
        let peers = self.draw_gossip(now, asked.len());
        self.reported_backlogs.clone_from(&report.backlogs);
        let eras = HeartbeatEras {
            table: report.table_until.era,
            list: report.catalogue.era,
            evacuations: report.evacuations.until().era,
        };
        let extras = HeartbeatExtras {
            evacuated: report.evacuations.len(),
            regions: self.me.region.is_some(),
            eras: !eras.are_unnamed(),
            exhausted: report.exhausted,
        };
        let heartbeat = Heartbeat {
            protocol: PROTOCOL,
            host: self.me.host.clone(),
            run: self.me.run,
            sequence: self.sequence,
            address: self.me.address,
            data_centre: self.me.data_centre.clone(),
            region: self.me.region,
            phase: report.phase,
            table: report.table,
            fingerprint: report.fingerprint,
            table_until: Some(report.table_until.number),
            catalogue: report.catalogue.number,
            eras,
            steady: report.steady,
            read_ms: report.read_ms,
            read_by: report.read_by,
            broadcasts: coordinates,
            capacity: self.me.capacity,
            exhausted: report.exhausted,
            joining: self.is_joining(now),
            peers,
            asked,
            loads: gossip::largest_loads(report.loads, extras),
            evacuations: reported_evacuations(report.evacuations),
            queues: report.queues,
            work: report.work,
            backlogs: report.backlogs,
        };
        OutgoingHeartbeat { heartbeat, targets }
    }

    /// Returns living daemons for the roster of one that has just started. Returns none in a small fleet, where
    /// every daemon's heartbeat arrives soon anyway, nor if the daemon was sent a roster a moment ago.
    pub fn roster(&mut self, now: Time, joining: SocketAddr) -> Vec<PeerNote> {
        let last = self.known.get(&joining).and_then(|peer| peer.roster_sent);
        if self.is_small() || !gossip::is_roster_due(now, last) {
            return Vec::new();
        }
        if let Some(peer) = self.known.get_mut(&joining) {
            peer.roster_sent = Some(now);
        }
        gossip::draw_roster(self.living(now), &mut self.rng)
    }

    fn coordinators(&self, now: Time, report: &SelfReport) -> Vec<Coordinator> {
        let ready = report.phase == Phase::Ready;
        report
            .services
            .iter()
            .map(|service| self.coordinator(now, service, ready, &[]))
            .collect()
    }

    /// Returns whether this daemon reads the directory as the coordinator of any service.
    fn is_reader(&self, now: Time, since: Time, report: &SelfReport) -> bool {
        let me = self.candidate();
        let others = || {
            let living = self.known.iter().filter(|(_, peer)| peer.alive);
            let staying = living.filter(|(_, peer)| peer.phase != Phase::Stopping);
            staying.map(|(address, peer)| peer.coordinator_state(*address).candidate)
        };
        let mut services = report.services.iter();
        services.any(|service| coordinator::reads_directory(now, since, service, me, others()))
    }

    /// Draws the recipients of a heartbeat.
    fn targets(
        &mut self,
        now: Time,
        services: &[ServiceId],
        coordinators: &[Coordinator],
        asked: &[SocketAddr],
    ) -> Vec<SocketAddr> {
        let mut targets = self.region_targets();
        if self.broadcasts_left > 0 {
            let remote = self.remote_coordinators(now, services);
            gossip::add_targets(&mut targets, remote.into_iter());
        }
        let requesters = mem::take(&mut self.requesters);
        let coordinators = coordinators.iter().filter_map(|one| match one {
            Coordinator::Peer(address) => Some(*address),
            Coordinator::Local => None,
        });
        let missing_seeds = self.seeds.iter().filter(|seed| !self.is_alive(seed));
        let required = coordinators.chain(missing_seeds.copied());
        let required = required.chain(requesters).chain(asked.iter().copied());
        gossip::add_targets(&mut targets, required);
        targets
    }

    /// Draws the daemons of this region that are sent a heartbeat regardless of their role; in a small fleet all
    /// daemons, also of other regions.
    fn region_targets(&mut self) -> Vec<SocketAddr> {
        if self.is_small() {
            return gossip::draw_targets(self.addresses().collect(), Vec::new(), 0, &mut self.rng);
        }
        let in_region = self.region_addresses().collect();
        let watchers = gossip::watchers(self.position, &self.watch_positions());
        gossip::draw_targets(in_region, watchers, self.broadcasts_left, &mut self.rng)
    }

    /// Returns the regions of other daemons, except this daemon's region.
    pub(super) fn remote_regions(&self) -> BTreeSet<RegionHash> {
        let remote = self.known.values().filter(|peer| peer.is_remote);
        remote.filter_map(|peer| peer.region).collect()
    }

    /// Returns the daemons that coordinate services in other regions.
    fn remote_coordinators(&self, now: Time, services: &[ServiceId]) -> Vec<SocketAddr> {
        let mut coordinators = Vec::new();
        for region in self.remote_regions() {
            let there = services
                .iter()
                .filter_map(|service| self.remote_coordinator(now, service, region, &[]));
            gossip::add_targets(&mut coordinators, there);
        }
        coordinators
    }

    /// Draws recipients for datagrams other than heartbeats, regardless of role; in a small fleet all daemons.
    pub fn draw_any(&mut self) -> Vec<SocketAddr> {
        let known = self.known.keys().copied().collect();
        let watchers = gossip::watchers(self.position, &self.watch_positions());
        gossip::draw_targets(known, watchers, 0, &mut self.rng)
    }

    /// Draws at most `count` of the other daemons that are alive.
    pub(crate) fn draw_living(&mut self, count: usize) -> Vec<SocketAddr> {
        let me = self.local_address();
        let others = self.living_daemons().filter(|address| *address != me);
        let others: Vec<SocketAddr> = others.collect();
        others.sample(&mut self.rng, count).copied().collect()
    }

    /// Draws at most `count` of the other ready daemons for which `may_ask` holds, those of this region first.
    pub(crate) fn draw_relays(
        &mut self,
        count: usize,
        preference: impl Fn(SocketAddr) -> Option<RelayPreference>,
    ) -> Vec<SocketAddr> {
        let ready = self.known.iter().filter_map(|(address, peer)| {
            let is_ready = peer.alive && peer.phase == Phase::Ready;
            let preference = is_ready.then(|| preference(*address)).flatten()?;
            Some(((preference, peer.is_remote), *address))
        });
        let mut ready: Vec<_> = ready.collect();
        ready.shuffle(&mut self.rng);
        ready.sort_by_key(|(order, _)| *order);
        ready.truncate(count);
        ready.into_iter().map(|(_, address)| address).collect()
    }

    /// Draws the silent daemons to ask for a heartbeat, and records that they are asked now.
    fn probe_silent(&mut self, now: Time) -> Vec<SocketAddr> {
        let resumed = self.resumed;
        let silent = self
            .known
            .iter()
            .filter(|(_, peer)| peer.is_probe_due(now, resumed));
        let mut silent: Vec<SocketAddr> = silent.map(|(address, _)| *address).collect();
        silent.sort_unstable();
        let asked = gossip::draw_asked(&silent, &mut self.rng);
        for address in &asked {
            if let Some(peer) = self.known.get_mut(address) {
                peer.asked = Some(now);
            }
        }
        asked
    }

    /// Draws the gossip entries of a heartbeat.
    fn draw_gossip(&mut self, now: Time, asked: usize) -> Vec<PeerNote> {
        let suspects = self.draw_suspects(now);
        let refuted = self.notes(now, |peer| peer.is_refutation_due(now));
        let living = self.notes(now, |peer| {
            peer.alive && peer.suspect.is_none() && !peer.is_refutation_due(now)
        });
        gossip::draw_named(suspects, asked, &refuted, &living, &mut self.rng)
    }

    /// Returns the suspects to report in a heartbeat: those reported least often so far, so that new suspicions spread
    /// first.
    fn draw_suspects(&mut self, now: Time) -> Vec<PeerNote> {
        let mut suspects = self.notes(now, |peer| peer.is_suspicion_due(now));
        suspects.shuffle(&mut self.rng);
        suspects.sort_by_key(|note| self.known.get(&note.address).map(|peer| peer.reports_sent));
        suspects.truncate(gossip::MAX_SUSPECTS);
        for note in &suspects {
            if let Some(peer) = self.known.get_mut(&note.address) {
                peer.reports_sent += 1;
            }
        }
        suspects
    }

    fn living(&self, now: Time) -> Vec<PeerNote> {
        self.notes(now, |peer| peer.alive)
    }

    /// Returns gossip entries about the chosen daemons, ordered by address.
    fn notes(&self, now: Time, chosen: impl Fn(&Peer) -> bool) -> Vec<PeerNote> {
        let peers = self.known.iter().filter(|(_, peer)| chosen(peer));
        let mut notes: Vec<PeerNote> = peers
            .filter_map(|(address, peer)| peer.note(now, *address))
            .collect();
        notes.sort_unstable_by_key(|note| note.address);
        notes
    }
}

/// Returns the evacuations to report in a heartbeat; `None` if none was ever received, or if there are too many.
fn reported_evacuations(known: Evacuations) -> Option<Evacuations> {
    (known.until() > Revision::default() && gossip::reports_evacuations(known.len()))
        .then_some(known)
}
