//! Chooses the endpoint that gets a request.
//!
//! Inputs: the candidates, which are endpoints of the service that may get the request
//! ([`eligibility`](crate::gateway::rules::eligibility)) and haven't been tried for it. Of each candidate: requests in
//! flight, slots, the usual time of a call (ms), prompt tokens waiting to be read, slowdown, cached tokens, region, and
//! the round-trip time to it if it is in another region (ms). Of the request: its prompt (tokens) and the size of its
//! inputs by data centre (bytes).
//!
//! Rule: available candidates go first; the others are considered only if none is available. A candidate whose
//! advertised rate limit has to be probed goes first of all; otherwise the candidate with the least expected time wins.
//! For a plain call that is its usual time, and more where calls have to queue. For a prompt it is the time to read the
//! waiting and the uncached tokens, plus a cost for requests in flight, multiplied by the endpoint's slowdown. For a
//! prompt of a tight service it is the time by the figures of the endpoint
//! ([`engine_model`](crate::gateway::rules::engine_model)) instead. All add the cost of the round trip, and of inputs in
//! another data centre or region.
//!
//! Reason: a request should start as early as possible. Daemons share no state, so all of them prefer the same
//! endpoint for a shared part of a prompt, chosen by rendezvous hashing: the part is then read once in each region.
//! Among endpoints that are equal otherwise, each daemon has a different order, so that a fleet doesn't send everything
//! to one of them.

use {
    crate::{
        gateway::{
            dialect::Prompt,
            directory::endpoint_entry::EndpointEntry,
            rules::{
                allowed_regions::RegionHash,
                cold_share::ColdShare,
                distance::in_different_regions,
                eligibility::{AllowedDataCentres, Exclusion, ExclusionCounts},
                engine_model::{EngineFigures, EngineLoad},
                prefill_rate::TOKENS_PER_MS,
                stream_origin::StreamOrigin,
            },
        },
        shared::{
            ids::{DataCentreId, EndpointId},
            units::{ByteSize, Millis, WorkMillis},
        },
    },
    std::sync::Arc,
    xxhash_rust::xxh3::xxh3_64,
};

/// Time to the first event that each generation in flight adds, in milliseconds.
const GENERATION_MS: f64 = 1.0;

/// Time that each request beyond the slots of an engine adds, in milliseconds. It is high enough to prefer any engine
/// with a free slot.
const OVER_SLOTS_MS: f64 = 100.0;

/// Fraction of a plain call's usual time that a fully busy endpoint adds before calls queue, so that equal endpoints
/// get equal load.
const BUSY_FRACTION: f64 = 0.5;

/// Factor on the expected time at an endpoint for which this daemon has a permit, since an unused permit is lost. It
/// doesn't apply to the cost of shared tokens that are read again.
const PERMIT_FACTOR: f64 = 0.5;

/// Cost of each shared token of a prompt that has to be read again, in milliseconds, in addition to the time it takes:
/// reading it uses the engine and displaces cached tokens that other requests may still need.
const SHARED_TOKEN_MS: f64 = 0.15;

/// Cost of a call into another data centre of the region, in milliseconds: about the round-trip time.
const CENTRE_HOP_MS: f64 = 1.0;

/// Cost of each megabyte of inputs from another data centre of the region, in milliseconds.
const INPUT_MB_MS: f64 = 100.0;

/// Cost of each megabyte of inputs from another region, in milliseconds: links between regions have little bandwidth,
/// and all hosts share it.
const REMOTE_INPUT_MB_MS: f64 = 1_000.0;

/// Number of bytes in a megabyte.
const MB: f64 = 1e6;

/// Inputs of a request that are held in one data centre.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InputLocation {
    /// Data centre of the endpoint that holds them.
    pub data_centre: DataCentreId,
    /// Region of the data centre; `None` if it isn't known or the installation has one region only.
    pub region: Option<RegionHash>,
    /// Total size of the inputs.
    pub size: ByteSize,
}

/// A request that needs an endpoint.
#[derive(Debug, Clone, Copy)]
pub struct EndpointRequest<'a> {
    /// Prompt of the request; empty for a plain call.
    pub prompt: &'a Prompt,
    /// Set if endpoints that cache the beginning of the prompt are preferred.
    pub affinity: bool,
    /// Endpoints that already got the request; they are not candidates.
    pub tried: &'a [EndpointId],
    /// Locations of the results of earlier stages that the request needs.
    pub inputs: &'a [InputLocation],
    /// Maximum number of requests that this daemon may have in flight at one endpoint.
    pub connection_limit: u32,
    /// Data centres where the request may run.
    pub allowed: &'a AllowedDataCentres,
    /// Origin of the stream that the request continues; absent if it continues none.
    pub origin: Option<StreamOrigin>,
    /// Share of the requests to each cold endpoint of the service that this daemon may send.
    pub cold_share: ColdShare,
    /// Time after its start for which an endpoint of the service is usually cold.
    pub cold_start: Millis,
    /// Urgency of the request; 0 goes first.
    pub urgency: u32,
}

/// An endpoint that may get a request.
#[derive(Debug, Clone, Copy)]
pub struct EndpointCandidate<'a> {
    /// Directory entry of the endpoint.
    pub entry: &'a Arc<EndpointEntry>,
    /// Set if the endpoint is healthy and was reachable recently.
    pub available: bool,
    /// Set if the endpoint is cold, or may be.
    pub cold: bool,
    /// Requests in flight at the endpoint, from all daemons.
    pub in_flight: u32,
    /// Usual time of a plain call at the endpoint.
    pub call_time: WorkMillis,
    /// Slowdown that the endpoint reports itself: the present time of work as a multiple of the usual one.
    pub reported_slowdown: f64,
    /// Prompt tokens that all daemons sent to the endpoint and that it hasn't read yet.
    pub waiting_tokens: f64,
    /// Slowdown that this daemon observed: the ratio of observed to expected time to the first event.
    pub slowdown: f64,
    /// Figures of the endpoint; `None` if its service isn't tight.
    pub engine: Option<EngineFigures>,
    /// Tokens of the prompt that the endpoint probably caches, since this daemon sent them recently; 0 without
    /// affinity.
    pub cached_tokens: u32,
    /// State of the rate limit that the endpoint advertises.
    pub limit: RateLimitState,
    /// Position among equal candidates, different in each daemon; the smallest goes first.
    pub tie_break: u64,
    /// Region of the endpoint; `None` if it isn't known or the installation has one region only.
    pub region: Option<RegionHash>,
    /// Round-trip time to the endpoint if it is in another region; `None` in the local region.
    pub round_trip: Option<WorkMillis>,
}

impl EndpointCandidate<'_> {
    /// Returns the load with a request that has `uncached` tokens to be read.
    fn load(&self, uncached: u32) -> EngineLoad {
        EngineLoad {
            tokens: self.waiting_tokens + f64::from(uncached),
            in_flight: self.in_flight,
            slowdown: self.reported_slowdown,
        }
    }
}

/// State of the advertised rate limit of an endpoint that may get a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RateLimitState {
    /// The endpoint advertises no limit.
    None,
    /// It advertises a limit, and this daemon has a permit to send one request.
    Permitted,
    /// This daemon has a permit, and should use it to find out whether the limit still holds.
    ProbeDue,
}

/// The chosen endpoint, with the values that decided.
#[derive(Debug, Clone)]
pub struct EndpointChoice {
    /// Directory entry of the endpoint.
    pub entry: Arc<EndpointEntry>,
    /// Expected time to the reply or the first event, including the costs of distance.
    pub expected: WorkMillis,
    /// Prompt tokens that the endpoint probably has to read.
    pub uncached: u32,
    /// Requests in flight at the endpoint, from all daemons.
    pub in_flight: u32,
    /// Prompt tokens that the endpoint reads before the first event: those waiting there, and those of the request.
    pub tokens: f64,
    /// Expected time from sending the request to its first event; `None` if it isn't a generation of a tight service.
    pub first_event: Option<WorkMillis>,
    /// Number of endpoints that were compared.
    pub candidates: usize,
    /// Number of endpoints that were excluded, by reason.
    pub excluded: ExclusionCounts,
}

impl EndpointChoice {
    /// Returns the number of other endpoints that could take the request if this one doesn't answer in time: those that
    /// were compared, and those that are only cold or full at the moment. Ejected or unreachable endpoints don't count
    /// while this one is available: an attempt that is cut short in favour of one of them can lose the answer of an
    /// endpoint that is only slow.
    pub fn alternatives(&self) -> usize {
        let soon = self.excluded.of(Exclusion::Cold) + self.excluded.used_up();
        self.candidates.saturating_sub(1) + soon
    }
}

/// Expected cost of a request at one endpoint.
struct Estimate {
    time: WorkMillis,
    uncached: u32,
}

/// Chooses the candidate with the least expected time, as seen from the data centre `here`. Returns `None` if there are
/// no candidates.
pub fn choose(
    candidates: &[EndpointCandidate<'_>],
    here: &DataCentreId,
    request: &EndpointRequest<'_>,
) -> Option<EndpointChoice> {
    let any_available = candidates.iter().any(|candidate| candidate.available);
    let compared: Vec<&EndpointCandidate<'_>> = candidates
        .iter()
        .filter(|candidate| candidate.available || !any_available)
        .collect();
    let preferred = preferred_endpoint(&in_region(&compared), request.prompt);
    let (best, estimate) = compared
        .iter()
        .map(|candidate| {
            let holds_shared = request.affinity && preferred == Some(&candidate.entry.id);
            let mut estimate = estimate(candidate, request, holds_shared);
            estimate.time.0 += distance_cost(candidate, here, request).0;
            (candidate, estimate)
        })
        .min_by(|(a, at_a), (b, at_b)| {
            let probe_first = is_probe_due(b).cmp(&is_probe_due(a));
            let soonest = at_a.time.0.total_cmp(&at_b.time.0);
            probe_first
                .then(soonest)
                .then(a.tie_break.cmp(&b.tie_break))
        })?;
    let load = best.load(estimate.uncached);
    let first_event = best.engine.filter(|_| !is_plain(request.prompt));
    Some(EndpointChoice {
        tokens: load.tokens,
        first_event: first_event.map(|engine| engine.first_event(&load)),
        entry: best.entry.clone(),
        expected: estimate.time,
        uncached: estimate.uncached,
        in_flight: best.in_flight,
        candidates: compared.len(),
        excluded: ExclusionCounts::default(),
    })
}

fn is_probe_due(candidate: &EndpointCandidate<'_>) -> bool {
    candidate.limit == RateLimitState::ProbeDue
}

/// Returns the candidates in the region of the request's daemon, or all candidates if there are none.
fn in_region<'a, 'c>(candidates: &[&'c EndpointCandidate<'a>]) -> Vec<&'c EndpointCandidate<'a>> {
    let local = candidates
        .iter()
        .filter(|candidate| candidate.round_trip.is_none());
    let local: Vec<&EndpointCandidate<'_>> = local.copied().collect();
    if local.is_empty() {
        candidates.to_vec()
    } else {
        local
    }
}

/// Returns the endpoint that all daemons of a region prefer for the longest shared beginning of a prompt, by rendezvous
/// hashing; `None` if the prompt has no shared part. A cold endpoint has nothing cached, so it is preferred only if all
/// candidates are cold.
fn preferred_endpoint<'a>(
    candidates: &[&EndpointCandidate<'a>],
    prompt: &Prompt,
) -> Option<&'a EndpointId> {
    let last_shared = prompt.parts.len().checked_sub(2)?;
    let part = prompt.parts[last_shared].id;
    let mut bytes = part.to_le_bytes().to_vec();
    let mut weight = |candidate: &&&EndpointCandidate<'a>| {
        bytes.truncate(size_of_val(&part));
        bytes.extend_from_slice(candidate.entry.id.as_str().as_bytes());
        xxh3_64(&bytes)
    };
    let warm = candidates.iter().filter(|candidate| !candidate.cold);
    let best = warm.max_by_key(&mut weight);
    let best = best.or_else(|| candidates.iter().max_by_key(&mut weight))?;
    Some(&best.entry.id)
}

/// Returns whether a request is a plain call, which has no prompt.
fn is_plain(prompt: &Prompt) -> bool {
    prompt.tokens_in == 0 && prompt.parts.is_empty()
}

/// Estimates the time at an endpoint. `holds_shared` is set if the endpoint probably caches the shared beginning of the
/// prompt, even if this daemon didn't send it.
fn estimate(
    candidate: &EndpointCandidate<'_>,
    request: &EndpointRequest<'_>,
    holds_shared: bool,
) -> Estimate {
    let prompt = request.prompt;
    if is_plain(prompt) {
        return Estimate {
            time: estimate_plain_call(candidate),
            uncached: 0,
        };
    }
    let shared = shared_tokens(prompt).min(prompt.tokens_in);
    let held = if holds_shared {
        candidate.cached_tokens.max(shared)
    } else {
        candidate.cached_tokens
    };
    let uncached = prompt.tokens_in.saturating_sub(held);
    let read_again_ms = if request.affinity {
        f64::from(shared.saturating_sub(held)) * SHARED_TOKEN_MS
    } else {
        0.0
    };
    Estimate {
        time: WorkMillis(estimate_first_event(candidate, uncached).0 + read_again_ms),
        uncached,
    }
}

/// Estimates the time of a plain call.
fn estimate_plain_call(candidate: &EndpointCandidate<'_>) -> WorkMillis {
    let in_flight = f64::from(candidate.in_flight);
    let slots = slots(candidate);
    let queued = (in_flight + 1.0 - slots).max(0.0) / slots;
    let busy = BUSY_FRACTION * in_flight / slots;
    let call = candidate.call_time.0 * candidate.reported_slowdown;
    let time = call * (1.0 + queued + busy);
    WorkMillis(time * permit_factor(candidate))
}

/// Estimates the time to the first event of a generation.
fn estimate_first_event(candidate: &EndpointCandidate<'_>, uncached: u32) -> WorkMillis {
    let in_flight = f64::from(candidate.in_flight);
    let waiting = candidate.waiting_tokens + f64::from(uncached);
    let overfull = (in_flight + 1.0 - slots(candidate)).max(0.0) * OVER_SLOTS_MS;
    if let Some(engine) = &candidate.engine {
        let ms = engine.first_event(&candidate.load(uncached)).0 + overfull;
        return WorkMillis(ms * permit_factor(candidate));
    }
    let ms = waiting / TOKENS_PER_MS + in_flight * GENERATION_MS + overfull;
    // The observed slowdown follows the reported one with a delay, so the two must not be multiplied.
    let slowdown = if candidate.reported_slowdown > 1.0 {
        candidate.slowdown.max(candidate.reported_slowdown)
    } else {
        candidate.slowdown
    };
    WorkMillis(ms * slowdown * permit_factor(candidate))
}

fn permit_factor(candidate: &EndpointCandidate<'_>) -> f64 {
    match candidate.limit {
        RateLimitState::None => 1.0,
        RateLimitState::Permitted | RateLimitState::ProbeDue => PERMIT_FACTOR,
    }
}

fn slots(candidate: &EndpointCandidate<'_>) -> f64 {
    f64::from(candidate.entry.slots.max(1))
}

/// Returns the tokens of a prompt that other requests may share: all but those of its last part.
fn shared_tokens(prompt: &Prompt) -> u32 {
    let parts = prompt.parts.len().saturating_sub(1);
    prompt.parts[..parts].iter().map(|part| part.tokens).sum()
}

/// Returns the cost of the call's round trip and of the transfer of its inputs, as time.
fn distance_cost(
    candidate: &EndpointCandidate<'_>,
    here: &DataCentreId,
    request: &EndpointRequest<'_>,
) -> WorkMillis {
    let there = &candidate.entry.data_centre;
    let hop = match candidate.round_trip {
        Some(round_trip) => round_trip.0,
        None if there == here => 0.0,
        None => CENTRE_HOP_MS,
    };
    let mut crossing = 0;
    let mut remote = 0;
    for input in request.inputs {
        if in_different_regions(input.region, candidate.region) {
            remote += input.size.0;
        } else if input.data_centre != *there {
            crossing += input.size.0;
        }
    }
    let crossing = crossing as f64 / MB * INPUT_MB_MS;
    WorkMillis(hop + crossing + remote as f64 / MB * REMOTE_INPUT_MB_MS)
}
