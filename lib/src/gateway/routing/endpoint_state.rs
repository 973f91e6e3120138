//! The endpoints as this daemon sees them, and the choice among them.

use {
    crate::{
        gateway::{
            dialect::{Prompt, ReplyLoad},
            directory::catalogue::EndpointEntry,
            rules::endpoint_score::{agreed_endpoint, distance_ms, expected_ms},
        },
        shared::{
            health::{Health, HealthState, can_spare},
            ids::{DataCentreId, EndpointId, ServiceId},
            units::{ByteSize, Millis, Time},
        },
    },
    foldhash::HashMap,
    std::{
        hash::{BuildHasher, Hash},
        net::SocketAddr,
        sync::Arc,
    },
    xxhash_rust::xxh3::xxh3_64,
};

/// Time for which a part of a prompt is believed to stay where it was sent.
const PART_KEPT: Millis = Millis(20_000);

/// Most parts remembered for one endpoint.
const PARTS_KNOWN: usize = 4_096;

/// First guess of a plain call's time, and the weight of a new time in what is known.
const CALL_MS: f64 = 15.0;
const GAIN: f64 = 0.15;

/// Pace of an endpoint relative to what was expected; beyond these it isn't believed.
const PACE_BOUNDS: (f64, f64) = (0.5, 20.0);

/// Time after which a pace far from the usual is forgotten, so that the endpoint is tried again.
const PACE_KEPT: Millis = Millis(4_000);

/// Time after which an endpoint is tried again that called itself another one although its entry
/// stays: an address that was given to another endpoint costs an attempt that doesn't run.
const REPLACED_KEPT: Millis = Millis(5_000);

/// Time for which an endpoint that refused a connection is passed over.
const UNREACHABLE: Millis = Millis(400);

/// Load that other daemons put on an endpoint.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct PeerLoad {
    /// Their requests in flight.
    pub running: u32,
    /// Prompt tokens of theirs that aren't read yet.
    pub prefill: f64,
}

/// One endpoint.
#[derive(Debug)]
pub struct EndpointState {
    /// Its entry.
    pub entry: Arc<EndpointEntry>,
    /// Requests in flight from this daemon.
    pub running: u32,
    /// Prompt tokens sent by this daemon that aren't read yet.
    pub prefill: f64,
    /// Load from other daemons, as they told.
    pub peers: PeerLoad,
    /// Load that it told itself, and when.
    pub told: Option<(Time, ReplyLoad)>,
    health: Health,
    unreachable_until: Option<Time>,
    /// When it answered that it is another endpoint, or leaving.
    replaced: Option<Time>,
    /// Usual time of a plain call, in milliseconds.
    pub(crate) call_ms: f64,
    /// Observed over expected time to a first event.
    pace: f64,
    pace_at: Time,
    parts: HashMap<u64, Time>,
}

impl EndpointState {
    fn new(entry: Arc<EndpointEntry>) -> Self {
        Self {
            entry,
            running: 0,
            prefill: 0.0,
            peers: PeerLoad::default(),
            told: None,
            health: Health::default(),
            unreachable_until: None,
            replaced: None,
            call_ms: CALL_MS,
            pace: 1.0,
            pace_at: Time::default(),
            parts: HashMap::default(),
        }
    }

    /// Returns whether new work may be sent to the endpoint at all.
    pub fn is_open(&self) -> bool {
        !self.entry.draining && self.replaced.is_none()
    }

    /// Returns the requests in flight that this daemon knows of.
    pub fn outstanding(&self) -> u32 {
        self.running + self.peers.running
    }

    fn is_available(&self, now: Time) -> bool {
        let reachable = self.unreachable_until.is_none_or(|until| until <= now);
        let healthy = match self.health.state(now) {
            HealthState::Healthy => true,
            HealthState::Ejected => false,
            HealthState::Probing => self.running == 0,
        };
        reachable && healthy
    }

    pub(crate) fn pace(&self, now: Time) -> f64 {
        if now.since(self.pace_at) > PACE_KEPT.to_duration() {
            1.0
        } else {
            self.pace
        }
    }

    pub(crate) fn cached_tokens(&self, now: Time, prompt: &Prompt) -> u32 {
        let held = |id: &u64| {
            self.parts
                .get(id)
                .is_some_and(|sent| now.since(*sent) < PART_KEPT.to_duration())
        };
        prompt
            .parts
            .iter()
            .take_while(|part| held(&part.id))
            .map(|part| part.tokens)
            .sum()
    }
}

/// What is to be placed.
#[derive(Debug, Clone, Copy)]
pub struct Placement<'a> {
    /// Its prompt; empty for a plain call.
    pub prompt: &'a Prompt,
    /// Whether endpoints holding its beginning are preferred.
    pub affinity: bool,
    /// Endpoints that already had it.
    pub tried: &'a [EndpointId],
    /// Where its inputs lie.
    pub inputs: &'a [(DataCentreId, ByteSize)],
    /// Most requests of this daemon that one endpoint may have in hand: its part of the connections
    /// that the endpoint accepts. What is sent beyond may be reset, and then may have run.
    pub most: u32,
}

/// An endpoint chosen, with what decided.
#[derive(Debug, Clone)]
pub struct EndpointChoice {
    /// The endpoint.
    pub entry: Arc<EndpointEntry>,
    /// Expected time, in milliseconds.
    pub expected_ms: f64,
    /// Prompt tokens that it probably has to read.
    pub uncached: u32,
    /// Requests in flight there, as far as is known.
    pub outstanding: u32,
    /// Endpoints that could have been chosen.
    pub candidates: usize,
}

/// How a request at an endpoint ended, for what is believed of the endpoint.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum EndpointOutcome {
    /// It was served; for a plain call, within this many milliseconds.
    Served(Option<f64>),
    /// The endpoint failed.
    Failed,
    /// The endpoint refused for lack of room.
    Full,
    /// The endpoint is another one, or is leaving.
    Replaced,
    /// No connection came up.
    Unreachable,
    /// Nothing was learnt.
    Neutral,
}

/// The endpoints of all services.
#[derive(Debug, Default)]
pub struct EndpointStates {
    members: HashMap<EndpointId, EndpointState>,
    services: HashMap<ServiceId, Vec<EndpointId>>,
}

impl EndpointStates {
    /// Takes in an entry.
    pub fn put(&mut self, entry: Arc<EndpointEntry>) {
        let id = entry.id.clone();
        match self.members.get_mut(&id) {
            Some(member) => member.entry = entry,
            None => {
                let ids = self.services.entry(entry.service.clone()).or_default();
                ids.push(id.clone());
                self.members.insert(id, EndpointState::new(entry));
            }
        }
    }

    /// Takes out an endpoint.
    pub fn remove(&mut self, id: &EndpointId) {
        if let Some(member) = self.members.remove(id)
            && let Some(ids) = self.services.get_mut(&member.entry.service)
        {
            ids.retain(|other| other != id);
        }
    }

    /// Returns the endpoints of a service.
    pub fn service(&self, id: &ServiceId) -> impl Iterator<Item = &EndpointState> {
        let ids = self.services.get(id).into_iter().flatten();
        ids.filter_map(|id| self.members.get(id))
    }

    /// Returns all endpoints.
    pub fn members(&self) -> impl Iterator<Item = &EndpointState> {
        self.members.values()
    }

    /// Returns an endpoint.
    pub fn get(&self, id: &EndpointId) -> Option<&EndpointState> {
        self.members.get(id)
    }

    /// Returns the service of the endpoint at an address.
    pub fn service_at(&self, address: SocketAddr) -> Option<&ServiceId> {
        self.members
            .values()
            .find(|member| member.entry.address == address)
            .map(|member| &member.entry.service)
    }

    /// Chooses the endpoint where a request is expected to be served first.
    pub fn choose(
        &self,
        now: Time,
        here: &DataCentreId,
        service: &ServiceId,
        demand: &Placement<'_>,
    ) -> Option<EndpointChoice> {
        let open: Vec<&EndpointState> = self
            .service(service)
            .filter(|member| member.is_open() && member.running < demand.most)
            .filter(|member| !demand.tried.contains(&member.entry.id))
            .collect();
        let available: Vec<&EndpointState> = open
            .iter()
            .copied()
            .filter(|member| member.is_available(now))
            .collect();
        let among = if available.is_empty() {
            &open
        } else {
            &available
        };
        let agreed = agreed_endpoint(among, demand.prompt);
        let score = |member: &EndpointState| {
            let (expected, uncached) = expected_ms(now, member, demand, agreed);
            (expected + distance_ms(member, here, demand), uncached)
        };
        let (member, (expected_ms, uncached)) = among
            .iter()
            .map(|member| (*member, score(member)))
            .min_by(|(_, a), (_, b)| a.0.total_cmp(&b.0))?;
        Some(EndpointChoice {
            entry: member.entry.clone(),
            expected_ms,
            uncached,
            outstanding: member.outstanding(),
            candidates: among.len(),
        })
    }

    /// Notes that a request was sent.
    pub fn sent(&mut self, now: Time, id: &EndpointId, prompt: &Prompt, uncached: u32) {
        let Some(member) = self.members.get_mut(id) else {
            return;
        };
        member.running += 1;
        member.prefill += f64::from(uncached);
        if member.parts.len() > PARTS_KNOWN {
            member.parts.clear();
        }
        for part in &prompt.parts {
            member.parts.insert(part.id, now);
        }
    }

    /// Notes that a prompt was read: its first event came after `waited_ms`.
    pub fn first_event(&mut self, now: Time, choice: &EndpointChoice, waited_ms: f64) {
        let Some(member) = self.members.get_mut(&choice.entry.id) else {
            return;
        };
        member.prefill = (member.prefill - f64::from(choice.uncached)).max(0.0);
        let observed = waited_ms / choice.expected_ms.max(30.0);
        let pace = member.pace(now);
        let next = pace + GAIN * (observed - pace);
        member.pace = next.clamp(PACE_BOUNDS.0, PACE_BOUNDS.1);
        member.pace_at = now;
    }

    /// Notes that a prompt won't be read by the endpoint any more.
    pub fn forget_prefill(&mut self, id: &EndpointId, uncached: u32) {
        if let Some(member) = self.members.get_mut(id) {
            member.prefill = (member.prefill - f64::from(uncached)).max(0.0);
        }
    }

    /// Notes that a request left an endpoint; returns whether the endpoint was ejected for it.
    pub fn ended(&mut self, now: Time, id: &EndpointId, ending: EndpointOutcome) -> bool {
        let may_eject = self.may_eject(now, id);
        let Some(member) = self.members.get_mut(id) else {
            return false;
        };
        member.running = member.running.saturating_sub(1);
        match ending {
            EndpointOutcome::Served(call_ms) => {
                member.health.succeeded();
                member.unreachable_until = None;
                if let Some(call_ms) = call_ms {
                    member.call_ms += GAIN * (call_ms - member.call_ms);
                }
                false
            }
            EndpointOutcome::Failed => member.health.failed(now, may_eject),
            EndpointOutcome::Unreachable => {
                member.unreachable_until = Some(now + UNREACHABLE);
                true
            }
            EndpointOutcome::Replaced => {
                member.replaced = Some(now);
                true
            }
            EndpointOutcome::Full | EndpointOutcome::Neutral => false,
        }
    }

    /// Notes the load that an endpoint told with a reply.
    pub fn told(&mut self, now: Time, id: &EndpointId, load: ReplyLoad) {
        if let Some(member) = self.members.get_mut(id) {
            member.told = Some((now, load));
        }
    }

    /// Takes in the sums of what other daemons have in flight.
    pub fn set_peer_loads(&mut self, loads: &HashMap<u32, PeerLoad>) {
        for member in self.members.values_mut() {
            let key = endpoint_hash(&member.entry.id);
            member.peers = loads.get(&key).copied().unwrap_or_default();
        }
    }

    /// Takes in the sums of what all daemons, this one included, have in flight.
    pub fn set_total_loads(&mut self, loads: &HashMap<u32, PeerLoad>) {
        for member in self.members.values_mut() {
            let key = endpoint_hash(&member.entry.id);
            let total = loads.get(&key).copied().unwrap_or_default();
            member.peers = PeerLoad {
                running: total.running.saturating_sub(member.running),
                prefill: (total.prefill - member.prefill).max(0.0),
            };
        }
    }

    /// Opens endpoints again that called themselves another one a while ago; returns whether there
    /// were any.
    pub fn forgive_replaced(&mut self, now: Time) -> bool {
        let mut any = false;
        for member in self.members.values_mut() {
            let is_due = |since: Time| now.since(since) >= REPLACED_KEPT.to_duration();
            if member.replaced.is_some_and(is_due) {
                member.replaced = None;
                any = true;
            }
        }
        any
    }

    fn may_eject(&self, now: Time, id: &EndpointId) -> bool {
        let Some(member) = self.members.get(id) else {
            return false;
        };
        let pool: Vec<&EndpointState> = self.service(&member.entry.service).collect();
        let out = pool.iter().filter(|other| !other.is_available(now)).count();
        can_spare(out, pool.len())
    }
}

/// Returns a short name of an endpoint for messages between daemons.
pub fn endpoint_hash(id: &EndpointId) -> u32 {
    xxh3_64(id.as_str().as_bytes()) as u32
}

/// Returns a short name of a service for messages between daemons.
pub fn service_hash(service: &ServiceId) -> u32 {
    xxh3_64(service.as_str().as_bytes()) as u32
}

/// Picks one of several weighted things by a hash, the same way on every daemon.
pub fn weighted<T>(seed: impl Hash, choices: &[T], weight: impl Fn(&T) -> f64) -> Option<&T> {
    let total: f64 = choices.iter().map(&weight).sum();
    let hash = foldhash::fast::FixedState::default().hash_one(seed);
    let mut point = (hash as f64 / u64::MAX as f64) * total;
    for choice in choices {
        point -= weight(choice);
        if point < 0.0 {
            return Some(choice);
        }
    }
    choices.last()
}
