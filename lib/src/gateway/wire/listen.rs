//! Accepts connections for as long as the process lives, whatever single ones do.

use {
    std::{net::SocketAddr, time::Duration},
    tokio::net::{TcpListener, TcpStream},
};

/// Pause after a connection couldn't be accepted, for example for lack of descriptors: short against any deadline, long
/// enough not to spin.
const PAUSE: Duration = Duration::from_millis(50);

/// Passes each connection to `handle`; logs a failure to accept one as `event`, and goes on.
pub(crate) async fn accept_each(
    listener: TcpListener,
    event: &'static str,
    handle: impl FnMut(TcpStream, SocketAddr),
) {
    accept_each_or(listener, event, handle, || {}).await;
}

/// Does the same, and calls `make_room` after each failure, before the next try.
pub(crate) async fn accept_each_or(
    listener: TcpListener,
    event: &'static str,
    mut handle: impl FnMut(TcpStream, SocketAddr),
    make_room: impl Fn(),
) {
    loop {
        match listener.accept().await {
            Ok((stream, from)) => handle(stream, from),
            Err(error) => {
                log::warn!(error:%; "{event}");
                make_room();
                tokio::time::sleep(PAUSE).await;
            }
        }
    }
}
