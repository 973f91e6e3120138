//! Bounds the reports to daemons that have just started.

use {
    crate::shared::units::{Millis, Time},
    std::net::SocketAddr,
};

/// Time between two reports of a daemon to others.
pub const REPORT_INTERVAL: Millis = Millis(1_000);

/// Largest number of daemons that have just started to which reports are sent within [`REPORT_INTERVAL`]. In a fleet
/// that starts at once, each of them gets reports from others.
const MAX_JOINING: usize = 8;

/// Daemons that have just started and got a report lately.
#[derive(Debug, Default)]
pub struct JoinReports {
    since: Time,
    sent: Vec<SocketAddr>,
}

impl JoinReports {
    /// Returns whether a daemon that has just started is sent a report now, and records that it is.
    pub fn take(&mut self, now: Time, joining: SocketAddr) -> bool {
        if now.since(self.since) >= REPORT_INTERVAL.to_duration() {
            self.since = now;
            self.sent.clear();
        }
        let is_due = self.sent.len() < MAX_JOINING && !self.sent.contains(&joining);
        if is_due {
            self.sent.push(joining);
        }
        is_due
    }
}
