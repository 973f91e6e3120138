//! The two sockets for other daemons: one address, TCP for links and UDP for datagrams.

use {
    crate::gateway::peers::message::{Datagram, encode},
    std::{io, net::SocketAddr},
    tokio::net::{TcpListener, UdpSocket},
};

/// Largest datagram accepted, in bytes: well above the largest that is sent.
pub(crate) const DATAGRAM: usize = 16 * 1024;

/// Ports that are tried where the system chooses one.
const PORT_TRIES: u32 = 16;

/// Opens the sockets for other daemons, both at the same port.
///
/// # Errors
///
/// Returns an error when the address isn't free or not this host's own.
pub async fn bind(address: SocketAddr) -> io::Result<(TcpListener, UdpSocket)> {
    let mut tries = 0;
    loop {
        let listener = TcpListener::bind(address).await?;
        match UdpSocket::bind(listener.local_addr()?).await {
            Ok(socket) => return Ok((listener, socket)),
            // A port that the system chose for one protocol may be taken in the other.
            Err(_) if address.port() == 0 && tries < PORT_TRIES => tries += 1,
            Err(error) => return Err(error),
        }
    }
}

/// Sends a datagram to each target, without waiting for room in the socket's buffer.
pub(crate) fn send_datagram(
    socket: &UdpSocket,
    datagram: &Datagram,
    targets: impl Iterator<Item = SocketAddr>,
) {
    let bytes = encode(datagram);
    for target in targets {
        // Any datagram may be lost on its way, and each is followed by a newer one; one that can't
        // be sent is no different.
        let _ = socket.try_send_to(&bytes, target);
    }
}
