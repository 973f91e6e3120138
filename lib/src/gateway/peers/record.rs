//! The state of one other daemon, as this daemon knows it.

use {
    crate::{
        gateway::{
            peers::message::{Heartbeat, PeerNote, Phase},
            rules::{
                allowed_regions::RegionHash,
                coordinator::{DaemonCandidate, PeerState},
                distance::in_different_regions,
                gossip::RingPosition,
                liveness::{self, LifeSigns},
            },
        },
        shared::{
            ids::HostId,
            units::{Capacity, Millis, Time},
        },
    },
    std::net::SocketAddr,
};

/// A heartbeat and the time at which it was received.
#[derive(Debug, Clone)]
pub(crate) struct ReceivedHeartbeat {
    pub(crate) at: Time,
    pub(crate) heartbeat: Heartbeat,
}

impl ReceivedHeartbeat {
    /// Returns the time since the directory last answered the sender; `None` if the heartbeat doesn't report it.
    pub(crate) fn read_age(&self, now: Time) -> Option<Millis> {
        let read = Millis(u64::from(self.heartbeat.read_ms?));
        let since = Millis(now.since(self.at).as_millis() as u64);
        Some(Millis(since.0 + read.0))
    }
}

/// The record of one other daemon.
#[derive(Debug, Clone)]
pub(crate) struct Peer {
    /// Position on the ring, which decides who watches whom.
    pub(crate) position: RingPosition,
    /// Region of the daemon; `None` until it is known.
    pub(crate) region: Option<RegionHash>,
    /// Set if it is in another region than this daemon.
    pub(crate) is_remote: bool,
    /// Time at which it was last known to exist: when its first mention or a heartbeat was received, or the time of a
    /// sign of life that gossip reported.
    pub(crate) last_mention: Time,
    /// Time of the last sign of life, received here or reported by a third daemon.
    pub(crate) last_sign: Option<Time>,
    pub(crate) last_heartbeat: Option<ReceivedHeartbeat>,
    pub(crate) phase: Phase,
    pub(crate) capacity: Capacity,
    /// Time until which it is excluded as a coordinator.
    pub(crate) excluded_until: Time,
    pub(crate) alive: bool,
    /// Time since which it has been suspect; `None` if it isn't.
    pub(crate) suspect: Option<Time>,
    /// Number of this daemon's heartbeats that reported it as suspect.
    pub(crate) reports_sent: u32,
    /// Time at which a suspicion of it last turned out to be wrong.
    pub(crate) refuted: Option<Time>,
    /// Set if it sends this daemon all its heartbeats.
    pub(crate) expected: bool,
    /// Time at which it was last sent a roster.
    pub(crate) roster_sent: Option<Time>,
    /// Time at which it was asked for a heartbeat that hasn't arrived yet.
    pub(crate) asked: Option<Time>,
}

impl Peer {
    pub(crate) fn new(now: Time, address: SocketAddr) -> Self {
        Self {
            position: RingPosition::new(address),
            region: None,
            is_remote: false,
            last_mention: now,
            last_sign: None,
            last_heartbeat: None,
            phase: Phase::Starting,
            capacity: Capacity::default(),
            excluded_until: Time::default(),
            alive: false,
            suspect: None,
            reports_sent: 0,
            refuted: None,
            expected: false,
            roster_sent: None,
            asked: None,
        }
    }

    /// Sets the daemon's region; `local_region` is the region of this daemon.
    pub(crate) fn set_region(
        &mut self,
        local_region: Option<RegionHash>,
        region: Option<RegionHash>,
    ) {
        self.region = region;
        self.is_remote = in_different_regions(local_region, region);
    }

    /// Clears a suspicion after a sign of life that is recent enough to refute it.
    pub(crate) fn refute(&mut self, now: Time) {
        if self.suspect.take().is_some() {
            self.refuted = Some(now);
            self.reports_sent = 0;
        }
    }

    /// Marks the daemon as suspect if it left a request for a heartbeat unanswered.
    pub(crate) fn update_suspicion(&mut self, now: Time, resumed: Time) {
        if !self.is_overdue(now, resumed) {
            self.asked = None;
        } else if self
            .asked
            .is_some_and(|asked| liveness::is_probe_unanswered(now, asked, resumed))
        {
            self.suspect.get_or_insert(now);
        }
    }

    /// Returns whether the daemon should be asked for a heartbeat.
    pub(crate) fn is_probe_due(&self, now: Time, resumed: Time) -> bool {
        self.asked.is_none() && self.suspect.is_none() && self.is_overdue(now, resumed)
    }

    /// Returns whether the daemon is alive and its heartbeats, which should arrive here, are overdue.
    fn is_overdue(&self, now: Time, resumed: Time) -> bool {
        let heartbeat = self.last_heartbeat.as_ref().map(|last| last.at);
        self.alive && self.expected && liveness::is_probe_due(now, heartbeat, resumed)
    }

    /// Returns whether heartbeats should report the daemon as suspect.
    pub(crate) fn is_suspicion_due(&self, now: Time) -> bool {
        let is_reported = |sign| liveness::is_reported(now, sign);
        self.suspect.is_some() && self.last_sign.is_some_and(is_reported)
    }

    /// Returns whether heartbeats should report that a suspicion of the daemon was refuted.
    pub(crate) fn is_refutation_due(&self, now: Time) -> bool {
        self.alive && self.suspect.is_none() && liveness::refutes(now, self.refuted)
    }

    /// Returns the name of the daemon's host; `None` until a heartbeat was received.
    pub(crate) fn host(&self) -> Option<HostId> {
        let last = self.last_heartbeat.as_ref()?;
        Some(last.heartbeat.host.clone())
    }

    /// Returns whether a heartbeat is no newer than the last received one of the same process.
    pub(crate) fn is_outdated(&self, next: &Heartbeat) -> bool {
        self.last_heartbeat.as_ref().is_some_and(|last| {
            last.heartbeat.run == next.run && last.heartbeat.sequence >= next.sequence
        })
    }

    /// Returns whether a heartbeat comes from another process than the last received one.
    pub(crate) fn is_restart(&self, next: &Heartbeat) -> bool {
        self.last_heartbeat
            .as_ref()
            .is_some_and(|last| last.heartbeat.run != next.run)
    }

    /// Returns the inputs of the liveness rule.
    pub(crate) fn life_signs(&self) -> LifeSigns {
        let last = self.last_heartbeat.as_ref();
        LifeSigns {
            heartbeat: last.map(|last| last.at),
            sign: self.last_sign,
            // A daemon in another region sends few of its heartbeats here, even if it broadcasts in its own.
            broadcasts: !self.is_remote && last.is_some_and(|last| last.heartbeat.broadcasts),
            alive: self.alive,
            suspect: self.suspect,
        }
    }

    /// Returns the inputs of the rule that chooses coordinators.
    pub(crate) fn coordinator_state(&self, address: SocketAddr) -> PeerState {
        PeerState {
            candidate: DaemonCandidate {
                address,
                capacity: self.capacity,
            },
            alive: self.alive,
            ready: self.phase == Phase::Ready,
            excluded_until: self.excluded_until,
        }
    }

    /// Returns the gossip entry about the daemon; `None` without a sign of life.
    pub(crate) fn note(&self, now: Time, address: SocketAddr) -> Option<PeerNote> {
        Some(PeerNote {
            address,
            age_ms: now.since(self.last_sign?).as_millis() as u32,
            phase: self.phase,
            capacity: self.capacity,
            suspect: self.suspect.is_some(),
            region: self.region,
        })
    }
}

impl PeerNote {
    /// Returns the age of the last sign of life at the time the entry was sent.
    pub(crate) fn age(&self) -> Millis {
        Millis(u64::from(self.age_ms))
    }
}
