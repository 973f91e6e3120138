//! Translation between the wire formats of an installation (headers, bodies, documents) and the types of this
//! library.
//!
//! An installation implements [`Dialect`], which decides nothing and holds no state. The types in this module are the
//! ones that it reads and writes.

use {
    crate::{
        gateway::{
            directory::endpoint_entry::EndpointEntry,
            revision::Revision,
            stages::job::{PieceEnd, PieceTask, ResultHandle},
            table::Table,
        },
        shared::{
            ids::{CustomerId, EndpointId},
            units::{Millis, Rate},
        },
    },
    bytes::Bytes,
    http::{HeaderMap, request, response},
    std::{sync::Arc, time::Duration},
    thiserror::Error,
};

/// Reports a document or message that doesn't follow the installation's format.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("{location}: {message}")]
pub struct FormatError {
    /// Path of the value in the document, or name of the header.
    pub location: String,
    /// Description of what is wrong with the value.
    pub message: String,
}

impl FormatError {
    /// Creates an error for a value at a location in a document or message.
    pub fn new(location: impl Into<String>, message: impl Into<String>) -> Self {
        Self {
            location: location.into(),
            message: message.into(),
        }
    }
}

/// A part of a prompt that other requests may share.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptPart {
    /// Id of the text; parts with the same text have the same id.
    pub id: u64,
    /// Length in tokens.
    pub tokens: u32,
}

/// A part of prompts that an engine keeps.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct KeptPart {
    /// Id of the part.
    pub id: u64,
    /// Number of tokens that are kept: those of the part, and what was generated after it.
    pub tokens: u64,
}

/// The prompt of a request, as described in the request's head.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Prompt {
    /// Parts of the prompt from its beginning.
    pub parts: Vec<PromptPart>,
    /// Length in tokens.
    pub tokens_in: u32,
    /// Maximum number of tokens to generate.
    pub tokens_out: u32,
}

impl Prompt {
    /// Returns the parts that other requests may share: all but the last, which belongs to the request or its session.
    pub fn shared_parts(&self) -> &[PromptPart] {
        let shared = self.parts.split_last();
        shared.map_or(&[], |(_last, shared)| shared)
    }

    /// Returns the ids of the shared parts for logs, separated by commas.
    pub fn shared_names(&self) -> String {
        let ids = self.shared_parts().iter();
        let ids: Vec<String> = ids.map(|part| format!("{:x}", part.id)).collect();
        ids.join(",")
    }
}

/// The values that the library needs from the head of a caller's request.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Inbound {
    /// Id that the caller assigned to the request.
    pub id: Arc<str>,
    /// API key that identifies the customer.
    pub key: Option<String>,
    /// Time that the caller waits for the answer, counted from sending the request.
    pub remaining: Option<Millis>,
    /// Prompt; empty if the request has none.
    pub prompt: Prompt,
    /// Number of the last event of the stream that the caller already received.
    pub last_event: Option<u64>,
    /// Id of the request with which the caller began the stream that this request takes up; absent if it takes up none.
    pub resumes: Option<Arc<str>>,
    /// Number of pieces of each stage, in the order of the route's stages.
    pub pieces: Vec<u32>,
    /// Input of the pieces of stages that depend on no other stage.
    pub piece_key: Option<String>,
}

/// Values of the headers that are added to a request before it is sent to an endpoint.
#[derive(Debug, Clone)]
pub struct Outbound<'a> {
    /// Endpoint that must answer; any other one refuses the request.
    pub endpoint: &'a EndpointId,
    /// Customer that the request's key belongs to.
    pub customer: Option<&'a CustomerId>,
    /// Time left until the request's deadline.
    pub remaining: Millis,
    /// Urgency among the endpoint's requests; 0 is the most urgent.
    pub urgency: u32,
    /// Results of stages that the request uses.
    pub inputs: &'a [ResultHandle],
    /// Number of the event after which the stream continues.
    pub resume_after: Option<u64>,
}

/// Load that an endpoint reports in a reply.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReplyLoad {
    /// Number of requests that the endpoint is running.
    pub running: u32,
    /// Number of requests that are waiting at the endpoint.
    pub waiting: u32,
    /// Number of requests that the endpoint can run at the same time.
    pub slots: u32,
    /// Slowdown of the endpoint: the time that work takes there at the moment, as a multiple of the usual time.
    pub slowdown: SlowdownReport,
}

/// Slowdown that an endpoint reports, if any.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum SlowdownReport {
    /// The reply reports no slowdown.
    #[default]
    None,
    /// The reported value is not a valid slowdown.
    Invalid,
    /// The reply reports this slowdown.
    Valid(ReportedSlowdown),
}

/// Slowdown of an endpoint: the time that work takes there, in hundredths of the usual time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct ReportedSlowdown(u32);

impl ReportedSlowdown {
    /// Greatest value that is accepted, in hundredths of the usual time.
    const MAX_HUNDREDTHS: u32 = 10_000;

    /// Returns the slowdown as a multiple of the usual time.
    pub fn factor(self) -> f64 {
        f64::from(self.0) / 100.0
    }
}

impl TryFrom<u32> for ReportedSlowdown {
    type Error = SlowdownError;

    fn try_from(hundredths: u32) -> Result<Self, SlowdownError> {
        if (1..=Self::MAX_HUNDREDTHS).contains(&hundredths) {
            Ok(Self(hundredths))
        } else {
            Err(SlowdownError(hundredths))
        }
    }
}

/// Reports a number that is not a valid slowdown.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("{0} hundredths of the usual time is not a valid slowdown")]
pub struct SlowdownError(u32);

/// Rate limit that an endpoint advertises in a reply.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AdvertisedRate {
    /// Requests per second that the endpoint accepts from all daemons together; 0 if the value can't be read.
    pub rate: Rate,
    /// Set if the reply states the rate as a single number that isn't negative.
    pub valid: bool,
}

/// Announcement in a reply that its endpoint is leaving.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum LeaveSignal {
    /// The reply doesn't mention it, or states that the endpoint is not leaving.
    #[default]
    None,
    /// The value can't be read. An endpoint that isn't leaving has no reason to send one.
    Invalid,
    /// The endpoint is leaving.
    Leaving,
}

/// Time after which a reply asks the caller to retry.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum RetryAfter {
    /// The reply states no time.
    #[default]
    None,
    /// The stated time can't be read.
    Invalid,
    /// The reply states this time.
    Valid(Millis),
}

/// The values that the library needs from the head of a reply.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ReplyFacts {
    /// Id of the request that the reply answers.
    pub request: Option<String>,
    /// Set if the reply has the header by which an endpoint marks replies that it made itself.
    pub signed: bool,
    /// Set if the endpoint reports that it didn't run the request.
    pub not_run: bool,
    /// Load of the endpoint, if reported.
    pub load: Option<ReplyLoad>,
    /// Rate limit that the endpoint advertises, if any.
    pub rate: Option<AdvertisedRate>,
    /// Refusals per second that the endpoint bears before it terminates, if it states that it is brittle.
    pub brittle: Option<Rate>,
    /// Announcement that the endpoint is leaving.
    pub leave: LeaveSignal,
    /// Time after which the endpoint asks the caller to retry.
    pub retry_after: RetryAfter,
}

/// The wire formats of one installation. Implementations translate and decide nothing.
///
/// Functions that write can't fail, since they get valid values.
pub trait Dialect: 'static {
    /// Path at which endpoints report whether they are ready.
    const READY_PATH: &'static str;
    /// Path to which calls with pieces are posted.
    const PIECES_PATH: &'static str;
    /// Path to which the handles of results that are no longer needed are posted.
    const RELEASE_PATH: &'static str;
    /// Path with query at which engines tell which parts of prompts they keep.
    const KEPT_PARTS_PATH: &'static str;

    /// Reads the head of a caller's request.
    ///
    /// # Errors
    ///
    /// Returns an error if the head doesn't follow the installation's format.
    fn read_request(head: &request::Parts) -> Result<Inbound, FormatError>;

    /// Removes the headers that only this system may set from a request's headers, and adds those of `outbound`.
    fn write_request(headers: &mut HeaderMap, outbound: &Outbound<'_>);

    /// Reads the head of a reply.
    fn read_reply(head: &response::Parts) -> ReplyFacts;

    /// Adds the headers of a call with pieces, which name the endpoint that must answer.
    fn write_call(headers: &mut HeaderMap, endpoint: &EndpointId);

    /// Returns the body of a call with pieces.
    fn write_pieces(pieces: &[PieceTask]) -> Bytes;

    /// Reads the outcomes of the pieces of a call, in the order of the pieces.
    ///
    /// # Errors
    ///
    /// Returns an error if the body doesn't follow the installation's format.
    fn read_pieces(body: &[u8]) -> Result<Vec<PieceEnd>, FormatError>;

    /// Returns the body of a release of results that are no longer needed.
    fn write_release(handles: &[ResultHandle]) -> Bytes;

    /// Reads which parts of prompts an engine keeps.
    ///
    /// # Errors
    ///
    /// Returns an error if the body doesn't follow the installation's format, or if the engine may keep parts that it
    /// doesn't name.
    fn read_kept_parts(body: &[u8]) -> Result<Vec<KeptPart>, FormatError>;

    /// Adds headers with the time after which a caller may retry.
    fn write_retry_after(headers: &mut HeaderMap, wait: Duration);

    /// Reads a published table.
    ///
    /// # Errors
    ///
    /// Returns an error if the document doesn't follow the installation's format.
    fn read_table(bytes: &[u8]) -> Result<Table, FormatError>;

    /// Reads the directory entry of an endpoint.
    ///
    /// # Errors
    ///
    /// Returns an error if the document doesn't follow the installation's format.
    fn read_endpoint(
        id: &str,
        revision: Revision,
        bytes: &[u8],
    ) -> Result<EndpointEntry, FormatError>;
}
