//! Loopback addresses of a run. Each run draws its own block of addresses, so that runs don't meet.

use std::{
    net::{Ipv4Addr, SocketAddr, TcpListener},
    time::{SystemTime, UNIX_EPOCH},
};

/// Ports that are the same on all machines, as on the platform.
pub const FRONT_PORT: u16 = 8625;
pub const READY_PORT: u16 = 8621;
pub const CONTROL_PORT: u16 = 8628;
pub const INTERNAL_PORTS: (u16, u16) = (7740, 7755);
pub const STORE_PORT: u16 = 8624;
pub const REPLICA_PORT: u16 = 8743;

/// Last byte of the addresses of the store, the daemons and the replicas.
const STORE: u8 = 200;
const DAEMONS: u8 = 10;
const REPLICAS: u8 = 50;

/// A block of loopback addresses.
#[derive(Clone, Copy)]
pub struct Network {
    high: u8,
    middle: u8,
}

impl Network {
    /// Draws a block whose store port is free.
    pub fn draw() -> Result<Self, String> {
        let time = SystemTime::now().duration_since(UNIX_EPOCH);
        let nanos = time.map_or(0, |time| time.as_nanos() as u64);
        let seed = nanos / 1_000 ^ u64::from(std::process::id()) << 7;
        for attempt in 0..50_u64 {
            let drawn = seed.wrapping_add(attempt.wrapping_mul(0x9e37_79b9));
            let network = Self {
                high: 1 + (drawn % 250) as u8,
                middle: 1 + (drawn / 250 % 250) as u8,
            };
            if TcpListener::bind(network.store()).is_ok() {
                return Ok(network);
            }
        }
        Err("no free loopback address was found".into())
    }

    fn ip(self, last: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.high, self.middle, last)
    }

    pub fn store(self) -> SocketAddr {
        (self.ip(STORE), STORE_PORT).into()
    }

    pub fn daemon_ip(self, number: u8) -> Ipv4Addr {
        self.ip(DAEMONS + number)
    }

    pub fn front(self, number: u8) -> SocketAddr {
        (self.daemon_ip(number), FRONT_PORT).into()
    }

    pub fn ready(self, number: u8) -> SocketAddr {
        (self.daemon_ip(number), READY_PORT).into()
    }

    pub fn replica(self, number: u8) -> SocketAddr {
        (self.ip(REPLICAS + number), REPLICA_PORT).into()
    }
}
