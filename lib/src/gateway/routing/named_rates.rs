//! Records the rates that endpoints name in their replies, and logs what changes.

use {
    crate::{
        gateway::{
            dialect::{Dialect, NamedRate, ReplyFacts},
            directory::catalogue::EndpointEntry,
            hashes::life_hash,
            rates::store::{RateChange, SeenRate},
            state::Gateway,
        },
        shared::units::Time,
    },
    http::StatusCode,
};

impl<D: Dialect> Gateway<D> {
    /// Records what an endpoint's reply to a call of pieces that was sent at `sent` says of its rate.
    pub(crate) fn record_call_rate(
        &self,
        endpoint: &EndpointEntry,
        status: StatusCode,
        facts: &ReplyFacts,
        sent: Time,
    ) {
        // What another endpoint at the same address takes is of no use for this one.
        if status != StatusCode::MISDIRECTED_REQUEST {
            self.record_rate(endpoint, facts.rate, status == StatusCode::OK, sent);
        }
    }

    /// Records what an endpoint's reply to a request that was sent at `sent` says of its rate. One that names none
    /// counts only if the endpoint itself gave it, which `own` tells.
    pub(crate) fn record_rate(
        &self,
        endpoint: &EndpointEntry,
        named: Option<NamedRate>,
        own: bool,
        sent: Time,
    ) {
        if named.is_none() && !own {
            return;
        }
        let (now, life) = (self.now(), life_hash(endpoint));
        let mut state = self.state.borrow_mut();
        if !state.endpoints.has_life(endpoint) {
            return;
        }
        let rates = &mut state.endpoints.rates;
        let change = rates.observe(now, life, SeenRate { named, sent });
        let unclear = named.filter(|named| !named.clear);
        let unclear = unclear.filter(|_| rates.is_first_unclear(life));
        let limited = rates.limited();
        drop(state);
        if let Some(change) = change {
            log_change(endpoint, change, "reply");
            self.metrics.endpoints.limited(limited);
        }
        if let Some(named) = unclear {
            log::warn!(endpoint:% = endpoint.id, rate:% = named.rate; "endpoint.limit_unclear");
        }
    }
}

fn log_change(endpoint: &EndpointEntry, change: RateChange, source: &str) {
    match change {
        RateChange::Began(rate) => {
            log::info!(endpoint:% = endpoint.id, rate:%, source; "endpoint.limited");
        }
        RateChange::Changed(rate) => {
            log::debug!(endpoint:% = endpoint.id, rate:%, source; "endpoint.limited");
        }
        RateChange::Ended => log::info!(endpoint:% = endpoint.id, source; "endpoint.limit_ended"),
    }
}
