//! Several hosts' real claims in virtual time, with messages lost, late, doubled and out of order,
//! hosts that pause and wake, and processes that are replaced while the old ones live on.

use {
    arbtest::arbitrary::{Result, Unstructured},
    hazelyoke_lib::{
        claim::{ClaimAction, ClaimConfig, Claims, Rules},
        claim_message::{ClaimKey, Envelope, Incarnation, Settlement},
        ids::{HostId, RequestId},
        units::{Millis, Time},
    },
    std::collections::{BTreeMap, BTreeSet},
};

/// Times of the claims under test.
const WINDOW: Millis = Millis(60);
const LEASE: Millis = Millis(100);
const HORIZON: Millis = Millis(600_000);

/// Longest pause, cut and delay, in microseconds.
const LONGEST_PAUSE: u64 = 600_000;
const LONGEST_DELAY: u64 = 400_000;
const USUAL_DELAY: u64 = 10_000;

/// Time of a whole run, and the part in which disturbances begin, in microseconds.
const END: u64 = 3_500_000;
const CALM_AFTER: u64 = 2_500_000;

/// Time between two disturbances or claims at most.
const GAP: u64 = 40_000;

/// Least time between two wakes of a process, in microseconds.
const MIN_WAKE: u64 = 500;

/// Keys that are claimed again and again at the same time, and the time after which a new one
/// takes the place of the oldest, in microseconds.
const KEYS: u128 = 4;
const NEW_KEY_EVERY: u64 = 150_000;

/// Time after which a caller gives up, in microseconds.
const CALLER_PATIENCE: u64 = 800_000;

/// How a run is set up.
#[derive(Debug, Clone, Copy)]
pub struct ClaimOptions {
    /// Number of hosts.
    pub hosts: usize,
    /// Rules in force.
    pub rules: Rules,
    /// Whether anything goes wrong.
    pub faults: bool,
}

/// What came out of a run.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct ClaimFindings {
    /// Keys that ran more than once.
    pub doubled: u32,
    /// Keys that were claimed.
    pub keys: u32,
    /// Requests that ran.
    pub ran: u32,
    /// Repeats that were given the first one's answer.
    pub followed: u32,
    /// Repeats that were given another answer.
    pub crossed: u32,
}

/// One process of a host.
struct Process {
    host: usize,
    claims: Claims,
    paused_until: u64,
    /// Number of the planned wake that counts; others are out of date.
    wake: u64,
    dead: bool,
}

#[derive(Clone)]
enum Due {
    Wake(usize, u64),
    Deliver(usize, Envelope),
    Settle(usize, RequestId, ClaimKey),
    Disturb,
}

/// A run in progress.
pub struct ClaimRun<'u, 'd> {
    choices: &'u mut Unstructured<'d>,
    options: ClaimOptions,
    roster: Vec<HostId>,
    processes: Vec<Process>,
    queue: BTreeMap<(u64, u64), Due>,
    last: u64,
    now: u64,
    cuts: BTreeMap<(usize, usize), u64>,
    requests: BTreeMap<RequestId, ClaimKey>,
    runs: BTreeMap<ClaimKey, BTreeSet<RequestId>>,
    findings: ClaimFindings,
}

impl<'u, 'd> ClaimRun<'u, 'd> {
    /// Prepares a run.
    pub fn new(options: ClaimOptions, choices: &'u mut Unstructured<'d>) -> Self {
        let roster = (0..options.hosts)
            .map(|i| format!("h{i}").parse().expect("a host's name"))
            .collect();
        Self {
            choices,
            options,
            roster,
            processes: Vec::new(),
            queue: BTreeMap::new(),
            last: 0,
            now: 1,
            cuts: BTreeMap::new(),
            requests: BTreeMap::new(),
            runs: BTreeMap::new(),
            findings: ClaimFindings::default(),
        }
    }

    /// Runs to the end.
    ///
    /// # Errors
    ///
    /// Returns an error when the source of choices is spent, which is no finding.
    pub fn run(mut self) -> Result<ClaimFindings> {
        for host in 0..self.options.hosts {
            self.start_process(host, true);
        }
        self.plan(500_000, Due::Disturb);
        while let Some(((at, _), due)) = self.queue.pop_first() {
            if at > END {
                break;
            }
            self.now = at;
            self.happen(due)?;
        }
        self.findings.doubled = self.runs.values().filter(|runs| runs.len() > 1).count() as u32;
        let keys: BTreeSet<_> = self.requests.values().collect();
        self.findings.keys = keys.len() as u32;
        self.findings.ran = self.runs.values().map(|runs| runs.len() as u32).sum();
        Ok(self.findings)
    }

    fn plan(&mut self, at: u64, due: Due) {
        self.last += 1;
        self.queue.insert((at, self.last), due);
    }

    fn start_process(&mut self, host: usize, first_start: bool) {
        let config = ClaimConfig {
            host: self.roster[host].clone(),
            roster: self.roster.clone(),
            window: WINDOW,
            lease: LEASE,
            horizon: HORIZON,
            first_start,
            rules: self.options.rules,
        };
        let number = self.processes.len();
        let incarnation = Incarnation::new(number as u32 + 1, number as u32 + 1);
        let claims = Claims::new(config, incarnation, Time(self.now), number as u64);
        self.processes.push(Process {
            host,
            claims,
            paused_until: 0,
            wake: 0,
            dead: false,
        });
        self.plan_wake(number, self.now);
    }

    /// Plans the next wake of a process; an earlier plan no longer counts.
    fn plan_wake(&mut self, process: usize, at: u64) {
        self.plan(at, Due::Wake(process, self.last + 1));
        self.processes[process].wake = self.last;
    }

    fn happen(&mut self, due: Due) -> Result<()> {
        let process = match &due {
            Due::Wake(process, _) | Due::Deliver(process, _) | Due::Settle(process, ..) => *process,
            Due::Disturb => return self.disturb(),
        };
        let state = &mut self.processes[process];
        if state.dead {
            return Ok(());
        }
        if state.paused_until > self.now {
            let until = state.paused_until;
            self.plan(until, due);
            return Ok(());
        }
        let now = Time(self.now);
        match due {
            Due::Wake(_, number) if number == state.wake => {
                state.claims.tick(now);
                let next = state.claims.next_timer().0.max(self.now + MIN_WAKE);
                self.plan_wake(process, next);
            }
            Due::Wake(..) => {}
            Due::Deliver(_, envelope) => state.claims.receive(now, envelope),
            Due::Settle(_, request, key) => self.settle(process, request, key)?,
            Due::Disturb => {}
        }
        self.perform(process)
    }

    /// The holder's call has ended: it ran, or it certainly didn't and the key is handed on.
    fn settle(&mut self, process: usize, request: RequestId, key: ClaimKey) -> Result<()> {
        let ran = self.runs.entry(key).or_default().contains(&request);
        let settlement = ran.then(|| answer(request));
        let claims = &mut self.processes[process].claims;
        claims.settle(Time(self.now), request, settlement);
        Ok(())
    }

    fn perform(&mut self, process: usize) -> Result<()> {
        for action in self.processes[process].claims.take_actions() {
            match action {
                ClaimAction::Send(host, envelope) => self.send(process, &host, envelope)?,
                ClaimAction::Won(request) => self.won(process, request)?,
                ClaimAction::Followed(request, settlement) => {
                    self.followed(request, &settlement);
                }
            }
        }
        Ok(())
    }

    fn won(&mut self, process: usize, request: RequestId) -> Result<()> {
        let key = self.requests[&request];
        let runs = !self.options.faults || self.choices.ratio(3, 4)?;
        if runs {
            self.runs.entry(key).or_default().insert(request);
        }
        let at = self.now + self.choices.int_in_range(1_000..=50_000)?;
        self.plan(at, Due::Settle(process, request, key));
        Ok(())
    }

    fn followed(&mut self, request: RequestId, settlement: &Settlement) {
        if *settlement == Settlement::Lost {
            return;
        }
        let key = self.requests[&request];
        let first = self.runs.get(&key).and_then(|runs| runs.first());
        let right = first.is_some_and(|first| answer(*first) == *settlement);
        if right {
            self.findings.followed += 1;
        } else {
            self.findings.crossed += 1;
        }
    }

    fn send(&mut self, from: usize, host: &HostId, envelope: Envelope) -> Result<()> {
        let from = self.processes[from].host;
        let to = self
            .roster
            .iter()
            .position(|known| known == host)
            .expect("a host of the roster");
        if self
            .cuts
            .get(&(from, to))
            .is_some_and(|until| *until > self.now)
        {
            return Ok(());
        }
        let copies = if self.options.faults {
            match self.choices.int_in_range(0..=19)? {
                0 => 0,
                1 => 2,
                _ => 1,
            }
        } else {
            1
        };
        for _ in 0..copies {
            let longest = if self.options.faults && self.choices.ratio(1, 10)? {
                LONGEST_DELAY
            } else {
                USUAL_DELAY
            };
            let at = self.now + self.choices.int_in_range(100..=longest)?;
            let process = self.receiver(to)?;
            self.plan(at, Due::Deliver(process, envelope.clone()));
        }
        Ok(())
    }

    /// An address may still lead to an older process that lives on.
    fn receiver(&mut self, host: usize) -> Result<usize> {
        let alive: Vec<usize> = (0..self.processes.len())
            .filter(|i| self.processes[*i].host == host && !self.processes[*i].dead)
            .collect();
        let latest = alive[alive.len() - 1];
        if alive.len() > 1 && self.choices.ratio(1, 4)? {
            return Ok(*self.choices.choose(&alive)?);
        }
        Ok(latest)
    }

    fn disturb(&mut self) -> Result<()> {
        let next = self.now + self.choices.int_in_range(1_000..=GAP)?;
        self.plan(next, Due::Disturb);
        let kind = if self.options.faults && self.now < CALM_AFTER {
            self.choices.int_in_range(0..=11)?
        } else {
            11
        };
        let host = self.choices.int_in_range(0..=self.options.hosts - 1)?;
        match kind {
            0 => self.replace(host),
            1 => {
                let process = self.choices.int_in_range(0..=self.processes.len() - 1)?;
                self.pause(process)
            }
            2 => {
                let other = self.choices.int_in_range(0..=self.options.hosts - 1)?;
                let until = self.now + self.choices.int_in_range(0..=LONGEST_PAUSE)?;
                self.cuts.insert((host, other), until);
                Ok(())
            }
            _ => self.claim(host),
        }
    }

    /// Replaces a host's process while enough others vote; the old one may live on, paused.
    fn replace(&mut self, host: usize) -> Result<()> {
        let now = Time(self.now);
        let voting: BTreeSet<usize> = self
            .processes
            .iter()
            .filter(|process| !process.dead && process.host != host)
            .filter(|process| process.claims.is_voting(now))
            .map(|process| process.host)
            .collect();
        if voting.len() <= self.options.hosts / 2 {
            return Ok(());
        }
        let old: Vec<usize> = (0..self.processes.len())
            .filter(|i| self.processes[*i].host == host && !self.processes[*i].dead)
            .collect();
        for process in old {
            if self.choices.arbitrary()? {
                self.processes[process].dead = true;
            } else {
                self.pause(process)?;
            }
        }
        self.start_process(host, false);
        Ok(())
    }

    fn pause(&mut self, process: usize) -> Result<()> {
        let until = self.now + self.choices.int_in_range(0..=LONGEST_PAUSE)?;
        let state = &mut self.processes[process];
        if state.dead || state.paused_until > self.now {
            return Ok(());
        }
        state.paused_until = until;
        self.plan_wake(process, until);
        Ok(())
    }

    fn claim(&mut self, host: usize) -> Result<()> {
        let process = self.receiver(host)?;
        let newest = u128::from(self.now / NEW_KEY_EVERY) + KEYS;
        let key = ClaimKey(newest - self.choices.int_in_range(0..=KEYS - 1)?);
        if self.processes[process].paused_until > self.now {
            return Ok(());
        }
        let request = RequestId::from_random(self.requests.len() as u128 + 1);
        self.requests.insert(request, key);
        let claims = &mut self.processes[process].claims;
        claims.claim(Time(self.now), request, key);
        self.perform(process)?;
        self.plan_wake(process, self.now);
        let gives_up = self.now + CALLER_PATIENCE;
        self.plan(gives_up, Due::Settle(process, request, key));
        Ok(())
    }
}

/// The answer that only this request gets.
fn answer(request: RequestId) -> Settlement {
    Settlement::Answered {
        status: 200,
        body: request.to_string().into(),
        tokens: 0,
    }
}
