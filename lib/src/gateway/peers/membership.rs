//! Membership: the other daemons as this one knows them, and how heartbeats and gossip change
//! that.
//!
//! A daemon starts from a few seed addresses, any of which may be dead, and learns of others from
//! heartbeats and rosters. [`Peers`] owns what is known of each. Its other parts are
//! [`outgoing`](crate::gateway::peers::outgoing) (this daemon's own heartbeat), `queries`, and
//! `reports` (what others report). The rules are
//! [`rules::liveness`](crate::gateway::rules::liveness),
//! [`rules::gossip`](crate::gateway::rules::gossip) and
//! [`rules::coordinator`](crate::gateway::rules::coordinator).

use {
    crate::{
        gateway::{
            peers::{
                far_services::FarServices,
                message::{BacklogNote, Heartbeat, PeerNote},
                peer_change::PeerChange,
                record::{Peer, ReceivedHeartbeat},
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
    /// Data centre.
    pub data_centre: DataCentreId,
    /// Its region; nothing if that isn't known or there is no other one.
    pub region: Option<RegionHash>,
    /// Address for other daemons.
    pub address: SocketAddr,
    /// Number drawn at the start of the process, to tell it from the one before.
    pub run: u64,
    /// Processor that it may use.
    pub capacity: Capacity,
}

/// The other daemons.
#[derive(Debug)]
pub struct Peers {
    pub(super) me: Identity,
    /// This daemon's place among those that watch each other.
    pub(super) place: RingPosition,
    /// Addresses that get a heartbeat as long as no daemon is alive there.
    pub(super) seeds: Vec<SocketAddr>,
    pub(super) known: HashMap<SocketAddr, Peer>,
    /// Number of the last heartbeat.
    pub(super) sequence: u64,
    pub(super) rng: SmallRng,
    /// When the process last woke from a pause.
    pub(super) awake: Time,
    /// Times in which the process stood still.
    pub(crate) standstills: StallLog,
    /// When a heartbeat of any daemon was last received.
    heard: Time,
    /// Daemons that asked this one for a heartbeat, or told it that it is suspect.
    pub(super) questioners: Vec<SocketAddr>,
    /// Heartbeats still to be sent to everybody.
    pub(super) broadcasts_left: u32,
    /// Since when it coordinates services; nothing while it doesn't.
    pub(super) coordinates_since: Option<Time>,
    /// Whether it reads the directory as the coordinator of a service.
    pub(super) reads: bool,
    /// The outstanding work that the last heartbeat reported.
    pub(super) reported_backlogs: Vec<BacklogNote>,
    /// How services stand in other regions, as coordinators of this one tell it.
    pub(super) far_services: FarServices,
}

impl Peers {
    /// Starts with the addresses to meet first.
    pub fn new(me: Identity, seeds: &[SocketAddr]) -> Self {
        let rng = SmallRng::seed_from_u64(me.run);
        let mut peers = Self {
            place: RingPosition::new(me.address),
            me,
            seeds: Vec::new(),
            known: HashMap::default(),
            sequence: 0,
            rng,
            awake: Time::default(),
            standstills: StallLog::default(),
            heard: Time::default(),
            questioners: Vec::new(),
            broadcasts_left: 0,
            coordinates_since: None,
            reads: false,
            reported_backlogs: Vec::new(),
            far_services: FarServices::default(),
        };
        peers.set_seeds(seeds);
        peers
    }

    /// Sets the addresses to meet first; this daemon's own is left out.
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

    /// Returns whether the fleet is so small that every heartbeat goes to everybody.
    pub fn is_small(&self) -> bool {
        gossip::is_small_fleet(self.known.len())
    }

    /// Returns whether this daemon knows no other one, nor where to meet any.
    pub fn is_alone(&self) -> bool {
        self.seeds.is_empty() && self.known.is_empty()
    }

    /// Merges a heartbeat and the gossip in it; one that is older than the last is ignored.
    pub fn receive_heartbeat(&mut self, now: Time, heartbeat: Heartbeat) -> Vec<PeerChange> {
        if heartbeat.address == self.me.address {
            return Vec::new();
        }
        let (address, host) = (heartbeat.address, heartbeat.host.clone());
        let home = self.me.region;
        self.heard = now;
        let peer = self.peer(now, address);
        if peer.is_outdated(&heartbeat) {
            return Vec::new();
        }
        let met = !peer.alive;
        let restarted = peer.is_restart(&heartbeat);
        let notes = heartbeat.peers.clone();
        let asked = heartbeat.asked.clone();
        peer.last_mention = now;
        peer.last_sign = Some(now);
        peer.phase = heartbeat.phase;
        peer.capacity = heartbeat.capacity;
        peer.set_region(home, heartbeat.region);
        peer.last_heartbeat = Some(ReceivedHeartbeat { at: now, heartbeat });
        peer.alive = true;
        peer.refute(now);
        self.note_question(address, &asked, &notes);
        let mut changes = Vec::new();
        if met {
            changes.push(PeerChange::Met(address, Some(host)));
        } else if restarted {
            changes.push(PeerChange::Restarted(address, Some(host)));
        }
        changes.extend(self.merge_roster(now, &notes));
        changes
    }

    /// Merges what another daemon knows of others.
    pub fn merge_roster(&mut self, now: Time, notes: &[PeerNote]) -> Vec<PeerChange> {
        let me = self.me.address;
        let others = || {
            let recent = notes.iter().filter(|note| liveness::is_recent(note.age()));
            recent.filter(move |note| note.address != me)
        };
        // Whether gossip counts depends on the size of the fleet, these daemons included.
        for note in others().filter(|note| !note.suspect) {
            self.peer(now, note.address);
        }
        let listening = self.listening();
        others()
            .filter_map(|note| self.merge_gossip(now, note, listening))
            .collect()
    }

    /// Merges what another daemon knows of a third one.
    fn merge_gossip(
        &mut self,
        now: Time,
        note: &PeerNote,
        listening: ReceiveConditions,
    ) -> Option<PeerChange> {
        let home = self.me.region;
        let peer = self.known.get_mut(&note.address)?;
        let sign = liveness::sign_time(now, note.age());
        peer.set_region(home, note.region.or(peer.region));
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
        if !peer.alive && liveness::is_alive(now, peer.life_signs(), listening) {
            peer.alive = true;
            return Some(PeerChange::Met(note.address, peer.host()));
        }
        None
    }

    /// Records that this process stood still until now: it received nothing, so that nobody who was
    /// alive is lost yet.
    pub fn end_pause(&mut self, now: Time) {
        self.awake = now;
    }

    /// Returns the time for which this process ran since its start, which is when it heard the others.
    pub(crate) fn ran(&self, now: Time) -> Time {
        Time::default() + self.standstills.ran_since(Time::default(), now)
    }

    /// Records who has been silent for too long, and who counts as alive now that the fleet is large
    /// enough for gossip to count; forgets daemons that were lost long ago.
    pub fn update_liveness(&mut self, now: Time) -> Vec<PeerChange> {
        let mut changes = Vec::new();
        let listening = self.listening();
        self.suspect_silent(now);
        for (address, peer) in &mut self.known {
            let was_alive = peer.alive;
            peer.alive = liveness::is_alive(now, peer.life_signs(), listening);
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

    /// Suspects the daemons whose every heartbeat should arrive here, and which are silent.
    fn suspect_silent(&mut self, now: Time) {
        if self.is_small() {
            return;
        }
        let watched = gossip::watched(self.place, &self.watch_places());
        // Everybody of its region sends a coordinator each heartbeat.
        let coordinates = self.coordinates();
        for (address, peer) in &mut self.known {
            peer.expected = (coordinates && !peer.is_far) || watched.contains(address);
            peer.judge_silence(now, self.awake);
        }
    }

    /// Returns the places of the daemons of this region, which watch each other, in no order. Suspects are left out, so that
    /// whoever is watched by them alone has other watchers within a second, not only once they are lost.
    pub(super) fn watch_places(&self) -> Vec<RingPosition> {
        let watching = self
            .known
            .values()
            .filter(|peer| peer.alive && !peer.is_far && peer.suspect.is_none());
        watching.map(|peer| peer.place).collect()
    }

    /// Returns the record of a daemon, a new one if it wasn't known.
    fn peer(&mut self, now: Time, address: SocketAddr) -> &mut Peer {
        self.known
            .entry(address)
            .or_insert_with(|| Peer::new(now, address))
    }

    /// Records that a daemon asks this one for a heartbeat or takes it for suspect: it gets the next one.
    fn note_question(&mut self, from: SocketAddr, asked: &[SocketAddr], notes: &[PeerNote]) {
        let me = self.me.address;
        let is_suspect = notes.iter().any(|note| note.suspect && note.address == me);
        if is_suspect || asked.contains(&me) {
            self.questioners.push(from);
        }
    }

    /// Passes a daemon over as a coordinator for a while: it failed to accept a job.
    pub fn pass_over(&mut self, now: Time, address: &SocketAddr) {
        if let Some(peer) = self.known.get_mut(address) {
            peer.avoid_until = coordinator::excluded_until(now);
        }
    }

    fn listening(&self) -> ReceiveConditions {
        ReceiveConditions {
            small_fleet: self.is_small(),
            resumed: self.awake,
            others: self.known.len(),
            received: self.heard,
        }
    }
}

/// Merges that another daemon takes a third one for suspect, whose last sign of life it knows.
fn merge_suspicion(now: Time, peer: &mut Peer, sign: Time) {
    if liveness::refutes(now, peer.last_sign) {
        peer.refuted = Some(now);
        return;
    }
    peer.last_sign = peer.last_sign.max(Some(sign));
    peer.suspect.get_or_insert(now);
}
