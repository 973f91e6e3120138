//! The record of one other daemon.

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

/// A heartbeat, and when it was received.
#[derive(Debug, Clone)]
pub(crate) struct ReceivedHeartbeat {
    pub(crate) at: Time,
    pub(crate) heartbeat: Heartbeat,
}

impl ReceivedHeartbeat {
    /// Returns the time since the directory last answered, as the heartbeat reports it.
    pub(crate) fn read_age(&self, now: Time) -> Option<Millis> {
        let read = Millis(u64::from(self.heartbeat.read_ms?));
        let since = Millis(now.since(self.at).as_millis() as u64);
        Some(Millis(since.0 + read.0))
    }
}

/// Everything known of one other daemon.
#[derive(Debug, Clone)]
pub(crate) struct Peer {
    /// Its place among those that watch each other.
    pub(crate) place: RingPosition,
    /// Its region, once that is known.
    pub(crate) region: Option<RegionHash>,
    /// It is in another region than this daemon.
    pub(crate) is_far: bool,
    /// When a heartbeat or gossip last gave its address.
    pub(crate) last_mention: Time,
    /// Last sign of life, received here or by a third daemon.
    pub(crate) last_sign: Option<Time>,
    pub(crate) last_heartbeat: Option<ReceivedHeartbeat>,
    pub(crate) phase: Phase,
    pub(crate) capacity: Capacity,
    /// End of the time for which it is passed over as a coordinator.
    pub(crate) avoid_until: Time,
    pub(crate) alive: bool,
    /// Since when it is suspect.
    pub(crate) suspect: Option<Time>,
    /// Heartbeats that named it as a suspect.
    pub(crate) told: u32,
    /// When a suspicion of it last turned out to be wrong.
    pub(crate) refuted: Option<Time>,
    /// Each of its heartbeats should arrive here.
    pub(crate) expected: bool,
    /// When it was last sent a roster.
    pub(crate) roster_sent: Option<Time>,
    /// When it was asked for a heartbeat that hasn't come yet.
    pub(crate) asked: Option<Time>,
}

impl Peer {
    pub(crate) fn new(now: Time, address: SocketAddr) -> Self {
        Self {
            place: RingPosition::new(address),
            region: None,
            is_far: false,
            last_mention: now,
            last_sign: None,
            last_heartbeat: None,
            phase: Phase::Starting,
            capacity: Capacity::default(),
            avoid_until: Time::default(),
            alive: false,
            suspect: None,
            told: 0,
            refuted: None,
            expected: false,
            roster_sent: None,
            asked: None,
        }
    }

    /// Sets its region; `home` is that of this daemon.
    pub(crate) fn set_region(&mut self, home: Option<RegionHash>, region: Option<RegionHash>) {
        self.region = region;
        self.is_far = in_different_regions(home, region);
    }

    /// Records a sign of life that is recent enough to refute a suspicion.
    pub(crate) fn refute(&mut self, now: Time) {
        if self.suspect.take().is_some() {
            self.refuted = Some(now);
            self.told = 0;
        }
    }

    /// Judges its silence.
    pub(crate) fn judge_silence(&mut self, now: Time, awake: Time) {
        if !self.is_unheard(now, awake) {
            self.asked = None;
        } else if self
            .asked
            .is_some_and(|asked| liveness::is_probe_unanswered(now, asked, awake))
        {
            self.suspect.get_or_insert(now);
        }
    }

    /// Returns whether it is to be asked for a heartbeat.
    pub(crate) fn is_question_due(&self, now: Time, awake: Time) -> bool {
        self.asked.is_none() && self.suspect.is_none() && self.is_unheard(now, awake)
    }

    /// Returns whether it lives, and its heartbeats should arrive here and don't.
    fn is_unheard(&self, now: Time, awake: Time) -> bool {
        let heartbeat = self.last_heartbeat.as_ref().map(|last| last.at);
        self.alive && self.expected && liveness::is_probe_due(now, heartbeat, awake)
    }

    /// Returns whether others should be told that it is suspect.
    pub(crate) fn is_suspect_news(&self, now: Time) -> bool {
        let told = |sign| liveness::is_reported(now, sign);
        self.suspect.is_some() && self.last_sign.is_some_and(told)
    }

    /// Returns whether others should be told that it isn't suspect after all.
    pub(crate) fn is_refuted_news(&self, now: Time) -> bool {
        self.alive && self.suspect.is_none() && liveness::refutes(now, self.refuted)
    }

    /// Returns its host, once a heartbeat was received.
    pub(crate) fn host(&self) -> Option<HostId> {
        let last = self.last_heartbeat.as_ref()?;
        Some(last.heartbeat.host.clone())
    }

    /// Returns whether a heartbeat isn't newer than the last one of the same process.
    pub(crate) fn is_outdated(&self, next: &Heartbeat) -> bool {
        self.last_heartbeat.as_ref().is_some_and(|last| {
            last.heartbeat.run == next.run && last.heartbeat.sequence >= next.sequence
        })
    }

    /// Returns whether a heartbeat is of another process than the last one.
    pub(crate) fn is_restart(&self, next: &Heartbeat) -> bool {
        self.last_heartbeat
            .as_ref()
            .is_some_and(|last| last.heartbeat.run != next.run)
    }

    /// Returns the inputs of the rule of liveness.
    pub(crate) fn life_signs(&self) -> LifeSigns {
        let last = self.last_heartbeat.as_ref();
        LifeSigns {
            heartbeat: last.map(|last| last.at),
            sign: self.last_sign,
            // Those of another region send this one few of their heartbeats.
            broadcasts: !self.is_far && last.is_some_and(|last| last.heartbeat.broadcasts),
            alive: self.alive,
            suspect: self.suspect,
        }
    }

    /// Returns the inputs of the rule of coordinators.
    pub(crate) fn standing(&self, address: SocketAddr) -> PeerState {
        PeerState {
            candidate: DaemonCandidate {
                address,
                capacity: self.capacity,
            },
            alive: self.alive,
            ready: self.phase == Phase::Ready,
            excluded_until: self.avoid_until,
        }
    }

    /// Returns the gossip about the daemon; nothing without a sign of life.
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
    /// Returns the age of the sign of life when the note was sent.
    pub(crate) fn age(&self) -> Millis {
        Millis(u64::from(self.age_ms))
    }
}
