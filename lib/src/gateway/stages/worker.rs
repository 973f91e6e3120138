//! What the planner of a stage's service knows of one endpoint: its pace and its room.

use {
    crate::{
        gateway::{
            directory::catalogue::EndpointEntry, stages::job::ResultHandle, table::BatchLimits,
        },
        shared::units::{ByteSize, Millis, Time},
    },
    foldhash::HashMap,
    std::sync::Arc,
};

/// Part of an endpoint's room that is filled; sizes of results are known about only.
const ROOM_USED: f64 = 0.92;

/// Weight of a new pace in what is known, and the time for which it is believed.
const PACE_GAIN: f64 = 0.5;
const PACE_KEPT: Millis = Millis(3_000);

#[derive(Debug)]
pub(crate) struct Worker {
    pub(crate) entry: Arc<EndpointEntry>,
    pub(crate) calls: usize,
    pub(crate) known_pace: f64,
    pub(crate) pace_at: Time,
    pub(crate) passed_over_until: Time,
    /// Whether it may get calls at all.
    pub(crate) open: bool,
    /// Results believed to be kept there: their size, and when the endpoint drops them itself.
    pub(crate) kept: HashMap<ResultHandle, (ByteSize, Time)>,
    pub(crate) reserved: u64,
}

impl Worker {
    pub(crate) fn new(entry: Arc<EndpointEntry>) -> Self {
        Self {
            entry,
            calls: 0,
            known_pace: 1.0,
            pace_at: Time::default(),
            passed_over_until: Time::default(),
            open: true,
            kept: HashMap::default(),
            reserved: 0,
        }
    }

    pub(crate) fn pace(&self, now: Time) -> f64 {
        if now.since(self.pace_at) > PACE_KEPT.to_duration() {
            1.0
        } else {
            self.known_pace
        }
    }

    pub(crate) fn room(&mut self, now: Time, limits: &BatchLimits) -> u64 {
        self.kept.retain(|_, (_, until)| *until > now);
        let kept: u64 = self.kept.values().map(|(size, _)| size.0).sum();
        let room = (limits.room.0 as f64 * ROOM_USED) as u64;
        room.saturating_sub(kept + self.reserved)
    }

    /// Notes that a call has been out for much longer than expected.
    pub(crate) fn is_overdue(&mut self, now: Time, observed: f64) {
        self.known_pace = self.known_pace.max(observed);
        self.pace_at = now;
    }

    /// Returns whether a call may be planned for it.
    pub(crate) fn is_ready(&self, now: Time) -> bool {
        self.open && self.passed_over_until <= now
    }

    pub(crate) fn learn_pace(&mut self, now: Time, observed: f64) {
        let pace = self.pace(now);
        self.known_pace = (pace + PACE_GAIN * (observed - pace)).clamp(0.5, 20.0);
        self.pace_at = now;
    }
}
