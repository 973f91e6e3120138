//! Fetches a newer table from daemons that report one, in chunks.
//!
//! Owns the chunks of the table that is being fetched: they are kept when a source fails or is busy, and
//! the next source is asked for the missing ones. Which daemon is asked, and when, is decided by the
//! rule [`catch_up`](crate::gateway::rules::catch_up).

use {
    crate::{
        gateway::{
            dialect::Dialect,
            directory::adopt_table::TableAdoption,
            peers::{
                link_socket::FETCH_TIMEOUT,
                message::{LinkReply, LinkRequest},
            },
            revision::Revision,
            rules::{
                catch_up::{TableOffer, behind_since, busy_pause, is_fetch_due, table_source},
                directory_reads::ReadDuty,
                fetch_turn::{self, Holders, Sources},
                gossip::HEARTBEAT,
            },
            serving::metrics::TableSource,
            state::Gateway,
            table_chunks::{ChunkError, ChunkList, ChunkMark, PartialTable},
        },
        shared::units::Time,
    },
    bytes::Bytes,
    std::{net::SocketAddr, rc::Rc},
    thiserror::Error,
    tokio::time::{MissedTickBehavior, interval, timeout},
};

/// Reason for which a request to a source made no progress on the table.
#[derive(Debug, Error)]
enum FetchError {
    /// The source already uses its network link in full.
    #[error("the peer is busy sending to others")]
    Busy,
    /// The source didn't reply in time, or the link broke.
    #[error("the peer didn't reply within {FETCH_TIMEOUT:?}, or the link broke")]
    NoReply,
    /// The source no longer has what was asked for, or sent a reply of the wrong kind.
    #[error("the peer can't send the requested table data")]
    Unable,
    /// The source sent invalid chunks.
    #[error(transparent)]
    Chunks(#[from] ChunkError),
    /// The table isn't newer or was refused; [`Gateway::adopt_table`] logs the reason.
    #[error("the received table wasn't adopted")]
    NotAdopted,
}

/// Fetches newer tables as soon as another daemon reports one, until the process ends.
pub async fn run_table_fetch<D: Dialect>(gateway: Rc<Gateway<D>>) {
    let mut ticks = interval(HEARTBEAT.to_duration());
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut fetch = TableFetch {
        gateway: gateway.clone(),
        partial: None,
        last_failed: None,
        drawn: None,
    };
    loop {
        tokio::select! {
            _ = ticks.tick() => {}
            () = gateway.newer_table.notified() => {}
        }
        fetch.run().await;
    }
}

/// The fetch of one table, from any number of daemons.
struct TableFetch<D: Dialect> {
    gateway: Rc<Gateway<D>>,
    partial: Option<PartialTable>,
    /// The daemon that was last busy or failed.
    last_failed: Option<SocketAddr>,
    /// Time at which this daemon last drew whether it is its turn to ask.
    drawn: Option<Time>,
}

impl<D: Dialect> TableFetch<D> {
    /// Fetches until there is no newer table, or a source fails.
    async fn run(&mut self) {
        while let Some(source) = self.next_source() {
            let began = self.gateway.now();
            let Err(error) = self.advance(source).await else {
                self.last_failed = None;
                continue;
            };
            self.last_failed = Some(source.address);
            if matches!(error, FetchError::Busy) {
                tokio::time::sleep(busy_pause(rand::random())).await;
                continue;
            }
            let took_ms = self.gateway.now().millis_since(began);
            let received = self.partial.as_ref().map_or(0, PartialTable::received);
            log::info!(
                peer:% = source.address,
                version = source.version,
                received,
                took_ms,
                error:%;
                "table.fetch_failed"
            );
            self.gateway.metrics.count_failed_fetch();
            return;
        }
    }

    /// Returns the daemon to ask next; `None` if no daemon has a newer table, if the directory is expected to send
    /// it, or if it isn't this daemon's turn.
    fn next_source(&mut self) -> Option<TableOffer> {
        let is_reader = self.gateway.read_duty() == ReadDuty::Read;
        let reads = self.gateway.published().is_some() && is_reader;
        if !self.is_due(reads) {
            return None;
        }
        let state = self.gateway.state.borrow();
        let version = state.table_version();
        let now = self.gateway.now();
        let holders = state.peers.table_holders(now, version);
        let daemons = state.peers.daemons();
        drop(state);
        let sources = if self.partial.is_some() {
            // A fetch that has begun continues with any source.
            Sources::Any
        } else if self.is_turn(now, holders, daemons) {
            fetch_turn::sources(holders, daemons, rand::random())
        } else {
            return None;
        };
        let state = self.gateway.state.borrow();
        let offers: Vec<TableOffer> = state.peers.table_offers(sources).collect();
        table_source(&offers, version, self.last_failed, rand::random())
    }

    /// Records since when another daemon has had a newer table; returns whether to fetch it from a peer.
    fn is_due(&mut self, reads: bool) -> bool {
        let now = self.gateway.now();
        let mut state = self.gateway.state.borrow_mut();
        let version = state.table_version();
        let is_newer = state.peers.has_newer_table(version);
        state.behind_since.table = behind_since(now, state.behind_since.table, is_newer);
        state.newer_since = behind_since(now, state.newer_since, is_newer);
        if !is_newer {
            self.partial = None;
        }
        is_fetch_due(now, state.newer_since, reads)
    }

    /// Draws whether it is this daemon's turn to ask, at most once per heartbeat interval.
    fn is_turn(&mut self, now: Time, holders: Holders, daemons: usize) -> bool {
        if fetch_turn::is_certain(holders, daemons) {
            return true;
        }
        let is_recent = |drawn| now.since(drawn) < HEARTBEAT.to_duration();
        if self.drawn.is_some_and(is_recent) {
            return false;
        }
        self.drawn = Some(now);
        fetch_turn::is_turn(holders, daemons, rand::random())
    }

    /// Asks a daemon for what is missing next: the chunk list, a batch of chunks, or the whole table.
    async fn advance(&mut self, source: TableOffer) -> Result<(), FetchError> {
        if !source.in_chunks {
            return self.fetch_whole(source).await;
        }
        let begun = self.partial.as_ref();
        let is_begun = begun.is_some_and(|begun| begun.list().fingerprint == source.fingerprint);
        if !is_begun {
            self.fetch_list(source.address).await?;
        }
        let missing = self.partial.as_ref().map(PartialTable::missing);
        match missing {
            Some(missing) if !missing.is_empty() => {
                self.fetch_chunks(source.address, &missing).await?;
            }
            _ => {}
        }
        self.adopt_if_complete(source)
    }

    async fn fetch_list(&mut self, peer: SocketAddr) -> Result<(), FetchError> {
        let LinkReply::ChunkList(list) = self.request(peer, LinkRequest::ChunkList).await? else {
            return Err(FetchError::Unable);
        };
        self.begin(list)
    }

    /// Begins a fetch with the chunks of the new table that this daemon already has.
    fn begin(&mut self, list: ChunkList) -> Result<(), FetchError> {
        let published = self.gateway.published();
        let current = published.as_ref().map(|published| published.chunks());
        self.partial = Some(PartialTable::new(list, current, self.partial.take())?);
        Ok(())
    }

    async fn fetch_chunks(
        &mut self,
        peer: SocketAddr,
        missing: &[ChunkMark],
    ) -> Result<(), FetchError> {
        let wanted = missing.iter().map(|mark| mark.hash).collect();
        let LinkReply::Chunks { batch } = self.request(peer, LinkRequest::Chunks(wanted)).await?
        else {
            return Err(FetchError::Unable);
        };
        self.record_bytes(batch.len());
        if let Some(partial) = &mut self.partial {
            partial.add(missing, &batch)?;
        }
        let now = self.gateway.now();
        let mut state = self.gateway.state.borrow_mut();
        state.behind_since = state.behind_since.after_chunk(now);
        Ok(())
    }

    fn adopt_if_complete(&mut self, source: TableOffer) -> Result<(), FetchError> {
        let Some(partial) = &self.partial else {
            return Ok(());
        };
        if !partial.missing().is_empty() {
            return Ok(());
        }
        let list = partial.list();
        let revision = Revision::reported(list.era, list.revision);
        let joined = partial.join();
        if joined.is_err() {
            // A chunk doesn't match its hash, or the list is wrong: everything is fetched again.
            self.partial = None;
        }
        self.adopt(source, &joined?)?;
        self.gateway.record_newest_table(revision);
        Ok(())
    }

    /// Fetches the table from a daemon of an older release, which sends it whole.
    async fn fetch_whole(&mut self, source: TableOffer) -> Result<(), FetchError> {
        let reply = self.request(source.address, LinkRequest::Table).await?;
        let LinkReply::Table { bytes } = reply else {
            return Err(FetchError::Unable);
        };
        self.record_bytes(bytes.len());
        self.adopt(source, &Bytes::from(bytes))
    }

    fn adopt(&mut self, source: TableOffer, bytes: &Bytes) -> Result<(), FetchError> {
        let peer = source.address;
        let adoption = self.gateway.adopt_table(bytes, &format!("peer {peer}"));
        let in_force = self.gateway.state.borrow().table_version();
        match adoption {
            TableAdoption::Adopted => Ok(()),
            // The same table, or a later one, has come from elsewhere meanwhile.
            TableAdoption::Known if in_force >= source.version => Ok(()),
            // A source that restarted may have an older table than its last heartbeat reported. If asked again
            // at once, it would send the same one.
            TableAdoption::Known | TableAdoption::Refused => Err(FetchError::NotAdopted),
        }
    }

    fn record_bytes(&self, bytes: usize) {
        let metrics = &self.gateway.metrics;
        metrics.count_table_bytes(TableSource::Peer, bytes);
    }

    async fn request(
        &self,
        peer: SocketAddr,
        request: LinkRequest,
    ) -> Result<LinkReply, FetchError> {
        let reply = self.gateway.links.request(peer, request);
        match timeout(FETCH_TIMEOUT, reply).await {
            Ok(Some(LinkReply::Busy)) => Err(FetchError::Busy),
            Ok(Some(reply)) => Ok(reply),
            Ok(None) | Err(_) => Err(FetchError::NoReply),
        }
    }
}
