//! The other daemons as this one sees them: who is alive, what they know, who coordinates what.
//!
//! A daemon starts from a few addresses, any of which may be dead, and learns of others from
//! heartbeats. In a small fleet every heartbeat goes to everybody. In a larger one the daemons that
//! coordinate a service send to everybody, and all others send to the coordinators and to a few
//! daemons drawn anew each time; heartbeats name daemons with the age of their last sign of life, so
//! that everybody learns of everybody else at a cost that doesn't grow with the fleet.
//!
//! Whether a daemon is alive is each observer's own judgement: a partition makes no daemon dead for
//! those that still hear it.

use {
    crate::{
        gateway::{
            peers::{
                message::{Heartbeat, LoadNote, PROTOCOL, PeerNote, Phase, QueueNote, WorkNote},
                record::{FORGET, Peer},
            },
            table::Version,
        },
        shared::{
            ids::{DataCentreId, HostId, ServiceId},
            units::{Capacity, Millis, Time},
        },
    },
    foldhash::HashMap,
    rand::{SeedableRng, rngs::SmallRng, seq::IndexedRandom},
    std::net::{IpAddr, SocketAddr},
    xxhash_rust::xxh3::xxh3_64_with_seed,
};

pub use crate::gateway::peers::record::PeerChange;

/// Time between two heartbeats.
pub const HEARTBEAT: Millis = Millis(200);

/// Time for which a daemon that failed to take something on is passed over as a coordinator.
const PASSED_OVER: Millis = Millis(1_500);

/// Time after its start during which a daemon asks to be told of everybody.
const JOINING: Millis = Millis(1_500);

/// Largest number of other daemons to which every heartbeat goes.
const SMALL_FLEET: usize = 12;

/// In a larger fleet: daemons drawn for one heartbeat.
const DRAWN: usize = 6;

/// Heartbeats that go to everybody after a daemon stopped to coordinate, so that all learn of it.
const LAST_BROADCASTS: u32 = 3;

/// Daemons that one heartbeat names.
const NAMED: usize = 10;

/// Bytes of an address as it is hashed: an IP number of either kind, and a port.
const IP_SIZE: usize = size_of::<u128>();
const ADDRESS_SIZE: usize = IP_SIZE + size_of::<u16>();

/// Loads that one heartbeat carries, the largest first, so that it fits into a datagram.
const LOADS: usize = 24;

/// What this daemon tells of itself.
#[derive(Debug, Clone, PartialEq)]
pub struct SelfReport {
    /// How far it is.
    pub phase: Phase,
    /// Version of its table; 0 for none.
    pub table: Version,
    /// Fingerprint of its table.
    pub fingerprint: u64,
    /// Revision of the last change in its list of endpoints.
    pub catalogue: u64,
    /// Whether it has reached the directory without a failure for a while.
    pub steady: bool,
    /// Milliseconds since the directory last answered it for every topic.
    pub read_ms: Option<u32>,
    /// What it has in flight.
    pub loads: Vec<LoadNote>,
    /// What it plans.
    pub queues: Vec<QueueNote>,
    /// What it has taken on.
    pub work: Vec<WorkNote>,
    /// The services that have a coordinator.
    pub services: Vec<ServiceId>,
}

/// Who this daemon is.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Identity {
    /// Name of the host.
    pub host: HostId,
    /// Data centre.
    pub data_centre: DataCentreId,
    /// Address for other daemons.
    pub address: SocketAddr,
    /// Tells this life of the process from others.
    pub run: u64,
    /// Processor that it may use.
    pub capacity: Capacity,
}

/// Who coordinates a service: sums up its load, and plans its calls if it is a stage.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Coordinator {
    /// This daemon.
    Me,
    /// Another daemon.
    Peer(SocketAddr),
}

/// The other daemons.
#[derive(Debug)]
pub struct Peers {
    me: Identity,
    seeds: Vec<SocketAddr>,
    pub(crate) known: HashMap<SocketAddr, Peer>,
    sequence: u64,
    rng: SmallRng,
    /// When the process last woke from a pause.
    awake: Time,
    /// Heartbeats still to be sent to everybody.
    broadcasts_left: u32,
    /// What the last heartbeat told of work taken on.
    pub(crate) told_work: Vec<WorkNote>,
}

impl Peers {
    /// Starts with the addresses to meet first.
    pub fn new(me: Identity, seeds: &[SocketAddr]) -> Self {
        let rng = SmallRng::seed_from_u64(me.run);
        let seeds = seeds
            .iter()
            .copied()
            .filter(|seed| *seed != me.address)
            .collect();
        Self {
            me,
            seeds,
            known: HashMap::default(),
            sequence: 0,
            rng,
            awake: Time::default(),
            broadcasts_left: 0,
            told_work: Vec::new(),
        }
    }

    /// Returns whether this daemon coordinated a service when it last told of itself.
    pub fn coordinates(&self) -> bool {
        self.broadcasts_left == LAST_BROADCASTS
    }

    /// Returns all other daemons that are known.
    pub fn addresses(&self) -> impl Iterator<Item = SocketAddr> {
        self.known.keys().copied()
    }

    /// Returns whether every heartbeat goes to everybody.
    pub fn is_small(&self) -> bool {
        self.known.len() <= SMALL_FLEET
    }

    /// Builds the next heartbeat and returns where it goes.
    pub fn heartbeat(&mut self, now: Time, beliefs: SelfReport) -> (Heartbeat, Vec<SocketAddr>) {
        self.sequence += 1;
        let ready = beliefs.phase == Phase::Ready;
        let coordinators: Vec<Coordinator> = beliefs
            .services
            .iter()
            .map(|service| self.coordinator(now, service, ready, &[]))
            .collect();
        let coordinates = ready && coordinators.contains(&Coordinator::Me);
        self.broadcasts_left = if coordinates {
            LAST_BROADCASTS
        } else {
            self.broadcasts_left.saturating_sub(1)
        };
        let targets = self.targets(&coordinators);
        let peers = self.notes(now);
        let mut loads = beliefs.loads;
        loads.sort_unstable_by_key(|note| std::cmp::Reverse((note.2, note.1)));
        loads.truncate(LOADS);
        self.told_work.clone_from(&beliefs.work);
        let heartbeat = Heartbeat {
            protocol: PROTOCOL,
            host: self.me.host.clone(),
            run: self.me.run,
            sequence: self.sequence,
            address: self.me.address,
            data_centre: self.me.data_centre.clone(),
            phase: beliefs.phase,
            table: beliefs.table,
            fingerprint: beliefs.fingerprint,
            catalogue: beliefs.catalogue,
            steady: beliefs.steady,
            read_ms: beliefs.read_ms,
            broadcasts: coordinates,
            capacity: self.me.capacity,
            joining: self.is_joining(now),
            peers,
            loads,
            queues: beliefs.queues,
            work: beliefs.work,
        };
        (heartbeat, targets)
    }

    /// Draws where a heartbeat goes.
    fn targets(&mut self, coordinators: &[Coordinator]) -> Vec<SocketAddr> {
        let mut all: Vec<SocketAddr> = self.known.keys().copied().collect();
        all.sort_unstable();
        let mut targets = if self.is_small() || self.broadcasts_left > 0 {
            all
        } else {
            all.sample(&mut self.rng, DRAWN).copied().collect()
        };
        let coordinators = coordinators.iter().filter_map(|one| match one {
            Coordinator::Peer(address) => Some(*address),
            Coordinator::Me => None,
        });
        let unheard = self.seeds.iter().filter(|seed| !self.is_alive(seed));
        for address in coordinators.chain(unheard.copied()) {
            if !targets.contains(&address) {
                targets.push(address);
            }
        }
        targets
    }

    /// Returns whether this daemon has just started; times count from the start of the process.
    pub fn is_joining(&self, now: Time) -> bool {
        now < Time::default() + JOINING
    }

    /// Returns the living daemons, for one that asks to be told of everybody; nothing in a small
    /// fleet, where everybody is heard soon.
    pub fn roster(&self, now: Time) -> Vec<PeerNote> {
        if self.is_small() {
            return Vec::new();
        }
        self.living(now)
    }

    /// Takes in what another daemon knows of others.
    pub fn take_roster(&mut self, now: Time, notes: &[PeerNote]) -> Vec<PeerChange> {
        let me = self.me.address;
        let others = || {
            let recent = notes.iter().filter(|note| note.is_recent());
            recent.filter(move |note| note.address != me)
        };
        // Whether hearsay counts depends on the size of the fleet, these daemons included.
        for note in others() {
            self.known.entry(note.address).or_insert(Peer::new(now));
        }
        let small = self.is_small();
        others()
            .filter_map(|note| self.heard_of(now, note, small))
            .collect()
    }

    /// Draws the daemons that a heartbeat names.
    fn notes(&mut self, now: Time) -> Vec<PeerNote> {
        let mut notes = self.living(now);
        notes.sort_unstable_by_key(|note| note.address);
        notes.sample(&mut self.rng, NAMED).cloned().collect()
    }

    fn living(&self, now: Time) -> Vec<PeerNote> {
        self.known
            .iter()
            .filter(|(_, peer)| peer.alive)
            .filter_map(|(address, peer)| {
                Some(PeerNote {
                    address: *address,
                    age_ms: now.since(peer.seen?).as_millis() as u32,
                    phase: peer.phase,
                    capacity: peer.capacity,
                })
            })
            .collect()
    }

    /// Takes in a heartbeat.
    pub fn heard(&mut self, now: Time, heartbeat: Heartbeat) -> Vec<PeerChange> {
        if heartbeat.address == self.me.address {
            return Vec::new();
        }
        let mut changes = Vec::new();
        let (address, host) = (heartbeat.address, heartbeat.host.clone());
        let peer = self.known.entry(address).or_insert(Peer::new(now));
        let mut restarted = false;
        if let Some((_, last)) = &peer.heard {
            if last.run == heartbeat.run && last.sequence >= heartbeat.sequence {
                return Vec::new();
            }
            restarted = last.run != heartbeat.run;
        }
        let met = !peer.alive;
        peer.known = now;
        peer.seen = Some(now);
        peer.phase = heartbeat.phase;
        peer.capacity = heartbeat.capacity;
        let notes = heartbeat.peers.clone();
        peer.heard = Some((now, heartbeat));
        peer.alive = true;
        match (met, restarted) {
            (true, _) => changes.push(PeerChange::Met(address, Some(host))),
            (false, true) => changes.push(PeerChange::Restarted(address, Some(host))),
            (false, false) => {}
        }
        changes.extend(self.take_roster(now, &notes));
        changes
    }

    /// Takes in what another daemon knows of a third one.
    fn heard_of(&mut self, now: Time, note: &PeerNote, small: bool) -> Option<PeerChange> {
        let age = Millis(u64::from(note.age_ms));
        let peer = self.known.entry(note.address).or_insert(Peer::new(now));
        let seen = Time(now.0.saturating_sub(age.0 * 1000));
        if peer.seen.is_some_and(|known| known >= seen) {
            return None;
        }
        peer.known = peer.known.max(seen);
        peer.seen = Some(seen);
        peer.phase = note.phase;
        peer.capacity = note.capacity;
        if !peer.alive && peer.has_sign(now, Time::default(), small) {
            peer.alive = true;
            return Some(PeerChange::Met(note.address, peer.host()));
        }
        None
    }

    /// Notes that this process stood still: it couldn't hear anybody, so nobody is lost yet.
    pub fn resumed(&mut self, now: Time) {
        self.awake = now;
    }

    /// Notes who has been silent for too long, and who counts as alive now that the fleet is large
    /// enough for hearsay.
    pub fn tick(&mut self, now: Time) -> Vec<PeerChange> {
        let mut changes = Vec::new();
        let (small, awake) = (self.is_small(), self.awake);
        for (address, peer) in &mut self.known {
            let was_alive = peer.alive;
            // Only a living daemon is excused for what was missed in a pause.
            let awake = if was_alive { awake } else { Time::default() };
            peer.alive = peer.has_sign(now, awake, small);
            match (was_alive, peer.alive) {
                (true, false) => changes.push(PeerChange::Lost(*address, peer.host())),
                (false, true) => changes.push(PeerChange::Met(*address, peer.host())),
                _ => {}
            }
        }
        self.known
            .retain(|_, peer| peer.alive || now.since(peer.known) < FORGET.to_duration());
        changes
    }

    /// Passes a daemon over as a coordinator for a while: it didn't take on what it was given.
    pub fn pass_over(&mut self, now: Time, address: &SocketAddr) {
        if let Some(peer) = self.known.get_mut(address) {
            peer.passed_over_until = now + PASSED_OVER;
        }
    }

    /// Returns whether a daemon is believed alive.
    pub fn is_alive(&self, address: &SocketAddr) -> bool {
        self.known.get(address).is_some_and(|peer| peer.alive)
    }

    /// Returns the number of daemons believed alive, this one included.
    pub fn daemons(&self) -> usize {
        1 + self.known.values().filter(|peer| peer.alive).count()
    }

    /// Returns the last heartbeats of the daemons believed alive that were heard here.
    pub fn alive(&self) -> impl Iterator<Item = &Heartbeat> {
        self.fresh().map(|(_, heartbeat)| heartbeat)
    }

    fn fresh(&self) -> impl Iterator<Item = &(Time, Heartbeat)> {
        self.known
            .values()
            .filter(|peer| peer.alive)
            .filter_map(|peer| peer.heard.as_ref())
    }

    /// Returns whether any daemon has reached the directory without a failure for a while, so that
    /// a failure here is this daemon's own.
    pub fn has_steady_peer(&self) -> bool {
        self.alive().any(|heartbeat| heartbeat.steady)
    }

    /// Returns the time since the directory last answered the daemon that read it last, among those
    /// that tell everybody what they read.
    pub fn read_age(&self, now: Time) -> Option<Millis> {
        self.fresh()
            .filter(|(_, heartbeat)| heartbeat.broadcasts)
            .filter_map(|(heard, heartbeat)| {
                let read = u64::from(heartbeat.read_ms?);
                Some(Millis(now.since(*heard).as_millis() as u64 + read))
            })
            .min()
    }

    /// Returns a daemon whose table is newer than `version`, the newest first.
    pub fn newer_table(&self, version: Version) -> Option<(SocketAddr, Version)> {
        self.alive()
            .filter(|heartbeat| heartbeat.table > version)
            .max_by_key(|heartbeat| heartbeat.table)
            .map(|heartbeat| (heartbeat.address, heartbeat.table))
    }

    /// Returns a daemon whose list of endpoints is newer than `revision`, the newest first.
    pub fn newer_catalogue(&self, revision: u64) -> Option<(SocketAddr, u64)> {
        self.alive()
            .filter(|heartbeat| heartbeat.catalogue > revision)
            .max_by_key(|heartbeat| heartbeat.catalogue)
            .map(|heartbeat| (heartbeat.address, heartbeat.catalogue))
    }

    /// Returns who coordinates a service: one of the daemons with the most processor that serve,
    /// by rendezvous hashing.
    pub fn coordinator(
        &self,
        now: Time,
        service: &ServiceId,
        ready: bool,
        except: &[SocketAddr],
    ) -> Coordinator {
        let seed = xxh3_64_with_seed(service.as_str().as_bytes(), 0);
        let rank = |address: &SocketAddr, capacity: Capacity| {
            let ip = match address.ip() {
                IpAddr::V4(ip) => u128::from(ip.to_bits()),
                IpAddr::V6(ip) => ip.to_bits(),
            };
            let mut bytes = [0; ADDRESS_SIZE];
            bytes[..IP_SIZE].copy_from_slice(&ip.to_be_bytes());
            bytes[IP_SIZE..].copy_from_slice(&address.port().to_be_bytes());
            (capacity, xxh3_64_with_seed(&bytes, seed))
        };
        let best = self
            .known
            .iter()
            .filter(|(_, peer)| peer.alive && peer.phase == Phase::Ready)
            .filter(|(address, peer)| peer.passed_over_until <= now && !except.contains(address))
            .map(|(address, peer)| (rank(address, peer.capacity), *address))
            .max();
        match best {
            Some((best, address)) if !ready || best > rank(&self.me.address, self.me.capacity) => {
                Coordinator::Peer(address)
            }
            _ => Coordinator::Me,
        }
    }
}
