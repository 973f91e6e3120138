//! Claims: a keyed call runs at most once, whichever entry hosts its repeats reach.
//!
//! Every host of the roster is a witness. A witness votes once for a key; an attempt that has the
//! votes of a majority, all received within a short window, holds the key, and it alone may send.
//! Others follow the holder and pass its answer on. Nothing is written down: a new process of a
//! host takes over the votes of enough others before it votes itself. `docs/design/claims.md` has
//! the rules and the reasons.

use {
    crate::{
        claim_answers::Answers,
        claim_message::{
            Body, ClaimKey, Envelope, Holder, Incarnation, KnownVote, Settlement, VotesPart,
        },
        claim_witness::Witness,
        ids::{HostId, RequestId},
        units::{Millis, Time},
    },
    foldhash::HashMap,
    rand::{RngExt, SeedableRng, rngs::SmallRng},
    std::collections::{BTreeMap, BTreeSet},
};

/// Time between two looks at a holder's answer.
const FOLLOW_EVERY: Millis = Millis(50);

/// Longest pause before an abandoned claim is tried again.
const RETRY_PAUSE: Millis = Millis(30);

/// Which rules are followed: all of them, but for tests that show what each is needed for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Rules {
    /// A witness votes only while a majority acknowledged it recently.
    pub lease: bool,
    /// A new process takes over votes before it votes.
    pub takeover: bool,
    /// A claim is won only within its window.
    pub window: bool,
    /// A witness votes once for a key.
    pub once: bool,
}

impl Default for Rules {
    fn default() -> Self {
        Self {
            lease: true,
            takeover: true,
            window: true,
            once: true,
        }
    }
}

/// Settings of claims at one host.
#[derive(Debug, Clone, PartialEq)]
pub struct ClaimConfig {
    /// This host.
    pub host: HostId,
    /// All hosts, this one among them.
    pub roster: Vec<HostId>,
    /// Time within which all votes of a claim have to come in.
    pub window: Millis,
    /// Time for which a majority's acknowledgement lets a witness vote.
    pub lease: Millis,
    /// Time for which votes and answers are kept.
    pub horizon: Millis,
    /// Whether the roster has never run before.
    pub first_start: bool,
    /// Rules in force.
    pub rules: Rules,
}

impl ClaimConfig {
    /// Returns the number of votes that win.
    pub fn quorum(&self) -> usize {
        self.roster.len() / 2 + 1
    }

    /// Returns all hosts but this one.
    pub fn others(&self) -> Vec<HostId> {
        let roster = self.roster.iter();
        roster.filter(|host| **host != self.host).cloned().collect()
    }

    /// Returns the number of voting peers that a new process has to read.
    pub fn readers(&self) -> usize {
        self.roster.len() - self.quorum() + 1
    }
}

/// What claims ask to be done.
#[derive(Debug, Clone, PartialEq)]
pub enum ClaimAction {
    /// Send a message to a host.
    Send(HostId, Envelope),
    /// The request holds its key: it alone may send.
    Won(RequestId),
    /// The key's holder has settled: this is its answer.
    Followed(RequestId, Settlement),
}

/// Where a request stands with its key.
#[derive(Debug, Clone)]
enum Stand {
    /// Votes are being asked for.
    Asking {
        holder: Holder,
        started: Time,
        granted: BTreeSet<HostId>,
        denied: BTreeMap<HostId, Holder>,
    },
    /// Waits before it asks again.
    Pausing { until: Time },
    /// Another attempt holds the key; its answer is awaited.
    Following { holder: Holder, next: Time },
    /// Holds the key.
    Holding { holder: Holder },
}

impl Stand {
    /// Returns when something has to be done about it.
    fn due(&self, window: Millis) -> Option<Time> {
        match self {
            Stand::Asking { started, .. } => Some(*started + window),
            Stand::Pausing { until } => Some(*until),
            Stand::Following { next, .. } => Some(*next),
            Stand::Holding { .. } => None,
        }
    }
}

#[derive(Debug, Clone)]
struct Claim {
    key: ClaimKey,
    stand: Stand,
}

/// Claims of one process.
#[derive(Debug)]
pub struct Claims {
    config: ClaimConfig,
    witness: Witness,
    claims: BTreeMap<RequestId, Claim>,
    attempts: HashMap<u64, RequestId>,
    answers: Answers,
    last_number: u64,
    rng: SmallRng,
    actions: Vec<ClaimAction>,
}

impl Claims {
    /// Starts a new process of a host; it begins to join at once.
    pub fn new(config: ClaimConfig, incarnation: Incarnation, now: Time, seed: u64) -> Self {
        Self {
            witness: Witness::new(config.clone(), incarnation, now),
            config,
            claims: BTreeMap::new(),
            attempts: HashMap::default(),
            answers: Answers::default(),
            last_number: 0,
            rng: SmallRng::seed_from_u64(seed),
            actions: Vec::new(),
        }
    }

    /// Returns whether this process votes.
    pub fn is_voting(&self, now: Time) -> bool {
        self.witness.is_voting(now)
    }

    /// Takes what has to be done.
    pub fn take_actions(&mut self) -> Vec<ClaimAction> {
        std::mem::take(&mut self.actions)
    }

    /// Returns when something is due next.
    pub fn next_timer(&self) -> Time {
        let claims = self.claims.values();
        let due = claims.filter_map(|claim| claim.stand.due(self.config.window));
        due.fold(self.witness.next_timer(), Time::min)
    }

    /// Begins to claim a key for a request.
    pub fn claim(&mut self, now: Time, request: RequestId, key: ClaimKey) {
        let until = now;
        let stand = Stand::Pausing { until };
        self.claims.insert(request, Claim { key, stand });
        self.ask(now, request);
    }

    /// Ends a request. If it holds its key, `None` hands the key on, since nothing ran; one that
    /// doesn't hold it gives up its attempt.
    pub fn settle(&mut self, now: Time, request: RequestId, settlement: Option<Settlement>) {
        let Some(claim) = self.claims.remove(&request) else {
            return;
        };
        let Stand::Holding { holder } = claim.stand else {
            return self.forget(claim);
        };
        self.attempts.remove(&holder.number);
        match settlement {
            Some(settlement) => self.answers.keep(now, claim.key, holder, settlement),
            None => self.release(claim.key, &holder),
        }
    }

    fn forget(&mut self, claim: Claim) {
        if let Stand::Asking { holder, .. } = claim.stand {
            self.attempts.remove(&holder.number);
            self.release(claim.key, &holder);
        }
    }

    /// Does what is due.
    pub fn tick(&mut self, now: Time) {
        for (host, body) in self.witness.tick(now) {
            self.send(&host, body);
        }
        let due: Vec<RequestId> = self
            .claims
            .iter()
            .filter(|(_, claim)| {
                let due = claim.stand.due(self.config.window);
                due.is_some_and(|due| due <= now)
            })
            .map(|(request, _)| *request)
            .collect();
        for request in due {
            self.go_on(now, request);
        }
        self.answers.expire(now, self.config.horizon);
    }

    fn go_on(&mut self, now: Time, request: RequestId) {
        let Some(claim) = self.claims.get(&request) else {
            return;
        };
        match claim.stand.clone() {
            Stand::Asking { holder, .. } => self.pause(now, request, &holder),
            Stand::Pausing { .. } => self.ask(now, request),
            Stand::Following { holder, .. } => self.follow(now, request, holder),
            Stand::Holding { .. } => {}
        }
    }

    /// Asks all witnesses for their votes, this one first.
    fn ask(&mut self, now: Time, request: RequestId) {
        self.last_number += 1;
        let holder = Holder {
            host: self.config.host.clone(),
            incarnation: self.witness.incarnation(),
            number: self.last_number,
        };
        let Some(claim) = self.claims.get_mut(&request) else {
            return;
        };
        let key = claim.key;
        claim.stand = Stand::Asking {
            holder: holder.clone(),
            started: now,
            granted: BTreeSet::new(),
            denied: BTreeMap::new(),
        };
        self.attempts.insert(holder.number, request);
        for host in self.config.others() {
            let holder = holder.clone();
            self.send(&host, Body::Ask { key, holder });
        }
        if let Some(voted) = self.witness.vote(now, key, &holder) {
            let me = self.config.host.clone();
            self.take_vote(now, &me, &holder, voted);
        }
    }

    fn take_vote(&mut self, now: Time, from: &HostId, asked: &Holder, voted: Holder) {
        if asked.incarnation != self.witness.incarnation() {
            return;
        }
        let Some(request) = self.attempts.get(&asked.number).copied() else {
            return;
        };
        let quorum = self.config.quorum();
        let hosts = self.config.roster.len();
        let window = self.config.window;
        let checks_window = self.config.rules.window;
        let Some(claim) = self.claims.get_mut(&request) else {
            return;
        };
        let Stand::Asking {
            holder,
            started,
            granted,
            denied,
        } = &mut claim.stand
        else {
            return;
        };
        if holder != asked {
            return;
        }
        if checks_window && now.since(*started) > window.to_duration() {
            let holder = holder.clone();
            return self.pause(now, request, &holder);
        }
        if voted == *asked {
            granted.insert(from.clone());
        } else {
            denied.insert(from.clone(), voted);
        }
        if granted.len() >= quorum {
            let holder = holder.clone();
            claim.stand = Stand::Holding { holder };
            self.actions.push(ClaimAction::Won(request));
        } else if hosts - denied.len() < quorum {
            let (holder, other) = (holder.clone(), most_named(denied));
            self.lose(now, request, &holder, other);
        }
    }

    /// Gives the attempt up for good and follows the one that most witnesses voted for.
    fn lose(&mut self, now: Time, request: RequestId, holder: &Holder, other: Holder) {
        self.pause(now, request, holder);
        self.follow(now, request, other);
    }

    /// Gives the attempt up for good and tries again after a pause.
    fn pause(&mut self, now: Time, request: RequestId, holder: &Holder) {
        self.attempts.remove(&holder.number);
        if let Some(key) = self.rest(now, request) {
            self.release(key, holder);
        }
    }

    /// Lets a request wait for a random time before it asks again; returns its key.
    fn rest(&mut self, now: Time, request: RequestId) -> Option<ClaimKey> {
        let pause = self.rng.random_range(1..=RETRY_PAUSE.0);
        let claim = self.claims.get_mut(&request)?;
        claim.stand = Stand::Pausing {
            until: now + Millis(pause),
        };
        Some(claim.key)
    }

    fn follow(&mut self, now: Time, request: RequestId, holder: Holder) {
        let Some(claim) = self.claims.get_mut(&request) else {
            return;
        };
        let key = claim.key;
        claim.stand = Stand::Following {
            holder: holder.clone(),
            next: now + FOLLOW_EVERY,
        };
        if holder.host == self.config.host {
            if let Some(settlement) = self.settlement(key, &holder) {
                self.followed(now, request, settlement);
            }
        } else {
            let host = holder.host.clone();
            self.send(&host, Body::Follow { key, holder });
        }
    }

    fn followed(&mut self, now: Time, request: RequestId, settlement: Settlement) {
        if settlement == Settlement::Gone {
            self.rest(now, request);
            return;
        }
        self.claims.remove(&request);
        self.actions
            .push(ClaimAction::Followed(request, settlement));
    }

    /// Returns how an attempt of this host has settled; none while it is under way.
    fn settlement(&mut self, key: ClaimKey, holder: &Holder) -> Option<Settlement> {
        if holder.incarnation != self.witness.incarnation() {
            return Some(Settlement::Lost);
        }
        if self.attempts.contains_key(&holder.number) {
            return None;
        }
        if let Some(settlement) = self.answers.get(key, holder) {
            return Some(settlement.clone());
        }
        if self.witness.knows(key, holder) {
            // A vote that came after its attempt was given up.
            self.release(key, holder);
        }
        Some(Settlement::Gone)
    }

    /// Takes in a message of a peer.
    pub fn receive(&mut self, now: Time, envelope: Envelope) {
        let Envelope {
            from,
            incarnation,
            body,
        } = envelope;
        if !self.config.roster.contains(&from) || from == self.config.host {
            return;
        }
        match body {
            Body::Ask { key, holder } => {
                if holder.host == from
                    && let Some(voted) = self.witness.vote(now, key, &holder)
                {
                    let asked = holder;
                    self.send(&from, Body::Vote { key, asked, voted });
                }
            }
            Body::Vote { asked, voted, .. } => self.take_vote(now, &from, &asked, voted),
            Body::Release { key, holder } => self.witness.release(key, &holder),
            Body::Follow { key, holder } => {
                if let Some(settlement) = self.settlement(key, &holder) {
                    let settled = Body::Settled {
                        key,
                        holder,
                        settlement,
                    };
                    self.send(&from, settled);
                }
            }
            Body::Settled {
                key,
                holder,
                settlement,
            } => self.settled(now, key, &holder, &settlement),
            body => {
                for reply in self.witness.receive(now, &from, incarnation, body) {
                    self.send(&from, reply);
                }
            }
        }
    }

    fn settled(&mut self, now: Time, key: ClaimKey, holder: &Holder, settlement: &Settlement) {
        let waits = |claim: &Claim| {
            claim.key == key
                && matches!(&claim.stand, Stand::Following { holder: own, .. } if own == holder)
        };
        let waiting: Vec<RequestId> = self
            .claims
            .iter()
            .filter(|(_, claim)| waits(claim))
            .map(|(request, _)| *request)
            .collect();
        for request in waiting {
            self.followed(now, request, settlement.clone());
        }
    }

    fn release(&mut self, key: ClaimKey, holder: &Holder) {
        self.witness.release(key, holder);
        for host in self.config.others() {
            let holder = holder.clone();
            self.send(&host, Body::Release { key, holder });
        }
    }

    fn send(&mut self, to: &HostId, body: Body) {
        let envelope = Envelope {
            from: self.config.host.clone(),
            incarnation: self.witness.incarnation(),
            body,
        };
        self.actions.push(ClaimAction::Send(to.clone(), envelope));
    }
}

/// Returns the holder that most witnesses voted for.
fn most_named(denied: &BTreeMap<HostId, Holder>) -> Holder {
    let mut counts: BTreeMap<&Holder, usize> = BTreeMap::new();
    for holder in denied.values() {
        *counts.entry(holder).or_default() += 1;
    }
    let most = counts.into_iter().max_by_key(|(_, count)| *count);
    most.map(|(holder, _)| holder.clone())
        .expect("a claim is lost by denials only")
}

/// Splits votes into parts that fit a message.
pub(crate) fn split_votes(votes: Vec<KnownVote>, per_part: usize) -> Vec<VotesPart> {
    let count = votes.len().div_ceil(per_part).max(1);
    let mut rest = votes.into_iter();
    (0..count)
        .map(|part| VotesPart {
            part: part as u32,
            parts: count as u32,
            votes: rest.by_ref().take(per_part).collect(),
        })
        .collect()
}
