//! A port that refuses every connection.

use {
    std::{io, net::SocketAddr},
    tokio::net::TcpSocket,
};

/// A port that is bound, but not listened on.
///
/// Binding it reserves it: a port that was released instead was reused by servers of other tests, which answered.
#[derive(Debug)]
pub struct ReservedPort {
    address: SocketAddr,
    _socket: TcpSocket,
}

impl ReservedPort {
    /// Binds an address. Port 0 selects a free one.
    ///
    /// # Errors
    ///
    /// Returns an error if the address can't be bound.
    pub fn bind(address: SocketAddr) -> io::Result<Self> {
        let socket = TcpSocket::new_v4()?;
        socket.bind(address)?;
        Ok(Self {
            address: socket.local_addr()?,
            _socket: socket,
        })
    }

    /// Returns the address that refuses connections.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}
