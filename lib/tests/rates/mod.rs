//! Simulates a fleet and one endpoint that advertises a rate limit, in virtual time. Messages between daemons are
//! delayed or lost.

#![allow(dead_code, reason = "each test file uses a part")]
#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use {
    hazelyoke_lib::{
        gateway::{
            dialect::AdvertisedRate,
            hashes::IncarnationHash,
            rates::{
                note::RateNote,
                store::{EndpointRates, ObservedRate, PermitAnswer},
            },
            rules::cold_share::ColdShare,
        },
        shared::{
            ids::ServiceId,
            units::{Millis, Rate, Time},
        },
    },
    hazelyoke_testutils::draws::Draws,
    std::{collections::VecDeque, net::SocketAddr, ops::Range},
};

/// Window in which the endpoint counts requests, in milliseconds.
const WINDOW_MS: u64 = 4_000;

/// Time after the first reply that advertises the rate from which the bound holds, in milliseconds.
pub const SETTLED_MS: u64 = 1_500;

/// Delay of a message between two daemons, in milliseconds.
const HOP_MS: u64 = 1;

/// Interval between two rounds of messages of a daemon, and the delay of messages that are sent out of turn, in
/// milliseconds.
const ROUND_MS: u64 = 200;
const EARLY_ROUND_MS: u64 = 2;

const INCARNATION: IncarnationHash = IncarnationHash(7);

/// Urgency of all requests.
const URGENCY: u32 = 5;

/// How daemons divide the advertised rate.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Method {
    /// Each daemon has an even share, with turns if that is less than one request per second.
    EvenShares,
    /// Daemons hand their shares to a coordinator, which grants permits.
    Permits,
}

/// Which daemons get the requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Demand {
    Even,
    /// All requests come to one daemon.
    AtOne,
    /// All requests come to one daemon, which changes each second.
    Moving,
}

/// A fault of one daemon during a time range, in milliseconds.
#[derive(Debug, Clone)]
pub struct Fault {
    pub daemon: usize,
    pub time: Range<u64>,
    pub kind: FaultKind,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FaultKind {
    /// Nothing that the daemon sends arrives.
    Mute,
    /// Nothing that is sent to the daemon arrives.
    Deaf,
    /// The daemon's process is stalled; messages to it wait.
    Stalled,
    /// The daemon wrongly acts as the coordinator.
    ActsAsCoordinator,
    /// The daemon restarts at the start of the time range.
    Restart,
}

/// A fleet and its load.
#[derive(Debug, Clone)]
pub struct Plan {
    pub method: Method,
    pub daemons: usize,
    pub rate: f64,
    /// Requests per second of all callers.
    pub load: f64,
    /// Time for which a request waits for a permit, in milliseconds; 0 if other endpoints serve instead.
    pub wait_ms: u64,
    pub demand: Demand,
    pub seconds: u64,
    pub faults: Vec<Fault>,
    pub seed: u64,
}

/// Results of a simulation.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Counted {
    /// Maximum number of requests in a window.
    pub most: usize,
    /// Fraction of the rate that was used from `SETTLED_MS` on.
    pub used: f64,
    /// Datagrams per second and daemon.
    pub datagrams: f64,
}

/// Returns the maximum number of requests that a fleet may send in a window.
pub fn allowed(rate: f64) -> usize {
    (rate * 6.0 + 5.0) as usize
}

enum Content {
    Note(usize, RateNote),
    Answer(PermitAnswer),
}

struct Message {
    due: u64,
    from: usize,
    to: usize,
    content: Content,
}

struct Daemon {
    rates: EndpointRates,
    /// Time of the next round of messages, in milliseconds.
    round: u64,
    last_sent: Option<Time>,
    phase: f64,
}

impl Daemon {
    fn new(draws: &mut Draws, now: u64) -> Self {
        Self {
            rates: EndpointRates::default(),
            round: now + draws.below(ROUND_MS),
            last_sent: None,
            phase: draws.below(1_000_000) as f64 / 1e6,
        }
    }
}

pub struct Model {
    plan: Plan,
    service: ServiceId,
    daemons: Vec<Daemon>,
    messages: VecDeque<Message>,
    sent: Vec<u64>,
    /// Waiting requests: the daemon of each, and until when it waits.
    waiting: Vec<(usize, u64)>,
    datagrams: usize,
    draws: Draws,
}

fn address(daemon: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (daemon / 256) as u8, daemon as u8], 7_000))
}

fn number(address: SocketAddr) -> usize {
    match address {
        SocketAddr::V4(address) => {
            let [.., high, low] = address.ip().octets();
            usize::from(high) * 256 + usize::from(low)
        }
        SocketAddr::V6(_) => unreachable!("all have an IPv4 address"),
    }
}

/// Returns the time of the daemons' clocks, which don't start at 0.
fn clock(ms: u64) -> Time {
    Time::default() + Millis(100_000 + ms)
}

impl Model {
    pub fn new(plan: Plan) -> Self {
        let mut draws = Draws::new(plan.seed);
        let daemons = (0..plan.daemons).map(|_| Daemon::new(&mut draws, 0));
        let daemons = daemons.collect();
        Self {
            service: "s".parse().unwrap(),
            daemons,
            messages: VecDeque::new(),
            sent: Vec::new(),
            waiting: Vec::new(),
            datagrams: 0,
            draws,
            plan,
        }
    }

    pub fn run(mut self) -> Counted {
        let end = self.plan.seconds * 1_000;
        for now in 0..end {
            self.restart(now);
            self.deliver(now);
            self.requests(now);
            self.rounds(now);
        }
        self.counted(end)
    }

    fn is(&self, now: u64, daemon: usize, kind: FaultKind) -> bool {
        let mut faults = self.plan.faults.iter();
        faults.any(|one| one.daemon == daemon && one.kind == kind && one.time.contains(&now))
    }

    fn restart(&mut self, now: u64) {
        let restarts = self.plan.faults.iter();
        let restarts = restarts.filter(|one| one.kind == FaultKind::Restart);
        let restarts = restarts.filter(|one| one.time.start == now);
        let restarted: Vec<usize> = restarts.map(|one| one.daemon).collect();
        for daemon in restarted {
            self.daemons[daemon] = Daemon::new(&mut self.draws, now);
        }
    }

    fn send(&mut self, now: u64, from: usize, to: usize, content: Content) {
        self.datagrams += usize::from(from != to);
        if from != to && (self.is(now, from, FaultKind::Mute) || self.is(now, to, FaultKind::Deaf))
        {
            return;
        }
        let due = now + if from == to { 0 } else { HOP_MS };
        self.messages.push_back(Message {
            due,
            from,
            to,
            content,
        });
    }

    fn deliver(&mut self, now: u64) {
        for message in std::mem::take(&mut self.messages) {
            if message.due > now || self.is(now, message.to, FaultKind::Stalled) {
                self.messages.push_back(message);
                continue;
            }
            self.receive(now, message);
        }
    }

    fn receive(&mut self, now: u64, message: Message) {
        let rates = &mut self.daemons[message.to].rates;
        match message.content {
            Content::Note(from, note) => {
                rates.merge(clock(now), &self.service, &note);
                let answers = rates.take_report(clock(now), address(from), &note);
                for answer in answers {
                    self.send(now, message.to, number(answer.to), Content::Answer(answer));
                }
            }
            Content::Answer(answer) => rates.record_granted(clock(now), &answer.note),
        }
    }

    fn coordinator(&self, now: u64, daemon: usize) -> usize {
        if self.is(now, daemon, FaultKind::ActsAsCoordinator) {
            daemon
        } else {
            0
        }
    }

    /// Adds the requests that arrive within a millisecond.
    fn requests(&mut self, now: u64) {
        let expected = self.plan.load / 1_000.0;
        let whole = expected.floor() as usize;
        let rest = (expected.fract() * 1e6) as u64;
        let count = whole + usize::from(self.draws.below(1_000_000) < rest);
        for _ in 0..count {
            let daemon = match self.plan.demand {
                Demand::Even => self.draws.below(self.plan.daemons as u64) as usize,
                Demand::AtOne => self.plan.daemons - 1,
                Demand::Moving => (now / 1_000) as usize % self.plan.daemons,
            };
            self.waiting.push((daemon, now + self.plan.wait_ms));
        }
        for (daemon, until) in std::mem::take(&mut self.waiting) {
            let is_sent = !self.is(now, daemon, FaultKind::Stalled) && self.request(now, daemon);
            if !is_sent && now < until {
                self.waiting.push((daemon, until));
            }
        }
    }

    /// Sends a request if the daemon may; returns whether it did.
    fn request(&mut self, now: u64, daemon: usize) -> bool {
        if self.plan.method == Method::EvenShares {
            return self.send_share(now, daemon);
        }
        let time = clock(now);
        let one = &mut self.daemons[daemon];
        if !one.rates.may_send(time, INCARNATION, URGENCY) {
            if one.rates.record_denied(time, INCARNATION, URGENCY) {
                one.round = one.round.min(now + EARLY_ROUND_MS);
            }
            return false;
        }
        let knows = one.rates.knows(INCARNATION);
        one.rates.use_permit(time, INCARNATION, URGENCY);
        let advertised = Some(AdvertisedRate {
            rate: Rate(self.plan.rate),
            valid: true,
        });
        let seen = ObservedRate {
            advertised,
            sent: time,
        };
        one.rates.observe(time, INCARNATION, &self.service, seen);
        if knows {
            self.sent.push(now);
        } else {
            // A daemon that has just started doesn't know the rate yet, so this request doesn't count.
            one.round = now + EARLY_ROUND_MS;
        }
        true
    }

    fn send_share(&mut self, now: u64, daemon: usize) -> bool {
        let share = ColdShare::new(Some(self.plan.rate), self.plan.daemons);
        let time = clock(now);
        let one = &mut self.daemons[daemon];
        let may_send = share.may_send(time, one.last_sent, one.phase);
        if may_send {
            one.last_sent = Some(time);
            self.sent.push(now);
        }
        may_send
    }

    fn rounds(&mut self, now: u64) {
        for daemon in 0..self.plan.daemons {
            if self.daemons[daemon].round > now || self.is(now, daemon, FaultKind::Stalled) {
                continue;
            }
            self.daemons[daemon].round = now + ROUND_MS;
            let all = self.plan.daemons;
            let rates = &mut self.daemons[daemon].rates;
            let messages = rates.messages(clock(now), Some(all));
            let coordinator = self.coordinator(now, daemon);
            for message in messages {
                if let Some(report) = message.report {
                    self.send(now, daemon, coordinator, Content::Note(daemon, report));
                }
                if let Some(announcement) = message.announcement {
                    for to in self.recipients(daemon, coordinator) {
                        self.send(now, daemon, to, Content::Note(daemon, announcement));
                    }
                }
            }
        }
    }

    /// Returns the daemons that a daemon reports to: all in a small fleet or as the coordinator, otherwise the
    /// coordinator and six random ones.
    fn recipients(&mut self, daemon: usize, coordinator: usize) -> Vec<usize> {
        let all = self.plan.daemons;
        if all <= 13 || daemon == coordinator {
            return (0..all).filter(|to| *to != daemon).collect();
        }
        let mut recipients: Vec<usize> = (0..6)
            .map(|_| self.draws.below(all as u64) as usize)
            .collect();
        recipients.push(coordinator);
        recipients.retain(|to| *to != daemon);
        recipients.dedup();
        recipients
    }

    fn counted(&self, end: u64) -> Counted {
        let settled: Vec<u64> = self
            .sent
            .iter()
            .copied()
            .filter(|at| *at >= SETTLED_MS)
            .collect();
        let in_window = |from: u64| {
            let inside = settled
                .iter()
                .filter(|at| (from..from + WINDOW_MS).contains(*at));
            inside.count()
        };
        let most = settled.iter().map(|at| in_window(*at)).max();
        let seconds = (end - SETTLED_MS) as f64 / 1e3;
        Counted {
            most: most.unwrap_or_default(),
            used: settled.len() as f64 / (self.plan.rate * seconds),
            datagrams: self.datagrams as f64 / (end as f64 / 1e3) / self.plan.daemons as f64,
        }
    }
}
