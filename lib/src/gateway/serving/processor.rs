//! Observes how much of its processor capacity this daemon uses, and how far its event loop is behind.
//!
//! The rule is [`processor_load`](crate::gateway::rules::processor_load).

use {
    crate::{
        gateway::{
            dialect::Dialect,
            rules::{
                processor_load::{ProcessorChange, ProcessorSample, RecentLoad},
                stall::CLOCK_CHECK,
            },
            state::Gateway,
        },
        shared::{clock::processor_time, units::Time},
    },
    std::time::Duration,
};

impl<D: Dialect> Gateway<D> {
    /// Records the use of the processor at a check of the clock; `last` is the time of the check before it.
    pub(crate) fn observe_processor(&self, now: Time, last: Time) {
        let sample = ProcessorSample {
            at: now,
            used: processor_time(),
            delay: now.since(last + CLOCK_CHECK),
            in_flight: self.load_in_flight(),
        };
        let mut load = self.processor.borrow_mut();
        let change = load.record(sample, self.settings().capacity);
        let recent = load.recent();
        let is_exhausted = load.is_exhausted();
        drop(load);
        let exhausted = is_exhausted.then(|| (recent, self.state.borrow().peers.fleet_load(now)));
        self.bound.borrow_mut().update(exhausted);
        self.metrics.processor.set(&recent);
        if let Some(change) = change {
            log_change(change, &recent);
        }
    }

    /// Returns the number of requests in flight, with the connections that are relayed and those that wait for their first
    /// request.
    fn load_in_flight(&self) -> usize {
        self.in_flight.get() + self.relays.get() + self.fresh.get()
    }

    /// Returns by how much an answer of another process may seem late because this daemon's event loop is behind.
    pub(crate) fn own_delay(&self) -> Duration {
        self.processor.borrow().own_delay()
    }

    /// Returns whether a new connection of a caller is served. Counts it if it isn't.
    pub(crate) fn serves_connection(&self) -> bool {
        let now = self.now();
        let in_flight = self.load_in_flight();
        let serves = self.bound.borrow_mut().serves_connection(now, in_flight);
        if !serves {
            self.processor.borrow_mut().record_closed(now);
            self.metrics.processor.count_closed();
        }
        serves
    }

    /// Returns whether callers should send their next requests on other connections.
    pub(crate) fn sheds_load(&self) -> bool {
        self.bound.borrow().is_reached(self.load_in_flight())
    }
}

fn log_change(change: ProcessorChange, recent: &RecentLoad) {
    let RecentLoad {
        usage, in_flight, ..
    } = *recent;
    let delay_ms = recent.delay.as_millis() as u64;
    match change {
        ProcessorChange::Exhausted => {
            log::warn!(usage, delay_ms, in_flight; "processor.exhausted");
        }
        ProcessorChange::Recovered(time) => {
            let for_ms = time.as_millis() as u64;
            log::info!(usage, delay_ms, in_flight, for_ms; "processor.recovered");
        }
    }
}
