//! Converts jobs to and from the message that sends them to another daemon.
//!
//! Daemons share no clock: a job contains times of its daemon's clock, a message the time left.

use crate::{
    gateway::{
        peers::message::{JobOrder, LinkReply},
        rules::eligibility::AllowedDataCentres,
        stages::job::{JobEnd, StageJob},
    },
    shared::{
        ids::ServiceId,
        units::{ByteSize, Millis, Time},
    },
};

/// Microseconds in a millisecond.
const MICROS_PER_MS: u64 = 1_000;

impl JobOrder {
    /// Converts a job into a message sent at `now`, a time of this daemon's clock.
    pub fn from_job(now: Time, service: &ServiceId, job: &StageJob) -> Self {
        let objective_us = job.objective.0 as i64 - now.0 as i64;
        Self {
            service: service.clone(),
            request: job.request.clone(),
            stage: job.stage,
            pieces: job.pieces,
            input: job.input.clone(),
            remaining_ms: job.deadline.since(now).as_millis() as u64,
            objective_ms: objective_us / MICROS_PER_MS as i64,
            rank: job.rank,
            result: job.result.0,
            home: job.preferred.clone(),
            places: job.allowed.names(),
            moved: job.crossing_size.0,
            digest: job.digest,
            customer: job.customer,
        }
    }

    /// Converts a message received at `now`, a time of this daemon's clock, into a job.
    pub fn into_job(self, now: Time) -> StageJob {
        StageJob {
            request: self.request,
            digest: self.digest,
            stage: self.stage,
            pieces: self.pieces,
            input: self.input,
            deadline: now + Millis(self.remaining_ms),
            objective: time_from(now, self.objective_ms),
            rank: self.rank,
            customer: self.customer,
            result: ByteSize(self.result),
            preferred: self.home,
            allowed: AllowedDataCentres::of_names(self.places),
            crossing_size: ByteSize(self.moved),
        }
    }
}

/// Returns the time `offset_ms` milliseconds after `now`, or before it if the offset is negative;
/// at the earliest, the start of this daemon.
fn time_from(now: Time, offset_ms: i64) -> Time {
    if offset_ms >= 0 {
        now + Millis(offset_ms as u64)
    } else {
        now - Millis(offset_ms.unsigned_abs())
    }
}

/// Returns the outcome of a job at another daemon; `None` if there was no reply or if that daemon can't run jobs.
pub(crate) fn job_end(reply: Option<LinkReply>) -> Option<JobEnd> {
    match reply {
        Some(LinkReply::Job(end)) => Some(end),
        _ => None,
    }
}
