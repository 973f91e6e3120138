//! Decides whether this host has lost its path to the endpoints.
//!
//! Inputs: the endpoints to which connections succeeded or failed, and when.
//!
//! Rule: the host counts as isolated once connections to [`ISOLATED_AFTER`] different endpoints have failed and none
//! has succeeded since the first of these failures. It stops being isolated with the first connection that succeeds.
//!
//! Reason: a single failed connection looks the same whether the endpoint has ended or this host is partitioned from
//! it. Endpoints rarely end at the same time, but a partition affects all of them.
//!
//! Tests: `lib/tests/test_endpoint_reach.rs`.

use {
    crate::{gateway::directory::endpoint_entry::EndpointIncarnation, shared::units::Time},
    std::{collections::BTreeSet, time::Duration},
};

/// Number of endpoints to which connections have to fail in a row until the host counts as isolated.
const ISOLATED_AFTER: usize = 3;

/// What this host knows of its paths to the endpoints.
#[derive(Debug, Default)]
pub struct EndpointReach {
    /// Endpoints to which connections failed since one last succeeded.
    failed: BTreeSet<EndpointIncarnation>,
    /// Time since which the host has been isolated; `None` if it isn't.
    isolated_since: Option<Time>,
}

impl EndpointReach {
    /// Returns whether the host is isolated.
    pub fn is_isolated(&self) -> bool {
        self.isolated_since.is_some()
    }

    /// Records that a connection to an endpoint failed. Returns the number of endpoints that weren't reached if the host
    /// is isolated from now on.
    pub fn record_failed(&mut self, now: Time, endpoint: EndpointIncarnation) -> Option<usize> {
        self.failed.insert(endpoint);
        if self.is_isolated() || self.failed.len() < ISOLATED_AFTER {
            return None;
        }
        self.isolated_since = Some(now);
        Some(self.failed.len())
    }

    /// Records that a connection to an endpoint succeeded. Returns how long the host was isolated if it was until now.
    pub fn record_connected(&mut self, now: Time) -> Option<Duration> {
        self.failed.clear();
        let since = self.isolated_since.take()?;
        Some(now.since(since))
    }
}
