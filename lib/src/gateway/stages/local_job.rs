//! Runs a job in this daemon's queue, for a request of this daemon or one of another daemon that sent the job here.

use crate::{
    gateway::{
        dialect::Dialect,
        stages::{
            job::{JobEnd, JobId, StageJob},
            queues::JobHandle,
        },
        state::Gateway,
    },
    shared::ids::ServiceId,
};

/// Cancels a job when it is dropped; does nothing if the job has ended.
struct CancelOnDrop<'a, D: Dialect> {
    gateway: &'a Gateway<D>,
    id: JobId,
}

impl<D: Dialect> Drop for CancelOnDrop<'_, D> {
    fn drop(&mut self) {
        // A job that has ended is no longer in the queue; cancelling it has no effect.
        self.gateway.state.borrow_mut().stage_queues.cancel(self.id);
        self.gateway.stage_work.notify_one();
    }
}

impl<D: Dialect> Gateway<D> {
    /// Runs a job in this daemon's queue and returns its outcome. Dropping the future cancels the job. The job fails
    /// if the service has no queue, because it runs no pieces, and if its request is quarantined: the daemon that handed
    /// it over may not know that yet.
    pub async fn run_locally(&self, service: &ServiceId, job: StageJob) -> JobEnd {
        if job
            .digest
            .is_some_and(|digest| self.check_digest(&digest).is_err())
        {
            return JobEnd::Failed;
        }
        self.refresh_stage_queues();
        let now = self.now();
        let handle = self.state.borrow_mut().stage_queues.add(now, service, job);
        let Some(JobHandle { id, receiver }) = handle else {
            return JobEnd::Failed;
        };
        let cancel = CancelOnDrop { gateway: self, id };
        self.stage_work.notify_one();
        // The sender is dropped only when the job ends or is cancelled, and only this future cancels it.
        let end = receiver.await.unwrap_or(JobEnd::Failed);
        drop(cancel);
        end
    }
}
