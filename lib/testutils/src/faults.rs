//! How a stand-in endpoint misbehaves, changeable while it runs.

use std::sync::{
    Mutex,
    atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering},
};

/// What is wrong with a reply.
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

/// Damages in the order of their codes.
const DAMAGES: [Damage; 7] = [
    Damage::Garbage,
    Damage::WrongIds,
    Damage::TooMuch,
    Damage::Truncated,
    Damage::Nothing,
    Damage::ServerError,
    Damage::NotRun,
];

/// Faults of one endpoint.
#[derive(Debug)]
pub struct Faults {
    /// Factor on all times, in thousandths.
    slowness: AtomicU32,
    /// Share of replies that are damaged, in thousandths.
    rate: AtomicU32,
    damage: AtomicU32,
    frozen: AtomicBool,
    leaving: AtomicBool,
    draws: AtomicU64,
    /// Token before which a stream breaks off, once.
    break_at: Mutex<Option<u32>>,
}

impl Default for Faults {
    fn default() -> Self {
        Self {
            slowness: AtomicU32::new(1000),
            rate: AtomicU32::new(0),
            damage: AtomicU32::new(0),
            frozen: AtomicBool::new(false),
            leaving: AtomicBool::new(false),
            draws: AtomicU64::new(0),
            break_at: Mutex::new(None),
        }
    }
}

impl Faults {
    /// Makes everything take `factor` times as long.
    pub fn slow_down(&self, factor: f64) {
        let thousandths = (factor * 1000.0) as u32;
        self.slowness.store(thousandths, Ordering::Relaxed);
    }

    /// Returns the factor on all times.
    pub fn slowness(&self) -> f64 {
        f64::from(self.slowness.load(Ordering::Relaxed)) / 1000.0
    }

    /// Damages this share of replies.
    pub fn damage(&self, damage: Damage, share: f64) {
        let code = DAMAGES.iter().position(|d| *d == damage).unwrap_or(0);
        self.damage.store(code as u32, Ordering::Relaxed);
        self.rate.store((share * 1000.0) as u32, Ordering::Relaxed);
    }

    /// Draws whether the next reply is damaged. Draws are spread evenly, not at random, so that a
    /// share of 0.5 damages every other reply in every run.
    pub fn draw(&self) -> Option<Damage> {
        let rate = u64::from(self.rate.load(Ordering::Relaxed));
        if rate == 0 {
            return None;
        }
        let n = self.draws.fetch_add(1, Ordering::Relaxed);
        let due = (n + 1) * rate / 1000 > n * rate / 1000;
        due.then(|| DAMAGES[self.damage.load(Ordering::Relaxed) as usize])
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

    /// Breaks the next stream off before this token, once.
    pub fn break_stream(&self, token: u32) {
        *self.break_at.lock().expect("no panic while held") = Some(token);
    }

    /// Takes the token before which a stream breaks off.
    pub fn take_break(&self) -> Option<u32> {
        self.break_at.lock().expect("no panic while held").take()
    }
}
