//! Tasks that panic.

use {
    hazelyoke_lib::shared::tasks::{catch_panic, restart_panicked},
    std::cell::Cell,
    tokio::task::yield_now,
};

/// A task is started again after each panic, until it returns.
#[tokio::test(start_paused = true)]
async fn restarted_task() {
    let (starts, panics) = (Cell::new(0), Cell::new(0));
    let task = || async {
        starts.set(starts.get() + 1);
        yield_now().await;
        assert!(starts.get() > 3, "start {}", starts.get());
    };
    restart_panicked(task, |panicked| {
        panics.set(panics.get() + 1);
        assert_eq!(
            panicked.to_string(),
            format!("panicked: start {}", panics.get())
        );
    })
    .await;
    assert_eq!((starts.get(), panics.get()), (4, 3));
}

/// A future that doesn't panic returns its value.
#[tokio::test]
async fn caught_panic() {
    assert_eq!(catch_panic(async { 7 }).await, Ok(7));
    let panicked = catch_panic(async { panic!("why") }).await;
    assert_eq!(
        panicked.map_err(|error| error.to_string()),
        Err("panicked: why".into())
    );
}
