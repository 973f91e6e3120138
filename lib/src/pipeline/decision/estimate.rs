//! Estimates of when an endpoint would finish a call.
//!
//! An endpoint's report lags, so what this daemon has sent since is added to it; what the endpoint
//! then takes corrects the estimate. A report that is missing, frozen or absurd leaves the daemon
//! with what it knows itself: its own calls in flight.

use {
    crate::{
        pipeline::decision::endpoint::LoadReport,
        shared::units::{Millis, Time, WorkMillis},
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

/// Observations after which an average counts as settled, and the largest multiple of it that a
/// further one may count as. Without the bound, one endpoint that is ten times as slow nearly
/// doubled its whole pool's cost with each reply.
const SETTLED_AFTER: u32 = 10;
const OUTLIER_FACTOR: f64 = 1.5;

/// Time after which half of a correction is forgotten when nothing is observed: an endpoint that
/// isn't chosen any more would never show that it is well again.
const CORRECTION_HALF_LIFE: Millis = Millis(5_000);

/// Calls that went as expected, as a prior against chance.
const PRIOR_CALLS: f64 = 4.0;

/// Multiple of its estimate after which a call in flight counts as overdue.
const OVERDUE_FACTOR: f64 = 2.0;

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

    /// Adds an observation that may be an outlier: once the average is settled, one observation
    /// counts as at most a fixed multiple of it.
    pub fn observe_bounded(&mut self, value: f64) {
        let settled = self.count >= SETTLED_AFTER;
        let bound = if settled {
            self.value * OUTLIER_FACTOR
        } else {
            f64::INFINITY
        };
        self.observe(value.min(bound));
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
    /// Own calls in flight: when each was sent, its work, and its uncorrected estimate.
    calls: Vec<OwnCall>,
    observed: f64,
    expected: f64,
    corrected: Time,
    slots: u32,
}

/// One own call in flight.
#[derive(Debug, Clone, Copy)]
struct OwnCall {
    sent: Time,
    work: f64,
    expected: f64,
}

impl LoadEstimate {
    /// Starts without a report; `slots` holds until one comes.
    pub fn new(slots: u32) -> Self {
        Self {
            report: None,
            sends: VecDeque::new(),
            calls: Vec::new(),
            observed: 0.0,
            expected: 0.0,
            corrected: Time::default(),
            slots: slots.max(1),
        }
    }

    /// Returns the number of own calls in flight.
    pub fn in_flight(&self) -> u32 {
        self.calls.len() as u32
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

    /// Notes an own send of `work` and returns its uncorrected estimate.
    pub fn sent(&mut self, now: Time, work: WorkMillis) -> WorkMillis {
        let expected = self.uncorrected(now, work);
        self.calls.push(OwnCall {
            sent: now,
            work: work.0,
            expected: expected.0,
        });
        if self.sends.len() == MAX_SENDS {
            self.sends.pop_front();
        }
        self.sends.push_back((now, work.0));
        expected
    }

    /// Notes that an own call, sent then with this estimate, ended.
    pub fn ended(&mut self, sent: Time, expected: WorkMillis) {
        let own = |call: &OwnCall| call.sent == sent && call.expected == expected.0;
        let found = self.calls.iter().position(own);
        crate::invariant!(found.is_some(), "more calls ended than were sent");
        if let Some(i) = found {
            self.calls.swap_remove(i);
        }
    }

    /// Corrects the estimate: a call whose uncorrected estimate was `expected` took `observed`.
    pub fn correct(&mut self, now: Time, expected: WorkMillis, observed: WorkMillis) {
        let kept = self.kept(now);
        self.observed = self.observed * kept + observed.0.max(0.0);
        self.expected = self.expected * kept + expected.0.max(0.0);
        self.corrected = now;
    }

    /// Returns the share of past observations that still counts.
    fn kept(&self, now: Time) -> f64 {
        let halves = now.millis_since(self.corrected) / CORRECTION_HALF_LIFE.0 as f64;
        (-halves).exp2()
    }

    /// Returns the factor by which observed times exceed estimates.
    ///
    /// Sums of times are compared, so that long calls count for more, and a prior of some calls
    /// that went as expected steadies a few observations. A call in flight that is overdue counts
    /// at once: a slow endpoint's calls would else be missed until they end.
    fn correction(&self, now: Time, work: WorkMillis) -> f64 {
        let kept = self.kept(now);
        let prior = work.0 * PRIOR_CALLS;
        let overdue = |call: &OwnCall| {
            let took = now.millis_since(call.sent);
            (took - call.expected * OVERDUE_FACTOR).max(0.0)
        };
        let late = self.calls.iter().map(overdue).fold(0.0, f64::max);
        let observed = self.observed * kept + prior + late;
        let expected = self.expected * kept + prior;
        let (low, high) = CORRECTION_RANGE;
        (observed / expected.max(f64::EPSILON)).clamp(low, high)
    }

    /// Estimates the time until a call of `work` would be finished, without the way there.
    pub fn finish(&self, now: Time, work: WorkMillis) -> WorkMillis {
        WorkMillis(self.uncorrected(now, work).0 * self.correction(now, work))
    }

    /// Estimates the same by reports and own sends alone.
    fn uncorrected(&self, now: Time, work: WorkMillis) -> WorkMillis {
        let (backlog, busy, slots) = self.view(now);
        let queue = backlog / f64::from(slots);
        let wait = if busy < slots {
            queue * FREE_SLOT_WEIGHT
        } else {
            queue
        };
        WorkMillis(wait + work.0)
    }

    /// Estimates backlog, calls in progress and slots as of `now`.
    fn view(&self, now: Time) -> (f64, u32, u32) {
        let fresh = self
            .report
            .as_ref()
            .filter(|(made, _)| now.since(*made) <= STALE_AFTER.to_duration());
        let Some((made, report)) = fresh else {
            return (self.outstanding(), self.in_flight(), self.slots);
        };
        let worked = now.millis_since(*made) * f64::from(report.running.min(report.slots));
        let left = (report.backlog.0 - worked).max(0.0);
        let since: f64 = self.sends.iter().map(|(_, work)| work).sum();
        let running = report.running.saturating_add(self.sends.len() as u32);
        let busy = if left + since > 0.0 { running } else { 0 };
        // A frozen report may say "idle" for ever; own calls in flight are certain.
        (
            (left + since).max(self.outstanding()),
            busy.max(self.in_flight()),
            report.slots,
        )
    }

    /// Returns the work of own calls in flight.
    fn outstanding(&self) -> f64 {
        self.calls.iter().map(|call| call.work).sum()
    }
}
