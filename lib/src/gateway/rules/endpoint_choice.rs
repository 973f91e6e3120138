//! Which endpoint gets a request?
//!
//! **Inputs.** The candidates: endpoints of the service that may get the request
//! ([`eligibility`](crate::gateway::rules::eligibility)) and haven't been tried for it. Of each: requests in flight, slots, the usual time of
//! a call (ms), prompt tokens waiting to be read, pace and cached tokens. Of the request: its prompt
//! (tokens), and the size of its inputs by data centre (bytes). The region of each place, and the way there and back to
//! another one (ms).
//!
//! **Rule.** Available candidates go first; the others are considered only where none is available. The
//! candidate with the least expected time wins, but for one that is to be asked whether it still names a rate. For a plain call that is its usual time, more where
//! calls have to queue. For a prompt it is the time to read what waits there and isn't cached, more for
//! requests in flight, times the endpoint's pace. Both add the cost of the way, and of inputs in another data centre
//! or region.
//!
//! **Reason.** A request should begin where it begins soonest. Daemons share no state, so all prefer the
//! same endpoint for a shared part of a prompt, chosen by rendezvous hashing: it is then read once in each region. Of
//! endpoints that are equal otherwise, each daemon has an order of its own, so that a fleet doesn't choose the same one.

use {
    crate::{
        gateway::{
            dialect::Prompt,
            directory::endpoint_entry::EndpointEntry,
            rules::{
                cold_share::ColdShare,
                distance::are_apart,
                eligibility::{Exclusion, LeftOut, Places},
                engine_pace::TOKENS_PER_MS,
                homes::RegionHash,
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

/// Time that each request beyond the slots of an engine adds, in milliseconds: enough to prefer any engine with a free
/// slot.
const OVERFULL_MS: f64 = 100.0;

/// Part of a plain call's usual time that a wholly busy endpoint adds before calls queue, so that equal endpoints get
/// equal load.
const CROWDING: f64 = 0.5;

/// Factor on the time at an endpoint for which there is a permit: a permit that isn't used is lost. What is read again
/// there isn't any cheaper.
const PERMITTED: f64 = 0.5;

/// Cost of each shared token of a prompt that has to be read again, in milliseconds beside the time it takes: reading
/// it is a price of its own, and it displaces what others may still need.
const SHARED_TOKEN_MS: f64 = 0.15;

/// Cost of a call into another data centre, in milliseconds: about the way there and back.
const HOP_MS: f64 = 1.0;

/// Cost of each megabyte of inputs from another data centre, in milliseconds.
const INPUT_MB_MS: f64 = 100.0;

/// Cost of each megabyte of inputs from another region, in milliseconds: the way between regions is narrow, and all
/// hosts share it.
const FAR_INPUT_MB_MS: f64 = 1_000.0;

/// Bytes of a megabyte.
const MB: f64 = 1e6;

/// Inputs of a request that lie in one data centre.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InputLocation {
    /// Data centre of the endpoint that holds them.
    pub data_centre: DataCentreId,
    /// Its region.
    pub region: Option<RegionHash>,
    /// Their size.
    pub size: ByteSize,
}

/// A request that needs an endpoint.
#[derive(Debug, Clone, Copy)]
pub struct Placement<'a> {
    /// Its prompt; empty for a plain call.
    pub prompt: &'a Prompt,
    /// Set if endpoints that cache the beginning of the prompt are preferred.
    pub affinity: bool,
    /// Endpoints that were tried for it before.
    pub tried: &'a [EndpointId],
    /// Results of earlier stages that it needs.
    pub inputs: &'a [InputLocation],
    /// Most requests that one endpoint may have in flight from this daemon.
    pub connection_limit: u32,
    /// Data centres where it may run.
    pub places: &'a Places,
    /// What this daemon may send to each cold endpoint of the service.
    pub cold_share: ColdShare,
    /// Time for which an endpoint of the service is usually cold after its start.
    pub cold_start: Millis,
    /// Urgency of the request; 0 goes first.
    pub urgency: u32,
}

/// An endpoint that may get a request.
#[derive(Debug, Clone, Copy)]
pub struct EndpointCandidate<'a> {
    /// Its entry in the directory.
    pub entry: &'a Arc<EndpointEntry>,
    /// Set if it is healthy and could be reached lately.
    pub available: bool,
    /// Set if it is cold, or may be.
    pub cold: bool,
    /// Requests in flight there, from all daemons.
    pub outstanding: u32,
    /// Usual time of a plain call.
    pub call_time: WorkMillis,
    /// Time that work takes at the moment by its own word, as a multiple of the usual one.
    pub reported_pace: f64,
    /// Prompt tokens that were sent there and aren't read yet, by all daemons.
    pub waiting_tokens: f64,
    /// Observed over expected time to the first event.
    pub pace: f64,
    /// Tokens of the prompt that it holds, as this daemon sent them; 0 without affinity.
    pub cached_tokens: u32,
    /// Whether it names the rate that it takes.
    pub limit: NamedLimit,
    /// Its place among equal ones, of this daemon's own; the least goes first.
    pub order: u64,
    /// Its region.
    pub region: Option<RegionHash>,
    /// Way there and back if it is in another region.
    pub way: Option<WorkMillis>,
}

/// Whether an endpoint that may get a request names the rate that it takes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NamedLimit {
    /// It doesn't.
    None,
    /// There is a permit for it.
    Permitted,
    /// There is one, and it is to be asked whether it still names a rate.
    LookDue,
}

/// The endpoint that was chosen, with what decided.
#[derive(Debug, Clone)]
pub struct EndpointChoice {
    /// Its entry in the directory.
    pub entry: Arc<EndpointEntry>,
    /// Expected time to the reply or the first event, costs of distance included.
    pub expected: WorkMillis,
    /// Prompt tokens that it probably has to read.
    pub uncached: u32,
    /// Requests in flight there, from all daemons.
    pub outstanding: u32,
    /// Endpoints that were compared.
    pub candidates: usize,
    /// Endpoints that weren't, by the reason.
    pub left_out: LeftOut,
}

impl EndpointChoice {
    /// Returns the other endpoints that could take the request if this one doesn't answer in time: those that were
    /// compared, and those that have only no room just now. One that refuses connections or is ejected isn't among
    /// them while this one isn't: counted on, it costs a caller the answer of a slow endpoint.
    pub fn alternatives(&self) -> usize {
        let soon = [Exclusion::Cold, Exclusion::Full].map(|reason| self.left_out.of(reason));
        self.candidates.saturating_sub(1) + soon.iter().sum::<usize>()
    }
}

/// Expected cost of a request at one endpoint.
struct Estimate {
    time: WorkMillis,
    uncached: u32,
}

/// Chooses the candidate with the least expected time, seen from the data centre `here`; `None` without
/// candidates.
pub fn choose(
    candidates: &[EndpointCandidate<'_>],
    here: &DataCentreId,
    placement: &Placement<'_>,
) -> Option<EndpointChoice> {
    let any_available = candidates.iter().any(|candidate| candidate.available);
    let compared: Vec<&EndpointCandidate<'_>> = candidates
        .iter()
        .filter(|candidate| candidate.available || !any_available)
        .collect();
    let preferred = preferred_endpoint(&in_region(&compared), placement.prompt);
    let (best, estimate) = compared
        .iter()
        .map(|candidate| {
            let holds_shared = placement.affinity && preferred == Some(&candidate.entry.id);
            let mut estimate = estimate(candidate, placement, holds_shared);
            estimate.time.0 += distance_cost(candidate, here, placement).0;
            (candidate, estimate)
        })
        .min_by(|(a, at_a), (b, at_b)| {
            let look_first = is_look_due(b).cmp(&is_look_due(a));
            let soonest = at_a.time.0.total_cmp(&at_b.time.0);
            look_first.then(soonest).then(a.order.cmp(&b.order))
        })?;
    Some(EndpointChoice {
        entry: best.entry.clone(),
        expected: estimate.time,
        uncached: estimate.uncached,
        outstanding: best.outstanding,
        candidates: compared.len(),
        left_out: LeftOut::default(),
    })
}

fn is_look_due(candidate: &EndpointCandidate<'_>) -> bool {
    candidate.limit == NamedLimit::LookDue
}

/// Returns the candidates in the region of the request's daemon; all if there is none.
fn in_region<'a, 'c>(candidates: &[&'c EndpointCandidate<'a>]) -> Vec<&'c EndpointCandidate<'a>> {
    let near = candidates
        .iter()
        .filter(|candidate| candidate.way.is_none());
    let near: Vec<&EndpointCandidate<'_>> = near.copied().collect();
    if near.is_empty() {
        candidates.to_vec()
    } else {
        near
    }
}

/// Returns the endpoint that all daemons of a region prefer for the longest shared beginning of a prompt, by
/// rendezvous hashing; `None` where the prompt has no shared part. A cold endpoint holds nothing, so that
/// it is preferred only where all are cold.
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

/// Estimates the time at an endpoint; `holds_shared` where it probably caches the shared beginning of
/// the prompt, although this daemon may not have sent it.
fn estimate(
    candidate: &EndpointCandidate<'_>,
    placement: &Placement<'_>,
    holds_shared: bool,
) -> Estimate {
    let prompt = placement.prompt;
    if prompt.tokens_in == 0 && prompt.parts.is_empty() {
        return Estimate {
            time: plain_call_time(candidate),
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
    let read_again_ms = if placement.affinity {
        f64::from(shared.saturating_sub(held)) * SHARED_TOKEN_MS
    } else {
        0.0
    };
    Estimate {
        time: WorkMillis(first_event_time(candidate, uncached).0 + read_again_ms),
        uncached,
    }
}

/// Estimates the time of a plain call.
fn plain_call_time(candidate: &EndpointCandidate<'_>) -> WorkMillis {
    let outstanding = f64::from(candidate.outstanding);
    let slots = slots(candidate);
    let queued = (outstanding + 1.0 - slots).max(0.0) / slots;
    let crowding = CROWDING * outstanding / slots;
    let call = candidate.call_time.0 * candidate.reported_pace;
    let time = call * (1.0 + queued + crowding);
    WorkMillis(time * permit_factor(candidate))
}

/// Estimates the time to the first event of a generation.
fn first_event_time(candidate: &EndpointCandidate<'_>, uncached: u32) -> WorkMillis {
    let outstanding = f64::from(candidate.outstanding);
    let waiting = candidate.waiting_tokens + f64::from(uncached);
    let overfull = (outstanding + 1.0 - slots(candidate)).max(0.0) * OVERFULL_MS;
    let ms = waiting / TOKENS_PER_MS + outstanding * GENERATION_MS + overfull;
    // The observed pace follows what the endpoint says of itself, only later.
    let pace = if candidate.reported_pace > 1.0 {
        candidate.pace.max(candidate.reported_pace)
    } else {
        candidate.pace
    };
    WorkMillis(ms * pace * permit_factor(candidate))
}

fn permit_factor(candidate: &EndpointCandidate<'_>) -> f64 {
    match candidate.limit {
        NamedLimit::None => 1.0,
        NamedLimit::Permitted | NamedLimit::LookDue => PERMITTED,
    }
}

fn slots(candidate: &EndpointCandidate<'_>) -> f64 {
    f64::from(candidate.entry.slots.max(1))
}

/// Returns the tokens of a prompt that other requests may share: all but its last part.
fn shared_tokens(prompt: &Prompt) -> u32 {
    let parts = prompt.parts.len().saturating_sub(1);
    prompt.parts[..parts].iter().map(|part| part.tokens).sum()
}

/// Returns the cost of the call's and its inputs' way, as time.
fn distance_cost(
    candidate: &EndpointCandidate<'_>,
    here: &DataCentreId,
    placement: &Placement<'_>,
) -> WorkMillis {
    let there = &candidate.entry.data_centre;
    let hop = match candidate.way {
        Some(way) => way.0,
        None if there == here => 0.0,
        None => HOP_MS,
    };
    let mut crossing = 0;
    let mut far = 0;
    for input in placement.inputs {
        if are_apart(input.region, candidate.region) {
            far += input.size.0;
        } else if input.data_centre != *there {
            crossing += input.size.0;
        }
    }
    let crossing = crossing as f64 / MB * INPUT_MB_MS;
    WorkMillis(hop + crossing + far as f64 / MB * FAR_INPUT_MB_MS)
}
