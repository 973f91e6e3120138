//! Logs and counts an answer that ends before it is whole: who ended it and why, what its endpoint was doing, and what
//! kept the stream from being resumed.

use {
    crate::{
        gateway::{
            dialect::Dialect,
            directory::endpoint_entry::EndpointEntry,
            routing::{
                call::ForwardedCall, endpoint_state::EndpointState, stream_resume::Unresumed,
            },
            rules::{eligibility::Exclusion, resume::Hindrance},
            state::Gateway,
        },
        shared::units::Time,
    },
    std::sync::Arc,
};

/// Who ended an answer before it was whole.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum EndedBy {
    /// The endpoint, its connection, or what it sent.
    Endpoint,
    /// The deadline of the request.
    Deadline,
    /// This daemon's stop.
    Stop,
}

impl EndedBy {
    /// Returns the stable text for logs and metrics.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Self::Endpoint => "endpoint",
            Self::Deadline => "deadline",
            Self::Stop => "stop",
        }
    }
}

/// An answer that ends before it is whole.
pub(crate) struct EarlyEnd {
    pub(crate) by: EndedBy,
    /// Reason, for logs.
    pub(crate) why: String,
    /// What kept the stream from being resumed; absent if that wasn't considered.
    pub(crate) unresumed: Option<Unresumed>,
}

impl EarlyEnd {
    /// Creates an end after which resuming the stream isn't considered.
    pub(crate) fn new(by: EndedBy, why: impl Into<String>) -> Self {
        Self {
            by,
            why: why.into(),
            unresumed: None,
        }
    }
}

/// How far an answer got.
pub(crate) struct StreamPosition {
    /// Endpoint that sent the answer last.
    pub(crate) endpoint: Arc<EndpointEntry>,
    /// Time at which that endpoint last sent something.
    pub(crate) heard: Time,
    /// Number of the last whole event that was sent to the caller; 0 before the first one.
    pub(crate) last_event: u64,
    /// Number of attempts that were sent.
    pub(crate) sent: u32,
}

impl<D: Dialect> Gateway<D> {
    /// Logs and counts an answer that ends before it is whole.
    pub(crate) fn record_early_end(
        &self,
        call: &ForwardedCall,
        end: &EarlyEnd,
        position: &StreamPosition,
    ) {
        let now = self.now();
        let hindrance = end.unresumed.map(|unresumed| unresumed.hindrance);
        let hindrance = hindrance.map_or("-", Hindrance::as_str);
        let excluded = end.unresumed.map(|unresumed| unresumed.excluded);
        self.metrics.count_interrupted(end.by.as_str(), hindrance);
        let state = self.state.borrow();
        let member = state.endpoints.get(&position.endpoint.id);
        let stalled = state.peers.stalls.stalled_since(position.heard, now);
        log::info!(
            request = call.id(),
            by = end.by.as_str(),
            why = end.why.as_str(),
            hindrance,
            left_out:% = excluded.unwrap_or_default(),
            last_event = position.last_event,
            endpoint:% = position.endpoint.id,
            endpoint_state = condition(member),
            silent_ms = now.millis_since(position.heard) as u64,
            stalled_ms = stalled.as_millis() as u64,
            sent = position.sent,
            version = state.table_version(),
            left_ms = call.remaining(now).0,
            took_ms = now.since(call.arrived).as_millis() as u64;
            "request.broken_off"
        );
    }
}

/// Returns what this daemon knows of an endpoint, for logs.
fn condition(member: Option<&EndpointState>) -> &'static str {
    let Some(member) = member else {
        return "gone";
    };
    let exclusion = member.restrictions().exclusion();
    exclusion.map_or("open", Exclusion::as_str)
}
