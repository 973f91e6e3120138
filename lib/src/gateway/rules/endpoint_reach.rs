//! Decides on which path this host connects to an endpoint: directly, or through another daemon.
//!
//! Inputs: the endpoints to which connections succeeded or failed, on which path and when; the daemons that couldn't
//! relay a connection.
//!
//! Rule: an endpoint that was reached through another daemon after a direct connection failed is connected that way
//! until a direct connection succeeds again. The host counts as isolated once direct connections to `ISOLATED_AFTER`
//! different endpoints have failed, although the endpoints hadn't ended, and none has succeeded since the first of these
//! failures; all endpoints are then connected through another daemon first. While an isolated host finds no daemon that
//! relays, connections to the endpoints that it has failed to reach aren't tried for `NO_RELAY_PAUSE`. A relay states
//! that an endpoint can't be reached only if it reached another one within `REACHED_LATELY` or reaches one now. Daemons
//! known to relay without marking the end of an endpoint's connection are asked last: a reply without a length can't be
//! told from a cut one behind them.
//!
//! Reason: a failed connection looks the same whether the endpoint has ended or this host is partitioned from it. Only
//! another host can tell. In a partition that drops packets, each direct attempt costs the whole connect timeout.
//!
//! Tests: `lib/tests/test_endpoint_reach.rs`.

use {
    crate::{
        gateway::directory::endpoint_entry::EndpointIncarnation,
        shared::units::{Millis, Time},
    },
    foldhash::{HashMap, HashSet},
    std::{collections::BTreeSet, net::SocketAddr, ops::Bound, time::Duration},
};

/// Number of endpoints to which connections have to fail in a row until the host counts as isolated.
const ISOLATED_AFTER: usize = 3;

/// Time without an answer after which a connection is also tried through another daemon. Several round trips between
/// regions.
pub const RELAY_DELAY: Duration = Duration::from_millis(100);

/// Maximum number of daemons that are asked to relay one connection.
pub const MAX_RELAYS: usize = 4;

/// Time for which a daemon that couldn't relay isn't asked again.
const RELAY_EXCLUSION: Millis = Millis(1_000);

/// Time after a direct connection succeeded within which the failure of another one isn't taken for a partition.
const REACHED_LATELY: Millis = Millis(1_000);

/// Number of other endpoints that a relay probes to find out whether it is partitioned itself.
pub const OTHER_PROBES: usize = 3;

/// Time for which connections aren't tried after no daemon was found that relays.
const NO_RELAY_PAUSE: Millis = Millis(300);

/// Interval between probes for direct paths.
pub const PROBE_INTERVAL: Duration = Duration::from_millis(400);

/// Number of endpoints that are probed at once as long as no probe succeeds.
const MIN_PROBES: usize = 4;

/// Maximum number of endpoints that are probed at once.
const MAX_PROBES: usize = 64;

/// Maximum number of connections that a daemon relays at the same time. Each uses two file descriptors.
pub const MAX_RELAYED: usize = 256;

/// The paths to an endpoint, in the order in which they are tried.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PathOrder {
    /// Directly, and through another daemon if that fails or takes long.
    DirectFirst,
    /// Through another daemon, and directly if there is none.
    RelayFirst,
    /// Neither path is tried.
    Closed,
}

/// The order in which daemons are asked to relay.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum RelayPreference {
    /// The daemon marks the end of an endpoint's connection, or hasn't relayed one yet.
    Usual,
    /// The daemon doesn't mark the end.
    Unmarked,
}

/// What this host knows of its paths to the endpoints.
#[derive(Debug, Default)]
pub struct EndpointReach {
    /// Endpoints to which direct connections failed since one last succeeded.
    failed: BTreeSet<EndpointIncarnation>,
    /// Time since which the host has been isolated; `None` if it isn't.
    isolated_since: Option<Time>,
    /// Time at which a direct connection last succeeded.
    last_connected: Option<Time>,
    /// Endpoints that are connected through another daemon.
    relayed: BTreeSet<EndpointIncarnation>,
    /// Set while the relayed endpoints are probed for a direct path.
    is_probing: bool,
    /// The relayed endpoint that was probed last.
    last_probed: Option<EndpointIncarnation>,
    /// Daemons that aren't asked to relay, and until when.
    excluded_relays: HashMap<SocketAddr, Time>,
    /// Daemons that don't mark the end of an endpoint's connection.
    unmarked_relays: HashSet<SocketAddr>,
    /// End of the pause after no daemon was found that relays.
    paused_until: Time,
}

impl EndpointReach {
    /// Returns whether the host is isolated.
    pub fn is_isolated(&self) -> bool {
        self.isolated_since.is_some()
    }

    /// Returns whether an endpoint is connected through another daemon.
    pub fn is_relayed(&self, endpoint: &EndpointIncarnation) -> bool {
        self.is_isolated() || self.relayed.contains(endpoint)
    }

    /// Returns the number of endpoints that are connected through another daemon.
    pub fn relayed(&self) -> usize {
        self.relayed.len()
    }

    /// Returns the order in which the paths to an endpoint are tried.
    pub fn order(&self, now: Time, endpoint: &EndpointIncarnation) -> PathOrder {
        if !self.is_relayed(endpoint) {
            return PathOrder::DirectFirst;
        }
        let is_paused = self.is_isolated() && now < self.paused_until;
        if is_paused && self.failed.contains(endpoint) {
            return PathOrder::Closed;
        }
        PathOrder::RelayFirst
    }

    /// Records that a direct connection to an endpoint failed that hasn't ended. Returns the number of endpoints that
    /// weren't reached if the host is isolated from now on.
    pub fn record_failed(&mut self, now: Time, endpoint: EndpointIncarnation) -> Option<usize> {
        self.failed.insert(endpoint);
        if self.is_isolated() || self.failed.len() < ISOLATED_AFTER {
            return None;
        }
        self.isolated_since = Some(now);
        Some(self.failed.len())
    }

    /// Records that a direct connection to an endpoint succeeded. Returns how long the host was isolated if it was until
    /// now.
    pub fn record_connected(
        &mut self,
        now: Time,
        endpoint: &EndpointIncarnation,
    ) -> Option<Duration> {
        self.failed.clear();
        self.last_connected = Some(now);
        self.relayed.remove(endpoint);
        let since = self.isolated_since.take()?;
        Some(now.since(since))
    }

    /// Returns whether a direct connection succeeded so lately that the failure of another one is due to its endpoint.
    pub fn reached_lately(&self, now: Time) -> bool {
        let last = self.last_connected;
        last.is_some_and(|last| now.since(last) <= REACHED_LATELY.to_duration())
    }

    /// Records that an endpoint was reached through another daemon; returns whether that is new.
    pub fn record_relayed(&mut self, endpoint: EndpointIncarnation) -> bool {
        self.relayed.insert(endpoint)
    }

    /// Returns whether probes have to start because none are under way. They end when [`next_probes`](Self::next_probes)
    /// returns no endpoint.
    pub fn begin_probes(&mut self) -> bool {
        !std::mem::replace(&mut self.is_probing, true)
    }

    /// Forgets an endpoint that is gone.
    pub fn forget(&mut self, endpoint: &EndpointIncarnation) {
        self.failed.remove(endpoint);
        self.relayed.remove(endpoint);
    }

    /// Records that a daemon couldn't relay.
    pub fn exclude_relay(&mut self, now: Time, relay: SocketAddr) {
        self.excluded_relays.retain(|_, until| *until > now);
        self.excluded_relays.insert(relay, now + RELAY_EXCLUSION);
    }

    /// Records whether a daemon that relayed a connection marks the end of the endpoint's connection.
    pub fn record_protocol(&mut self, relay: SocketAddr, marks_end: bool) {
        if marks_end {
            self.unmarked_relays.remove(&relay);
        } else {
            self.unmarked_relays.insert(relay);
        }
    }

    /// Returns how soon a daemon is asked to relay; `None` if it isn't asked.
    pub fn relay_preference(&self, now: Time, relay: SocketAddr) -> Option<RelayPreference> {
        let excluded = self.excluded_relays.get(&relay);
        if excluded.is_some_and(|until| *until > now) {
            return None;
        }
        if self.unmarked_relays.contains(&relay) {
            return Some(RelayPreference::Unmarked);
        }
        Some(RelayPreference::Usual)
    }

    /// Records that no daemon was found that relays, and that a direct connection failed.
    pub fn record_no_relay(&mut self, now: Time) {
        self.paused_until = now + NO_RELAY_PAUSE;
    }

    /// Returns the next `count` endpoints to probe for a direct path, in turn.
    pub fn next_probes(&mut self, count: usize) -> Vec<EndpointIncarnation> {
        let last = self.last_probed.take();
        let after = last.map_or(Bound::Unbounded, Bound::Excluded);
        let rest = self.relayed.range((after.clone(), Bound::Unbounded));
        let due = rest.chain(&self.relayed);
        let due: Vec<_> = due.take(count.min(self.relayed.len())).cloned().collect();
        self.last_probed = due.last().cloned();
        self.is_probing &= !due.is_empty();
        due
    }
}

/// Returns the number of endpoints to probe at once after `probed` were probed, of which `succeeded` were reached. The
/// number grows once a partition has ended.
pub fn probe_count(probed: usize, succeeded: usize) -> usize {
    if succeeded == 0 {
        return MIN_PROBES;
    }
    (2 * probed).clamp(MIN_PROBES, MAX_PROBES)
}

/// Why a daemon doesn't relay a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RelayRefusal {
    /// The daemon is stopping.
    Stopping,
    /// The daemon doesn't reach endpoints itself.
    Isolated,
    /// The daemon already relays as many connections as it may.
    Full,
}

/// Decides whether a daemon that relays `relayed` connections relays another one.
///
/// # Errors
///
/// Returns the reason if it doesn't.
pub fn may_relay(stopping: bool, isolated: bool, relayed: usize) -> Result<(), RelayRefusal> {
    if stopping {
        Err(RelayRefusal::Stopping)
    } else if isolated {
        Err(RelayRefusal::Isolated)
    } else if relayed >= MAX_RELAYED {
        Err(RelayRefusal::Full)
    } else {
        Ok(())
    }
}
