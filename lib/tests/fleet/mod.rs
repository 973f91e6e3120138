//! A simulated fleet of daemons that exchange only heartbeats, in virtual time.

#![allow(dead_code, reason = "each test file uses a part")]
#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use {
    hazelyoke_lib::{
        gateway::{
            directory::evacuations::Evacuations,
            peers::{
                membership::{Identity, Peers},
                message::{Heartbeat, Phase, encode},
                outgoing::OutgoingHeartbeat,
                peer_change::PeerChange,
                self_report::SelfReport,
            },
            rules::{allowed_regions::RegionHash, coordinator::Coordinator, gossip::HEARTBEAT},
        },
        shared::{
            ids::ServiceId,
            units::{Capacity, Time},
        },
    },
    std::net::SocketAddr,
};

const SERVICES: [&str; 5] = ["assist", "pay", "encode", "retrieve", "rerank"];
pub const STRONG: Capacity = Capacity(500);
pub const WEAK: Capacity = Capacity(120);

/// One of this many daemons has the capacity [`STRONG`], the others have [`WEAK`].
const STRONG_EVERY: usize = 10;

/// Numbers of the daemons whose addresses are the seeds of every daemon; the fleet may be too small for some.
const SEEDS: [usize; 3] = [99, 3, 70];

pub fn address(number: usize) -> SocketAddr {
    let [high, low] = (number as u16).to_be_bytes();
    SocketAddr::from(([10, 0, high, low], 7_000))
}

pub fn services() -> Vec<ServiceId> {
    SERVICES.iter().map(|name| name.parse().unwrap()).collect()
}

/// Returns the report of a ready daemon without state of services or loads.
pub fn plain_report(read_ms: Option<u32>) -> SelfReport {
    SelfReport {
        phase: Phase::Ready,
        table: 1,
        fingerprint: 0,
        table_until: 0.into(),
        evacuations: Evacuations::default(),
        exhausted: false,
        catalogue: 0.into(),
        steady: true,
        read_ms,
        read_by: None,
        loads: Vec::new(),
        queues: Vec::new(),
        work: Vec::new(),
        backlogs: Vec::new(),
        services: services(),
    }
}

/// Number of datagrams, and the sum of their sizes in bytes.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Traffic {
    pub datagrams: usize,
    pub bytes: usize,
}

impl Traffic {
    fn add(&mut self, bytes: usize) {
        self.datagrams += 1;
        self.bytes += bytes;
    }
}

/// A fleet in which some hosts may be down and some datagrams may be lost.
pub struct Fleet {
    pub daemons: Vec<Peers>,
    pub down: Vec<bool>,
    pub now: Time,
    /// Number of heartbeats received by each daemon.
    pub received: Vec<usize>,
    /// How often a living daemon was considered lost.
    pub false_losses: usize,
    /// Number of regions, to which the daemons are assigned in turn.
    regions: usize,
    /// Traffic to daemons of another region.
    pub remote_traffic: Traffic,
    /// The phase that each daemon reports.
    pub phases: Vec<Phase>,
    report: SelfReport,
}

impl Fleet {
    /// Creates a fleet in which all daemons send the same report.
    pub fn new(seed: u64, daemons: usize, report: SelfReport) -> Self {
        Self::in_regions(seed, daemons, 1, report)
    }

    /// Creates a fleet whose daemons are assigned to `regions` regions in turn.
    pub fn in_regions(seed: u64, daemons: usize, regions: usize, report: SelfReport) -> Self {
        let seeds = SEEDS.map(address);
        let members = (0..daemons)
            .map(|number| {
                let me = Identity {
                    host: format!("h{number}").parse().unwrap(),
                    data_centre: "z".parse().unwrap(),
                    region: (regions > 1).then(|| RegionHash((number % regions) as u32)),
                    address: address(number),
                    run: seed * 10_000 + number as u64,
                    capacity: capacity(number),
                };
                Peers::new(me, &seeds)
            })
            .collect();
        Self {
            daemons: members,
            down: vec![false; daemons],
            now: Time(0),
            received: vec![0; daemons],
            false_losses: 0,
            regions,
            remote_traffic: Traffic::default(),
            phases: vec![Phase::Ready; daemons],
            report,
        }
    }

    /// Sends one heartbeat from each living daemon; `lost` returns which datagrams are lost, by sender and recipient.
    pub fn round(&mut self, mut lost: impl FnMut(usize, usize) -> bool) {
        self.now = self.now + HEARTBEAT;
        for sender in self.living() {
            let changes = self.daemons[sender].update_liveness(self.now);
            self.count_losses(&changes);
            let report = self.report(sender);
            let OutgoingHeartbeat { heartbeat, targets } =
                self.daemons[sender].heartbeat(self.now, report);
            self.deliver(sender, &heartbeat, &targets, &mut lost);
        }
    }

    fn report(&self, daemon: usize) -> SelfReport {
        SelfReport {
            phase: self.phases[daemon],
            ..self.report.clone()
        }
    }

    fn deliver(
        &mut self,
        sender: usize,
        heartbeat: &Heartbeat,
        targets: &[SocketAddr],
        lost: &mut impl FnMut(usize, usize) -> bool,
    ) {
        let bytes = encode(heartbeat).len();
        for target in targets {
            let receiver = number(*target);
            if self.down.get(receiver).is_none_or(|down| *down) {
                continue;
            }
            if self.region(sender) != self.region(receiver) {
                self.remote_traffic.add(bytes);
            }
            if !lost(sender, receiver) {
                self.received[receiver] += 1;
                self.daemons[receiver].receive_heartbeat(self.now, heartbeat.clone());
                if heartbeat.joining {
                    let roster = self.daemons[receiver].roster(self.now, heartbeat.address);
                    self.daemons[sender].merge_roster(self.now, &roster);
                }
            }
        }
    }

    /// Returns the index of a daemon's region.
    pub fn region(&self, daemon: usize) -> usize {
        daemon % self.regions
    }

    pub fn rounds(&mut self, count: usize) {
        for _ in 0..count {
            self.round(|_, _| false);
        }
    }

    pub fn coordinator(&self, daemon: usize, service: &ServiceId) -> usize {
        match self.daemons[daemon].coordinator(self.now, service, true, &[]) {
            Coordinator::Local => daemon,
            Coordinator::Peer(peer) => number(peer),
        }
    }

    pub fn living(&self) -> Vec<usize> {
        (0..self.down.len())
            .filter(|daemon| !self.down[*daemon])
            .collect()
    }

    pub fn assert_agreed(&self) {
        for service in services() {
            let first = self.coordinator(self.living()[0], &service);
            assert!(
                !self.down[first],
                "{service} is coordinated by a daemon that is down"
            );
            for daemon in self.living() {
                assert_eq!(
                    self.coordinator(daemon, &service),
                    first,
                    "{service} at {daemon}"
                );
            }
        }
    }

    fn count_losses(&mut self, changes: &[PeerChange]) {
        for change in changes {
            if let PeerChange::Lost(peer, _) = change {
                self.false_losses += usize::from(!self.down[number(*peer)]);
            }
        }
    }
}

pub fn capacity(number: usize) -> Capacity {
    if number.is_multiple_of(STRONG_EVERY) {
        STRONG
    } else {
        WEAK
    }
}

/// Returns the number of the daemon at an address.
fn number(address: SocketAddr) -> usize {
    match address {
        SocketAddr::V4(address) => {
            let [.., high, low] = address.ip().octets();
            usize::from(u16::from_be_bytes([high, low]))
        }
        SocketAddr::V6(_) => unreachable!("all have an IPv4 address"),
    }
}
