//! Long-lived tasks: none ends unnoticed.

use {
    futures_util::FutureExt,
    std::{future::Future, panic::AssertUnwindSafe, time::Duration},
    thiserror::Error,
};

/// Pause before a task that ended starts again, so that one that ends at once doesn't use up the processor.
pub(crate) const RESTART_PAUSE: Duration = Duration::from_millis(500);

/// A panic that ended a task.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("panicked: {0}")]
pub struct Panicked(String);

/// Runs a future; returns an error if it panics.
pub async fn catch_panic<T>(future: impl Future<Output = T>) -> Result<T, Panicked> {
    AssertUnwindSafe(future)
        .catch_unwind()
        .await
        .map_err(|payload| {
            let text = payload.downcast_ref::<String>().map(String::as_str);
            let text = text.or_else(|| payload.downcast_ref::<&str>().copied());
            Panicked(text.unwrap_or("no message").to_owned())
        })
}

/// Runs a task until it returns. If it panics, calls `on_panic`, and starts it again after a pause.
pub async fn restart_panicked<F: Future<Output = ()>>(
    start: impl Fn() -> F,
    on_panic: impl Fn(&Panicked),
) {
    while let Err(panicked) = catch_panic(start()).await {
        on_panic(&panicked);
        tokio::time::sleep(RESTART_PAUSE).await;
    }
}
