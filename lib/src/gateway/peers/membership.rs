//! Membership: this daemon's view of the other daemons, and how heartbeats and gossip update it.
//!
//! A daemon starts from a few seed addresses, any of which may be dead, and learns of others from
//! heartbeats and rosters. [`Peers`] owns one record per daemon. Its other methods are in
//! [`outgoing`](crate::gateway::peers::outgoing) (this daemon's own heartbeat), `queries` (read-only
//! queries), and `reports` (sums of what others report). The rules are
//! [`rules::liveness`](crate::gateway::rules::liveness),
//! [`rules::gossip`](crate::gateway::rules::gossip) and
//! [`rules::coordinator`](crate::gateway::rules::coordinator).

use {
    crate::{
        gateway::{
            peers::{
                message::{BacklogNote, Heartbeat, PeerNote},
                peer_change::PeerChange,
                record::{Peer, ReceivedHeartbeat},
                remote_services::RemoteServices,
            },
            rules::{
                allowed_regions::RegionHash,
                coordinator,
                gossip::{self, RingPosition},
                liveness::{self, ReceiveConditions},
                stall::StallLog,
            },
        },
        shared::{
            ids::{DataCentreId, HostId},
            units::{Capacity, Time},
        },
    },
    foldhash::HashMap,
    rand::{SeedableRng, rngs::SmallRng},
    std::net::SocketAddr,
};

/// Identity of this daemon.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Identity {
    /// Name of the host.
    pub host: HostId,
    /// Data centre of the host.
    pub data_centre: DataCentreId,
    /// Region of the data centre; `None` if it is unknown or the installation has only one.
    pub region: Option<RegionHash>,
    /// Address at which other daemons reach this one.
    pub address: SocketAddr,
    /// Random number drawn when the process starts, which distinguishes it from an earlier process at the same address.
    pub run: u64,
    /// Processor capacity that the daemon may use.
    pub capacity: Capacity,
}

/// This daemon's view of the other daemons.
#[derive(Debug)]
pub struct Peers {
    pub(super) me: Identity,
    /// This daemon's position on the ring, which decides who watches whom.
    pub(super) position: RingPosition,
    /// Addresses that are sent heartbeats as long as no daemon is alive there.
    pub(super) seeds: Vec<SocketAddr>,
    pub(super) known: HashMap<SocketAddr, Peer>,
    /// Sequence number of this daemon's last heartbeat.
    pub(super) sequence: u64,
    pub(super) rng: SmallRng,
    /// Time at which the process last resumed after a pause.
    pub(super) resumed: Time,
    /// Periods in which the process made no progress.
    pub(crate) stalls: StallLog,
    /// Time at which the last heartbeat of any daemon was received.
    last_received: Time,
    /// Daemons that asked this one for a heartbeat, or reported it as suspect; the next heartbeat goes to them.
    pub(super) requesters: Vec<SocketAddr>,
    /// Number of heartbeats still to be sent to all daemons.
    pub(super) broadcasts_left: u32,
    /// Time since which this daemon has coordinated any service; `None` while it coordinates none.
    pub(super) coordinates_since: Option<Time>,
    /// Set if this daemon reads the directory as the coordinator of a service.
    pub(super) reads_directory: bool,
    /// Outstanding pieces that this daemon's last heartbeat reported.
    pub(super) reported_backlogs: Vec<BacklogNote>,
    /// State of stage services in other regions, as coordinators of this region report it.
    pub(super) remote_services: RemoteServices,
}

impl Peers {
    /// Returns a view without daemons, which are discovered through the seed addresses.
    pub fn new(me: Identity, seeds: &[SocketAddr]) -> Self {
        let rng = SmallRng::seed_from_u64(me.run);
        let mut peers = Self {
            position: RingPosition::new(me.address),
            me,
            seeds: Vec::new(),
            known: HashMap::default(),
            sequence: 0,
            rng,
            resumed: Time::default(),
            stalls: StallLog::default(),
            last_received: Time::default(),
            requesters: Vec::new(),
            broadcasts_left: 0,
            coordinates_since: None,
            reads_directory: false,
            reported_backlogs: Vec::new(),
            remote_services: RemoteServices::default(),
        };
        peers.set_seeds(seeds);
        peers
    }

    /// Sets the seed addresses; this daemon's own address is ignored.
    pub fn set_seeds(&mut self, seeds: &[SocketAddr]) {
        let others = seeds.iter().filter(|seed| **seed != self.me.address);
        self.seeds = others.copied().collect();
    }

    /// Sets the region of this daemon's data centre.
    pub fn set_region(&mut self, region: Option<RegionHash>) {
        self.me.region = region;
        for peer in self.known.values_mut() {
            peer.set_region(region, peer.region);
        }
    }

    /// Returns whether the fleet is so small that every heartbeat goes to all daemons.
    pub fn is_small(&self) -> bool {
        gossip::is_small_fleet(self.known.len())
    }

    /// Returns whether this daemon knows neither another daemon nor a seed address.
    pub fn is_alone(&self) -> bool {
        self.seeds.is_empty() && self.known.is_empty()
    }

    /// Merges a heartbeat and the gossip in it. Ignores one that is older than the last of the same process.
    pub fn receive_heartbeat(&mut self, now: Time, heartbeat: Heartbeat) -> Vec<PeerChange> {
        if heartbeat.address == self.me.address {
            return Vec::new();
        }
        let (address, host) = (heartbeat.address, heartbeat.host.clone());
        let local_region = self.me.region;
        self.last_received = now;
        let peer = self.peer(now, address);
        if peer.is_outdated(&heartbeat) {
            return Vec::new();
        }
        let became_alive = !peer.alive;
        let restarted = peer.is_restart(&heartbeat);
        let notes = heartbeat.peers.clone();
        let asked = heartbeat.asked.clone();
        peer.last_mention = now;
        peer.last_sign = Some(now);
        peer.phase = heartbeat.phase;
        peer.capacity = heartbeat.capacity;
        peer.set_region(local_region, heartbeat.region);
        peer.last_heartbeat = Some(ReceivedHeartbeat { at: now, heartbeat });
        peer.alive = true;
        peer.refute(now);
        self.record_probe(address, &asked, &notes);
        let mut changes = Vec::new();
        if became_alive {
            changes.push(PeerChange::Met(address, Some(host)));
        } else if restarted {
            changes.push(PeerChange::Restarted(address, Some(host)));
        }
        changes.extend(self.merge_roster(now, &notes));
        changes
    }

    /// Merges the entries that another daemon sent about others.
    pub fn merge_roster(&mut self, now: Time, notes: &[PeerNote]) -> Vec<PeerChange> {
        let me = self.me.address;
        let others = || {
            let recent = notes.iter().filter(|note| liveness::is_recent(note.age()));
            recent.filter(move |note| note.address != me)
        };
        // Whether gossip counts as a sign of life depends on the size of the fleet, which includes these daemons.
        for note in others().filter(|note| !note.suspect) {
            self.peer(now, note.address);
        }
        let conditions = self.receive_conditions();
        others()
            .filter_map(|note| self.merge_gossip(now, note, conditions))
            .collect()
    }

    /// Merges the entry that another daemon sent about a third one.
    fn merge_gossip(
        &mut self,
        now: Time,
        note: &PeerNote,
        conditions: ReceiveConditions,
    ) -> Option<PeerChange> {
        let local_region = self.me.region;
        let peer = self.known.get_mut(&note.address)?;
        let sign = liveness::sign_time(now, note.age());
        peer.set_region(local_region, note.region.or(peer.region));
        if note.suspect {
            merge_suspicion(now, peer, sign);
            return None;
        }
        if peer.last_sign.is_some_and(|last| last >= sign) {
            return None;
        }
        peer.last_mention = peer.last_mention.max(sign);
        peer.last_sign = Some(sign);
        peer.phase = note.phase;
        peer.capacity = note.capacity;
        if liveness::refutes(now, peer.last_sign) {
            peer.refute(now);
        }
        if !peer.alive && liveness::is_alive(now, peer.life_signs(), conditions) {
            peer.alive = true;
            return Some(PeerChange::Met(note.address, peer.host()));
        }
        None
    }

    /// Records that this process was paused until now. It received nothing in the meantime, so silence doesn't yet
    /// count against daemons that were alive.
    pub fn end_pause(&mut self, now: Time) {
        self.resumed = now;
    }

    /// Returns whether this process resumed after a pause at `time` or later.
    pub(crate) fn resumed_since(&self, time: Time) -> bool {
        self.resumed > Time::default() && self.resumed >= time
    }

    /// Returns how long this process has run since its start, excluding stalls: it can receive heartbeats only while
    /// it runs.
    pub(crate) fn running_time(&self, now: Time) -> Time {
        Time::default() + self.stalls.ran_since(Time::default(), now)
    }

    /// Updates which daemons are alive, and returns what changed. A daemon is lost when it has been silent for too
    /// long; one may become alive when the fleet grows so large that gossip counts. Removes daemons that were lost
    /// long ago.
    pub fn update_liveness(&mut self, now: Time) -> Vec<PeerChange> {
        let mut changes = Vec::new();
        let conditions = self.receive_conditions();
        self.suspect_silent(now);
        for (address, peer) in &mut self.known {
            let was_alive = peer.alive;
            peer.alive = liveness::is_alive(now, peer.life_signs(), conditions);
            match (was_alive, peer.alive) {
                (true, false) => changes.push(PeerChange::Lost(*address, peer.host())),
                (false, true) => changes.push(PeerChange::Met(*address, peer.host())),
                _ => {}
            }
        }
        self.known
            .retain(|_, peer| peer.alive || !liveness::is_forgotten(now, peer.last_mention));
        changes
    }

    /// Marks silent daemons as suspect if they should send this one all their heartbeats.
    fn suspect_silent(&mut self, now: Time) {
        if self.is_small() {
            return;
        }
        let watched = gossip::watched(self.position, &self.watch_positions());
        // A coordinator receives every heartbeat of the daemons in its region.
        let coordinates = self.coordinates();
        for (address, peer) in &mut self.known {
            peer.expected = (coordinates && !peer.is_remote) || watched.contains(address);
            peer.update_suspicion(now, self.resumed);
        }
    }

    /// Returns the ring positions of the living daemons in this region, in no order. Suspects are excluded, so that
    /// a daemon watched only by suspects gets other watchers within a second, and not only once the suspects are lost.
    pub(super) fn watch_positions(&self) -> Vec<RingPosition> {
        let watching = self
            .known
            .values()
            .filter(|peer| peer.alive && !peer.is_remote && peer.suspect.is_none());
        watching.map(|peer| peer.position).collect()
    }

    /// Returns the record of a daemon, and creates one if there is none.
    fn peer(&mut self, now: Time, address: SocketAddr) -> &mut Peer {
        self.known
            .entry(address)
            .or_insert_with(|| Peer::new(now, address))
    }

    /// Records that a daemon asks this one for a heartbeat or reports it as suspect, so that it gets the next one.
    fn record_probe(&mut self, from: SocketAddr, asked: &[SocketAddr], notes: &[PeerNote]) {
        let me = self.me.address;
        let is_suspect = notes.iter().any(|note| note.suspect && note.address == me);
        if is_suspect || asked.contains(&me) {
            self.requesters.push(from);
        }
    }

    /// Excludes a daemon as a coordinator for a time, after it failed to accept a job.
    pub fn exclude_coordinator(&mut self, now: Time, address: &SocketAddr) {
        if let Some(peer) = self.known.get_mut(address) {
            peer.excluded_until = coordinator::excluded_until(now);
        }
    }

    fn receive_conditions(&self) -> ReceiveConditions {
        ReceiveConditions {
            small_fleet: self.is_small(),
            resumed: self.resumed,
            others: self.known.len(),
            received: self.last_received,
        }
    }
}

/// Merges a report that a daemon is suspect. `sign` is its last sign of life that the reporter knows.
fn merge_suspicion(now: Time, peer: &mut Peer, sign: Time) {
    if liveness::refutes(now, peer.last_sign) {
        peer.refuted = Some(now);
        return;
    }
    peer.last_sign = peer.last_sign.max(Some(sign));
    peer.suspect.get_or_insert(now);
}
