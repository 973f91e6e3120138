//! The state of one endpoint as this daemon knows it: load, health, slowdown, cold period, signals, and the prompts
//! that it probably caches.

use {
    crate::{
        gateway::{
            dialect::{Prompt, ReplyLoad, SlowdownReport},
            directory::endpoint_entry::EndpointEntry,
            hashes::{EndpointHash, IncarnationHash, endpoint_hash, incarnation_hash},
            routing::{
                cold_state::{ColdState, Coldness},
                endpoint_signals::EndpointSignals,
                sent_parts::SentParts,
            },
            rules::{
                allowed_regions::RegionHash,
                eligibility::{EndpointRestrictions, RequestRestrictions},
                endpoint_choice::{
                    EndpointCandidate, EndpointChoice, EndpointRequest, RateLimitState,
                },
                endpoint_exclusion,
                endpoint_slowdown::{CallTime, EngineSlowdown},
                reply_proof::EndpointOutcome,
                reported_slowdown,
                stream_origin::{StreamOrigin, may_continue},
            },
        },
        shared::{
            health::{Health, HealthState},
            units::{Time, WorkMillis},
        },
    },
    std::sync::Arc,
};

/// Load that other daemons put on an endpoint.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct PeerLoad {
    /// Requests in flight from other daemons.
    pub running: u32,
    /// Prompt tokens that other daemons sent and that the endpoint hasn't read yet.
    pub prefill: f64,
}

/// What shows whether an endpoint runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum EndpointSign {
    /// It accepted a connection or replied.
    Alive,
    /// It refused a connection.
    Terminated,
}

/// The state of one incarnation of an endpoint.
#[derive(Debug)]
pub struct EndpointState {
    /// Latest directory entry of this incarnation.
    pub entry: Arc<EndpointEntry>,
    /// Hash of the endpoint's id, by which daemons exchange loads.
    pub(crate) hash: EndpointHash,
    /// Hash of this incarnation, by which daemons exchange rate limits.
    pub(crate) incarnation: IncarnationHash,
    /// Region of the endpoint's data centre; absent if it isn't known or there is only one region.
    pub(crate) region: Option<RegionHash>,
    /// Requests in flight from this daemon.
    pub running: u32,
    /// Prompt tokens that this daemon sent and that the endpoint hasn't read yet.
    pub prefill: f64,
    /// Load from other daemons, as reported by them.
    pub peer_load: PeerLoad,
    /// Load that the endpoint reported with its last reply, and when the reply arrived; absent before the first report.
    pub reported_load: Option<(Time, ReplyLoad)>,
    /// Position among otherwise equal endpoints, different at each daemon; the lowest goes first.
    pub(crate) order: u64,
    /// Origin of the streams that begin at the endpoint; `None` if its software version isn't known.
    pub(crate) origin: Option<StreamOrigin>,
    /// Signals from the endpoint's replies: whether it leaves, and its cooldown.
    pub(crate) signals: EndpointSignals,
    /// Maximum number of requests in flight from this daemon while the endpoint is brittle; absent if it isn't.
    brittle: Option<u32>,
    /// Set if the endpoint has reported a slowdown that can't be read.
    unclear_slowdown: bool,
    /// Set if the endpoint's data centre is evacuated.
    evacuated: bool,
    cold: ColdState,
    health: Health,
    unreachable_until: Option<Time>,
    /// Set if the endpoint refused a connection and hasn't accepted one since.
    has_terminated: bool,
    /// Time at which it last accepted a connection or replied.
    heard: Time,
    /// Time at which another endpoint replied at the address, or this one replied that it is leaving; absent once it
    /// may be tried again.
    replaced: Option<Time>,
    call_time: CallTime,
    slowdown: EngineSlowdown,
    sent_parts: SentParts,
}

impl EndpointState {
    pub(crate) fn new(now: Time, entry: Arc<EndpointEntry>, evacuated: bool) -> Self {
        Self {
            evacuated,
            cold: ColdState::new(now, entry.cold),
            hash: endpoint_hash(&entry.id),
            incarnation: incarnation_hash(&entry),
            region: None,
            origin: StreamOrigin::of(&entry),
            entry,
            running: 0,
            prefill: 0.0,
            peer_load: PeerLoad::default(),
            reported_load: None,
            order: 0,
            signals: EndpointSignals::default(),
            brittle: None,
            unclear_slowdown: false,
            health: Health::default(),
            unreachable_until: None,
            has_terminated: false,
            heard: Time::default(),
            replaced: None,
            call_time: CallTime::default(),
            slowdown: EngineSlowdown::default(),
            sent_parts: SentParts::default(),
        }
    }

    /// Returns the conditions that keep the endpoint from getting new work.
    pub fn restrictions(&self) -> EndpointRestrictions {
        EndpointRestrictions {
            draining: self.entry.draining || self.signals.leaves(),
            evacuated: self.evacuated,
            replaced: self.replaced.is_some(),
            cooling_down: self.signals.cooldown_end().is_some(),
        }
    }

    /// Returns whether the endpoint's data centre is evacuated.
    pub(crate) fn is_evacuated(&self) -> bool {
        self.evacuated
    }

    /// Returns whether nothing excludes the endpoint from new work.
    pub fn is_open(&self) -> bool {
        self.restrictions().exclusion().is_none()
    }

    /// Replaces the entry by a newer one of the same incarnation.
    pub(crate) fn renew(&mut self, now: Time, entry: Arc<EndpointEntry>) {
        // The same number in a later era means that the entry is unchanged since the earlier era.
        let is_rewritten = entry.revision.number != self.entry.revision.number;
        if is_rewritten || entry.cold != self.entry.cold {
            if entry.cold > self.entry.cold {
                // A longer cold time means that the endpoint has lost its cached prompts.
                self.sent_parts = SentParts::default();
            }
            self.cold.set_cold_time(now, entry.cold);
        }
        self.origin = StreamOrigin::of(&entry);
        self.entry = entry;
    }

    /// Sets whether the endpoint's data centre is evacuated. When an evacuation ends, the endpoint may be cold before
    /// its entry states so.
    pub(crate) fn set_evacuated(&mut self, now: Time, evacuated: bool) {
        if self.evacuated && !evacuated {
            self.cold.presume(now);
        }
        self.evacuated = evacuated;
    }

    /// Returns the conditions that keep the endpoint from getting a request. `limited` is set if the endpoint
    /// advertises a rate limit and this daemon has no permit for it; `most` is the maximum number of requests in flight
    /// from this daemon.
    pub(crate) fn restrictions_for(
        &self,
        now: Time,
        request: &EndpointRequest<'_>,
        limited: bool,
        most: u32,
    ) -> RequestRestrictions {
        let is_cold = self.cold.coldness(now, request.cold_start) == Coldness::Stated;
        RequestRestrictions {
            restrictions: self.restrictions(),
            not_allowed: !request.allowed.allow(&self.entry.data_centre),
            other_version: !may_continue(request.origin, self.origin),
            cold: is_cold && self.cold.is_share_used(now, request.cold_share),
            limited,
            brittle: self.brittle.is_some()
                && (self.running >= most || self.in_flight() >= self.entry.slots),
            full: self.running >= most,
        }
    }

    /// Returns this daemon's share of the requests in flight at the endpoint, of its share of the connections.
    pub(crate) fn share(&self, connections: u32) -> u32 {
        self.brittle
            .map_or(connections, |slots| slots.min(connections))
    }

    /// Sets the maximum number of requests in flight from this daemon if the endpoint is brittle; returns whether it became
    /// brittle or stopped being so.
    pub(crate) fn set_brittle(&mut self, limit: Option<u32>) -> bool {
        let known = std::mem::replace(&mut self.brittle, limit);
        known.is_some() != limit.is_some()
    }

    /// Records the load that the endpoint reported with a reply. Returns whether the report is the first with a
    /// slowdown that can't be read.
    pub(crate) fn record_load(&mut self, now: Time, load: ReplyLoad) -> bool {
        self.reported_load = Some((now, load));
        self.record_heard(now);
        load.slowdown == SlowdownReport::Invalid
            && !std::mem::replace(&mut self.unclear_slowdown, true)
    }

    /// Returns the number of requests in flight from this daemon, and from the others as they reported.
    pub fn in_flight(&self) -> u32 {
        self.running + self.peer_load.running
    }

    /// Returns whether the endpoint is healthy, reachable and in no cooldown. After a cooldown it is available for one
    /// request at a time until it accepts one.
    pub(crate) fn is_available(&self, now: Time) -> bool {
        if self.signals.cooldown_end().is_some() || (self.signals.is_probing() && self.running > 0)
        {
            return false;
        }
        let reachable = self.unreachable_until.is_none_or(|until| until <= now);
        let healthy = match self.health.state(now) {
            HealthState::Healthy => true,
            HealthState::Ejected => false,
            HealthState::Probing => self.running == 0,
        };
        reachable && healthy && !self.has_terminated
    }

    /// Returns the endpoint as a candidate for a request. `limit` is the state of its rate limit. `round_trip` is
    /// the round-trip time to its region; absent if that is the local region.
    pub(crate) fn candidate(
        &self,
        now: Time,
        request: &EndpointRequest<'_>,
        limit: RateLimitState,
        round_trip: Option<WorkMillis>,
    ) -> EndpointCandidate<'_> {
        let cached_tokens = if request.affinity {
            self.sent_parts.cached_tokens(now, request.prompt)
        } else {
            0
        };
        let coldness = self.cold.coldness(now, request.cold_start);
        // An endpoint that is only presumed cold may exceed its share if no other endpoint is available.
        let is_share_used =
            coldness == Coldness::Presumed && self.cold.is_share_used(now, request.cold_share);
        EndpointCandidate {
            entry: &self.entry,
            available: self.is_available(now) && !is_share_used,
            cold: coldness != Coldness::Warm,
            in_flight: self.in_flight(),
            call_time: self.call_time.get(),
            reported_slowdown: reported_slowdown::factor(now, self.reported_load),
            waiting_tokens: self.prefill + self.peer_load.prefill,
            slowdown: self.slowdown.at(now),
            engine: None,
            cached_tokens,
            limit,
            tie_break: self.order,
            region: self.region,
            round_trip,
        }
    }

    /// Records that this daemon sent a request with `uncached` prompt tokens that the endpoint has to read.
    pub(crate) fn record_sent(&mut self, now: Time, prompt: &Prompt, uncached: u32) {
        self.running += 1;
        self.cold.record_sent(now);
        self.prefill += f64::from(uncached);
        self.sent_parts.record(now, prompt);
    }

    /// Records that the first event of a generation arrived after `waited`.
    pub(crate) fn record_first_event(
        &mut self,
        now: Time,
        choice: &EndpointChoice,
        waited: WorkMillis,
    ) {
        self.prompt_read(choice.uncached);
        self.slowdown.record(now, choice.expected, waited);
    }

    /// Removes `uncached` tokens from those that the endpoint hasn't read yet.
    pub(crate) fn prompt_read(&mut self, uncached: u32) {
        self.prefill = (self.prefill - f64::from(uncached)).max(0.0);
    }

    /// Records how a request ended. `may_eject` is set if enough other endpoints of the service are available for this
    /// one to be ejected. Returns whether the outcome excludes the endpoint for a time.
    pub(crate) fn record_ended(
        &mut self,
        now: Time,
        outcome: EndpointOutcome,
        may_eject: bool,
    ) -> bool {
        self.running = self.running.saturating_sub(1);
        match outcome {
            EndpointOutcome::Served(call_time) => {
                self.record_served(now, call_time);
                false
            }
            // A refusal that asks for a cooldown isn't a failure, whatever its status code.
            EndpointOutcome::Failed if self.signals.cooldown_end().is_some() => false,
            EndpointOutcome::Failed => self.health.failed(now, may_eject),
            EndpointOutcome::Unreachable => {
                self.cold.presume(now);
                self.unreachable_until = Some(endpoint_exclusion::available_from(now));
                true
            }
            EndpointOutcome::Ended => self.record_refused(now),
            EndpointOutcome::Replaced => {
                self.replaced = Some(now);
                true
            }
            EndpointOutcome::Full | EndpointOutcome::Neutral => false,
        }
    }

    /// Records that the endpoint refused a connection; returns whether that is new.
    pub(crate) fn record_refused(&mut self, now: Time) -> bool {
        // If the endpoint comes back under the same id, it is cold.
        self.cold.presume(now);
        !std::mem::replace(&mut self.has_terminated, true)
    }

    /// Records that the endpoint accepted a connection or replied.
    pub(crate) fn record_heard(&mut self, now: Time) {
        self.heard = now;
    }

    /// Returns what has shown since a time whether the endpoint runs; `None` if nothing has.
    pub(crate) fn sign_since(&self, since: Time) -> Option<EndpointSign> {
        if self.has_terminated {
            return Some(EndpointSign::Terminated);
        }
        (self.heard >= since).then_some(EndpointSign::Alive)
    }

    /// Records that the endpoint accepted a connection.
    pub(crate) fn record_accepted(&mut self) {
        self.has_terminated = false;
    }

    fn record_served(&mut self, now: Time, call_time: Option<WorkMillis>) {
        self.health.succeeded();
        self.unreachable_until = None;
        self.record_accepted();
        if let Some(call_time) = call_time {
            // The reported slowdown is divided out, so that `call_time` estimates the usual time.
            let factor = reported_slowdown::factor(now, self.reported_load);
            self.call_time.record(WorkMillis(call_time.0 / factor));
        }
    }

    /// Admits new work again if another endpoint replied at the address long enough ago; returns whether it does.
    pub(crate) fn reopen(&mut self, now: Time) -> bool {
        let is_due = self
            .replaced
            .is_some_and(|replaced| endpoint_exclusion::may_use_replaced(now, replaced));
        if is_due {
            self.replaced = None;
        }
        is_due
    }
}
