//! Entries that wait to be sent, by their recipients.

use {foldhash::HashMap, std::net::SocketAddr};

/// Entries of type `E` for each recipient.
#[derive(Debug)]
pub struct Outbox<E>(HashMap<SocketAddr, E>);

impl<E> Default for Outbox<E> {
    fn default() -> Self {
        Self(HashMap::default())
    }
}

impl<E: Default> Outbox<E> {
    /// Returns the entries for a daemon, to which more can be added.
    pub fn entries(&mut self, to: SocketAddr) -> &mut E {
        self.0.entry(to).or_default()
    }

    /// Takes all entries, by their recipients.
    pub fn take(&mut self) -> HashMap<SocketAddr, E> {
        std::mem::take(&mut self.0)
    }
}

/// Takes at most `left` entries, and subtracts their number from it, so that a datagram holds a bounded number of
/// entries of several kinds.
pub fn take_entries<T>(entries: &mut impl Iterator<Item = T>, left: &mut usize) -> Vec<T> {
    let taken: Vec<T> = entries.by_ref().take(*left).collect();
    *left -= taken.len();
    taken
}
