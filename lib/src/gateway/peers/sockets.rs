//! The two sockets for communication with other daemons, at one address: TCP for links, UDP for datagrams.

use {
    crate::gateway::peers::message::{Datagram, encode},
    std::{io, net::SocketAddr},
    tokio::net::{TcpListener, UdpSocket},
};

/// Largest datagram that can be received, in bytes: well above the largest that is sent.
pub(crate) const MAX_DATAGRAM: usize = 16 * 1024;

/// Number of further attempts to find a port that is free for both protocols, where the system chooses it.
const PORT_ATTEMPTS: u32 = 16;

/// Binds the TCP and the UDP socket for other daemons to the same port.
///
/// # Errors
///
/// Returns an error if the address is in use or doesn't belong to this host.
pub async fn bind(address: SocketAddr) -> io::Result<(TcpListener, UdpSocket)> {
    let mut attempts = 0;
    loop {
        let listener = TcpListener::bind(address).await?;
        match UdpSocket::bind(listener.local_addr()?).await {
            Ok(socket) => return Ok((listener, socket)),
            // A port that the system chose for one protocol may be taken in the other.
            Err(_) if address.port() == 0 && attempts < PORT_ATTEMPTS => attempts += 1,
            Err(error) => return Err(error),
        }
    }
}

/// Sends a datagram to each target, without waiting for space in the socket's buffer.
pub(crate) fn send_datagram(
    socket: &UdpSocket,
    datagram: &Datagram,
    targets: impl Iterator<Item = SocketAddr>,
) {
    let bytes = encode(datagram);
    for target in targets {
        // Datagrams may be lost anyway, and each is followed by a newer one, so a failure to
        // send one is ignored.
        let _ = socket.try_send_to(&bytes, target);
    }
}
