//! The origins of streams that this daemon knows, and the messages about them.
//!
//! The store has no clock and no socket: callers pass the time of the daemon's clock and the daemons to tell or to ask,
//! and send the entries that the store collects.

use {
    crate::{
        gateway::{
            request_digest::RequestDigest,
            request_memory::{outbox::Outbox, queries::PendingQueries},
            rules::stream_origin::{MAX_ORIGINS, ORIGIN_LIFETIME, StreamOrigin},
            stream_origins::note::{OriginEntries, OriginNote},
        },
        shared::units::Time,
    },
    foldhash::HashMap,
    std::{collections::VecDeque, net::SocketAddr},
};

/// An origin and the time until which it is remembered.
#[derive(Debug, Clone, Copy)]
struct KnownOrigin {
    origin: StreamOrigin,
    until: Time,
}

/// A stream that this daemon relays and whose origin others hold.
#[derive(Debug)]
struct OpenStream {
    origin: StreamOrigin,
    /// Daemons that were told the origin.
    told: Vec<SocketAddr>,
}

/// The start of a lookup.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LookupStart {
    /// The origin is known, or there is nobody to ask.
    Decided(Option<StreamOrigin>),
    /// Other daemons are asked; the lookup has to be ended by [`StreamOrigins::end_lookup`].
    Asked,
    /// Another request asks for the same origin at the moment.
    Duplicate,
}

/// The origins of streams that this daemon knows.
#[derive(Debug, Default)]
pub struct StreamOrigins {
    known: HashMap<RequestDigest, KnownOrigin>,
    /// Digests in the order in which their origins became known.
    order: VecDeque<RequestDigest>,
    open: HashMap<RequestDigest, OpenStream>,
    lookups: PendingQueries<Option<StreamOrigin>>,
    outbox: Outbox<OriginEntries>,
    /// Set if other daemons were lost or have started since the holders of open streams were last updated.
    stale_holders: bool,
}

impl StreamOrigins {
    /// Returns the number of origins that are remembered.
    pub fn len(&self) -> usize {
        self.known.len()
    }

    /// Returns whether no origin is remembered.
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    /// Returns the origin of a stream if this daemon knows it.
    pub fn known(&self, now: Time, digest: &RequestDigest) -> Option<StreamOrigin> {
        let known = self.known.get(digest).filter(|known| now < known.until)?;
        Some(known.origin)
    }

    /// Records the origin of a stream that this daemon relays, to be told to `holders`.
    pub fn begin(
        &mut self,
        now: Time,
        digest: RequestDigest,
        origin: StreamOrigin,
        holders: Vec<SocketAddr>,
    ) {
        self.remember(now, digest, origin);
        for holder in &holders {
            self.tell(*holder, digest, Some(origin));
        }
        let told = holders;
        self.open.insert(digest, OpenStream { origin, told });
    }

    /// Records that a stream of this daemon ended. Its origin is still remembered.
    pub fn end(&mut self, digest: &RequestDigest) {
        self.open.remove(digest);
    }

    /// Records that a daemon was lost or has started, and remembers nothing that it was told before.
    pub fn daemon_changed(&mut self, daemon: SocketAddr) {
        for stream in self.open.values_mut() {
            stream.told.retain(|told| *told != daemon);
        }
        self.stale_holders = !self.open.is_empty();
    }

    /// Tells the origins of open streams to those of their holders that weren't told yet, if daemons have changed.
    pub fn update_holders(&mut self, holders_of: impl Fn(&RequestDigest) -> Vec<SocketAddr>) {
        if !std::mem::take(&mut self.stale_holders) {
            return;
        }
        let mut open = std::mem::take(&mut self.open);
        for (digest, stream) in &mut open {
            for holder in holders_of(digest) {
                if !stream.told.contains(&holder) {
                    self.tell(holder, *digest, Some(stream.origin));
                    stream.told.push(holder);
                }
            }
        }
        self.open = open;
    }

    /// Returns whether the holders of open streams have to be updated.
    pub fn has_stale_holders(&self) -> bool {
        self.stale_holders
    }

    /// Asks `targets` for the origin of a stream, unless this daemon knows it.
    pub fn begin_lookup(
        &mut self,
        now: Time,
        digest: RequestDigest,
        targets: Vec<SocketAddr>,
    ) -> LookupStart {
        let known = self.known(now, &digest);
        if known.is_some() || targets.is_empty() {
            return LookupStart::Decided(known);
        }
        if !self.lookups.begin(digest, targets) {
            return LookupStart::Duplicate;
        }
        self.ask_missing(&digest);
        LookupStart::Asked
    }

    /// Asks the daemons that haven't answered a lookup.
    pub fn ask_missing(&mut self, digest: &RequestDigest) {
        for target in self.lookups.missing(digest) {
            self.outbox.entries(*target).lookups.push(*digest);
        }
    }

    /// Returns whether a lookup is decided.
    pub fn is_decided(&self, digest: &RequestDigest) -> bool {
        self.lookups.is_decided(digest)
    }

    /// Ends a lookup.
    pub fn end_lookup(&mut self, digest: &RequestDigest) {
        self.lookups.end(digest);
    }

    /// Takes the entries of another daemon.
    pub fn receive(&mut self, now: Time, from: SocketAddr, entries: &OriginEntries) {
        for OriginNote { digest, origin } in &entries.notes {
            if let Some(origin) = origin {
                self.remember(now, *digest, *origin);
            }
            self.lookups.take(digest, from, *origin);
        }
        for digest in &entries.lookups {
            let known = self.known(now, digest);
            self.tell(from, *digest, known);
        }
    }

    /// Takes the entries that are to be sent, by their recipients.
    pub fn take_entries(&mut self) -> HashMap<SocketAddr, OriginEntries> {
        self.outbox.take()
    }

    fn tell(&mut self, to: SocketAddr, digest: RequestDigest, origin: Option<StreamOrigin>) {
        let note = OriginNote { digest, origin };
        self.outbox.entries(to).notes.push(note);
    }

    /// Remembers an origin; the first one that is known of a stream stays.
    fn remember(&mut self, now: Time, digest: RequestDigest, origin: StreamOrigin) {
        self.expire(now);
        if self.known.contains_key(&digest) {
            return;
        }
        let until = now + ORIGIN_LIFETIME;
        self.known.insert(digest, KnownOrigin { origin, until });
        self.order.push_back(digest);
        if self.order.len() > MAX_ORIGINS {
            self.forget_first();
        }
    }

    fn expire(&mut self, now: Time) {
        let is_over = |known: &KnownOrigin| known.until <= now;
        while let Some(digest) = self.order.front()
            && self.known.get(digest).is_none_or(is_over)
        {
            self.forget_first();
        }
    }

    fn forget_first(&mut self) {
        if let Some(digest) = self.order.pop_front() {
            self.known.remove(&digest);
        }
    }
}
