//! A host's part as a witness: its lease, its votes, and taking votes over after a start.

use {
    crate::{
        claim::{ClaimConfig, split_votes},
        claim_message::{Body, ClaimKey, Holder, Incarnation, KnownVote, Progress, VotesPart},
        ids::HostId,
        units::{Millis, Time},
    },
    foldhash::HashMap,
    std::collections::{BTreeMap, BTreeSet, VecDeque},
};

/// Heartbeats in one lease.
const HEARTBEATS: u64 = 4;

/// Heartbeats whose acknowledgements are still counted.
const MAX_HEARTBEATS: usize = 16;

/// Time after which a reading of votes is started anew.
const READ_EVERY: Millis = Millis(300);

/// Votes in one message.
const VOTES_PER_PART: usize = 500;

/// How far this process is.
#[derive(Debug, Clone, PartialEq)]
enum Stage {
    /// Waits until a majority knows of it.
    Announcing,
    /// Waits until no older process of the host can still vote.
    Waiting { until: Time },
    /// Reads the votes of enough voting peers.
    Reading {
        number: u64,
        next: Time,
        read: BTreeMap<HostId, Reading>,
    },
    /// Votes, while its lease lasts.
    Voting,
}

/// Parts received of one peer's votes.
#[derive(Debug, Clone, Default, PartialEq)]
struct Reading {
    parts: BTreeMap<u32, Vec<KnownVote>>,
    of: u32,
    processes: Vec<(HostId, Incarnation)>,
}

impl Reading {
    fn is_whole(&self) -> bool {
        self.of > 0 && self.parts.len() as u32 == self.of
    }
}

#[derive(Debug, Clone)]
struct Heartbeat {
    number: u64,
    sent: Time,
    acks: BTreeSet<HostId>,
    fresh: BTreeSet<HostId>,
}

#[derive(Debug, Clone)]
struct Vote {
    holder: Holder,
    at: Time,
}

/// The witness of one process.
#[derive(Debug)]
pub struct Witness {
    config: ClaimConfig,
    incarnation: Incarnation,
    started: Time,
    stage: Stage,
    lease_until: Time,
    next_heartbeat: Time,
    heartbeats: VecDeque<Heartbeat>,
    last_number: u64,
    newest: BTreeMap<HostId, Incarnation>,
    /// Votes by key. There are several only after a takeover from peers that voted for different
    /// attempts; the key is free again when all of them are released.
    votes: HashMap<ClaimKey, Vec<Vote>>,
    order: VecDeque<(Time, ClaimKey)>,
}

impl Witness {
    /// Starts a witness, which doesn't vote yet.
    pub fn new(config: ClaimConfig, incarnation: Incarnation, now: Time) -> Self {
        let own = (config.host.clone(), incarnation);
        let takes_over = config.rules.takeover;
        Self {
            config,
            incarnation,
            started: now,
            stage: if takes_over {
                Stage::Announcing
            } else {
                Stage::Voting
            },
            lease_until: Time::default(),
            next_heartbeat: now,
            heartbeats: VecDeque::new(),
            last_number: 0,
            newest: BTreeMap::from([own]),
            votes: HashMap::default(),
            order: VecDeque::new(),
        }
    }

    /// Returns this process.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Returns whether this process votes now.
    pub fn is_voting(&self, now: Time) -> bool {
        self.stage == Stage::Voting && (!self.config.rules.lease || now < self.lease_until)
    }

    /// Returns when something is due next.
    pub fn next_timer(&self) -> Time {
        let stage = match &self.stage {
            Stage::Waiting { until } => *until,
            Stage::Reading { next, .. } => *next,
            Stage::Announcing | Stage::Voting => self.next_heartbeat,
        };
        stage.min(self.next_heartbeat)
    }

    /// Votes for an attempt, or tells which attempt has the vote; none while it doesn't vote.
    pub fn vote(&mut self, now: Time, key: ClaimKey, holder: &Holder) -> Option<Holder> {
        if !self.is_voting(now) {
            return None;
        }
        let kept = self.votes.get(&key).and_then(|votes| votes.first());
        if let Some(vote) = kept
            && self.config.rules.once
        {
            return Some(vote.holder.clone());
        }
        self.keep(key, holder.clone(), now);
        Some(holder.clone())
    }

    /// Returns whether an attempt has this witness's vote.
    pub fn knows(&self, key: ClaimKey, holder: &Holder) -> bool {
        self.votes
            .get(&key)
            .is_some_and(|votes| votes.iter().any(|vote| vote.holder == *holder))
    }

    /// Takes a vote back that an attempt gives up.
    pub fn release(&mut self, key: ClaimKey, holder: &Holder) {
        self.remove(key, |vote| vote.holder == *holder);
    }

    fn keep(&mut self, key: ClaimKey, holder: Holder, at: Time) {
        let votes = self.votes.entry(key).or_default();
        votes.push(Vote { holder, at });
        self.order.push_back((at, key));
    }

    fn remove(&mut self, key: ClaimKey, gone: impl Fn(&Vote) -> bool) {
        if let Some(votes) = self.votes.get_mut(&key) {
            votes.retain(|vote| !gone(vote));
            if votes.is_empty() {
                self.votes.remove(&key);
            }
        }
    }

    /// Does what is due and returns what has to be sent.
    pub fn tick(&mut self, now: Time) -> Vec<(HostId, Body)> {
        self.expire(now);
        let mut sends = Vec::new();
        if self.next_heartbeat <= now {
            self.beat(now, &mut sends);
        }
        match &self.stage {
            Stage::Waiting { until } if *until <= now => self.read(now, &mut sends),
            Stage::Reading { next, .. } if *next <= now => self.read(now, &mut sends),
            _ => {}
        }
        self.start_without_votes(now);
        sends
    }

    /// Where too few peers vote for their votes to be read, votes may have been lost; all of them
    /// are out of force once the horizon has passed.
    fn start_without_votes(&mut self, now: Time) {
        let joins = self.stage != Stage::Voting;
        if joins && self.started + self.config.horizon <= now {
            self.stage = Stage::Voting;
        }
    }

    fn progress(&self) -> Progress {
        match self.stage {
            Stage::Voting => Progress::Voting,
            _ if self.config.first_start => Progress::Fresh,
            _ => Progress::Joining,
        }
    }

    fn beat(&mut self, now: Time, sends: &mut Vec<(HostId, Body)>) {
        self.last_number += 1;
        let number = self.last_number;
        let progress = self.progress();
        self.next_heartbeat = now + Millis((self.config.lease.0 / HEARTBEATS).max(1));
        if self.heartbeats.len() == MAX_HEARTBEATS {
            self.heartbeats.pop_front();
        }
        self.heartbeats.push_back(Heartbeat {
            number,
            sent: now,
            acks: BTreeSet::new(),
            fresh: BTreeSet::new(),
        });
        for host in self.config.others() {
            sends.push((host, Body::Heartbeat { number, progress }));
        }
        let own = self.config.host.clone();
        self.count_ack(now, &own, number, progress);
    }

    fn count_ack(&mut self, now: Time, from: &HostId, number: u64, progress: Progress) {
        let quorum = self.config.quorum();
        let found = self
            .heartbeats
            .iter_mut()
            .find(|beat| beat.number == number);
        let Some(beat) = found else {
            return;
        };
        // Who hasn't taken over votes itself may have forgotten a newer process, so its word
        // doesn't count; but it tells whether the whole roster is new.
        let own = *from == self.config.host;
        if progress == Progress::Voting || own {
            beat.acks.insert(from.clone());
        }
        if progress == Progress::Fresh {
            beat.fresh.insert(from.clone());
        }
        let (acked, fresh) = (beat.acks.len() >= quorum, beat.fresh.len() >= quorum);
        let sent = beat.sent;
        if acked {
            self.lease_until = self.lease_until.max(sent + self.config.lease);
        }
        if self.stage == Stage::Announcing {
            if fresh && self.config.first_start {
                self.stage = Stage::Voting;
            } else if acked {
                let until = now + self.config.lease;
                let until = until + self.config.window;
                self.stage = Stage::Waiting { until };
            }
        }
    }

    fn read(&mut self, now: Time, sends: &mut Vec<(HostId, Body)>) {
        self.last_number += 1;
        let number = self.last_number;
        self.stage = Stage::Reading {
            number,
            next: now + READ_EVERY,
            read: BTreeMap::new(),
        };
        for host in self.config.others() {
            sends.push((host, Body::ReadVotes { number }));
        }
    }

    /// Takes in a message and returns the replies to its sender.
    pub fn receive(
        &mut self,
        now: Time,
        from: &HostId,
        incarnation: Incarnation,
        body: Body,
    ) -> Vec<Body> {
        let newest = self.newest.entry(from.clone()).or_insert(incarnation);
        if incarnation < *newest {
            return vec![Body::Outdated { known: *newest }];
        }
        *newest = incarnation;
        match body {
            Body::Heartbeat { number, .. } => vec![Body::Ack {
                incarnation,
                number,
                progress: self.progress(),
            }],
            Body::Ack {
                incarnation,
                number,
                progress,
            } if incarnation == self.incarnation => {
                self.count_ack(now, from, number, progress);
                Vec::new()
            }
            Body::Outdated { known } => {
                self.step_up(now, known);
                Vec::new()
            }
            Body::ReadVotes { number } => self.hand_over(now, incarnation, number),
            Body::Votes {
                incarnation,
                number,
                part,
                processes,
            } if incarnation == self.incarnation => {
                self.take_part(from, number, part, processes, now);
                Vec::new()
            }
            _ => Vec::new(),
        }
    }

    /// A process that never voted may take a higher number and start anew; one that has voted is
    /// the older one and stays silent.
    fn step_up(&mut self, now: Time, known: Incarnation) {
        if known <= self.incarnation {
            return;
        }
        if self.stage == Stage::Voting {
            self.lease_until = Time::default();
            return;
        }
        self.incarnation = self.incarnation.above(known);
        self.newest
            .insert(self.config.host.clone(), self.incarnation);
        self.stage = Stage::Announcing;
        self.heartbeats.clear();
        self.next_heartbeat = now;
    }

    fn hand_over(&self, now: Time, incarnation: Incarnation, number: u64) -> Vec<Body> {
        if !self.is_voting(now) {
            return Vec::new();
        }
        let votes = self.votes.iter().flat_map(|(key, votes)| {
            votes.iter().map(|vote| KnownVote {
                key: *key,
                holder: vote.holder.clone(),
                age: Millis(now.since(vote.at).as_millis() as u64),
            })
        });
        let processes: Vec<_> = self
            .newest
            .iter()
            .map(|(host, newest)| (host.clone(), *newest))
            .collect();
        split_votes(votes.collect(), VOTES_PER_PART)
            .into_iter()
            .map(|part| Body::Votes {
                incarnation,
                number,
                part,
                processes: processes.clone(),
            })
            .collect()
    }

    fn take_part(
        &mut self,
        from: &HostId,
        expected: u64,
        part: VotesPart,
        processes: Vec<(HostId, Incarnation)>,
        now: Time,
    ) {
        let needed = self.config.readers();
        let Stage::Reading { number, read, .. } = &mut self.stage else {
            return;
        };
        if *number != expected {
            return;
        }
        let reading = read.entry(from.clone()).or_default();
        reading.of = part.parts;
        reading.parts.insert(part.part, part.votes);
        reading.processes = processes;
        if read.values().filter(|reading| reading.is_whole()).count() < needed {
            return;
        }
        let read = std::mem::take(read);
        self.take_over(now, read);
    }

    fn take_over(&mut self, now: Time, read: BTreeMap<HostId, Reading>) {
        let whole = read.into_values().filter(Reading::is_whole);
        let mut votes = Vec::new();
        for reading in whole {
            for (host, incarnation) in reading.processes {
                let newest = self.newest.entry(host).or_insert(incarnation);
                *newest = incarnation.max(*newest);
            }
            votes.extend(reading.parts.into_values().flatten());
        }
        if self.newest[&self.config.host] > self.incarnation {
            let known = self.newest[&self.config.host];
            return self.step_up(now, known);
        }
        for vote in votes {
            // Peers may have voted for different attempts, and which of them holds the key can't be
            // seen from here, so all are kept.
            if !self.knows(vote.key, &vote.holder) {
                let age = vote.age.0.saturating_mul(1000);
                let at = Time(now.0.saturating_sub(age));
                self.keep(vote.key, vote.holder, at);
            }
        }
        self.order.make_contiguous().sort_unstable();
        self.stage = Stage::Voting;
    }

    fn expire(&mut self, now: Time) {
        while let Some((at, key)) = self.order.front().copied()
            && at + self.config.horizon <= now
        {
            self.order.pop_front();
            self.remove(key, |vote| vote.at == at);
        }
    }
}
