//! Accepts connections for as long as the process lives.

use {
    std::{net::SocketAddr, time::Duration},
    tokio::net::{TcpListener, TcpStream},
};

/// Pause after a connection couldn't be accepted, for lack of descriptors for example.
const PAUSE: Duration = Duration::from_millis(50);

/// Hands each connection to `take`; a failure is logged as `event`.
pub(crate) async fn accept_each(
    listener: TcpListener,
    event: &'static str,
    mut take: impl FnMut(TcpStream, SocketAddr),
) {
    loop {
        match listener.accept().await {
            Ok((stream, from)) => take(stream, from),
            Err(error) => {
                log::warn!(error:%; "{event}");
                tokio::time::sleep(PAUSE).await;
            }
        }
    }
}
