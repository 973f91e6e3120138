//! Limits processes to a share of a core, as a host's quota does: a process runs at full speed until its quota of a period
//! is used, and then stands still until the next period.

#![allow(dead_code, reason = "each test file uses a part")]

use {
    rustix::process::{Pid, Signal, kill_process},
    std::{
        collections::BTreeMap,
        fs,
        sync::{
            Arc, Mutex,
            atomic::{AtomicBool, Ordering},
        },
        thread::{self, JoinHandle},
        time::{Duration, Instant},
    },
};

/// Length of a period.
const PERIOD: Duration = Duration::from_millis(100);

/// Time between two looks at the processes.
const LOOK_INTERVAL: Duration = Duration::from_millis(4);

/// The quota of one process.
#[derive(Debug)]
struct Quota {
    share: f64,
    /// Processor time at the begin of the period.
    used: Duration,
    period: Instant,
    is_stopped: bool,
    /// Whether the process stands still whatever it has used.
    is_paused: bool,
}

type Quotas = Arc<Mutex<BTreeMap<i32, Quota>>>;

/// Limits processes on a thread of its own; dropping it ends the thread.
#[derive(Debug)]
pub struct QuotaKeeper {
    quotas: Quotas,
    done: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl QuotaKeeper {
    pub fn start() -> Self {
        let quotas = Quotas::default();
        let done = Arc::new(AtomicBool::new(false));
        let (kept, ends) = (quotas.clone(), done.clone());
        let thread = thread::spawn(move || {
            while !ends.load(Ordering::Relaxed) {
                kept.lock().unwrap().retain(|id, quota| quota.look(*id));
                thread::sleep(LOOK_INTERVAL);
            }
        });
        Self {
            quotas,
            done,
            thread: Some(thread),
        }
    }

    /// Limits a process to a share of a core until it ends.
    pub fn limit(&self, id: u32, share: f64) {
        let quota = Quota {
            share,
            used: Duration::ZERO,
            period: Instant::now(),
            is_stopped: false,
            is_paused: false,
        };
        self.quotas.lock().unwrap().insert(id as i32, quota);
    }

    /// Lets a process stand still, or go on.
    pub fn set_paused(&self, id: u32, is_paused: bool) {
        if let Some(quota) = self.quotas.lock().unwrap().get_mut(&(id as i32)) {
            quota.is_paused = is_paused;
        }
    }
}

impl Drop for QuotaKeeper {
    fn drop(&mut self) {
        self.done.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

impl Quota {
    /// Stops or continues the process as its use requires; returns false if it has ended.
    fn look(&mut self, id: i32) -> bool {
        let Some(used) = processor_time(id) else {
            return false;
        };
        if !self.is_paused && self.period.elapsed() >= PERIOD {
            self.period = Instant::now();
            self.used = used;
            if std::mem::take(&mut self.is_stopped) {
                signal(id, Signal::CONT);
            }
        }
        let is_used = used.saturating_sub(self.used) >= PERIOD.mul_f64(self.share);
        if (is_used || self.is_paused) && !self.is_stopped {
            self.is_stopped = true;
            signal(id, Signal::STOP);
        }
        true
    }
}

/// Returns the processor time of a process's main thread, on which a daemon runs; `None` if it has ended.
pub fn processor_time(id: i32) -> Option<Duration> {
    let text = fs::read_to_string(format!("/proc/{id}/schedstat")).ok()?;
    let nanos = text.split(' ').next()?.parse().ok()?;
    Some(Duration::from_nanos(nanos))
}

fn signal(id: i32, signal: Signal) {
    if let Some(pid) = Pid::from_raw(id) {
        // The process may have ended.
        let _ = kill_process(pid, signal);
    }
}
