//! Runs a job in this daemon's own queue, whether a request of its own needs it or another daemon
//! handed it over.

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

/// Cancels a job when it is dropped before its end.
struct CancelOnDrop<'a, D: Dialect> {
    gateway: &'a Gateway<D>,
    id: JobId,
}

impl<D: Dialect> Drop for CancelOnDrop<'_, D> {
    fn drop(&mut self) {
        // A job that has ended isn't in the queue any more, and stays as it ended.
        self.gateway.state.borrow_mut().planning.cancel(self.id);
        self.gateway.work.notify_one();
    }
}

impl<D: Dialect> Gateway<D> {
    /// Runs a job in this daemon's queue; dropping the future cancels the job. A service without a
    /// queue runs no pieces, so that its job fails.
    pub async fn run_locally(&self, service: &ServiceId, job: StageJob) -> JobEnd {
        self.refresh_planning();
        let now = self.now();
        let handle = self.state.borrow_mut().planning.add(now, service, job);
        let Some(JobHandle { id, receiver }) = handle else {
            return JobEnd::Failed;
        };
        let cancel = CancelOnDrop { gateway: self, id };
        self.work.notify_one();
        // The sender is kept until the job ends or is cancelled, which only this future does.
        let end = receiver.await.unwrap_or(JobEnd::Failed);
        drop(cancel);
        end
    }
}
