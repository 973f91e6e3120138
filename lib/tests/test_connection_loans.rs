//! Runs daemons that lend each other connections against the endpoints of one service, in virtual time. Messages between
//! daemons are delayed or lost.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use {
    hazelyoke_lib::{
        gateway::{
            hashes::{IncarnationHash, ServiceHash},
            loans::{
                note::{AskNote, BorrowerReport, LoanNote, Stamp},
                store::ConnectionLoans,
            },
            rules::connection_loan::{LENDERS, REPORT_INTERVAL, Room, is_scarce, lend, wanted},
        },
        shared::{
            ids::ServiceId,
            units::{Millis, Time},
        },
    },
    hazelyoke_testutils::draws::Draws,
    std::net::SocketAddr,
};

/// Longest time of a request, in milliseconds.
const LONGEST_MS: u64 = 3_000;

/// Time that a request waits for a connection, in milliseconds.
const WAIT_MS: u64 = 100;

/// Number of steps of a run, of a millisecond each.
const STEPS: u64 = 6_000;

/// Number of drawn runs.
const SEEDS: u64 = 20;

/// Largest delay of a message, in milliseconds.
const DELAY_MS: u64 = 30;

/// A fleet, its endpoints and its load.
#[derive(Debug, Clone, Copy)]
struct Plan {
    daemons: usize,
    endpoints: u32,
    /// Connections that each daemon may use of each endpoint.
    share: u32,
    /// Requests per second at the daemon that gets nearly all, and at all others together.
    herded: u64,
    spread: u64,
    /// Time of a request in milliseconds.
    takes: u64,
    /// Share of the messages that are lost, in percent.
    lost: u64,
    /// Set if daemons are cut off from all others for seconds, now and then.
    has_cuts: bool,
}

enum Content {
    Report(BorrowerReport),
    Answer(Vec<LoanNote>),
}

struct Message {
    due: u64,
    from: usize,
    to: usize,
    stamp: Stamp,
    content: Content,
}

#[derive(Default)]
struct Daemon {
    loans: ConnectionLoans,
    /// Ends of the requests in flight, by endpoint.
    running: Vec<Vec<u64>>,
    /// Times until which requests wait.
    waiting: Vec<u64>,
    round: u64,
    cut_until: u64,
}

struct Model {
    plan: Plan,
    service: ServiceId,
    daemons: Vec<Daemon>,
    messages: Vec<Message>,
    draws: Draws,
    /// Requests at the herded daemon, and those served there.
    arrived: usize,
    served: usize,
    /// Largest number of requests in flight at one endpoint.
    most: usize,
}

fn address(daemon: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, daemon as u8], 7_000))
}

/// Returns the time of a daemon's clock.
fn clock(ms: u64) -> Time {
    Time::default() + Millis(10_000 + ms)
}

fn endpoint(place: usize) -> IncarnationHash {
    IncarnationHash(place as u32)
}

impl Model {
    fn run(seed: u64, plan: Plan) -> Self {
        let daemon = || Daemon {
            running: vec![Vec::new(); plan.endpoints as usize],
            ..Daemon::default()
        };
        let mut model = Self {
            plan,
            service: "s".parse().unwrap(),
            daemons: (0..plan.daemons).map(|_| daemon()).collect(),
            messages: Vec::new(),
            draws: Draws::new(seed),
            arrived: 0,
            served: 0,
            most: 0,
        };
        for now in 0..STEPS {
            model.step(now);
        }
        model
    }

    fn step(&mut self, now: u64) {
        if self.plan.has_cuts && self.draws.below(1_000) == 0 {
            let cut = self.draws.below(self.plan.daemons as u64) as usize;
            self.daemons[cut].cut_until = now + self.draws.below(4_000);
        }
        for daemon in &mut self.daemons {
            for running in &mut daemon.running {
                running.retain(|end| *end > now);
            }
        }
        self.deliver(now);
        // Another daemon gets the requests every two seconds.
        let herded = (now / 2_000) as usize % self.plan.daemons;
        if self.draws.below(1_000) < self.plan.herded {
            self.arrived += 1;
            self.daemons[herded].waiting.push(now + WAIT_MS);
        }
        if self.draws.below(1_000) < self.plan.spread {
            let other = self.draws.below(self.plan.daemons as u64) as usize;
            self.daemons[other].waiting.push(now + WAIT_MS);
        }
        for place in 0..self.plan.daemons {
            self.start_waiting(now, place, place == herded);
            self.send_reports(now, place);
        }
        let totals = (0..self.plan.endpoints as usize).map(|place| {
            let running = self.daemons.iter().map(|one| one.running[place].len());
            running.sum::<usize>()
        });
        self.most = self.most.max(totals.max().unwrap());
    }

    /// Returns the rooms of a daemon, of its share alone.
    fn shares(plan: &Plan, running: &[Vec<u64>]) -> Vec<(IncarnationHash, Room)> {
        let rooms = running.iter().enumerate().map(|(place, running)| {
            let room = Room {
                limit: plan.share,
                running: running.len() as u32,
            };
            (endpoint(place), room)
        });
        rooms.collect()
    }

    fn start_waiting(&mut self, now: u64, place: usize, is_herded: bool) {
        let waiting = std::mem::take(&mut self.daemons[place].waiting);
        for until in waiting {
            if self.start(now, place) {
                self.served += usize::from(is_herded);
            } else if now < until {
                self.daemons[place].waiting.push(until);
            }
        }
    }

    /// Starts a request if the daemon has a connection for it, and asks others for connections if it has few.
    fn start(&mut self, now: u64, place: usize) -> bool {
        let time = clock(now);
        let daemon = &mut self.daemons[place];
        let rooms = Self::shares(&self.plan, &daemon.running);
        let rooms: Vec<Room> = rooms
            .into_iter()
            .map(|(endpoint, room)| Room {
                limit: daemon.loans.limit(time, endpoint, room.limit),
                ..room
            })
            .collect();
        let free = rooms.iter().position(|room| room.unused() > 0);
        if free.is_none() && is_scarce(&rooms) {
            let others: Vec<usize> = (0..self.plan.daemons).filter(|one| *one != place).collect();
            let draws = &mut self.draws;
            let draw = || {
                (0..LENDERS)
                    .map(|_| address(*draws.pick(&others)))
                    .collect()
            };
            if daemon.loans.ask(time, &self.service, wanted(&rooms), draw) {
                daemon.round = now;
            }
        }
        if let Some(free) = free {
            daemon.running[free].push(now + self.plan.takes);
        }
        free.is_some()
    }

    fn send_reports(&mut self, now: u64, place: usize) {
        if now < self.daemons[place].round || self.daemons[place].loans.is_empty() {
            return;
        }
        let daemon = &mut self.daemons[place];
        daemon.round = now + REPORT_INTERVAL.0;
        let shares = Self::shares(&self.plan, &daemon.running);
        let reports = daemon.loans.reports(
            clock(now),
            |wanted| {
                shares
                    .iter()
                    .find(|(one, _)| *one == wanted)
                    .map(|(_, room)| *room)
            },
            |_| true,
            |_| AskNote {
                service: ServiceHash(1),
                wanted: 0,
            },
        );
        for (to, stamp, report) in reports {
            let SocketAddr::V4(to) = to else { continue };
            let to = usize::from(to.ip().octets()[3]);
            self.send(now, place, to, stamp, Content::Report(report));
        }
    }

    fn send(&mut self, now: u64, from: usize, to: usize, stamp: Stamp, content: Content) {
        let is_cut = |place: usize| self.daemons[place].cut_until > now;
        if is_cut(from) || is_cut(to) || self.draws.percent(self.plan.lost) {
            return;
        }
        let due = now + 1 + self.draws.below(DELAY_MS);
        self.messages.push(Message {
            due,
            from,
            to,
            stamp,
            content,
        });
    }

    fn deliver(&mut self, now: u64) {
        let messages = std::mem::take(&mut self.messages);
        let (due, later) = messages.into_iter().partition(|message| message.due <= now);
        self.messages = later;
        let due: Vec<Message> = due;
        for message in due {
            let Message { from, to, .. } = message;
            let daemon = &mut self.daemons[to];
            let shares = Self::shares(&self.plan, &daemon.running);
            match message.content {
                Content::Report(report) => {
                    let sender = (address(from), from as u64, message.stamp);
                    let answer = daemon.loans.take_report(
                        clock(now),
                        sender,
                        &report,
                        Millis(LONGEST_MS),
                        |_| shares.clone(),
                        |_| Some(self.plan.share),
                    );
                    if let Some(lent) = answer {
                        self.send(now, to, from, message.stamp, Content::Answer(lent));
                    }
                }
                Content::Answer(lent) => {
                    let loans = &mut daemon.loans;
                    loans.take_answer(clock(now), address(from), message.stamp, &lent);
                }
            }
        }
    }
}

/// A daemon that gets nearly all requests uses what the others leave unused.
#[test]
fn herded_daemon_served() {
    for (daemons, endpoints, share, herded, spread, takes) in [
        (40, 1, 1, 60, 10, 100),
        (40, 4, 1, 60, 30, 25),
        (20, 6, 5, 100, 20, 600),
        (5, 4, 2, 150, 20, 100),
    ] {
        let plan = Plan {
            daemons,
            endpoints,
            share,
            herded,
            spread,
            takes,
            lost: 0,
            has_cuts: false,
        };
        let model = Model::run(1, plan);
        println!("{plan:?}: {} of {}", model.served, model.arrived);
        assert!(10 * model.served >= 9 * model.arrived, "{plan:?}");
    }
}

/// A daemon that has lent all of its connections asks for others' when callers come to it. Before, it was served 41 to 101
/// in 100 of its requests, depending on whom the others drew as lenders.
#[test]
fn lender_herded() {
    for seed in 0..SEEDS {
        let plan = Plan {
            daemons: 40,
            endpoints: 1,
            share: 1,
            herded: 60,
            spread: 10,
            takes: 100,
            lost: 0,
            has_cuts: false,
        };
        let model = Model::run(seed, plan);
        let (served, arrived) = (model.served, model.arrived);
        assert!(
            10 * served >= 9 * arrived,
            "seed {seed}: {served} of {arrived}"
        );
    }
}

/// All daemons together never use more of an endpoint than their even shares add up to, whatever is lost between them.
#[test]
fn never_over_bound() {
    let mut draws = Draws::new(7);
    for seed in 0..SEEDS {
        let plan = Plan {
            daemons: 2 + draws.below(12) as usize,
            endpoints: 1 + draws.below(4) as u32,
            share: 1 + draws.below(4) as u32,
            herded: draws.below(400),
            spread: draws.below(200),
            takes: 20 + draws.below(LONGEST_MS - 20),
            lost: draws.below(60),
            has_cuts: draws.percent(50),
        };
        let model = Model::run(seed, plan);
        let bound = plan.daemons * plan.share as usize;
        assert!(
            model.most <= bound,
            "seed {seed}: {} of {bound}, {plan:?}",
            model.most
        );
    }
}

/// A daemon lends at most half of what it doesn't use, unless it uses nothing.
#[test]
fn lent_half() {
    let room = |limit, running| Room { limit, running };
    for (rooms, wanted, expected) in [
        (vec![room(5, 1)], 9, 2),
        (vec![room(5, 1)], 1, 1),
        (vec![room(1, 0)], 9, 1),
        (vec![room(3, 0)], 9, 2),
        (vec![room(1, 1)], 9, 0),
        (vec![room(1, 0), room(1, 1)], 9, 0),
        (vec![room(1, 2)], 9, 0),
    ] {
        let lent: u32 = lend(&rooms, wanted).iter().sum();
        assert_eq!(lent, expected, "{rooms:?} {wanted}");
    }
}
