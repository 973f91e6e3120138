//! Estimates of when an endpoint would finish a call.
//!
//! An endpoint's report lags, so what this daemon has sent since is added to it; what the endpoint
//! then takes corrects the estimate. A report that is missing, frozen or absurd leaves the daemon
//! with what it knows itself: its own calls in flight.

use {
    crate::{
        endpoint::LoadReport,
        units::{Millis, Time, WorkMillis},
    },
    std::collections::VecDeque,
};

/// Age beyond which a report counts as missing.
const STALE_AFTER: Millis = Millis(2_000);

/// Most own sends remembered since a report.
const MAX_SENDS: usize = 256;

/// Largest backlog and number of slots that a report is believed to have.
const MAX_BACKLOG: f64 = 600_000.0;
const MAX_SLOTS: u32 = 4_096;

/// Weight of a new observation in moving averages.
const GAIN: f64 = 0.1;

/// Bounds of the correction by observed times.
const CORRECTION_RANGE: (f64, f64) = (0.25, 8.0);

/// Part of the queue's time that counts while slots are free: ties go to the emptier endpoint.
const FREE_SLOT_WEIGHT: f64 = 0.1;

/// A moving average with an initial guess.
#[derive(Debug, Clone, Copy)]
pub struct Average {
    value: f64,
    count: u32,
}

impl Average {
    /// Starts from a guess, which the first observations replace quickly.
    pub fn new(guess: f64) -> Self {
        Self {
            value: guess,
            count: 0,
        }
    }

    /// Adds an observation; anything that isn't a finite number is left out.
    pub fn observe(&mut self, value: f64) {
        if !value.is_finite() {
            return;
        }
        self.count = self.count.saturating_add(1);
        let gain = GAIN.max(1.0 / f64::from(self.count));
        self.value += gain * (value - self.value);
    }

    /// Returns the average.
    pub fn get(&self) -> f64 {
        self.value
    }
}

/// What is known of one endpoint's load.
#[derive(Debug, Clone)]
pub struct LoadEstimate {
    report: Option<(Time, LoadReport)>,
    sends: VecDeque<(Time, f64)>,
    /// Work of own calls in flight.
    outstanding: f64,
    in_flight: u32,
    correction: Average,
    slots: u32,
}

impl LoadEstimate {
    /// Starts without a report; `slots` holds until one comes.
    pub fn new(slots: u32) -> Self {
        Self {
            report: None,
            sends: VecDeque::new(),
            outstanding: 0.0,
            in_flight: 0,
            correction: Average::new(1.0),
            slots: slots.max(1),
        }
    }

    /// Returns the number of own calls in flight.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Takes in a report received at `now`; an absurd one is left out.
    pub fn take_report(&mut self, now: Time, report: LoadReport) {
        let backlog = report.backlog.0;
        let sane = (0.0..=MAX_BACKLOG).contains(&backlog)
            && (1..=MAX_SLOTS).contains(&report.slots)
            && report.age <= STALE_AFTER;
        if !sane {
            return;
        }
        let made = Time(now.0.saturating_sub(report.age.0 * 1000));
        while self.sends.front().is_some_and(|(sent, _)| *sent < made) {
            self.sends.pop_front();
        }
        self.report = Some((made, report));
    }

    /// Notes an own send of `work`.
    pub fn sent(&mut self, now: Time, work: WorkMillis) {
        self.in_flight += 1;
        self.outstanding += work.0;
        if self.sends.len() == MAX_SENDS {
            self.sends.pop_front();
        }
        self.sends.push_back((now, work.0));
    }

    /// Notes that an own call of `work` ended.
    pub fn ended(&mut self, work: WorkMillis) {
        crate::invariant!(self.in_flight > 0, "more calls ended than were sent");
        self.in_flight -= 1;
        self.outstanding = if self.in_flight == 0 {
            0.0
        } else {
            (self.outstanding - work.0).max(0.0)
        };
    }

    /// Corrects the estimate: a call estimated at `expected` took `observed`.
    pub fn correct(&mut self, expected: WorkMillis, observed: WorkMillis) {
        if expected.0 <= 0.0 {
            return;
        }
        let (low, high) = CORRECTION_RANGE;
        let ratio = (observed.0 / expected.0).clamp(low, high);
        self.correction.observe(ratio);
    }

    /// Estimates the time until a call of `work` would be finished, without the way there.
    pub fn finish(&self, now: Time, work: WorkMillis) -> WorkMillis {
        let (backlog, busy, slots) = self.view(now);
        let queue = backlog / f64::from(slots);
        let wait = if busy < slots {
            queue * FREE_SLOT_WEIGHT
        } else {
            queue
        };
        WorkMillis((wait + work.0) * self.correction.get())
    }

    /// Estimates backlog, calls in progress and slots as of `now`.
    fn view(&self, now: Time) -> (f64, u32, u32) {
        let fresh = self
            .report
            .as_ref()
            .filter(|(made, _)| now.since(*made) <= STALE_AFTER.to_duration());
        let Some((made, report)) = fresh else {
            return (self.outstanding, self.in_flight, self.slots);
        };
        let worked = now.millis_since(*made) * f64::from(report.running.min(report.slots));
        let left = (report.backlog.0 - worked).max(0.0);
        let since: f64 = self.sends.iter().map(|(_, work)| work).sum();
        let running = report.running.saturating_add(self.sends.len() as u32);
        let busy = if left + since > 0.0 { running } else { 0 };
        // A frozen report may say "idle" for ever; own calls in flight are certain.
        (
            (left + since).max(self.outstanding),
            busy.max(self.in_flight),
            report.slots,
        )
    }
}
