//! A snapshot of the endpoints that are chosen over a long series of events, with their expected cost. A change that
//! isn't meant to alter a choice leaves it as it is.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use {
    hazelyoke_lib::{
        gateway::{
            dialect::{Prompt, PromptPart, ReplyLoad, SlowdownReport},
            directory::endpoint_entry::EndpointEntry,
            hashes::{endpoint_hash, service_hash},
            routing::{endpoint_state::PeerLoad, endpoint_states::EndpointStates},
            rules::{
                backend_choice::weighted,
                cold_share::ColdShare,
                eligibility::AllowedDataCentres,
                endpoint_choice::{EndpointChoice, EndpointRequest, InputLocation},
                reply_proof::EndpointOutcome,
            },
        },
        shared::{
            ids::{DataCentreId, EndpointId},
            units::{ByteSize, Millis, Time, WorkMillis},
        },
    },
    hazelyoke_testutils::draws::Draws,
    std::{fmt::Write as _, sync::Arc},
    xxhash_rust::xxh3::xxh3_64,
};

const CENTRES: [&str; 3] = ["north", "south", "west"];
const ENDPOINTS: u64 = 7;

fn centre(name: &str) -> DataCentreId {
    name.parse().unwrap()
}

fn entry(number: u64, draining: bool) -> Arc<EndpointEntry> {
    Arc::new(EndpointEntry {
        id: format!("e{number}").parse().unwrap(),
        service: "s".parse().unwrap(),
        address: format!("10.0.0.{}:80", number + 1).parse().unwrap(),
        data_centre: centre(CENTRES[number as usize % CENTRES.len()]),
        slots: 1 + number as u32 % 4,
        draining,
        cold: Millis(0),
        started: None,
        version: None,
        revision: 1.into(),
    })
}

/// A request in flight.
struct Sent {
    choice: EndpointChoice,
    is_read: bool,
}

/// A fleet with a random series of events.
struct Course {
    draws: Draws,
    fleet: EndpointStates,
    now: Time,
    sent: Vec<Sent>,
    lines: String,
}

impl Course {
    fn new(seed: u64) -> Self {
        let mut fleet = EndpointStates::default();
        for number in 0..ENDPOINTS {
            fleet.upsert(Time::default(), entry(number, false));
        }
        Self {
            draws: Draws::new(seed),
            fleet,
            now: Time(1_000_000),
            sent: Vec::new(),
            lines: String::new(),
        }
    }

    /// Runs until `choices` choices were made.
    fn run(mut self, choices: usize) -> String {
        let mut count = 0;
        while count < choices {
            self.now = self.now + Millis(self.draws.below(150));
            match self.draws.below(20) {
                0..=8 => {
                    self.choose();
                    count += 1;
                }
                9..=11 => self.first_event(),
                12..=15 => self.end(),
                16 => self.peer_loads(),
                17 => self.change_entry(),
                18 => self.report(),
                _ => {
                    self.fleet.reopen_replaced(self.now);
                }
            }
        }
        self.lines
    }

    /// Draws a prompt: empty, with only a unique part, or with parts shared with other prompts.
    fn prompt(&mut self) -> Prompt {
        let shared = self.draws.below(4);
        if shared == 0 {
            return Prompt::default();
        }
        let mut parts: Vec<PromptPart> = (1..shared)
            .map(|depth| PromptPart {
                id: depth * 10 + self.draws.below(2),
                tokens: 700 * depth as u32,
            })
            .collect();
        parts.push(PromptPart {
            id: 1_000 + self.draws.below(1_000),
            tokens: 50 + self.draws.below(400) as u32,
        });
        Prompt {
            tokens_in: parts.iter().map(|part| part.tokens).sum(),
            tokens_out: 100,
            parts,
        }
    }

    fn choose(&mut self) {
        let prompt = self.prompt();
        let here = *self.draws.pick(&CENTRES);
        let inputs: Vec<InputLocation> = (0..self.draws.below(3))
            .map(|_| {
                let name = *self.draws.pick(&CENTRES);
                InputLocation {
                    data_centre: centre(name),
                    region: None,
                    size: ByteSize(self.draws.below(900_000)),
                }
            })
            .collect();
        let tried: Vec<EndpointId> = (0..self.draws.below(3))
            .map(|_| format!("e{}", self.draws.below(ENDPOINTS)).parse().unwrap())
            .collect();
        let request = EndpointRequest {
            prompt: &prompt,
            affinity: self.draws.percent(75),
            tried: &tried,
            inputs: &inputs,
            connection_limit: *self.draws.pick(&[1, 3, u32::MAX, u32::MAX]),
            allowed: &AllowedDataCentres::Anywhere,
            origin: None,
            cold_share: ColdShare::Unlimited,
            cold_start: Millis(0),
            urgency: 0,
        };
        let service = "s".parse().unwrap();
        let choice = self
            .fleet
            .choose(self.now, &centre(here), &service, &request);
        let parts: Vec<u64> = prompt.parts.iter().map(|part| part.id).collect();
        let at = self.now.0 / 1_000;
        write!(self.lines, "{at} {here} {parts:?}: ").unwrap();
        let Ok(choice) = choice else {
            self.lines.push_str("none\n");
            return;
        };
        let (id, ms) = (&choice.entry.id, choice.expected.0);
        let (uncached, outstanding) = (choice.uncached, choice.in_flight);
        let among = choice.candidates;
        writeln!(
            self.lines,
            "{id} {ms:.3}ms, {uncached} uncached, {outstanding} outstanding, of {among}"
        )
        .unwrap();
        self.fleet
            .record_sent(self.now, &choice.entry, &prompt, uncached);
        self.sent.push(Sent {
            choice,
            is_read: false,
        });
    }

    /// Removes and returns a random request in flight, if there is one.
    fn take_sent(&mut self) -> Option<Sent> {
        if self.sent.is_empty() {
            return None;
        }
        let at = self.draws.below(self.sent.len() as u64) as usize;
        Some(self.sent.remove(at))
    }

    fn first_event(&mut self) {
        let Some(mut sent) = self.take_sent() else {
            return;
        };
        if !sent.is_read {
            let factor = *self.draws.pick(&[0.2, 0.9, 1.0, 1.4, 6.0, 50.0]);
            let waited = WorkMillis(sent.choice.expected.0 * factor);
            self.fleet
                .record_first_event(self.now, &sent.choice, waited);
            sent.is_read = true;
        }
        self.sent.push(sent);
    }

    fn end(&mut self) {
        let Some(sent) = self.take_sent() else {
            return;
        };
        let entry = &sent.choice.entry;
        let id = &entry.id;
        if !sent.is_read {
            self.fleet.cancel_prefill(entry, sent.choice.uncached);
        }
        let call_ms = 5.0 + self.draws.below(40) as f64;
        let (name, ending) = match self.draws.below(16) {
            0..=5 => ("served", EndpointOutcome::Served(Some(WorkMillis(call_ms)))),
            6..=7 => ("served without a time", EndpointOutcome::Served(None)),
            8..=11 => ("failed", EndpointOutcome::Failed),
            12 => ("full", EndpointOutcome::Full),
            13 => ("replaced", EndpointOutcome::Replaced),
            14 => ("unreachable", EndpointOutcome::Unreachable),
            _ => ("neutral", EndpointOutcome::Neutral),
        };
        let ejected = self.fleet.record_ended(self.now, entry, ending);
        writeln!(self.lines, "  {id} {name}: {ejected}").unwrap();
    }

    fn peer_loads(&mut self) {
        let loads = (0..ENDPOINTS)
            .filter(|number| number % 2 == self.now.0 / 1_000 % 2)
            .map(|number| {
                let load = PeerLoad {
                    running: self.draws.below(5) as u32,
                    prefill: self.draws.below(3_000) as f64,
                };
                (endpoint_hash(&entry(number, false).id), load)
            })
            .collect();
        if self.draws.percent(50) {
            self.fleet.set_peer_loads(&loads);
        } else {
            self.fleet.set_total_loads(&loads);
        }
    }

    fn change_entry(&mut self) {
        let entry = entry(self.draws.below(ENDPOINTS), self.draws.percent(30));
        if self.draws.percent(25) {
            self.fleet.remove(&entry.id);
        } else {
            self.fleet.upsert(self.now, entry);
        }
    }

    fn report(&mut self) {
        let entry = entry(self.draws.below(ENDPOINTS), false);
        let load = ReplyLoad {
            running: self.draws.below(4) as u32,
            waiting: self.draws.below(4) as u32,
            slots: 4,
            slowdown: SlowdownReport::None,
        };
        self.fleet.record_load(self.now, &entry, load);
    }
}

#[test]
fn choices_pinned() {
    let mut lines = Course::new(1).run(70);
    for seed in 2..=9 {
        let course = Course::new(seed).run(2_000);
        let hash = xxh3_64(course.as_bytes());
        writeln!(lines, "course {seed}: {hash:016x}").unwrap();
    }
    insta::assert_snapshot!(lines);
}

/// Daemons of two releases that run side by side have to agree on these hashes and choices.
#[test]
fn names_pinned() {
    let mut lines = String::new();
    for name in ["e1", "endpoint-2", "chat-large", "rerank"] {
        let endpoint = endpoint_hash(&name.parse().unwrap()).0;
        let service = service_hash(&name.parse().unwrap()).0;
        writeln!(lines, "{name}: {endpoint:08x} {service:08x}").unwrap();
    }
    let choices = [("a", 1.0), ("b", 3.0), ("c", 0.0), ("d", 0.5)];
    for start in [0u64, 100, 10_000] {
        let picked = (start..start + 60)
            .filter_map(|seed| weighted(seed, &choices, |choice| choice.1))
            .map(|choice| choice.0);
        writeln!(lines, "{start}: {}", picked.collect::<String>()).unwrap();
    }
    insta::assert_snapshot!(lines);
}
