//! Starts the tasks of a forwarding daemon. One that panics is logged, counted, and started again, since a daemon
//! without one of its tasks looks alive and doesn't work.

use {
    crate::{
        gateway::{dialect::Dialect, state::Gateway},
        shared::tasks::{RESTART_PAUSE, catch_panic, restart_panicked},
    },
    std::{fmt::Display, future::Future, rc::Rc},
    tokio::task::{AbortHandle, spawn_local},
};

impl<D: Dialect> Gateway<D> {
    /// Starts a task that runs as long as the daemon. It is started again whether it panics or returns.
    pub(crate) fn spawn_endless<F: Future<Output = ()> + 'static>(
        self: &Rc<Self>,
        name: &'static str,
        start: impl Fn() -> F + 'static,
    ) -> AbortHandle {
        let gateway = self.clone();
        let task = async move {
            loop {
                restart_panicked(&start, |panicked| gateway.record_end(name, panicked)).await;
                gateway.record_end(name, "returned");
                tokio::time::sleep(RESTART_PAUSE).await;
            }
        };
        spawn_local(task).abort_handle()
    }

    /// Starts a task that runs until its work is done. If it panics, it is started again.
    pub(crate) fn spawn_restarted<F: Future<Output = ()> + 'static>(
        self: &Rc<Self>,
        name: &'static str,
        start: impl Fn() -> F + 'static,
    ) -> AbortHandle {
        let gateway = self.clone();
        let task = restart_panicked(start, move |panicked| gateway.record_end(name, panicked));
        spawn_local(task).abort_handle()
    }

    /// Runs a future as a part of a task that has to go on. Returns `None` if the future panics.
    pub(crate) async fn run_caught<T>(
        &self,
        name: &'static str,
        future: impl Future<Output = T>,
    ) -> Option<T> {
        let result = catch_panic(future).await;
        result
            .inspect_err(|panicked| self.record_end(name, panicked))
            .ok()
    }

    fn record_end(&self, task: &str, reason: impl Display) {
        self.metrics.count_ended_task();
        log::error!(task, reason:%; "task.ended");
    }
}
