//! What is known of one other daemon, and whether it counts as alive.

use crate::{
    gateway::{
        peers::message::{Heartbeat, PeerNote, Phase},
        rules::liveness::LifeSigns,
    },
    shared::{
        ids::HostId,
        units::{Capacity, Millis, Time},
    },
};

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

    /// Returns what the rule of liveness asks of a daemon.
    pub(crate) fn life_signs(&self) -> LifeSigns {
        LifeSigns {
            heartbeat: self.heard.as_ref().map(|(heard, _)| *heard),
            sign: self.seen,
            broadcasts: self.heard.as_ref().is_some_and(|(_, last)| last.broadcasts),
            alive: self.alive,
        }
    }
}

impl PeerNote {
    /// Returns the age of the sign of life when the note was sent.
    pub(crate) fn age(&self) -> Millis {
        Millis(u64::from(self.age_ms))
    }
}
