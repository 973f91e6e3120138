//! Queries about the other daemons: which are alive, which coordinates a service, which have a newer table or endpoint
//! list.

use {
    crate::{
        gateway::{
            peers::{
                membership::Peers,
                message::{Heartbeat, Phase},
                record::ReceivedHeartbeat,
            },
            revision::Revision,
            rules::{
                allowed_regions::RegionHash,
                catch_up::{self, ListOffer, TableOffer},
                connection_shedding::{FleetLoad, MAX_REPORT_AGE},
                coordinator::{self, Coordinator, DaemonCandidate},
                fetch_turn::{self, Holders, Sources},
                unconfirmed_entry,
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

    /// Returns the addresses of the daemons that are alive, this one included.
    pub fn living_daemons(&self) -> impl Iterator<Item = SocketAddr> {
        let living = self.known.iter().filter(|(_, peer)| peer.alive);
        let living = living.map(|(address, _)| *address);
        living.chain([self.me.address])
    }

    /// Returns the addresses of the daemons of this region that are alive, this one included.
    pub fn living_in_region(&self) -> impl Iterator<Item = SocketAddr> {
        let living = self.known.iter().filter(|(_, peer)| peer.alive);
        let in_region = living.filter(|(_, peer)| !peer.is_remote);
        let addresses = in_region.map(|(address, _)| *address);
        addresses.chain([self.me.address])
    }

    /// Returns the addresses of the other daemons of this region that are known, alive or not.
    pub fn region_addresses(&self) -> impl Iterator<Item = SocketAddr> {
        let in_region = self.known.iter().filter(|(_, peer)| !peer.is_remote);
        in_region.map(|(address, _)| *address)
    }

    /// Returns the sequence number of this daemon's last heartbeat.
    pub(super) fn last_sequence(&self) -> u64 {
        self.sequence
    }

    /// Returns the address at which other daemons reach this one.
    pub fn local_address(&self) -> SocketAddr {
        self.me.address
    }

    /// Returns whether a daemon is alive.
    pub fn is_alive(&self, address: &SocketAddr) -> bool {
        self.known.get(address).is_some_and(|peer| peer.alive)
    }

    /// Returns the number of daemons that are alive, this one included.
    pub fn daemons(&self) -> usize {
        1 + self.known.values().filter(|peer| peer.alive).count()
    }

    /// Returns the number of living daemons in a region, this one included if it is there.
    pub fn daemons_in(&self, region: Option<RegionHash>) -> usize {
        let living = self.known.values().filter(|peer| peer.alive);
        let there = living.filter(|peer| peer.region == region);
        there.count() + usize::from(self.me.region == region)
    }

    /// Returns the number of daemons that are known, alive or not, this one included.
    pub fn known_daemons(&self) -> usize {
        1 + self.known.len()
    }

    /// Returns whether a living daemon of this region that isn't stopping has more capacity than this one.
    pub fn has_stronger(&self) -> bool {
        let in_region = self.known.values().filter(|peer| !peer.is_remote);
        let mut living = in_region.filter(|peer| peer.alive);
        living.any(|peer| peer.capacity > self.me.capacity && peer.phase != Phase::Stopping)
    }

    /// Returns the last received heartbeat of each living daemon.
    pub fn heartbeats(&self) -> impl Iterator<Item = &Heartbeat> {
        self.received().map(|last| &last.heartbeat)
    }

    /// Returns the last received heartbeat of each living daemon in this region.
    pub fn region_heartbeats(&self) -> impl Iterator<Item = &Heartbeat> {
        let in_region = self.known.values().filter(|peer| !peer.is_remote);
        let living = in_region.filter(|peer| peer.alive);
        living.filter_map(|peer| Some(&peer.last_heartbeat.as_ref()?.heartbeat))
    }

    /// Returns how many daemons of this region have processor time to spare, as far as their heartbeats arrive here: those
    /// of this data centre if there are any.
    pub(crate) fn fleet_load(&self, now: Time) -> FleetLoad {
        let living = self.known.values().filter(|peer| peer.alive);
        let in_region = living.filter(|peer| !peer.is_remote);
        let received = in_region.filter_map(|peer| peer.last_heartbeat.as_ref());
        let recent = received.filter(|last| now.since(last.at) < MAX_REPORT_AGE.to_duration());
        let (mut near, mut all) = (FleetLoad::default(), FleetLoad::default());
        for ReceivedHeartbeat { heartbeat, .. } in recent {
            all.add(heartbeat.exhausted);
            if heartbeat.data_centre == self.me.data_centre {
                near.add(heartbeat.exhausted);
            }
        }
        if near.heard > 0 { near } else { all }
    }

    /// Returns whether any daemon has read the directory without failures for some time, which means that
    /// a failure seen here affects this daemon only.
    pub fn has_steady_peer(&self, now: Time) -> bool {
        self.received().any(|last| {
            let read_age = last.read_age(now);
            last.heartbeat.steady && read_age.is_some_and(unconfirmed_entry::is_current)
        })
    }

    /// Returns the time since the most recent read of the directory reported by the daemons that broadcast their
    /// heartbeats. Reads by this daemon that they forward don't count.
    pub fn read_age(&self, now: Time) -> Option<Millis> {
        self.received()
            .filter(|last| last.heartbeat.broadcasts)
            .filter(|last| last.heartbeat.read_by != Some(self.me.address))
            .filter_map(|last| last.read_age(now))
            .min()
    }

    /// Returns the daemons whose directory reads the coordinators of this region forward, and the ages of these reads.
    /// These are substitutes and readers in other regions, whose heartbeats reach few daemons here.
    pub fn substitute_reads(&self, now: Time) -> impl Iterator<Item = (SocketAddr, Millis)> {
        let living = self.known.values().filter(|peer| peer.alive);
        living.filter_map(move |peer| {
            let last = peer.last_heartbeat.as_ref()?;
            let is_forwarded = peer.is_remote && last.heartbeat.read_by.is_some();
            let is_direct = last.heartbeat.broadcasts && !peer.is_remote;
            if is_forwarded || is_direct {
                return None;
            }
            Some((last.heartbeat.address, last.read_age(now)?))
        })
    }

    /// Returns the tables that the chosen daemons report.
    pub fn table_offers(&self, sources: Sources) -> impl Iterator<Item = TableOffer> {
        let offering = self.offering(sources);
        offering.map(|heartbeat| TableOffer {
            address: heartbeat.address,
            version: heartbeat.table,
            fingerprint: heartbeat.fingerprint,
            in_chunks: heartbeat.table_until.is_some(),
        })
    }

    /// Returns the highest directory revision up to which the daemons with the given table report no newer one;
    /// 0 if no daemon reports it.
    pub fn table_until(&self, version: Version, fingerprint: u64) -> Revision {
        let same = self
            .heartbeats()
            .filter(|heartbeat| heartbeat.table == version && heartbeat.fingerprint == fingerprint);
        let revisions = same.filter_map(Heartbeat::table_revision);
        revisions.max().unwrap_or_default()
    }

    /// Returns whether a daemon has a table newer than `version`.
    pub fn has_newer_table(&self, version: Version) -> bool {
        self.heartbeats().any(|heartbeat| heartbeat.table > version)
    }

    /// Returns whether a daemon has an endpoint list newer than `revision`.
    pub fn has_newer_catalogue(&self, revision: Revision) -> bool {
        let mut offers = self.catalogue_offers(Sources::Any);
        offers.any(|offer| offer.revision > revision)
    }

    /// Returns the daemon to ask for an endpoint list newer than `revision`. `fraction` is a random number from 0 to 1
    /// that chooses among several.
    pub fn newer_catalogue(
        &self,
        revision: Revision,
        sources: Sources,
        fraction: f64,
    ) -> Option<SocketAddr> {
        catch_up::list_source(self.catalogue_offers(sources), revision, fraction)
    }

    /// Returns which daemons have an endpoint list newer than `revision`.
    pub fn catalogue_holders(&self, now: Time, revision: Revision) -> Holders {
        self.holders(now, |heartbeat| heartbeat.list_revision() > revision)
    }

    /// Returns which daemons have a table newer than `version`.
    pub fn table_holders(&self, now: Time, version: Version) -> Holders {
        self.holders(now, |heartbeat| heartbeat.table > version)
    }

    fn holders(&self, now: Time, has: impl Fn(&Heartbeat) -> bool) -> Holders {
        let fresh = self
            .received()
            .filter(|last| now.since(last.at) <= fetch_turn::MAX_HEARTBEAT_AGE.to_duration());
        let mut holders = Holders::default();
        for last in fresh {
            holders.add(last.heartbeat.broadcasts, has(&last.heartbeat));
        }
        holders
    }

    /// Returns the last heartbeats of the living daemons that `sources` includes.
    fn offering(&self, sources: Sources) -> impl Iterator<Item = &Heartbeat> {
        let heartbeats = self.heartbeats();
        heartbeats.filter(move |heartbeat| sources.include(heartbeat.broadcasts))
    }

    fn catalogue_offers(&self, sources: Sources) -> impl Iterator<Item = ListOffer> {
        self.offering(sources).map(|heartbeat| ListOffer {
            address: heartbeat.address,
            revision: heartbeat.list_revision(),
        })
    }

    /// Returns the coordinator of a service in this region. `ready` is set if this daemon may coordinate. Daemons in
    /// `except` are excluded, since they already failed to accept the current job.
    pub fn coordinator(
        &self,
        now: Time,
        service: &ServiceId,
        ready: bool,
        except: &[SocketAddr],
    ) -> Coordinator {
        let me = self.candidate();
        let in_region = self.known.iter().filter(|(_, peer)| !peer.is_remote);
        let peers = in_region.map(|(address, peer)| peer.coordinator_state(*address));
        coordinator::coordinator(now, service, me, ready, peers, except)
    }

    /// Returns the coordinator of a service in another region; `None` if no daemon there can coordinate.
    pub fn remote_coordinator(
        &self,
        now: Time,
        service: &ServiceId,
        region: RegionHash,
        except: &[SocketAddr],
    ) -> Option<SocketAddr> {
        let there = self
            .known
            .iter()
            .filter(|(_, peer)| peer.is_remote && peer.region == Some(region));
        let peers = there.map(|(address, peer)| peer.coordinator_state(*address));
        let me = self.candidate();
        match coordinator::coordinator(now, service, me, false, peers, except) {
            Coordinator::Peer(address) => Some(address),
            Coordinator::Local => None,
        }
    }

    /// Returns this daemon as a candidate for coordinator.
    pub(super) fn candidate(&self) -> DaemonCandidate {
        DaemonCandidate {
            address: self.me.address,
            capacity: self.me.capacity,
        }
    }

    fn received(&self) -> impl Iterator<Item = &ReceivedHeartbeat> {
        self.known
            .values()
            .filter(|peer| peer.alive)
            .filter_map(|peer| peer.last_heartbeat.as_ref())
    }
}
