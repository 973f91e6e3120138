//! Decides whether a daemon serves a new connection of a caller, or closes it unread because its processor is used up.
//!
//! Inputs: the use of the daemon's processor capacity, the delay of its event loop (microseconds) and its mean number of
//! requests in flight, all over the window of [`processor_load`](super::processor_load); its requests in flight now, with the
//! connections that wait for their first one; the number of other daemons whose heartbeats are recent, and of
//! those whose processors are used up; the time since a connection was last served.
//!
//! Rule: a daemon whose processor is used up keeps as many requests in flight as make its event loop late by `LATE`, in
//! proportion to the mean of the window, but lets them grow by `GROWTH` at most, and by `SATURATED_GROWTH` if its use has
//! reached `SATURATED_USE`. It closes new connections beyond that without reading them, but serves one in each
//! `SERVE_INTERVAL`, and asks callers with open connections to use others. The bound rises with the share of the other
//! daemons whose processors are used up too; from half of them on there is none.
//!
//! Reason: a caller whose connection closes unread loses a round trip and may go to another daemon, whatever its request
//! is, if that one doesn't turn it away as well. A request that is read has to be answered here, and those beyond what
//! the processor bears make all others late. A daemon that said that it isn't ready instead would pass all its callers
//! on to the next one in the load balancer's order.
//!
//! Tests: `lib/tests/test_connection_shedding.rs`.

use crate::{
    gateway::rules::processor_load::RecentLoad,
    shared::units::{Millis, Share, Time},
};

/// Delay of the event loop that the requests in flight may cause. Hosts grant processor time in periods of 100 ms, so that a
/// shorter one says little.
const LATE: Millis = Millis(150);

/// Share of the capacity from which on the processor bears hardly more than it does.
const SATURATED_USE: Share = Share(0.95);

/// Largest factors by which the number of requests may exceed the mean while the event loop isn't late, on a processor that
/// isn't saturated and on one that is.
const GROWTH: f64 = 2.0;
const SATURATED_GROWTH: f64 = 1.2;

/// Time after which a new connection is served in any case.
const SERVE_INTERVAL: Millis = Millis(250);

/// Time after which a heartbeat doesn't tell any more whether a daemon's processor is used up.
pub const MAX_REPORT_AGE: Millis = Millis(2_000);

/// What other daemons report of their processors.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct FleetLoad {
    /// Daemons with recent heartbeats.
    pub heard: usize,
    /// Those of them whose processors are used up.
    pub exhausted: usize,
}

impl FleetLoad {
    /// Adds the report of one daemon.
    pub fn add(&mut self, is_exhausted: bool) {
        self.heard += 1;
        self.exhausted += usize::from(is_exhausted);
    }

    /// Returns how likely callers that are turned away find a daemon with processor time to spare, from 1 if all have it to
    /// 0 if only half of them have; `None` if fewer have.
    fn room(self) -> Option<f64> {
        let exhausted = self.exhausted as f64 / self.heard as f64;
        Some(1.0 - 2.0 * exhausted).filter(|room| *room > 0.0)
    }
}

/// Returns the number of requests in flight that the processor bears.
fn request_limit(recent: RecentLoad) -> f64 {
    let lateness = recent.delay.as_secs_f64() / LATE.to_duration().as_secs_f64();
    let growth = if recent.usage < SATURATED_USE.0 {
        GROWTH
    } else {
        SATURATED_GROWTH
    };
    recent.in_flight * lateness.recip().min(growth)
}

/// Bound on new connections of callers; none while the processor isn't used up, or everybody's is.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct ConnectionBound {
    /// Number of requests in flight from which on connections are closed.
    limit: Option<f64>,
    /// Time at which a new connection was last served.
    served: Time,
}

impl ConnectionBound {
    /// Updates the bound with what this daemon did lately and what others report; absent while the processor isn't used
    /// up.
    pub fn update(&mut self, exhausted: Option<(RecentLoad, FleetLoad)>) {
        self.limit =
            exhausted.and_then(|(recent, fleet)| Some(request_limit(recent) / fleet.room()?));
    }

    /// Returns whether a new connection is served, with `in_flight` requests in flight or expected.
    pub fn serves_connection(&mut self, now: Time, in_flight: usize) -> bool {
        let is_due = now.since(self.served) >= SERVE_INTERVAL.to_duration();
        let serves = is_due || !self.is_reached(in_flight);
        if serves {
            self.served = now;
        }
        serves
    }

    /// Returns whether the daemon has as many requests in flight as it bears.
    pub fn is_reached(&self, in_flight: usize) -> bool {
        self.limit.is_some_and(|limit| in_flight as f64 >= limit)
    }
}
