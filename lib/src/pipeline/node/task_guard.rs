//! Background tasks that are aborted when their owner is dropped, so that a dropped daemon leaves no task running.

use {crate::shared::tasks::restart_panicked, std::future::Future, tokio::task::AbortHandle};

/// Starts a task that is aborted when the returned guard is dropped. If it panics, that is logged, and it is started
/// again.
///
/// # Panics
///
/// Panics outside of a Tokio runtime.
pub fn spawn_guarded<F: Future<Output = ()> + Send + 'static>(
    name: &'static str,
    start: impl Fn() -> F + Send + Sync + 'static,
) -> TaskGuard {
    let task = restart_panicked(start, move |panicked| {
        log::error!(task = name, reason:% = panicked; "task ended, it is started again");
    });
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
