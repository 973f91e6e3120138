//! Decides whether this daemon's processor is used up.
//!
//! Inputs, at each check of the clock: the processor time that the process has used (microseconds), the processor capacity
//! that it may use (millicores), the delay of the check (microseconds), which is that of the event loop, and the number of
//! requests in flight.
//!
//! Rule: the processor is used up from the moment at which its use over `USE_WINDOW` reaches `FULL_USE` of the capacity
//! while the event loop was late by `STANDSTILL`, until for as long its use has been below `FREE_USE` or the event loop
//! on time, and no connection has been closed for it.
//!
//! An answer of another process may seem late by up to `LOOP_TURNS` times the longest delay in the window. The limits of
//! attempts are longer by that, but by `MAX_OWN_DELAY` at most: after a pause of the process each turn is short again.
//!
//! Reason: a process that has used its share of a period stands still until the next one, and everything that the daemon does
//! is late. A daemon whose use is high but which is never late has no need to turn callers away.
//!
//! Tests: `lib/tests/test_processor_load.rs`.

use {
    crate::shared::units::{Capacity, Millis, Share, Time},
    std::{collections::VecDeque, time::Duration},
};

/// Time over which use is measured. Hosts grant their shares in periods of 100 ms.
const USE_WINDOW: Millis = Millis(500);

/// Share of the capacity from which on the processor counts as used up.
const FULL_USE: Share = Share(0.85);

/// Share of the capacity below which it doesn't any more.
const FREE_USE: Share = Share(0.7);

/// Delay of the event loop from which on the process probably stood still for lack of processor time. Half of a period.
const STANDSTILL: Millis = Millis(50);

/// Turns of the event loop that a request and its answer take: to send the request, and to read the head, the body and
/// the end of the answer.
const LOOP_TURNS: u32 = 4;

/// Longest time by which an answer may seem late.
const MAX_OWN_DELAY: Millis = Millis(1_000);

/// One check of the clock.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ProcessorSample {
    /// Time of the check.
    pub at: Time,
    /// Processor time that the process has used since its start.
    pub used: Duration,
    /// Time by which the check was late.
    pub delay: Duration,
    /// Number of requests in flight.
    pub in_flight: usize,
}

/// What the daemon did in the window.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RecentLoad {
    /// Share of the processor capacity that was used; above 1 if the host grants more.
    pub usage: f64,
    /// Longest delay of the event loop.
    pub delay: Duration,
    /// Mean number of requests in flight.
    pub in_flight: f64,
}

/// What changes with a sample.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProcessorChange {
    /// The processor is used up from now on.
    Exhausted,
    /// It isn't any more. Contains the time for which it was.
    Recovered(Duration),
}

/// Use of this daemon's processor capacity, and delay of its event loop.
#[derive(Debug, Default)]
pub struct ProcessorLoad {
    /// Samples of the window, and the last one before it.
    samples: VecDeque<ProcessorSample>,
    /// Share of the capacity that was used in the window.
    usage: f64,
    /// Time since which the processor has been used up.
    exhausted: Option<Time>,
    /// Time at which use was last at `FREE_USE` or more with a late event loop, or a connection was closed.
    busy: Time,
}

impl ProcessorLoad {
    /// Records a sample. Returns what changes with it.
    pub fn record(
        &mut self,
        sample: ProcessorSample,
        capacity: Capacity,
    ) -> Option<ProcessorChange> {
        self.samples.push_back(sample);
        let window = USE_WINDOW.to_duration();
        while self
            .samples
            .get(1)
            .is_some_and(|second| sample.at.since(second.at) >= window)
        {
            self.samples.pop_front();
        }
        self.usage = self.measured_usage(capacity)?;
        let now = sample.at;
        let is_late = self.longest_delay() >= STANDSTILL.to_duration();
        if is_late && self.usage >= FREE_USE.0 {
            self.busy = now;
        }
        match self.exhausted {
            None if is_late && self.usage >= FULL_USE.0 => {
                self.exhausted = Some(now);
                Some(ProcessorChange::Exhausted)
            }
            Some(since) if now.since(self.busy) >= window => {
                self.exhausted = None;
                Some(ProcessorChange::Recovered(now.since(since)))
            }
            _ => None,
        }
    }

    /// Returns the use over the window; `None` until the samples cover it, or without a capacity.
    fn measured_usage(&self, capacity: Capacity) -> Option<f64> {
        let (first, last) = (self.samples.front()?, self.samples.back()?);
        let time = last.at.since(first.at);
        if time < USE_WINDOW.to_duration() || capacity.0 == 0 {
            return None;
        }
        let used = last.used.saturating_sub(first.used);
        Some(used.as_secs_f64() / (time.as_secs_f64() * capacity.cores()))
    }

    /// Returns what the daemon did in the window.
    pub fn recent(&self) -> RecentLoad {
        RecentLoad {
            usage: self.usage,
            delay: self.longest_delay(),
            in_flight: self.mean_in_flight(),
        }
    }

    /// Returns by how much an answer of another process may seem late because the event loop is behind.
    pub fn own_delay(&self) -> Duration {
        let delay = self.longest_delay() * LOOP_TURNS;
        delay.min(MAX_OWN_DELAY.to_duration())
    }

    fn longest_delay(&self) -> Duration {
        let delays = self.samples.iter().skip(1).map(|sample| sample.delay);
        delays.max().unwrap_or_default()
    }

    fn mean_in_flight(&self) -> f64 {
        let (mut requests, mut time) = (0.0, 0.0);
        for (before, after) in self.samples.iter().zip(self.samples.iter().skip(1)) {
            let span = after.at.since(before.at).as_secs_f64();
            requests += span * (before.in_flight + after.in_flight) as f64 / 2.0;
            time += span;
        }
        if time > 0.0 { requests / time } else { 0.0 }
    }

    /// Records that a connection was closed since the processor is used up.
    pub fn record_closed(&mut self, now: Time) {
        self.busy = now;
    }

    /// Returns whether the processor is used up.
    pub fn is_exhausted(&self) -> bool {
        self.exhausted.is_some()
    }
}
