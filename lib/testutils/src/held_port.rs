//! A port on loopback that refuses every connection.

use {
    std::{io, net::SocketAddr},
    tokio::net::TcpSocket,
};

/// A port that is bound and not listened at, so that nobody else gets it meanwhile: one that was given back went to
/// servers of other tests, which answered.
#[derive(Debug)]
pub struct HeldPort {
    address: SocketAddr,
    _socket: TcpSocket,
}

impl HeldPort {
    /// Binds an address; port 0 chooses a free one.
    ///
    /// # Errors
    ///
    /// Returns an error when the address can't be bound.
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
