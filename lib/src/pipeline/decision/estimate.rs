//! When would an endpoint finish a call that is sent now?
//!
//! Inputs: the endpoint's load reports (backlog in milliseconds of work, calls in progress, slots,
//! age), the work of the calls that this daemon sent to it and when, and the whole times that its
//! calls took. Output: the time in milliseconds until a call of some work would be finished,
//! without the way there.
//!
//! The rule: the backlog of the last report, less what the endpoint has worked off since, plus what
//! this daemon has sent since, is shared by the endpoint's slots; while slots are free, only
//! [`FREE_SLOT_WEIGHT`] of it counts. To this the call's own work is added, and the sum is
//! corrected by the ratio of observed to expected times, within [`CORRECTION`]. A report that is
//! missing, older than [`STALE_AFTER`] or absurd leaves the daemon with what is certain: its own
//! calls in flight.
//!
//! The reason: a report lags, and other daemons send as well, so neither reports nor own calls are
//! enough. Sums of whole times are compared, so that long calls count for more, and a prior of some
//! calls that went as expected steadies a few observations. A call in flight that is overdue counts
//! at once: a slow endpoint's calls would else be missed until they end. A moving average of ratios
//! (gain 0.2) instead made frozen reports worse, 99.37% to 97.55% (commit e396322).
//!
//! The measurements: `docs/MEASUREMENTS.md`, "Faults at 0.8 of capacity"; the figures below are
//! chosen where they name no other source.
//!
//! `test_policy_pins.rs` (`load_estimates`) pins the rule.

use {
    crate::{
        pipeline::decision::endpoint::LoadReport,
        shared::units::{Millis, Time, WorkMillis},
    },
    std::collections::VecDeque,
};

/// Age beyond which a report counts as missing.
pub const STALE_AFTER: Millis = Millis(2_000);

/// Most own sends remembered since a report: a bound on memory.
const MAX_SENDS: usize = 256;

/// Largest backlog that a report is believed to have: ten minutes.
const MAX_BACKLOG: WorkMillis = WorkMillis(600_000.0);

/// Largest number of slots that a report is believed to have.
const MAX_SLOTS: u32 = 4_096;

/// Time after which half of a correction is forgotten when nothing is observed: an endpoint that isn't chosen any more
/// would never show that it is well again.
const CORRECTION_HALF_LIFE: Millis = Millis(5_000);

/// Calls that went as expected, as a prior against chance.
const PRIOR_CALLS: f64 = 4.0;

/// Multiple of its estimate after which a call in flight counts as overdue.
const OVERDUE_FACTOR: f64 = 2.0;

/// Bounds of the correction by observed times.
pub const CORRECTION: CorrectionRange = CorrectionRange {
    least: 0.25,
    most: 8.0,
};

/// Part of the queue's time that counts while slots are free: ties go to the emptier endpoint.
pub const FREE_SLOT_WEIGHT: f64 = 0.1;

/// Bounds of a factor.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct CorrectionRange {
    /// Smallest factor.
    pub least: f64,
    /// Largest factor.
    pub most: f64,
}

/// Estimate of one endpoint's load.
#[derive(Debug, Clone)]
pub struct LoadEstimate {
    report: Option<DatedReport>,
    /// Own sends since the report, oldest first.
    sends: VecDeque<OwnSend>,
    /// Own calls in flight.
    calls: Vec<OwnCall>,
    /// Sum of observed times, half of which is forgotten in each half-life.
    observed: f64,
    /// Sum of the estimates of the same calls.
    expected: f64,
    /// When the two sums last changed.
    corrected: Time,
    /// Slots until a report says otherwise.
    slots: u32,
}

/// A load report, and when the endpoint took it.
#[derive(Debug, Clone, Copy)]
struct DatedReport {
    taken: Time,
    report: LoadReport,
}

/// One own send since the last report.
#[derive(Debug, Clone, Copy)]
struct OwnSend {
    sent: Time,
    work: WorkMillis,
}

/// One own call in flight.
#[derive(Debug, Clone, Copy)]
struct OwnCall {
    sent: Time,
    work: WorkMillis,
    /// Its uncorrected estimate.
    expected: WorkMillis,
}

/// Load as of some time.
#[derive(Debug, Clone, Copy)]
struct Load {
    backlog: WorkMillis,
    /// Calls in progress.
    busy: u32,
    slots: u32,
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

    /// Replaces the last report by one received at `now`; an absurd one is left out.
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

    /// Records an own send of `work` and returns its uncorrected estimate.
    pub fn sent(&mut self, now: Time, work: WorkMillis) -> WorkMillis {
        let expected = self.uncorrected(now, work);
        self.calls.push(OwnCall {
            sent: now,
            work,
            expected,
        });
        if self.sends.len() == MAX_SENDS {
            self.sends.pop_front();
        }
        self.sends.push_back(OwnSend { sent: now, work });
        expected
    }

    /// Records that an own call, sent then with this estimate, ended.
    ///
    /// # Panics
    ///
    /// Panics if no such call is in flight: an invariant, which `test_core_random.rs` checks.
    pub fn ended(&mut self, sent: Time, expected: WorkMillis) {
        let own = |call: &OwnCall| call.sent == sent && call.expected == expected;
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

    /// Estimates the time until a call of `work` would be finished, without the way there.
    pub fn finish(&self, now: Time, work: WorkMillis) -> WorkMillis {
        WorkMillis(self.uncorrected(now, work).0 * self.correction(now, work))
    }

    /// Returns the share of past observations that still counts.
    fn kept(&self, now: Time) -> f64 {
        let halves = now.millis_since(self.corrected) / CORRECTION_HALF_LIFE.0 as f64;
        (-halves).exp2()
    }

    /// Returns the factor by which observed times exceed estimates.
    fn correction(&self, now: Time, work: WorkMillis) -> f64 {
        let kept = self.kept(now);
        let prior = work.0 * PRIOR_CALLS;
        let overdue = |call: &OwnCall| {
            let took = now.millis_since(call.sent);
            (took - call.expected.0 * OVERDUE_FACTOR).max(0.0)
        };
        let late = self.calls.iter().map(overdue).fold(0.0, f64::max);
        let observed = self.observed * kept + prior + late;
        let expected = self.expected * kept + prior;
        (observed / expected.max(f64::EPSILON)).clamp(CORRECTION.least, CORRECTION.most)
    }

    /// Estimates the same by reports and own sends alone.
    fn uncorrected(&self, now: Time, work: WorkMillis) -> WorkMillis {
        let load = self.load(now);
        let queue = load.backlog.0 / f64::from(load.slots);
        let wait = if load.busy < load.slots {
            queue * FREE_SLOT_WEIGHT
        } else {
            queue
        };
        WorkMillis(wait + work.0)
    }

    /// Estimates the load as of `now`.
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
        let left = (report.backlog.0 - worked).max(0.0);
        let since: f64 = self.sends.iter().map(|send| send.work.0).sum();
        let running = report.running.saturating_add(self.sends.len() as u32);
        let busy = if left + since > 0.0 { running } else { 0 };
        // A frozen report may say "idle" for ever; own calls in flight are certain.
        Load {
            backlog: WorkMillis((left + since).max(self.outstanding().0)),
            busy: busy.max(self.in_flight()),
            slots: report.slots,
        }
    }

    /// Returns the work of own calls in flight.
    fn outstanding(&self) -> WorkMillis {
        WorkMillis(self.calls.iter().map(|call| call.work.0).sum())
    }
}

fn is_credible(report: &LoadReport) -> bool {
    (0.0..=MAX_BACKLOG.0).contains(&report.backlog.0)
        && (1..=MAX_SLOTS).contains(&report.slots)
        && report.age <= STALE_AFTER
}
