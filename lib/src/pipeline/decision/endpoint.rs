//! Calls of endpoints and the ways they can end: the only words between the decisions and the
//! endpoints' protocols.
//!
//! [`Transport`] is implemented once for the protocols (`pipeline::endpoints`) and once for tests.
//! The promise `not_run` rests on it: [`AttemptEnd::NotRun`] must be certain.

use {
    crate::{
        pipeline::decision::prefix::CacheEvents,
        settings::{tree::ServiceKind, values::Priority},
        shared::{
            ids::{CallIds, EndpointId, IdempotencyKey},
            units::{ByteSize, Millis, WorkMillis},
        },
    },
    bytes::Bytes,
    serde::{Deserialize, Serialize},
    std::{fmt, future::Future, net::SocketAddr},
};

/// One call of one endpoint.
#[derive(Debug, Clone)]
pub struct EndpointCall {
    /// Ids that the reply must carry.
    pub ids: CallIds,
    /// Endpoint that is called.
    pub endpoint: EndpointId,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its kind: an engine or a plain service.
    pub kind: ServiceKind,
    /// Input of the stage: a JSON value.
    pub input: Bytes,
    /// Time left of the request.
    pub remaining: Millis,
    /// Order in the endpoint's queue.
    pub priority: Priority,
    /// Key by which the endpoint can notice a call that it ran already.
    pub key: Option<IdempotencyKey>,
    /// Largest reply accepted.
    pub max_reply: ByteSize,
    /// Most tokens to generate.
    pub max_tokens: u32,
    /// Tokens that were delivered already, to go on after them.
    pub resume: Resume,
    /// Trace context for the endpoint, if the request is traced.
    pub trace_parent: Option<String>,
}

/// The part of a generation that another replica delivered before it broke off.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Resume {
    /// Number of tokens delivered.
    pub tokens: u32,
    /// Their text.
    pub text: String,
}

/// End of an attempt.
#[derive(Debug, Clone, PartialEq)]
pub enum AttemptEnd {
    /// The endpoint answered whole, with matching ids.
    Answered(EndpointReply),
    /// The stream of tokens ended as the engine announced, after this many tokens in all.
    StreamEnded {
        /// Tokens in all, those before a resume included.
        tokens: u32,
        /// Time the endpoint reports that it spent.
        served: Option<WorkMillis>,
        /// Prefill, if the engine reports it.
        prefill: Option<Prefill>,
    },
    /// Certainly not run: no byte of the call was sent, or the endpoint says so itself.
    NotRun(NotRunCause),
    /// May have run.
    Failed(FailCause),
}

impl AttemptEnd {
    /// Returns whether the endpoint did its part whole, whatever it answered.
    pub fn is_success(&self) -> bool {
        matches!(
            self,
            AttemptEnd::Answered(_) | AttemptEnd::StreamEnded { .. }
        )
    }

    /// Returns the endpoint time as far as it is known: the endpoint's own figure, which may be
    /// absurd, or none spent if the call certainly did not run.
    pub fn served(&self) -> Option<WorkMillis> {
        match self {
            AttemptEnd::Answered(reply) => reply.served,
            AttemptEnd::StreamEnded { served, .. } => *served,
            AttemptEnd::NotRun(_) => Some(WorkMillis(0.0)),
            AttemptEnd::Failed(_) => None,
        }
    }

    /// Returns the tokens and the prefill of a generation, nothing for any other end.
    pub fn generation(&self) -> Generation {
        match self {
            AttemptEnd::StreamEnded {
                tokens, prefill, ..
            } => Generation {
                tokens: *tokens,
                prefill: *prefill,
            },
            AttemptEnd::Answered(_) | AttemptEnd::NotRun(_) | AttemptEnd::Failed(_) => {
                Generation::default()
            }
        }
    }
}

/// Tokens and prefill of one generation.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Generation {
    /// Tokens in all.
    pub tokens: u32,
    /// Prefill, if the engine reports it.
    pub prefill: Option<Prefill>,
}

/// Prefill of one generation, as the engine reports it.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Prefill {
    /// Time it took.
    pub spent: WorkMillis,
    /// Bytes of the input that were found in the cache.
    pub cached_bytes: u64,
}

/// A whole reply.
#[derive(Debug, Clone, PartialEq)]
pub struct EndpointReply {
    /// HTTP status, 200 to 499.
    pub status: u16,
    /// Body, a JSON value.
    pub body: Bytes,
    /// Time the endpoint reports that it spent.
    pub served: Option<WorkMillis>,
}

/// Cause of an attempt that certainly did not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NotRunCause {
    /// The connection was refused, so no byte was sent.
    Unreachable,
    /// The endpoint refused for lack of room.
    Busy,
    /// The endpoint is leaving.
    Leaving,
}

/// Cause of a failed attempt that may have run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum FailCause {
    /// The connection broke off.
    Broken,
    /// The reply can't be understood.
    Garbage,
    /// The reply carries other ids than the call.
    WrongIds,
    /// The reply is larger than allowed.
    TooLarge,
    /// The endpoint answered with a server error.
    ServerError,
    /// The endpoint was silent for longer than allowed.
    Timeout,
}

impl FailCause {
    /// Returns the stable text of the cause, for metrics and logs.
    pub fn as_str(self) -> &'static str {
        match self {
            FailCause::Broken => "broken",
            FailCause::Garbage => "garbage",
            FailCause::WrongIds => "wrong_ids",
            FailCause::TooLarge => "too_large",
            FailCause::ServerError => "server_error",
            FailCause::Timeout => "timeout",
        }
    }
}

impl fmt::Display for FailCause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl fmt::Display for NotRunCause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            NotRunCause::Unreachable => "unreachable",
            NotRunCause::Busy => "busy",
            NotRunCause::Leaving => "leaving",
        })
    }
}

/// An endpoint's own report of its load, as it was when the endpoint took it.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Work queued and in progress.
    pub backlog: WorkMillis,
    /// Calls in progress.
    pub running: u32,
    /// Calls it works on at the same time.
    pub slots: u32,
    /// Age of the report when it was sent.
    pub age: Millis,
    /// True if the endpoint is leaving.
    #[serde(default)]
    pub leaving: bool,
}

/// Receives the tokens of a stream while the call runs.
pub trait TokenSink: Send {
    /// Receives the token at `index`, counted from the start of the whole generation.
    fn token(&mut self, index: u32, text: String);
}

/// Talks to endpoints: the only way from the decisions to the endpoints' protocols.
pub trait Transport: Clone + Send + Sync + 'static {
    /// Runs one call to its end.
    fn call(
        &self,
        call: EndpointCall,
        sink: impl TokenSink + 'static,
    ) -> impl Future<Output = AttemptEnd> + Send;

    /// Reports to an endpoint that nobody waits for a call any more; best effort.
    fn cancel(&self, call: EndpointCall) -> impl Future<Output = ()> + Send;

    /// Reads the changes of an engine's cache from a number on; none if the engine gives none.
    fn cache_events(
        &self,
        address: SocketAddr,
        after: u64,
    ) -> impl Future<Output = Option<CacheEvents>> + Send;

    /// Reads an endpoint's load report; none if it gives none that can be understood.
    fn load(
        &self,
        address: SocketAddr,
        kind: &ServiceKind,
    ) -> impl Future<Output = Option<LoadReport>> + Send;
}
