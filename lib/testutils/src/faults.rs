//! Fault injection for test endpoints, which may change while an endpoint runs.

use {
    std::sync::{
        Mutex,
        atomic::{AtomicBool, AtomicU32, Ordering},
    },
    tokio::sync::watch,
};

/// Kind of damage to a reply.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Damage {
    /// The reply contains bytes that are neither JSON nor events.
    Garbage,
    /// The reply has the ids of another call.
    WrongIds,
    /// The reply exceeds every size limit.
    Oversized,
    /// The reply's body ends too early.
    Truncated,
    /// The connection is closed without a reply after the call ran.
    NoReply,
    /// The reply is a server error after the call ran.
    ServerError,
    /// The call is refused before it runs.
    NotRun,
}

/// Scale of shares and factors that are stored as integers: thousandths.
const THOUSANDTHS: u64 = 1_000;

/// Damage to a share of the replies.
#[derive(Debug)]
struct DamagePlan {
    damage: Damage,
    thousandths: u64,
    draws: u64,
}

/// A break of one stream at a fixed token.
///
/// When a body fails, the HTTP server drops the data that it hasn't written yet, so a break right after a token could
/// lose any number of previous tokens. A break therefore waits until the reader has received all of them.
#[derive(Debug, Clone)]
pub struct StreamBreak {
    /// Token before which the stream breaks off.
    pub token: u32,
    /// Number of tokens that the reader has received.
    pub received: watch::Receiver<u32>,
}

/// Faults injected into one endpoint.
#[derive(Debug)]
pub struct Faults {
    /// Factor by which all durations are multiplied, in thousandths.
    slowness: AtomicU32,
    damage: Mutex<Option<DamagePlan>>,
    frozen: AtomicBool,
    leaving: AtomicBool,
    /// Break of the next stream, once.
    stream_break: Mutex<Option<StreamBreak>>,
}

impl Default for Faults {
    fn default() -> Self {
        Self {
            slowness: AtomicU32::new(THOUSANDTHS as u32),
            damage: Mutex::new(None),
            frozen: AtomicBool::new(false),
            leaving: AtomicBool::new(false),
            stream_break: Mutex::new(None),
        }
    }
}

impl Faults {
    /// Multiplies all durations by `factor`.
    pub fn slow_down(&self, factor: f64) {
        let thousandths = (factor * THOUSANDTHS as f64) as u32;
        self.slowness.store(thousandths, Ordering::Relaxed);
    }

    /// Returns the factor by which all durations are multiplied.
    pub fn slowness(&self) -> f64 {
        f64::from(self.slowness.load(Ordering::Relaxed)) / THOUSANDTHS as f64
    }

    /// Damages a share of the replies, from 0 to 1.
    pub fn damage(&self, damage: Damage, share: f64) {
        let thousandths = (share * THOUSANDTHS as f64) as u64;
        let mut plan = self.damage.lock().expect("no panic while held");
        let draws = plan.as_ref().map_or(0, |plan| plan.draws);
        *plan = Some(DamagePlan {
            damage,
            thousandths,
            draws,
        });
    }

    /// Returns the damage of the next reply, if it is to be damaged.
    ///
    /// Damaged replies are spaced evenly rather than at random: a share of 0.5 damages every other reply in every run.
    pub fn draw(&self) -> Option<Damage> {
        let mut plan = self.damage.lock().expect("no panic while held");
        let plan = plan.as_mut().filter(|plan| plan.thousandths > 0)?;
        let before = plan.draws * plan.thousandths / THOUSANDTHS;
        plan.draws += 1;
        let after = plan.draws * plan.thousandths / THOUSANDTHS;
        (after > before).then_some(plan.damage)
    }

    /// Sets whether the load report is frozen.
    pub fn freeze_report(&self, frozen: bool) {
        self.frozen.store(frozen, Ordering::Relaxed);
    }

    /// Returns whether the load report is frozen.
    pub fn is_frozen(&self) -> bool {
        self.frozen.load(Ordering::Relaxed)
    }

    /// Sets whether the endpoint is leaving, and so refuses new calls.
    pub fn leave(&self, leaving: bool) {
        self.leaving.store(leaving, Ordering::Relaxed);
    }

    /// Returns whether the endpoint is leaving.
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Relaxed)
    }

    /// Sets a break for the next stream only.
    pub fn break_stream(&self, at: StreamBreak) {
        *self.stream_break.lock().expect("no panic while held") = Some(at);
    }

    /// Returns the break of the next stream, if there is one, and clears it.
    pub fn take_break(&self) -> Option<StreamBreak> {
        self.stream_break
            .lock()
            .expect("no panic while held")
            .take()
    }
}
