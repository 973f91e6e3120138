//! Records the rate limits that endpoints advertise in their replies or that other daemons report, and logs changes.

use {
    crate::{
        gateway::{
            dialect::{AdvertisedRate, Dialect, ReplyFacts},
            directory::endpoint_entry::EndpointEntry,
            hashes::incarnation_hash,
            rates::{
                note::RateNote,
                store::{ObservedRate, RateChange},
            },
            state::Gateway,
        },
        shared::units::Time,
    },
    http::StatusCode,
    std::{fmt, net::SocketAddr, sync::Arc},
};

/// Source of a change of a rate limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RateSource {
    /// A reply of the endpoint.
    Reply,
    /// A report of the daemon at this address.
    Peer(SocketAddr),
}

impl fmt::Display for RateSource {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Reply => f.write_str("reply"),
            Self::Peer(address) => write!(f, "peer {address}"),
        }
    }
}

impl<D: Dialect> Gateway<D> {
    /// Records what an endpoint reports about itself in its reply to a call of pieces that was sent at `sent`: its rate
    /// limit and its signals.
    pub(crate) fn record_call_reply(
        &self,
        endpoint: &EndpointEntry,
        status: StatusCode,
        facts: &ReplyFacts,
        sent: Time,
    ) {
        // A misdirected call was answered by another endpoint at the same address.
        if status != StatusCode::MISDIRECTED_REQUEST {
            self.record_rate(endpoint, facts.rate, status == StatusCode::OK, sent);
            self.record_signals(endpoint, status, facts);
        }
    }

    /// Records the rate limit that an endpoint advertises in its reply to a request that was sent at `sent`. A reply
    /// without one counts only if the endpoint itself served the request, as given by `served`.
    pub(crate) fn record_rate(
        &self,
        endpoint: &EndpointEntry,
        advertised: Option<AdvertisedRate>,
        served: bool,
        sent: Time,
    ) {
        if advertised.is_none() && !served {
            return;
        }
        let (now, incarnation) = (self.now(), incarnation_hash(endpoint));
        let mut state = self.state.borrow_mut();
        if !state.endpoints.has_incarnation(endpoint) {
            return;
        }
        let rates = &mut state.endpoints.rates;
        let observed = ObservedRate { advertised, sent };
        let change = rates.observe(now, incarnation, &endpoint.service, observed);
        let unclear = advertised.filter(|advertised| !advertised.valid);
        let unclear = unclear.filter(|_| rates.mark_unclear(incarnation));
        drop(state);
        if let Some(change) = change {
            self.rate_changed(endpoint, change, RateSource::Reply);
        }
        if let Some(advertised) = unclear {
            log::warn!(endpoint:% = endpoint.id, rate:% = advertised.rate; "endpoint.limit_unclear");
        }
    }

    /// Merges a report of another daemon. A report about an endpoint that isn't in the endpoint list is ignored.
    pub(crate) fn merge_rate(&self, note: &RateNote, source: RateSource) {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        let Some(member) = state.endpoints.by_incarnation(note.endpoint) else {
            return;
        };
        let entry: Arc<EndpointEntry> = member.entry.clone();
        let change = state.endpoints.rates.merge(now, &entry.service, note);
        drop(state);
        if let Some(change) = change {
            self.rate_changed(&entry, change, source);
        }
    }

    fn rate_changed(&self, endpoint: &EndpointEntry, change: RateChange, source: RateSource) {
        log_change(endpoint, change, source);
        let limited = self.state.borrow().endpoints.rates.limited();
        self.metrics.endpoints.set_limited(limited);
        self.rate_reports.notify_one();
        // Requests that wait for a permit may need none any more.
        self.permits.notify_waiters();
    }
}

fn log_change(endpoint: &EndpointEntry, change: RateChange, source: RateSource) {
    match change {
        RateChange::Began(rate) => {
            log::info!(endpoint:% = endpoint.id, rate:%, source:%; "endpoint.limited");
        }
        // The rate may change with each reply, hence only the debug level.
        RateChange::Changed(rate) => {
            log::debug!(endpoint:% = endpoint.id, rate:%, source:%; "endpoint.limited");
        }
        RateChange::Ended => log::info!(endpoint:% = endpoint.id, source:%; "endpoint.limit_ended"),
    }
}
