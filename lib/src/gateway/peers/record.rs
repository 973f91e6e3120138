//! What is known of one other daemon, and whether it counts as alive.

use {
    crate::{
        gateway::peers::message::{Heartbeat, PeerNote, Phase},
        shared::{
            ids::HostId,
            units::{Capacity, Millis, Time},
        },
    },
    std::net::SocketAddr,
};

/// Time without a heartbeat after which a daemon counts as lost that sends each one to everybody.
const SILENCE: Millis = Millis(1_000);

/// Time without any sign of life after which another daemon counts as lost.
const HEARSAY_SILENCE: Millis = Millis(2_500);

/// Time after which an address that was never heard from, or no longer, is forgotten.
pub(crate) const FORGET: Millis = Millis(60_000);

/// What is known of one other daemon.
#[derive(Debug, Clone)]
pub(crate) struct Peer {
    /// When its address was last told or heard.
    pub(crate) known: Time,
    /// Last sign of life, here or elsewhere.
    pub(crate) seen: Option<Time>,
    pub(crate) phase: Phase,
    pub(crate) capacity: Capacity,
    pub(crate) heard: Option<(Time, Heartbeat)>,
    pub(crate) passed_over_until: Time,
    pub(crate) alive: bool,
}

impl Peer {
    pub(crate) fn new(now: Time) -> Self {
        Self {
            known: now,
            seen: None,
            phase: Phase::Starting,
            capacity: Capacity::default(),
            heard: None,
            passed_over_until: Time::default(),
            alive: false,
        }
    }

    pub(crate) fn host(&self) -> Option<HostId> {
        let (_, heartbeat) = self.heard.as_ref()?;
        Some(heartbeat.host.clone())
    }

    /// Returns whether there has been a sign of life lately. `direct` tells that the daemon should
    /// be heard here itself; nothing counts as silence that fell before `awake`.
    pub(crate) fn has_sign(&self, now: Time, awake: Time, direct: bool) -> bool {
        let broadcasts = self.heard.as_ref().is_some_and(|(_, last)| last.broadcasts);
        let (last, silence) = if direct || broadcasts {
            (self.heard.as_ref().map(|(heard, _)| *heard), SILENCE)
        } else {
            (self.seen, HEARSAY_SILENCE)
        };
        last.is_some_and(|last| now.since(last.max(awake)) <= silence.to_duration())
    }
}

impl PeerNote {
    /// Returns whether the sign of life is recent enough to be worth knowing.
    pub(crate) fn is_recent(&self) -> bool {
        u64::from(self.age_ms) < FORGET.0 / 2
    }
}

/// A change in who is alive; the host is known once it was heard.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PeerChange {
    /// A daemon was heard or heard of for the first time, or again.
    Met(SocketAddr, Option<HostId>),
    /// A daemon started anew since it was last heard.
    Restarted(SocketAddr, Option<HostId>),
    /// A daemon has been silent for too long.
    Lost(SocketAddr, Option<HostId>),
}
