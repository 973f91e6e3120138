//! The other daemons as this one sees them: who is alive, what they know, who plans for whom.
//!
//! A daemon starts from a few addresses, any of which may be dead, and learns of others from
//! heartbeats. Whether a daemon is alive is each observer's own judgement: a partition makes no
//! daemon dead for those that still hear it.

use {
    crate::{
        gateway::{
            fleet::PeerLoad,
            peer_message::{Heartbeat, LoadNote, PROTOCOL, PeerNote, Phase, QueueNote, WorkNote},
            table::Version,
        },
        ids::{DataCentreId, HostId, ServiceId},
        units::{Millis, Time},
    },
    foldhash::HashMap,
    rand::{SeedableRng, rngs::SmallRng, seq::IndexedRandom},
    std::net::SocketAddr,
    xxhash_rust::xxh3::xxh3_64,
};

/// Time between two heartbeats.
pub const HEARTBEAT: Millis = Millis(200);

/// Time without a heartbeat after which a daemon counts as lost.
const SILENCE: Millis = Millis(1_000);

/// Time after which an address that was never heard from, or no longer, is forgotten.
const FORGET: Millis = Millis(60_000);

/// Daemons that one heartbeat goes to, and daemons that it names.
const FANOUT: usize = 12;
const NAMED: usize = 8;

/// Loads that one heartbeat carries, the largest first, so that it fits into a datagram.
const LOADS: usize = 32;

/// What this daemon tells of itself.
#[derive(Debug, Clone, PartialEq)]
pub struct Beliefs {
    /// How far it is.
    pub phase: Phase,
    /// Version of its table; 0 for none.
    pub table: Version,
    /// Fingerprint of its table.
    pub fingerprint: u64,
    /// Revision of its list of endpoints.
    pub catalogue: u64,
    /// Whether it has reached the directory without a failure for a while.
    pub calm: bool,
    /// What it has in flight.
    pub loads: Vec<LoadNote>,
    /// What it plans.
    pub queues: Vec<QueueNote>,
    /// What it has taken on.
    pub work: Vec<WorkNote>,
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
}

#[derive(Debug, Clone)]
struct Peer {
    /// When its address was last told or heard.
    known: Time,
    heard: Option<(Time, Heartbeat)>,
    alive: bool,
}

/// A change in who is alive.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PeerChange {
    /// A daemon was heard for the first time, or again.
    Met(SocketAddr, HostId),
    /// A daemon started anew since it was last heard.
    Restarted(SocketAddr, HostId),
    /// A daemon has been silent for too long.
    Lost(SocketAddr, HostId),
}

/// Who plans for a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Planner {
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
    known: HashMap<SocketAddr, Peer>,
    sequence: u64,
    rng: SmallRng,
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
        }
    }

    /// Builds the next heartbeat and returns where it goes.
    pub fn heartbeat(&mut self, now: Time, beliefs: Beliefs) -> (Heartbeat, Vec<SocketAddr>) {
        self.sequence += 1;
        let mut targets: Vec<SocketAddr> = self.known.keys().copied().collect();
        targets.sort_unstable();
        let mut targets: Vec<SocketAddr> = targets.sample(&mut self.rng, FANOUT).copied().collect();
        for seed in &self.seeds {
            if !self.is_alive(seed) && !targets.contains(seed) {
                targets.push(*seed);
            }
        }
        let mut notes: Vec<PeerNote> = self
            .known
            .iter()
            .filter_map(|(address, peer)| {
                let (heard, _) = peer.heard.as_ref()?;
                Some(PeerNote {
                    address: *address,
                    age_ms: now.since(*heard).as_millis() as u32,
                })
            })
            .collect();
        notes.sort_unstable_by_key(|note| note.address);
        let peers = notes.sample(&mut self.rng, NAMED).cloned().collect();
        let mut loads = beliefs.loads;
        loads.sort_unstable_by_key(|note| std::cmp::Reverse((note.2, note.1)));
        loads.truncate(LOADS);
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
            calm: beliefs.calm,
            peers,
            loads,
            queues: beliefs.queues,
            work: beliefs.work,
        };
        (heartbeat, targets)
    }

    /// Takes in a heartbeat.
    pub fn heard(&mut self, now: Time, heartbeat: Heartbeat) -> Option<PeerChange> {
        if heartbeat.address == self.me.address {
            return None;
        }
        for note in &heartbeat.peers {
            let fresh = u64::from(note.age_ms) < FORGET.0 / 2;
            if fresh && note.address != self.me.address {
                self.known.entry(note.address).or_insert(Peer {
                    known: now,
                    heard: None,
                    alive: false,
                });
            }
        }
        let (address, host) = (heartbeat.address, heartbeat.host.clone());
        let peer = self.known.entry(address).or_insert(Peer {
            known: now,
            heard: None,
            alive: false,
        });
        let mut restarted = false;
        if let Some((_, last)) = &peer.heard {
            if last.run == heartbeat.run && last.sequence >= heartbeat.sequence {
                return None;
            }
            restarted = last.run != heartbeat.run;
        }
        let met = !peer.alive;
        peer.known = now;
        peer.heard = Some((now, heartbeat));
        peer.alive = true;
        match (met, restarted) {
            (true, _) => Some(PeerChange::Met(address, host)),
            (false, true) => Some(PeerChange::Restarted(address, host)),
            (false, false) => None,
        }
    }

    /// Notes that this process stood still: it couldn't hear anybody, so nobody is lost yet.
    pub fn resumed(&mut self, now: Time) {
        for peer in self.known.values_mut().filter(|peer| peer.alive) {
            if let Some((heard, _)) = &mut peer.heard {
                *heard = now;
            }
        }
    }

    /// Notes who has been silent for too long.
    pub fn tick(&mut self, now: Time) -> Vec<PeerChange> {
        let mut lost = Vec::new();
        for (address, peer) in &mut self.known {
            let Some((heard, heartbeat)) = &peer.heard else {
                continue;
            };
            if peer.alive && now.since(*heard) > SILENCE.to_duration() {
                peer.alive = false;
                lost.push(PeerChange::Lost(*address, heartbeat.host.clone()));
            }
        }
        self.known
            .retain(|_, peer| peer.alive || now.since(peer.known) < FORGET.to_duration());
        lost
    }

    /// Returns whether a daemon is believed alive.
    pub fn is_alive(&self, address: &SocketAddr) -> bool {
        self.known.get(address).is_some_and(|peer| peer.alive)
    }

    /// Returns the number of daemons believed alive, this one included.
    pub fn daemons(&self) -> usize {
        1 + self.alive().count()
    }

    /// Returns the last heartbeats of the daemons believed alive.
    pub fn alive(&self) -> impl Iterator<Item = &Heartbeat> {
        self.known
            .values()
            .filter(|peer| peer.alive)
            .filter_map(|peer| peer.heard.as_ref())
            .map(|(_, heartbeat)| heartbeat)
    }

    /// Returns whether any daemon has reached the directory without a failure for a while, so that
    /// a failure here is this daemon's own.
    pub fn is_any_calm(&self) -> bool {
        self.alive().any(|heartbeat| heartbeat.calm)
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

    /// Returns who plans for a service: by rendezvous hashing over the daemons that serve.
    pub fn planner(&self, service: &ServiceId, ready: bool, except: &[SocketAddr]) -> Planner {
        let weight = |address: &SocketAddr| {
            let text = format!("{address}/{service}");
            xxh3_64(text.as_bytes())
        };
        let best = self
            .alive()
            .filter(|heartbeat| heartbeat.phase == Phase::Ready)
            .map(|heartbeat| heartbeat.address)
            .filter(|address| !except.contains(address))
            .max_by_key(weight);
        match best {
            Some(address) if !ready || weight(&address) > weight(&self.me.address) => {
                Planner::Peer(address)
            }
            _ => Planner::Me,
        }
    }

    /// Sums up what other daemons have in flight, by endpoint.
    pub fn loads(&self) -> HashMap<u32, PeerLoad> {
        let mut sums: HashMap<u32, PeerLoad> = HashMap::default();
        for LoadNote(endpoint, running, prefill) in self.alive().flat_map(|h| &h.loads) {
            let sum = sums.entry(*endpoint).or_default();
            sum.running += u32::from(*running);
            sum.prefill += f64::from(*prefill);
        }
        sums
    }

    /// Returns the endpoints of a service that take calls, as the daemon says that plans for it.
    pub fn sound_endpoints(&self, service: u32) -> Option<usize> {
        let notes = self.alive().flat_map(|heartbeat| &heartbeat.queues);
        notes
            .filter(|note| note.0 == service)
            .map(|note| note.1 as usize)
            .max()
    }

    /// Returns whether the endpoints of a service are short of room for results, as others say.
    pub fn is_short_of_room(&self, service: u32) -> bool {
        let mut notes = self.alive().flat_map(|heartbeat| &heartbeat.queues);
        notes.any(|note| note.0 == service && note.2)
    }

    /// Returns the pieces of a service that other daemons have taken on.
    pub fn outstanding(&self, service: u32) -> u32 {
        let notes = self.alive().flat_map(|heartbeat| &heartbeat.work);
        notes
            .filter(|note| note.0 == service)
            .map(|note| note.1)
            .fold(0, u32::saturating_add)
    }
}
