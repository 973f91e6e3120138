//! Tasks that end together with their owner.

use {std::future::Future, tokio::task::AbortHandle};

/// Starts a task that ends together with the returned guard.
pub fn spawn_guarded(task: impl Future<Output = ()> + Send + 'static) -> TaskGuard {
    TaskGuard(tokio::spawn(task).abort_handle())
}

/// Ends its task when it is dropped.
#[derive(Debug)]
pub struct TaskGuard(AbortHandle);

impl Drop for TaskGuard {
    fn drop(&mut self) {
        self.0.abort();
    }
}
