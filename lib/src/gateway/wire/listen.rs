//! Accepts connections until the task is aborted. A failure to accept one connection doesn't end the loop.

use {
    std::{net::SocketAddr, time::Duration},
    tokio::net::{TcpListener, TcpStream},
};

/// Pause after a connection couldn't be accepted, for example because the process is out of file descriptors. It is
/// short compared to any deadline, and long enough to avoid a busy loop.
const RETRY_PAUSE: Duration = Duration::from_millis(50);

/// Passes each connection to `handle`. A failure to accept one is logged as `event`.
pub(crate) async fn accept_each(
    listener: &TcpListener,
    event: &'static str,
    handle: impl FnMut(TcpStream, SocketAddr),
) {
    accept_each_with(listener, event, handle, || {}).await;
}

/// Like [`accept_each`], but also calls `on_failure` after each failure, before the next attempt.
pub(crate) async fn accept_each_with(
    listener: &TcpListener,
    event: &'static str,
    mut handle: impl FnMut(TcpStream, SocketAddr),
    on_failure: impl Fn(),
) {
    loop {
        match listener.accept().await {
            Ok((stream, from)) => handle(stream, from),
            Err(error) => {
                log::warn!(error:%; "{event}");
                on_failure();
                tokio::time::sleep(RETRY_PAUSE).await;
            }
        }
    }
}
