//! Calls of endpoints and how they can end: the interface between the decisions and the endpoints' protocols.
//!
//! [`Transport`] has one implementation for the protocols (`pipeline::endpoints`) and one for tests. The outcome
//! `not_run` reported to callers depends on it: [`AttemptEnd::NotRun`] is only for a call that certainly did not run.

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
    /// Address of the endpoint.
    pub address: SocketAddr,
    /// Kind of the endpoint: an engine or a plain service.
    pub kind: ServiceKind,
    /// Input of the stage: a JSON value.
    pub input: Bytes,
    /// Time left until the request's deadline.
    pub remaining: Millis,
    /// Priority in the endpoint's queue.
    pub priority: Priority,
    /// Idempotency key, by which the endpoint can recognise a call that it has already run.
    pub key: Option<IdempotencyKey>,
    /// Size of the largest reply accepted.
    pub max_reply: ByteSize,
    /// Largest number of tokens to generate.
    pub max_tokens: u32,
    /// Tokens that were already received, after which the generation resumes; empty for a new generation.
    pub resume: Resume,
    /// Trace context (`traceparent`) for the endpoint, if the request is traced.
    pub trace_parent: Option<String>,
}

/// Tokens that another endpoint generated before its stream was interrupted.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Resume {
    /// Number of tokens received.
    pub tokens: u32,
    /// Text of these tokens.
    pub text: String,
}

/// How an attempt ended.
#[derive(Debug, Clone, PartialEq)]
pub enum AttemptEnd {
    /// The endpoint sent a complete reply with matching ids.
    Answered(EndpointReply),
    /// The engine ended the stream of tokens with its closing event.
    StreamEnded {
        /// Number of tokens in the whole generation, those before a resume included.
        tokens: u32,
        /// Time that the endpoint reports to have spent, if it reports one.
        served: Option<WorkMillis>,
        /// Prefill, if the engine reports it.
        prefill: Option<Prefill>,
    },
    /// The call certainly did not run: no byte of it was sent, or the endpoint reports that it didn't run it.
    NotRun(NotRunCause),
    /// The call failed and may have run.
    Failed(FailCause),
}

impl AttemptEnd {
    /// Returns whether the endpoint completed the call, whatever it answered.
    pub fn is_success(&self) -> bool {
        matches!(
            self,
            AttemptEnd::Answered(_) | AttemptEnd::StreamEnded { .. }
        )
    }

    /// Returns the endpoint time as far as it is known: the time that the endpoint reports, which may be absurd, or
    /// zero if the call certainly did not run.
    pub fn served(&self) -> Option<WorkMillis> {
        match self {
            AttemptEnd::Answered(reply) => reply.served,
            AttemptEnd::StreamEnded { served, .. } => *served,
            AttemptEnd::NotRun(_) => Some(WorkMillis(0.0)),
            AttemptEnd::Failed(_) => None,
        }
    }

    /// Returns the tokens and the prefill of a generation, and no tokens for any other end.
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
    /// Number of tokens in the whole generation.
    pub tokens: u32,
    /// Prefill, if the engine reports it.
    pub prefill: Option<Prefill>,
}

/// Prefill of one generation, as the engine reports it.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Prefill {
    /// Time that the prefill took.
    pub spent: WorkMillis,
    /// Bytes of the input that were in the engine's cache.
    pub cached_bytes: u64,
}

/// A complete reply of an endpoint.
#[derive(Debug, Clone, PartialEq)]
pub struct EndpointReply {
    /// HTTP status, 200 to 499.
    pub status: u16,
    /// Body, a JSON value.
    pub body: Bytes,
    /// Time that the endpoint reports to have spent, if it reports one.
    pub served: Option<WorkMillis>,
}

/// Cause of an attempt that certainly did not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NotRunCause {
    /// The connection was refused, so no byte was sent.
    Unreachable,
    /// The endpoint refused the call because it is full.
    Busy,
    /// The endpoint is leaving.
    Leaving,
}

/// Cause of a failed attempt that may have run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum FailCause {
    /// The connection was lost.
    Broken,
    /// The reply doesn't follow the protocol.
    Garbage,
    /// The ids in the reply aren't those of the call.
    WrongIds,
    /// The reply is larger than allowed.
    TooLarge,
    /// The endpoint answered with a server error.
    ServerError,
    /// The endpoint sent nothing for longer than allowed.
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

/// An endpoint's report of its load at the time at which it took the report.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Work queued and in progress, in milliseconds.
    pub backlog: WorkMillis,
    /// Calls in progress.
    pub running: u32,
    /// Number of calls that the endpoint can run at the same time.
    pub slots: u32,
    /// Age of the report when it was sent.
    pub age: Millis,
    /// Set if the endpoint is leaving.
    #[serde(default)]
    pub leaving: bool,
}

/// Receives the tokens of a stream while the call runs.
pub trait TokenSink: Send {
    /// Receives the token at `index`, counted from the start of the whole generation.
    fn token(&mut self, index: u32, text: String);
}

/// Sends calls and requests for reports to endpoints, over their protocols.
pub trait Transport: Clone + Send + Sync + 'static {
    /// Runs one call to its end.
    fn call(
        &self,
        call: EndpointCall,
        sink: impl TokenSink + 'static,
    ) -> impl Future<Output = AttemptEnd> + Send;

    /// Informs an endpoint that the result of a call is no longer needed; best effort.
    fn cancel(&self, call: EndpointCall) -> impl Future<Output = ()> + Send;

    /// Reads the changes of an engine's cache with sequence numbers above `after`; `None` if the read fails.
    fn cache_events(
        &self,
        address: SocketAddr,
        after: u64,
    ) -> impl Future<Output = Option<CacheEvents>> + Send;

    /// Reads an endpoint's load report; `None` if it gives none or an invalid one.
    fn load(
        &self,
        address: SocketAddr,
        kind: &ServiceKind,
    ) -> impl Future<Output = Option<LoadReport>> + Send;
}
