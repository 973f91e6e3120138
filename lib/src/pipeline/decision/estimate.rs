//! When would an endpoint finish a call that is sent now?
//!
//! Inputs: the endpoint's load reports (backlog in milliseconds of work, calls in progress, slots, age), the work and
//! send times of the calls that this daemon sent to it, and the times that they took from sending to their end. Output:
//! the time in milliseconds until a call of a given work would be finished, without the network time.
//!
//! Rule: the backlog is that of the last report, less what the endpoint has completed since, plus what this daemon has
//! sent since. It is divided by the endpoint's slots; while slots are free, only [`FREE_SLOT_WEIGHT`] of it counts. The
//! call's own work is added, and the sum is multiplied by the ratio of observed to expected times, within
//! [`CORRECTION_RANGE`]. An absurd report is ignored. If there is no report, or the last one is older than
//! [`STALE_AFTER`], only this daemon's calls in flight count, since they are certain.
//!
//! Reason: a report is out of date when it arrives, and other daemons send calls as well, so neither the reports nor
//! this daemon's calls are enough by themselves. The correction is a ratio of two sums of times, so that long calls
//! count for more, and starts with a few assumed calls that took as long as expected, so that a few observations don't
//! move it far. A call in flight that is overdue counts at once, since the slowness of its endpoint would otherwise be
//! noticed only when it ends. A moving average of ratios (gain 0.2) instead of the sums made the results with frozen
//! reports worse, 97.55% instead of 99.37% (commit e396322).
//!
//! Measurements: `docs/MEASUREMENTS.md`, "Faults at 0.8 of capacity".
//!
//! `test_policy_pins.rs` (`load_estimates`) pins the rule.

use {
    crate::{
        pipeline::decision::endpoint::LoadReport,
        shared::units::{Millis, Time, WorkMillis},
    },
    std::collections::VecDeque,
};

/// Age beyond which a load report counts as missing.
pub const STALE_AFTER: Millis = Millis(2_000);

/// Largest number of sent calls remembered since a report; bounds the memory.
const MAX_SENDS: usize = 256;

/// Largest credible backlog: ten minutes. A report with a larger one is ignored.
const MAX_BACKLOG: WorkMillis = WorkMillis(600_000.0);

/// Largest credible number of slots. A report with more is ignored.
const MAX_SLOTS: u32 = 4_096;

/// Half-life of the observations behind the correction. They must expire, since an endpoint that looks slow isn't
/// chosen any more and so could never show that it has recovered.
const CORRECTION_HALF_LIFE: Millis = Millis(5_000);

/// Assumed calls that took as long as expected: they keep a few chance observations from moving the correction far.
const PRIOR_CALLS: f64 = 4.0;

/// Multiple of its expected time after which a call in flight counts as overdue.
const OVERDUE_FACTOR: f64 = 2.0;

/// Bounds of the factor by which observed times correct an estimate.
pub const CORRECTION_RANGE: CorrectionRange = CorrectionRange {
    min: 0.25,
    max: 8.0,
};

/// Fraction of the queue's time that counts while slots are free. More than zero, so that of two endpoints with free
/// slots the less busy one is preferred.
pub const FREE_SLOT_WEIGHT: f64 = 0.1;

/// Smallest and largest value of a correction factor.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct CorrectionRange {
    /// Smallest value.
    pub min: f64,
    /// Largest value.
    pub max: f64,
}

/// Estimate of one endpoint's load.
#[derive(Debug, Clone)]
pub struct LoadEstimate {
    report: Option<DatedReport>,
    /// Calls that this daemon sent since the report was taken, oldest first.
    sends: VecDeque<RecentSend>,
    /// This daemon's calls in flight.
    calls: Vec<CallInFlight>,
    /// Sum of the observed times of ended calls, which decays with [`CORRECTION_HALF_LIFE`].
    observed: f64,
    /// Sum of the expected times of the same calls, which decays alike.
    expected: f64,
    /// Time at which the two sums were last changed.
    updated: Time,
    /// Number of slots assumed without a fresh report.
    slots: u32,
}

/// A load report with the time at which the endpoint took it.
#[derive(Debug, Clone, Copy)]
struct DatedReport {
    taken: Time,
    report: LoadReport,
}

/// A call that this daemon sent since the last report was taken.
#[derive(Debug, Clone, Copy)]
struct RecentSend {
    sent: Time,
    work: WorkMillis,
}

/// One of this daemon's calls in flight.
#[derive(Debug, Clone, Copy)]
struct CallInFlight {
    sent: Time,
    work: WorkMillis,
    /// Expected time to its end when it was sent, without the correction.
    expected: WorkMillis,
}

/// Load of an endpoint at some time.
#[derive(Debug, Clone, Copy)]
struct Load {
    backlog: WorkMillis,
    /// Calls in progress.
    busy: u32,
    slots: u32,
}

impl LoadEstimate {
    /// Creates an estimate without a report; `slots` is assumed until one arrives.
    pub fn new(slots: u32) -> Self {
        Self {
            report: None,
            sends: VecDeque::new(),
            calls: Vec::new(),
            observed: 0.0,
            expected: 0.0,
            updated: Time::default(),
            slots: slots.max(1),
        }
    }

    /// Returns the number of this daemon's calls in flight.
    pub fn in_flight(&self) -> u32 {
        self.calls.len() as u32
    }

    /// Replaces the last report by one received at `now`; an absurd report is ignored.
    pub fn report(&mut self, now: Time, report: LoadReport) {
        if !is_credible(&report) {
            return;
        }
        let taken = now - report.age;
        while self.sends.front().is_some_and(|send| send.sent < taken) {
            self.sends.pop_front();
        }
        self.report = Some(DatedReport { taken, report });
    }

    /// Records a call of `work` that this daemon sends, and returns its expected time without the correction.
    pub fn sent(&mut self, now: Time, work: WorkMillis) -> WorkMillis {
        let expected = self.uncorrected_finish(now, work);
        self.calls.push(CallInFlight {
            sent: now,
            work,
            expected,
        });
        if self.sends.len() == MAX_SENDS {
            self.sends.pop_front();
        }
        self.sends.push_back(RecentSend { sent: now, work });
        expected
    }

    /// Records the end of a call of this daemon, identified by its send time and expected time.
    ///
    /// # Panics
    ///
    /// Panics if no such call is in flight: an invariant, which `test_core_random.rs` checks.
    pub fn ended(&mut self, sent: Time, expected: WorkMillis) {
        let is_ended = |call: &CallInFlight| call.sent == sent && call.expected == expected;
        let found = self.calls.iter().position(is_ended);
        crate::invariant!(
            found.is_some(),
            "a call to an endpoint ended that was not in flight"
        );
        if let Some(i) = found {
            self.calls.swap_remove(i);
        }
    }

    /// Learns from a call that took `observed`; `expected` was its estimate without the correction.
    pub fn correct(&mut self, now: Time, expected: WorkMillis, observed: WorkMillis) {
        let retained = self.retained(now);
        self.observed = self.observed * retained + observed.0.max(0.0);
        self.expected = self.expected * retained + expected.0.max(0.0);
        self.updated = now;
    }

    /// Estimates the time until a call of `work` would be finished, without the network time.
    pub fn time_to_finish(&self, now: Time, work: WorkMillis) -> WorkMillis {
        WorkMillis(self.uncorrected_finish(now, work).0 * self.correction(now, work))
    }

    /// Returns the fraction of the past observations that still counts at `now`.
    fn retained(&self, now: Time) -> f64 {
        let halves = now.millis_since(self.updated) / CORRECTION_HALF_LIFE.0 as f64;
        (-halves).exp2()
    }

    /// Returns the ratio of observed to expected times, by which estimates are multiplied.
    fn correction(&self, now: Time, work: WorkMillis) -> f64 {
        let retained = self.retained(now);
        let prior = work.0 * PRIOR_CALLS;
        let overdue = |call: &CallInFlight| {
            let took = now.millis_since(call.sent);
            (took - call.expected.0 * OVERDUE_FACTOR).max(0.0)
        };
        let late = self.calls.iter().map(overdue).fold(0.0, f64::max);
        let observed = self.observed * retained + prior + late;
        let expected = self.expected * retained + prior;
        (observed / expected.max(f64::EPSILON)).clamp(CORRECTION_RANGE.min, CORRECTION_RANGE.max)
    }

    /// Estimates the time until a call of `work` would be finished, without the correction by observed times.
    fn uncorrected_finish(&self, now: Time, work: WorkMillis) -> WorkMillis {
        let load = self.load(now);
        let queue = load.backlog.0 / f64::from(load.slots);
        let wait = if load.busy < load.slots {
            queue * FREE_SLOT_WEIGHT
        } else {
            queue
        };
        WorkMillis(wait + work.0)
    }

    /// Estimates the endpoint's load at `now`.
    fn load(&self, now: Time) -> Load {
        let is_fresh = |dated: &&DatedReport| now.since(dated.taken) <= STALE_AFTER.to_duration();
        let Some(dated) = self.report.as_ref().filter(is_fresh) else {
            return Load {
                backlog: self.outstanding(),
                busy: self.in_flight(),
                slots: self.slots,
            };
        };
        let report = &dated.report;
        let worked = now.millis_since(dated.taken) * f64::from(report.running.min(report.slots));
        let remaining = (report.backlog.0 - worked).max(0.0);
        let sent_since: f64 = self.sends.iter().map(|send| send.work.0).sum();
        let running = report.running.saturating_add(self.sends.len() as u32);
        let busy = if remaining + sent_since > 0.0 {
            running
        } else {
            0
        };
        // The reports of a hung endpoint may stay at "idle", but this daemon's calls in flight are certain.
        Load {
            backlog: WorkMillis((remaining + sent_since).max(self.outstanding().0)),
            busy: busy.max(self.in_flight()),
            slots: report.slots,
        }
    }

    /// Returns the work of this daemon's calls in flight.
    fn outstanding(&self) -> WorkMillis {
        WorkMillis(self.calls.iter().map(|call| call.work.0).sum())
    }
}

fn is_credible(report: &LoadReport) -> bool {
    (0.0..=MAX_BACKLOG.0).contains(&report.backlog.0)
        && (1..=MAX_SLOTS).contains(&report.slots)
        && report.age <= STALE_AFTER
}
