//! How a stand-in endpoint misbehaves, changeable while it runs.

use {
    std::sync::{
        Mutex,
        atomic::{AtomicBool, AtomicU32, Ordering},
    },
    tokio::sync::watch,
};

/// Damage of a reply.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Damage {
    /// Bytes that aren't JSON or events.
    Garbage,
    /// The ids of another call.
    WrongIds,
    /// More bytes than any limit allows.
    TooMuch,
    /// A body that breaks off.
    Truncated,
    /// No reply at all: the connection breaks off after the work ran.
    Nothing,
    /// A server error after the work ran.
    ServerError,
    /// A refusal before the work ran.
    NotRun,
}

/// A share of one in thousandths: the scale of draws.
const WHOLE: u64 = 1_000;

/// Damage of a share of replies.
#[derive(Debug)]
struct DamagePlan {
    damage: Damage,
    thousandths: u64,
    draws: u64,
}

/// A break of one stream at a fixed token.
///
/// An HTTP server that fails a body drops what it hasn't written yet, so a break right after a
/// token may lose any number of tokens before it. A break therefore waits until the reader has all
/// of them.
#[derive(Debug, Clone)]
pub struct StreamBreak {
    /// Token before which the stream breaks off.
    pub token: u32,
    /// Number of tokens that the reader has received.
    pub received: watch::Receiver<u32>,
}

/// Faults of one endpoint.
#[derive(Debug)]
pub struct Faults {
    /// Factor on all times, in thousandths.
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
            slowness: AtomicU32::new(WHOLE as u32),
            damage: Mutex::new(None),
            frozen: AtomicBool::new(false),
            leaving: AtomicBool::new(false),
            stream_break: Mutex::new(None),
        }
    }
}

impl Faults {
    /// Makes everything take `factor` times as long.
    pub fn slow_down(&self, factor: f64) {
        let thousandths = (factor * WHOLE as f64) as u32;
        self.slowness.store(thousandths, Ordering::Relaxed);
    }

    /// Returns the factor on all times.
    pub fn slowness(&self) -> f64 {
        f64::from(self.slowness.load(Ordering::Relaxed)) / WHOLE as f64
    }

    /// Damages this share of replies, from 0 to 1.
    pub fn damage(&self, damage: Damage, share: f64) {
        let thousandths = (share * WHOLE as f64) as u64;
        let mut plan = self.damage.lock().expect("no panic while held");
        let draws = plan.as_ref().map_or(0, |plan| plan.draws);
        *plan = Some(DamagePlan {
            damage,
            thousandths,
            draws,
        });
    }

    /// Draws whether the next reply is damaged. Draws are spread evenly, not at random, so that a
    /// share of 0.5 damages every other reply in every run.
    pub fn draw(&self) -> Option<Damage> {
        let mut plan = self.damage.lock().expect("no panic while held");
        let plan = plan.as_mut().filter(|plan| plan.thousandths > 0)?;
        let before = plan.draws * plan.thousandths / WHOLE;
        plan.draws += 1;
        let after = plan.draws * plan.thousandths / WHOLE;
        (after > before).then_some(plan.damage)
    }

    /// Freezes the load report, or thaws it.
    pub fn freeze_report(&self, frozen: bool) {
        self.frozen.store(frozen, Ordering::Relaxed);
    }

    /// Returns whether the load report is frozen.
    pub fn is_frozen(&self) -> bool {
        self.frozen.load(Ordering::Relaxed)
    }

    /// Makes the endpoint refuse new work because it is leaving.
    pub fn leave(&self, leaving: bool) {
        self.leaving.store(leaving, Ordering::Relaxed);
    }

    /// Returns whether the endpoint is leaving.
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Relaxed)
    }

    /// Breaks the next stream off, once.
    pub fn break_stream(&self, at: StreamBreak) {
        *self.stream_break.lock().expect("no panic while held") = Some(at);
    }

    /// Takes the break of the next stream.
    pub fn take_break(&self) -> Option<StreamBreak> {
        self.stream_break
            .lock()
            .expect("no panic while held")
            .take()
    }
}
