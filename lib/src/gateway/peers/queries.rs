//! Questions about the other daemons: who is alive, who coordinates, who has something newer.

use {
    crate::{
        gateway::{
            peers::{membership::Peers, message::Heartbeat, record::ReceivedHeartbeat},
            rules::{
                catch_up::{self, Offer},
                coordinator::{self, Coordinator, DaemonCandidate},
            },
            table::Version,
        },
        shared::{
            ids::ServiceId,
            units::{Millis, Time},
        },
    },
    std::net::SocketAddr,
};

impl Peers {
    /// Returns the addresses of all other daemons that are known, alive or not.
    pub fn addresses(&self) -> impl Iterator<Item = SocketAddr> {
        self.known.keys().copied()
    }

    /// Returns whether a daemon is alive.
    pub fn is_alive(&self, address: &SocketAddr) -> bool {
        self.known.get(address).is_some_and(|peer| peer.alive)
    }

    /// Returns the number of daemons that are alive, this one included.
    pub fn daemons(&self) -> usize {
        1 + self.known.values().filter(|peer| peer.alive).count()
    }

    /// Returns the last heartbeats that were received here of daemons that are alive.
    pub fn heartbeats(&self) -> impl Iterator<Item = &Heartbeat> {
        self.received().map(|last| &last.heartbeat)
    }

    /// Returns whether any daemon has read the directory without a failure for a while, so that a
    /// failure here is this daemon's own.
    pub fn has_steady_peer(&self) -> bool {
        self.heartbeats().any(|heartbeat| heartbeat.steady)
    }

    /// Returns the time since the directory last answered the daemon that read it last, among
    /// those that send everybody their heartbeats.
    pub fn read_age(&self, now: Time) -> Option<Millis> {
        self.received()
            .filter(|last| last.heartbeat.broadcasts)
            .filter_map(|last| {
                let read = u64::from(last.heartbeat.read_ms?);
                Some(Millis(now.since(last.at).as_millis() as u64 + read))
            })
            .min()
    }

    /// Returns the daemon with the newest table of those newer than `version`.
    pub fn newer_table(&self, version: Version) -> Option<SocketAddr> {
        let offers = self.heartbeats().map(|heartbeat| Offer {
            address: heartbeat.address,
            revision: heartbeat.table,
        });
        catch_up::newest(offers, version)
    }

    /// Returns the daemon with the newest list of endpoints of those newer than `revision`.
    pub fn newer_catalogue(&self, revision: u64) -> Option<SocketAddr> {
        let offers = self.heartbeats().map(|heartbeat| Offer {
            address: heartbeat.address,
            revision: heartbeat.catalogue,
        });
        catch_up::newest(offers, revision)
    }

    /// Returns the coordinator of a service. `ready` is set if this daemon may coordinate;
    /// daemons in `except` already failed for the job at hand.
    pub fn coordinator(
        &self,
        now: Time,
        service: &ServiceId,
        ready: bool,
        except: &[SocketAddr],
    ) -> Coordinator {
        let me = DaemonCandidate {
            address: self.me.address,
            capacity: self.me.capacity,
        };
        let peers = self
            .known
            .iter()
            .map(|(address, peer)| peer.standing(*address));
        coordinator::coordinator(now, service, me, ready, peers, except)
    }

    fn received(&self) -> impl Iterator<Item = &ReceivedHeartbeat> {
        self.known
            .values()
            .filter(|peer| peer.alive)
            .filter_map(|peer| peer.last_heartbeat.as_ref())
    }
}
