//! What an endpoint is expected to cost a request: its time, and the way there.

use {
    crate::{
        gateway::{
            dialect::Prompt,
            routing::endpoint_state::{EndpointState, Placement},
        },
        shared::{
            ids::{DataCentreId, EndpointId},
            units::Time,
        },
    },
    xxhash_rust::xxh3::xxh3_64,
};

/// Prompt tokens that an engine reads in a millisecond, until its own pace is known.
const TOKENS_PER_MS: f64 = 50.0;

/// Time to the first event that each running generation adds.
const RUNNING_MS: f64 = 1.0;

/// Cost of each shared token of a prompt that has to be read again, beside the time it takes.
/// Reading it is a price of its own, and it displaces what others may still want.
const SHARED_TOKEN_MS: f64 = 0.15;

/// Cost of a call into another data centre, and of each megabyte of inputs from one.
const HOP_MS: f64 = 1.0;
const INPUT_MB_MS: f64 = 100.0;

/// Returns the endpoint that all daemons prefer for a prompt's deepest shared part, by rendezvous
/// hashing.
pub(crate) fn agreed_endpoint<'a>(
    among: &[&'a EndpointState],
    prompt: &Prompt,
) -> Option<&'a EndpointId> {
    let shared = prompt.parts.len().checked_sub(2)?;
    let part = prompt.parts[shared].id;
    let weight = |member: &&&EndpointState| {
        let mut bytes = part.to_le_bytes().to_vec();
        bytes.extend_from_slice(member.entry.id.as_str().as_bytes());
        xxh3_64(&bytes)
    };
    among.iter().max_by_key(weight).map(|m| &m.entry.id)
}

pub(crate) fn expected_ms(
    now: Time,
    member: &EndpointState,
    demand: &Placement<'_>,
    agreed: Option<&EndpointId>,
) -> (f64, u32) {
    let outstanding = f64::from(member.outstanding());
    let slots = f64::from(member.entry.slots.max(1));
    if demand.prompt.tokens_in == 0 && demand.prompt.parts.is_empty() {
        let queued = (outstanding + 1.0 - slots).max(0.0) / slots;
        let crowding = 0.5 * outstanding / slots;
        return (member.call_ms * (1.0 + queued + crowding), 0);
    }
    let total = demand.prompt.tokens_in;
    let cached = if demand.affinity {
        member.cached_tokens(now, demand.prompt)
    } else {
        0
    };
    // All daemons send a part to the same endpoint where they can, so that it is probably there
    // although this daemon didn't send it.
    let agreed = demand.affinity && agreed == Some(&member.entry.id);
    let shared = shared_tokens(demand.prompt).min(total);
    let held = if agreed { cached.max(shared) } else { cached };
    let uncached = total.saturating_sub(held);
    let missing = if demand.affinity {
        f64::from(shared.saturating_sub(held)) * SHARED_TOKEN_MS
    } else {
        0.0
    };
    let waiting = member.prefill + member.peers.prefill + f64::from(uncached);
    let overfull = (outstanding + 1.0 - slots).max(0.0) * 100.0;
    let ms = waiting / TOKENS_PER_MS + outstanding * RUNNING_MS + overfull;
    (ms * member.pace(now) + missing, uncached)
}

/// Returns the tokens of a prompt that other requests may share: all but its last part.
fn shared_tokens(prompt: &Prompt) -> u32 {
    let parts = prompt.parts.len().saturating_sub(1);
    prompt.parts[..parts].iter().map(|part| part.tokens).sum()
}

pub(crate) fn distance_ms(
    member: &EndpointState,
    here: &DataCentreId,
    demand: &Placement<'_>,
) -> f64 {
    let there = &member.entry.data_centre;
    let far: u64 = demand
        .inputs
        .iter()
        .filter(|(data_centre, _)| data_centre != there)
        .map(|(_, size)| size.0)
        .sum();
    let hop = if there == here { 0.0 } else { HOP_MS };
    hop + far as f64 / 1e6 * INPUT_MB_MS
}
