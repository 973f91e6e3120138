//! Tasks that end together with their owner, so that dropping a daemon leaves nothing running.

use {std::future::Future, tokio::task::AbortHandle};

/// Starts a task that ends together with the returned guard.
///
/// # Panics
///
/// Panics outside of a Tokio runtime.
pub fn spawn_guarded(task: impl Future<Output = ()> + Send + 'static) -> TaskGuard {
    TaskGuard(tokio::spawn(task).abort_handle())
}

/// Aborts its task when it is dropped.
#[derive(Debug)]
pub struct TaskGuard(AbortHandle);

impl Drop for TaskGuard {
    fn drop(&mut self) {
        self.0.abort();
    }
}
