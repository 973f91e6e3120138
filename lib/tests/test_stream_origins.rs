//! Who knows where a stream began after its daemon was lost, among few daemons and many, and what is remembered.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use {
    hazelyoke_lib::{
        gateway::{
            request_digest::RequestDigest,
            rules::stream_origin::{
                LOOKUP_TARGETS, MAX_ORIGINS, ORIGIN_HOLDERS, ORIGIN_LIFETIME, StreamOrigin,
                lookup_targets, may_continue, origin_holders,
            },
            stream_origins::store::{LookupStart, StreamOrigins},
        },
        shared::units::{Millis, Time},
    },
    rand::{RngExt, SeedableRng, rngs::SmallRng, seq::SliceRandom},
    std::{collections::BTreeSet, net::SocketAddr},
};

const START: Time = Time(1_000_000);

/// Number of streams that begin in a run.
const STREAMS: u64 = 200;

fn digest(number: u64) -> RequestDigest {
    RequestDigest::of_id(None, &format!("request-{number}"))
}

fn origin(number: u64) -> StreamOrigin {
    StreamOrigin(1 + number % 3)
}

fn address(number: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (number / 200) as u8, (number % 200) as u8], 7_000))
}

/// Daemons that exchange messages without delay. A lost one has forgotten everything.
struct Site {
    daemons: Vec<StreamOrigins>,
    down: BTreeSet<usize>,
    is_small: bool,
    now: Time,
    sent: usize,
}

impl Site {
    fn new(daemons: usize) -> Self {
        Self {
            daemons: (0..daemons).map(|_| StreamOrigins::default()).collect(),
            down: BTreeSet::new(),
            is_small: daemons < 20,
            now: START,
            sent: 0,
        }
    }

    fn living(&self) -> Vec<SocketAddr> {
        let up = (0..self.daemons.len()).filter(|number| !self.down.contains(number));
        up.map(address).collect()
    }

    fn begin(&mut self, daemon: usize, number: u64) {
        let living = self.living().into_iter();
        let holders = origin_holders(digest(number).as_bytes(), living, address(daemon));
        self.daemons[daemon].begin(self.now, digest(number), origin(number), holders);
        self.deliver();
    }

    fn deliver(&mut self) {
        loop {
            let mut entries = Vec::new();
            for (sender, daemon) in self.daemons.iter_mut().enumerate() {
                let outgoing = daemon.take_entries().into_iter();
                entries.extend(outgoing.map(|(to, entries)| (sender, to, entries)));
            }
            if entries.is_empty() {
                return;
            }
            for (sender, to, entries) in entries {
                self.sent += 1;
                let mut all = 0..self.daemons.len();
                let receiver = all.find(|number| address(*number) == to).unwrap();
                if !self.down.contains(&receiver) {
                    self.daemons[receiver].receive(self.now, address(sender), &entries);
                }
            }
        }
    }

    fn find(&mut self, daemon: usize, number: u64) -> Option<StreamOrigin> {
        let living = self.living().into_iter();
        let (key, is_small) = (digest(number), self.is_small);
        let targets = lookup_targets(key.as_bytes(), living, address(daemon), is_small);
        match self.daemons[daemon].begin_lookup(self.now, key, targets) {
            LookupStart::Decided(found) => return found,
            LookupStart::Asked => {}
            LookupStart::Duplicate => panic!("nothing else asks"),
        }
        self.deliver();
        assert!(self.daemons[daemon].is_decided(&key));
        self.daemons[daemon].end_lookup(&key);
        self.daemons[daemon].known(self.now, &key)
    }

    /// Loses a daemon; it is back at once, without its memory, if `restarts` is set.
    fn lose(&mut self, number: usize, restarts: bool) {
        self.daemons[number] = StreamOrigins::default();
        if !restarts {
            self.down.insert(number);
        }
        let living = self.living();
        for (other, daemon) in self.daemons.iter_mut().enumerate() {
            daemon.daemon_changed(address(number));
            daemon.update_holders(|key| {
                origin_holders(key.as_bytes(), living.iter().copied(), address(other))
            });
        }
        self.deliver();
    }

    /// Returns how many of the streams with these numbers a daemon finds the origin of, and checks that it is right.
    fn found(&mut self, daemon: usize, numbers: impl Iterator<Item = u64>) -> usize {
        let found = numbers.filter(|number| {
            let found = self.find(daemon, *number);
            assert!(found.is_none_or(|found| found == origin(*number)));
            found.is_some()
        });
        found.count()
    }
}

/// The daemon that began the streams is lost, in a small and in a large fleet. A stream costs few messages in both.
#[test]
fn first_daemon_lost() {
    for daemons in [7, 60, 985] {
        let mut site = Site::new(daemons);
        for number in 0..STREAMS {
            site.begin(0, number);
        }
        assert_eq!(site.sent, ORIGIN_HOLDERS * STREAMS as usize);
        site.lose(0, false);
        site.sent = 0;
        assert_eq!(site.found(1, 0..STREAMS), STREAMS as usize);
        let asked = if site.is_small { 5 } else { LOOKUP_TARGETS };
        assert!(site.sent <= 2 * asked * STREAMS as usize);
    }
}

/// Half of a small fleet is lost at once, the daemon that began the streams included.
#[test]
fn half_lost() {
    let mut rng = SmallRng::seed_from_u64(7);
    let mut known = 0;
    for run in 0..40 {
        let mut site = Site::new(7);
        for number in 0..20 {
            site.begin(0, run * 100 + number);
        }
        let mut others: Vec<usize> = (1..7).collect();
        others.shuffle(&mut rng);
        site.down.extend([0, others[0], others[1], others[2]]);
        known += site.found(others[3], run * 100..run * 100 + 20);
    }
    assert!(known > 40 * 20 * 8 / 10, "{known}");
}

/// All daemons but the one that relays the streams are restarted one after the other, and then that one is lost.
#[test]
fn restarted_in_turn() {
    for daemons in [7, 60] {
        let mut site = Site::new(daemons);
        for number in 0..STREAMS {
            site.begin(0, number);
        }
        for number in 1..daemons {
            site.lose(number, true);
        }
        site.lose(0, false);
        assert_eq!(site.found(1, 0..STREAMS), STREAMS as usize);
    }
}

/// A daemon that was lost isn't waited for once it has answered, and one that doesn't answer is asked again.
#[test]
fn asked_again() {
    let mut asking = StreamOrigins::default();
    let targets = vec![address(1), address(2)];
    let start = asking.begin_lookup(START, digest(1), targets.clone());
    assert_eq!(start, LookupStart::Asked);
    let again = asking.begin_lookup(START, digest(1), targets);
    assert_eq!(again, LookupStart::Duplicate);
    let mut holder = StreamOrigins::default();
    holder.receive(START, address(0), &asking.take_entries()[&address(1)]);
    asking.receive(START, address(1), &holder.take_entries()[&address(0)]);
    assert!(!asking.is_decided(&digest(1)));
    asking.ask_missing(&digest(1));
    let repeated: Vec<SocketAddr> = asking.take_entries().into_keys().collect();
    assert_eq!(repeated, [address(2)]);
}

/// The memory is bounded, and what is too old isn't known any more.
#[test]
fn bounded_memory() {
    let mut rng = SmallRng::seed_from_u64(1);
    let mut origins = StreamOrigins::default();
    let mut now = START;
    for number in 0..3 * MAX_ORIGINS as u64 {
        now = now + Millis(rng.random_range(0..3));
        origins.begin(now, digest(number), origin(number), Vec::new());
        origins.end(&digest(number));
        assert!(origins.len() <= MAX_ORIGINS);
    }
    let last = 3 * MAX_ORIGINS as u64 - 1;
    assert_eq!(origins.known(now, &digest(last)), Some(origin(last)));
    assert_eq!(origins.known(now + ORIGIN_LIFETIME, &digest(last)), None);
}

/// A stream without an origin may begin anywhere; one with an origin continues at no other, nor where it isn't known.
#[test]
fn same_origin_only() {
    let version = StreamOrigin::new(&"llm".parse().unwrap(), &"v1".parse().unwrap());
    let other = StreamOrigin::new(&"llm".parse().unwrap(), &"v1.1".parse().unwrap());
    assert!(may_continue(None, None) && may_continue(None, Some(version)));
    assert!(may_continue(Some(version), Some(version)));
    assert!(!may_continue(Some(version), Some(other)));
    assert!(!may_continue(Some(version), None));
    let service = StreamOrigin::new(&"llm2".parse().unwrap(), &"v1".parse().unwrap());
    assert_ne!(version, service);
}
