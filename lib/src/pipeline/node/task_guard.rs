//! Background tasks that are aborted when their owner is dropped, so that a dropped daemon leaves no task running.

use {std::future::Future, tokio::task::AbortHandle};

/// Starts a task that is aborted when the returned guard is dropped.
///
/// # Panics
///
/// Panics outside of a Tokio runtime.
pub fn spawn_guarded(task: impl Future<Output = ()> + Send + 'static) -> TaskGuard {
    TaskGuard(tokio::spawn(task).abort_handle())
}

/// Aborts a task when dropped.
#[derive(Debug)]
pub struct TaskGuard(AbortHandle);

impl Drop for TaskGuard {
    fn drop(&mut self) {
        self.0.abort();
    }
}
