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
                record::Peer,
            },
            rules::{
                catch_up::{self, Offer},
                coordinator::{self, Candidate, PeerStanding},
                gossip,
                liveness::{self, Listening},
            },
            table::Version,
        },
        shared::{
            ids::{DataCentreId, HostId, ServiceId},
            units::{Capacity, Millis, Time},
        },
    },
    foldhash::HashMap,
    rand::{SeedableRng, rngs::SmallRng},
    std::net::SocketAddr,
};

pub use crate::gateway::{
    peers::changes::PeerChange,
    rules::{coordinator::Coordinator, gossip::HEARTBEAT},
};

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
        gossip::did_coordinate(self.broadcasts_left)
    }

    /// Returns all other daemons that are known.
    pub fn addresses(&self) -> impl Iterator<Item = SocketAddr> {
        self.known.keys().copied()
    }

    /// Returns whether every heartbeat goes to everybody.
    pub fn is_small(&self) -> bool {
        gossip::is_small_fleet(self.known.len())
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
        self.broadcasts_left = gossip::broadcasts_left(coordinates, self.broadcasts_left);
        let targets = self.targets(&coordinators);
        let peers = self.notes(now);
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
            loads: gossip::largest_loads(beliefs.loads),
            queues: beliefs.queues,
            work: beliefs.work,
        };
        (heartbeat, targets)
    }

    /// Draws where a heartbeat goes.
    fn targets(&mut self, coordinators: &[Coordinator]) -> Vec<SocketAddr> {
        let known = self.known.keys().copied().collect();
        let mut targets = gossip::draw_targets(known, self.broadcasts_left, &mut self.rng);
        let coordinators = coordinators.iter().filter_map(|one| match one {
            Coordinator::Peer(address) => Some(*address),
            Coordinator::Me => None,
        });
        let unheard = self.seeds.iter().filter(|seed| !self.is_alive(seed));
        gossip::add_targets(&mut targets, coordinators.chain(unheard.copied()));
        targets
    }

    /// Returns whether this daemon has just started; times count from the start of the process.
    pub fn is_joining(&self, now: Time) -> bool {
        liveness::is_joining(now)
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
            let recent = notes.iter().filter(|note| liveness::is_recent(note.age()));
            recent.filter(move |note| note.address != me)
        };
        // Whether hearsay counts depends on the size of the fleet, these daemons included.
        for note in others() {
            self.known.entry(note.address).or_insert(Peer::new(now));
        }
        let listening = self.listening();
        others()
            .filter_map(|note| self.heard_of(now, note, listening))
            .collect()
    }

    /// Draws the daemons that a heartbeat names.
    fn notes(&mut self, now: Time) -> Vec<PeerNote> {
        let mut notes = self.living(now);
        notes.sort_unstable_by_key(|note| note.address);
        gossip::draw_named(&notes, &mut self.rng)
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
    fn heard_of(&mut self, now: Time, note: &PeerNote, listening: Listening) -> Option<PeerChange> {
        let peer = self.known.entry(note.address).or_insert(Peer::new(now));
        let seen = liveness::sign_time(now, note.age());
        if peer.seen.is_some_and(|known| known >= seen) {
            return None;
        }
        peer.known = peer.known.max(seen);
        peer.seen = Some(seen);
        peer.phase = note.phase;
        peer.capacity = note.capacity;
        if !peer.alive && liveness::is_alive(now, peer.life_signs(), listening) {
            peer.alive = true;
            return Some(PeerChange::Met(note.address, peer.host()));
        }
        None
    }

    /// Notes that this process stood still: it couldn't hear anybody, so nobody is lost yet.
    pub fn resumed(&mut self, now: Time) {
        self.awake = now;
    }

    fn listening(&self) -> Listening {
        Listening {
            small_fleet: self.is_small(),
            awake: self.awake,
        }
    }

    /// Notes who has been silent for too long, and who counts as alive now that the fleet is large
    /// enough for hearsay.
    pub fn tick(&mut self, now: Time) -> Vec<PeerChange> {
        let mut changes = Vec::new();
        let listening = self.listening();
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
            .retain(|_, peer| peer.alive || !liveness::is_forgotten(now, peer.known));
        changes
    }

    /// Passes a daemon over as a coordinator for a while: it didn't take on what it was given.
    pub fn pass_over(&mut self, now: Time, address: &SocketAddr) {
        if let Some(peer) = self.known.get_mut(address) {
            peer.passed_over_until = coordinator::passed_over_until(now);
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
    pub fn newer_table(&self, version: Version) -> Option<SocketAddr> {
        let offers = self.alive().map(|heartbeat| Offer {
            address: heartbeat.address,
            revision: heartbeat.table,
        });
        catch_up::newest(offers, version)
    }

    /// Returns a daemon whose list of endpoints is newer than `revision`, the newest first.
    pub fn newer_catalogue(&self, revision: u64) -> Option<SocketAddr> {
        let offers = self.alive().map(|heartbeat| Offer {
            address: heartbeat.address,
            revision: heartbeat.catalogue,
        });
        catch_up::newest(offers, revision)
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
        let me = Candidate {
            address: self.me.address,
            capacity: self.me.capacity,
        };
        let peers = self.known.iter().map(|(address, peer)| PeerStanding {
            candidate: Candidate {
                address: *address,
                capacity: peer.capacity,
            },
            alive: peer.alive,
            ready: peer.phase == Phase::Ready,
            passed_over_until: peer.passed_over_until,
        });
        coordinator::coordinator(now, service, me, ready, peers, except)
    }
}
