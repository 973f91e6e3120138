//! Copies bytes between the two connections of a relay.

use {
    crate::gateway::reach::{relay_frames::copy_framed, relay_protocol::RelayProtocol},
    std::{io, time::Duration},
    tokio::{
        io::{AsyncWriteExt, copy},
        net::TcpStream,
        time::timeout,
    },
};

/// Maximum time to read what the other daemon still sends after the endpoint has closed its connection. Closing a
/// connection with unread bytes would reset it, and the end of the reply could be lost.
const DRAIN_LIMIT: Duration = Duration::from_millis(500);

/// Copies bytes between the daemon that asked for the relay and the endpoint until one of them closes its connection or
/// a connection fails.
///
/// If the daemon closes, the endpoint's connection is closed at once, so that the endpoint drops the request. If a
/// connection fails, the daemon's connection is reset: a reply without a length would look complete otherwise at a daemon
/// that doesn't know frames.
pub(super) async fn relay(mut daemon: TcpStream, mut endpoint: TcpStream, protocol: RelayProtocol) {
    let (mut from_daemon, mut to_daemon) = daemon.split();
    let (mut from_endpoint, mut to_endpoint) = endpoint.split();
    let reply = async {
        match protocol {
            RelayProtocol::Plain => copy(&mut from_endpoint, &mut to_daemon).await.map(drop),
            RelayProtocol::Framed => copy_framed(&mut from_endpoint, &mut to_daemon).await,
        }
    };
    let ended: io::Result<bool> = tokio::select! {
        request = copy(&mut from_daemon, &mut to_endpoint) => request.map(|_| false),
        reply = reply => reply.map(|()| true),
    };
    match ended {
        Ok(true) => {
            // Both steps fail only if the daemon has closed its connection.
            let _ = to_daemon.shutdown().await;
            let _ = timeout(DRAIN_LIMIT, copy(&mut from_daemon, &mut tokio::io::sink())).await;
        }
        Ok(false) => {}
        Err(_) => {
            // Without the option the connection would be closed in order.
            let _ = daemon.set_zero_linger();
        }
    }
}
